package runner

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/responder"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// defaultControlHosts is the number of control hosts of a fleet unless the settings set one.
	defaultControlHosts = 3
	// readyTimeout is the longest time for the start of a fleet.
	readyTimeout = 20 * time.Second
	// readyPollInterval is how often a starting fleet is checked for readiness.
	readyPollInterval = 20 * time.Millisecond
)

// Fleet is a small fleet in one process that communicates over loopback: control hosts, nodes and simulated upstreams.
type Fleet struct {
	Base
	cfg      *schema.FleetSettings
	folder   string
	baseline Baseline
	dial     func(process string) dialer.DialFunc
	// OperatorToken authenticates operators.
	OperatorToken string
	// Keys holds one key for each client account of the settings.
	Keys             []AccountKey
	ports            *portAllocator
	Controls         []*FleetControl
	Workers          []*FleetWorker
	operator         *Operator
	controlAddresses []netip.AddrPort
	// configuredRevision is the revision of the last change that was made at the start.
	configuredRevision uint64
	// Executions counts the executions of each request at the simulated upstreams, by service.
	Executions map[string]*responder.Executions
}

// AccountKey is a key of a client account.
type AccountKey struct {
	Account string
	Key     string
	KeyID   string
}

// FleetControl is a control host of a fleet.
type FleetControl struct {
	*Control
	Settings *schema.ControlSettings
}

// FleetWorker is a simulated upstream and its node.
type FleetWorker struct {
	*Node
	Admin           *Admin
	Responder       *responder.Responder
	Service         string
	Settings        *schema.NodeSettings
	responderConfig responder.Config
}

// FleetOption configures a Fleet.
type FleetOption func(*Fleet)

// WithBaseline sets the baseline of all nodes.
func WithBaseline(b Baseline) FleetOption {
	return func(f *Fleet) { f.baseline = b }
}

// WithDialer sets a function that returns the dial function of the process with the given name.
func WithDialer(dial func(process string) dialer.DialFunc) FleetOption {
	return func(f *Fleet) { f.dial = dial }
}

// WithAsserter sets the asserter of all processes.
func WithAsserter(a *asserter.Asserter) FleetOption {
	return func(f *Fleet) { f.Assert = a }
}

