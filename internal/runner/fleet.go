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
	// defaultControlHosts is the number of control hosts of a fleet unless settings say otherwise.
	defaultControlHosts = 3
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 20 * time.Second
	// readyPoll is how often a starting fleet is looked at.
	readyPoll = 20 * time.Millisecond
)

// Fleet is a whole small fleet on loopback in one process: control hosts, nodes and stand-in upstreams.
type Fleet struct {
	Base
	cfg      *schema.FleetSettings
	folder   string
	baseline Baseline
	dial     func(process string) dialer.DialFunc
	// OperatorToken lets operators in.
	OperatorToken string
	// Keys holds one key for each client account of the settings.
	Keys      []AccountKey
	ports     *ports
	Controls  []*FleetControl
	Workers   []*FleetWorker
	operator  *Operator
	addresses []netip.AddrPort
	// configured is the revision of the last setting made at the start.
	configured uint64
	// Runs counts the requests that the stand-ins of each service ran.
	Runs map[string]*responder.Runs
}

// AccountKey is a client account with its key.
type AccountKey struct {
	Account string
	Key     string
	KeyID   string
}

// FleetControl is one control host of a fleet.
type FleetControl struct {
	*Control
	Settings *schema.ControlSettings
}

// FleetWorker is one stand-in upstream with its node.
type FleetWorker struct {
	*Node
	Admin     *Admin
	Responder *responder.Responder
	Service   string
	Settings  *schema.NodeSettings
	spec      responder.Config
}

// FleetOption changes a Fleet before it starts.
type FleetOption func(*Fleet)

// WithBaseline switches decisions off in all nodes.
func WithBaseline(b Baseline) FleetOption {
	return func(f *Fleet) { f.baseline = b }
}

// WithDialer gives each process a function of its own that opens connections.
func WithDialer(dial func(process string) dialer.DialFunc) FleetOption {
	return func(f *Fleet) { f.dial = dial }
}

// WithAsserter replaces the asserter of all processes.
func WithAsserter(a *asserter.Asserter) FleetOption {
	return func(f *Fleet) { f.Assert = a }
}

// StartFleet starts a fleet whose data lies below a folder, and waits until every node serves.
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
		cfg: cfg, folder: folder, OperatorToken: operatorToken, ports: &ports{next: cfg.GetFirstPort()}, Runs: map[string]*responder.Runs{},
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
		f.Runs[s.GetName()] = responder.NewRuns()
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
	return f.awaitReady(ctx)
}

func (f *Fleet) startControls() error {
	n := int(f.cfg.GetControlHosts())
	if n == 0 {
		n = defaultControlHosts
	}
	var peers []*schema.PeerSettings
	for i := range n {
		addr, err := f.ports.take()
		if err != nil {
			return err
		}
		peers = append(peers, &schema.PeerSettings{Name: fmt.Sprintf("control-%d", i+1), Address: addr.String()})
		f.addresses = append(f.addresses, addr)
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

// baseOf returns what the process with a name shares with the others.
func (f *Fleet) baseOf(name string) Base {
	b := f.Base
	if f.dial != nil {
		b.Dial = f.dial(name)
	}
	return b
}

// StartControl starts a control host, again after it ended.
func (f *Fleet) StartControl(i int) error {
	cfg := f.Controls[i].Settings
	c, err := StartControl(f.baseOf(cfg.GetName()), cfg, f.OperatorToken)
	if err != nil {
		return err
	}
	f.Controls[i].Control = c
	return nil
}

func (f *Fleet) addWorker(s *schema.FleetService, w *schema.FleetWorker, i int) error {
	callers, err := f.ports.take()
	if err != nil {
		return err
	}
	peers, err := f.ports.take()
	if err != nil {
		return err
	}
	worker := &FleetWorker{
		Service: s.GetName(),
		Settings: &schema.NodeSettings{
			Name: fmt.Sprintf("%s-%d", s.GetName(), i+1), FailureDomain: w.GetFailureDomain(), Region: w.GetRegion(),
			CallerAddress: callers.String(), PeerAddress: peers.String(), ControlAddresses: texts(f.addresses),
		},
		spec: responder.Config{
			Service: s.GetName(), Slots: int(w.GetSlots()), Time: w.GetServiceTime().AsDuration(), Calls: s.GetCalls(), Node: callers,
			Runs: f.Runs[s.GetName()],
		},
	}
	if worker.Admin, err = StartAdmin(f.Base, netip.AddrPortFrom(callers.Addr(), 0)); err != nil {
		return err
	}
	f.Workers = append(f.Workers, worker)
	if err := f.StartNode(worker); err != nil {
		return err
	}
	return f.StartResponder(worker)
}

func texts(addresses []netip.AddrPort) []string {
	out := make([]string, len(addresses))
	for i, a := range addresses {
		out[i] = a.String()
	}
	return out
}

// StartNode starts the node of a worker, again after it ended.
func (f *Fleet) StartNode(w *FleetWorker) error {
	n, err := StartNode(f.baseOf(w.Settings.GetName()), w.Settings, w.Admin.Addr(), f.baseline)
	if err != nil {
		return err
	}
	w.Node = n
	w.Admin.SetNode(n)
	return nil
}

// StartResponder starts the upstream of a worker, again after it ended.
func (f *Fleet) StartResponder(w *FleetWorker) error {
	r, err := responder.Start(w.spec, f.Timer)
	w.Responder = r
	return err
}

// Operator returns an operator's client of the fleet.
func (f *Fleet) Operator() *Operator {
	return f.operator
}

// NewOperator returns a further client of the fleet.
func (f *Fleet) NewOperator() *Operator {
	return NewOperator(f.Base, f.addresses, f.OperatorToken)
}

// configure makes the branches, client accounts and keys of the settings.
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
	f.configured = max(f.configured, result.GetRevision())
	return nil
}

// awaitReady waits until every node holds the newest settings and sees every upstream.
func (f *Fleet) awaitReady(ctx context.Context) error {
	for {
		if f.isReady(ctx) {
			return nil
		}
		if err := f.Timer.Sleep(ctx, readyPoll); err != nil {
			return errors.New("the fleet did not become ready in time")
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
		return !w.IsReady() || w.Revision() == 0 || w.Revision() < f.configured || up == nil || !w.KnowsService(ctx, w.Service)
	})
}

// HasUpstream reports whether an upstream has announced itself to the node.
func (n *Node) HasUpstream() bool {
	return len(n.announcer.Workers()) > 0
}

// KnowsService reports whether the node knows workers of a service.
func (n *Node) KnowsService(ctx context.Context, service string) bool {
	return n.router.HasWorkers(service) || n.syncer.Locate(ctx, service)
}

// Leader returns the control host that leads, or nil.
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

// Stop ends the fleet without cutting off a request.
func (f *Fleet) Stop() error {
	var first error
	note := func(err error) {
		if first == nil {
			first = err
		}
	}
	for _, w := range f.Workers {
		note(w.Responder.Stop())
	}
	for _, w := range f.Workers {
		note(w.Kill())
		note(w.Admin.Close())
	}
	for _, c := range f.Controls {
		note(c.Stop())
	}
	return first
}

// Kill ends what runs of the fleet at once.
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