// StartFleet starts a fleet with its data in the given folder, and waits until all nodes are ready.
func StartFleet(ctx context.Context, cfg *schema.FleetSettings, folder string, log *zap.Logger, opts ...FleetOption) (*Fleet, error) {
	t := timer.New()
	security, err := dialer.NewSecurity(nil, t, log)
	if err != nil {
		return nil, err
	}
	_, fleetToken := authenticator.NewKey()
	operatorToken, _ := authenticator.NewKey()
	f := &Fleet{
		Base: Base{
			Timer: t, Log: log, Assert: asserter.New(log), Registry: metrics.NewRegistry(), Security: security, FleetToken: fleetToken,
		},
		cfg: cfg, folder: folder, OperatorToken: operatorToken, ports: &portAllocator{next: cfg.GetFirstPort()},
		Executions: map[string]*responder.Executions{},
	}
	for _, opt := range opts {
		opt(f)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.start(ctx); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startControls(); err != nil {
		return err
	}
	for _, s := range f.cfg.GetServices() {
		f.Executions[s.GetName()] = responder.NewExecutions()
		for i, w := range s.GetWorkers() {
			if err := f.addWorker(s, w, i); err != nil {
				return err
			}
		}
	}
	f.operator = f.NewOperator()
	if err := f.configure(ctx); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

func (f *Fleet) startControls() error {
	n := int(f.cfg.GetControlHosts())
	if n == 0 {
		n = defaultControlHosts
	}
	var peers []*schema.PeerSettings
	for i := range n {
		addr, err := f.ports.allocate()
		if err != nil {
			return err
		}
		peers = append(peers, &schema.PeerSettings{Name: fmt.Sprintf("control-%d", i+1), Address: addr.String()})
		f.controlAddresses = append(f.controlAddresses, addr)
	}
	for i, p := range peers {
		cfg := &schema.ControlSettings{
			Name: p.GetName(), Address: p.GetAddress(), Peers: peers, DataFolder: filepath.Join(f.folder, p.GetName()),
			FailureDomain: fmt.Sprintf("domain-%d", i+1),
		}
		f.Controls = append(f.Controls, &FleetControl{Settings: cfg})
		if err := f.StartControl(i); err != nil {
			return err
		}
	}
	return nil
}

// processBase returns the Base of the process with the given name.
func (f *Fleet) processBase(name string) Base {
	base := f.Base
	if f.dial != nil {
		base.Dial = f.dial(name)
	}
	return base
}

// StartControl starts or restarts the control host with the given index.
func (f *Fleet) StartControl(i int) error {
	cfg := f.Controls[i].Settings
	c, err := StartControl(f.processBase(cfg.GetName()), cfg, f.OperatorToken)
	if err != nil {
		return err
	}
	f.Controls[i].Control = c
	return nil
}

func (f *Fleet) addWorker(s *schema.FleetService, w *schema.FleetWorker, i int) error {
	callerAddr, err := f.ports.allocate()
	if err != nil {
		return err
	}
	peerAddr, err := f.ports.allocate()
	if err != nil {
		return err
	}
	worker := &FleetWorker{
		Service: s.GetName(),
		Settings: &schema.NodeSettings{
			Name: fmt.Sprintf("%s-%d", s.GetName(), i+1), FailureDomain: w.GetFailureDomain(), Region: w.GetRegion(),
			CallerAddress: callerAddr.String(), PeerAddress: peerAddr.String(), ControlAddresses: addrStrings(f.controlAddresses),
		},
		responderConfig: responder.Config{
			Service: s.GetName(), Slots: int(w.GetSlots()), ServiceTime: w.GetServiceTime().AsDuration(), Calls: s.GetCalls(), NodeAddr: callerAddr,
			Executions: f.Executions[s.GetName()],
		},
	}
	if worker.Admin, err = StartAdmin(f.Base, netip.AddrPortFrom(callerAddr.Addr(), 0)); err != nil {
		return err
	}
	f.Workers = append(f.Workers, worker)
	if err := f.StartNode(worker); err != nil {
		return err
	}
	return f.StartResponder(worker)
}

func addrStrings(addresses []netip.AddrPort) []string {
	texts := make([]string, len(addresses))
	for i, a := range addresses {
		texts[i] = a.String()
	}
	return texts
}

// StartNode starts or restarts the node of a worker.
func (f *Fleet) StartNode(w *FleetWorker) error {
	n, err := StartNode(f.processBase(w.Settings.GetName()), w.Settings, w.Admin.Addr(), f.baseline)
	if err != nil {
		return err
	}
	w.Node = n
	w.Admin.SetNode(n)
	return nil
}

// StartResponder starts or restarts the upstream of a worker.
func (f *Fleet) StartResponder(w *FleetWorker) error {
	r, err := responder.Start(w.responderConfig, f.Timer)
	w.Responder = r
	return err
}

// Operator returns the fleet's shared client of the administration API.
func (f *Fleet) Operator() *Operator {
	return f.operator
}

// NewOperator returns a new client of the administration API.
func (f *Fleet) NewOperator() *Operator {
	return NewOperator(f.Base, f.controlAddresses, f.OperatorToken)
}

// configure creates the branches and client accounts in the settings, and a key for each account.
func (f *Fleet) configure(ctx context.Context) error {
	for _, b := range f.cfg.GetBranches() {
		set := &schema.SetBranch{Path: b.GetPath(), Policy: b.GetPolicy()}
		if err := f.change(ctx, &schema.Command{Change: &schema.Command_SetBranch{SetBranch: set}}); err != nil {
			return err
		}
	}
	for _, a := range f.cfg.GetAccounts() {
		create := &schema.CreateAccount{Id: a.GetId(), Group: a.GetGroup(), Policy: a.GetPolicy()}
		if err := f.change(ctx, &schema.Command{Change: &schema.Command_CreateAccount{CreateAccount: create}}); err != nil {
			return err
		}
		key, id := authenticator.NewKey()
		digest := authenticator.KeyDigest(key)
		issue := &schema.IssueKey{Account: a.GetId(), KeyId: id, Digest: digest[:]}
		if err := f.change(ctx, &schema.Command{Change: &schema.Command_IssueKey{IssueKey: issue}}); err != nil {
			return err
		}
		f.Keys = append(f.Keys, AccountKey{Account: a.GetId(), Key: key, KeyID: id})
	}
	return nil
}

func (f *Fleet) change(ctx context.Context, cmd *schema.Command) error {
	result, err := f.operator.Change(ctx, cmd)
	if err != nil {
		return err
	}
	if result.GetStatus() != schema.ResultStatus_RESULT_STATUS_OK {
		return errors.New(result.GetMessage())
	}
	f.configuredRevision = max(f.configuredRevision, result.GetRevision())
	return nil
}

// waitReady waits until every node is ready, has the latest settings and knows its own service and upstream.
func (f *Fleet) waitReady(ctx context.Context) error {
	for {
		if f.isReady(ctx) {
			return nil
		}
		if err := f.Timer.Sleep(ctx, readyPollInterval); err != nil {
			return errors.New("fleet not ready before the timeout")
		}
	}
}

func (f *Fleet) isReady(ctx context.Context) bool {
	leader := f.Leader(ctx)
	if leader == nil {
		return false
	}
	status, err := leader.Status(ctx)
	if err != nil || int(status.GetNodes()) < len(f.Workers) {
		return false
	}
	return !slices.ContainsFunc(f.Workers, func(w *FleetWorker) bool {
		up := w.announcer.Upstream(w.Service)
		return !w.IsReady() || w.Revision() == 0 || w.Revision() < f.configuredRevision || up == nil || !w.KnowsService(ctx, w.Service)
	})
}

// HasUpstream reports whether an upstream is announced to the node.
func (n *Node) HasUpstream() bool {
	return len(n.announcer.Workers()) > 0
}

// KnowsService reports whether a service is known to the node. If the node knows no workers of the service, it first asks
// a control host.
func (n *Node) KnowsService(ctx context.Context, service string) bool {
	return n.router.HasWorkers(service) || n.syncer.Locate(ctx, service)
}

// Leader returns the control host that is the leader, or nil if there is none.
func (f *Fleet) Leader(ctx context.Context) *FleetControl {
	for _, c := range f.Controls {
		if c.Control == nil {
			continue
		}
		if s, err := c.Status(ctx); err == nil && s.GetLeader() {
			return c
		}
	}
	return nil
}

// Stop stops the fleet without interrupting requests: the upstreams complete theirs before the nodes are stopped.
func (f *Fleet) Stop() error {
	var firstErr error
	record := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	for _, w := range f.Workers {
		record(w.Responder.Stop())
	}
	for _, w := range f.Workers {
		record(w.Kill())
		record(w.Admin.Close())
	}
	for _, c := range f.Controls {
		record(c.Stop())
	}
	return firstErr
}

// Kill immediately stops all processes of the fleet that are running.
func (f *Fleet) Kill() {
	for _, w := range f.Workers {
		if w.Responder != nil {
			_ = w.Responder.Kill()
		}
		if w.Node != nil {
			_ = w.Kill()
		}
		_ = w.Admin.Close()
	}
	for _, c := range f.Controls {
		if c.Control != nil {
			_ = c.Kill()
		}
	}
}
