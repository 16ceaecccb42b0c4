// Package runner puts the parts of a process together from its settings, and starts and stops them in order.
package runner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/forwarder"
	"github.com/lavenderhub/lavenderhub/internal/prober"
	"github.com/lavenderhub/lavenderhub/internal/reporter"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
	"github.com/lavenderhub/lavenderhub/internal/router"
	"github.com/lavenderhub/lavenderhub/internal/syncer"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// defaultStopLimit bounds a planned stop unless settings say otherwise.
	defaultStopLimit = 30 * time.Second
	// spreadTime is how long other nodes may take to learn that this one is leaving.
	spreadTime = 1500 * time.Millisecond
	// stopMargin is the time kept between the end of a planned stop and the end of the grace that the platform gives.
	stopMargin = 500 * time.Millisecond
	// idlePoll is how often a stop looks whether requests have ended.
	idlePoll = 20 * time.Millisecond
)

// Base is what all roles of a process share.
type Base struct {
	Timer *timer.Service
	// Clock also counts the time during which the host was suspended; nil means Timer.
	Clock    *timer.Service
	Log      *zap.Logger
	Assert   *asserter.Asserter
	Registry metrics.Registry
	Security *dialer.Security
	// Dial opens connections to other processes, when it is set.
	Dial dialer.DialFunc
	// FleetToken is shown to other processes of the fleet.
	FleetToken string
	// Terms are the promises that the fleet is run under; nil means the product's defaults.
	Terms *schema.Terms
}

// Baseline switches decisions off, for measurements.
type Baseline struct {
	Gate     []admitter.Option
	Router   []router.Option
	Controls forwarder.Overrides
	// SplitOver gives each of so many nodes an equal part of every rate.
	SplitOver int
}

// Node is a running node.
type Node struct {
	Base
	cfg       *schema.NodeSettings
	tomb      tomb.Tomb
	announcer *announcer.Announcer
	router    *router.Router
	syncer    *syncer.Syncer
	forwarder *forwarder.Forwarder
	recorder  *reporter.Recorder
	peers     *dialer.Pool
	control   *dialer.Pool
	callers   *dialer.Server
	hops      *dialer.Server
	face      face
	extra     []*dialer.Server
}

// StartNode starts a node. Admin is the address that it names for reports.
func StartNode(b Base, cfg *schema.NodeSettings, admin netip.AddrPort, baseline Baseline) (*Node, error) {
	n := &Node{Base: b, cfg: cfg}
	n.peers = dialer.NewPool(b.Security, b.Timer, dialer.WithDial(b.Dial))
	n.control = dialer.NewPool(b.Security, b.Timer, dialer.WithDial(b.Dial))
	n.recorder = reporter.NewRecorder(b.Timer)
	n.router = router.New(cfg.GetName(), cfg.GetFailureDomain(), cfg.GetRegion(), baseline.Router...)
	n.face = faceOf(cfg)
	n.announcer = announcer.New(b.Timer, b.Assert, n.face.announcerOptions(func() { n.syncer.Wake() }, baseline.Gate)...)
	callers, err := open(cfg.GetCallerAddress())
	if err != nil {
		return nil, err
	}
	hops, err := open(cfg.GetPeerAddress())
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	if err := n.newSyncer(hops.Addr(), admin, baseline.SplitOver); err != nil {
		return nil, err
	}
	n.newForwarder(baseline.Controls)
	n.syncer.Run()
	if err := n.face.open(n); err != nil {
		return nil, err
	}
	if err := n.probe(); err != nil {
		return nil, err
	}
	n.callers = b.Security.Serve(&n.tomb, callers, dialer.Callers, n.face.callers(n))
	n.hops = b.Security.Serve(&n.tomb, hops, dialer.Peers, http.HandlerFunc(n.forwarder.ServePeer))
	n.Log.Info("nodeStarted", zap.String("node", cfg.GetName()),
		zap.Stringer("callers", n.callers.Addr()), zap.Stringer("peers", n.hops.Addr()))
	return n, nil
}

// open listens on an address of the settings.
func open(text string) (net.Listener, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", text)
	}
	return dialer.ListenTCP(addr)
}

// probe looks for the own upstream, when the settings name its address.
func (n *Node) probe() error {
	if n.cfg.GetUpstreamAddress() == "" || n.face.health == nil {
		return nil
	}
	addr, err := netip.ParseAddrPort(n.cfg.GetUpstreamAddress())
	if err != nil {
		return errors.Wrapf(err, "upstream address %q", n.cfg.GetUpstreamAddress())
	}
	service := n.cfg.GetService()
	p := prober.New(prober.Parts{
		Timer: n.Timer, Log: n.Log, Announcer: n.announcer, Service: service, Address: addr, ReadHealth: n.face.health,
		HealthPath: func() string {
			if view := n.syncer.View(); view != nil {
				return view.HealthPath(service)
			}
			return ""
		},
	})
	n.tomb.Go(func() error { return p.Run(n.tomb.Context(context.Background())) })
	return nil
}

func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == announcer.Path {
		n.announcer.ServeHTTP(w, r)
		return
	}
	n.forwarder.ServeCaller(w, r)
}

func (n *Node) newSyncer(own net.Addr, admin netip.AddrPort, splitOver int) error {
	peerAddr, err := netip.ParseAddrPort(own.String())
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	addresses, err := parseAddresses(n.cfg.GetControlAddresses())
	if err != nil {
		return err
	}
	clock := n.Timer
	if n.Clock != nil {
		clock = n.Clock
	}
	n.syncer = syncer.New(syncer.Parts{
		Node: syncer.Node{
			Name: n.cfg.GetName(), FailureDomain: n.cfg.GetFailureDomain(), Region: n.cfg.GetRegion(),
			PeerAddress: peerAddr, AdminAddress: admin,
		},
		MaxStaleness:     maxStaleness(n.Terms),
		ControlAddresses: addresses, Token: n.FleetToken, Timer: clock, Log: n.Log, Assert: n.Assert, Registry: n.Registry,
		Pool: n.control, Router: n.router, Announcer: n.announcer, SplitOver: splitOver,
	})
	return nil
}

func (n *Node) newForwarder(controls forwarder.Overrides) {
	opts := []forwarder.Option{
		forwarder.WithOverrides(controls), forwarder.WithMaxStaleness(maxStaleness(n.Terms)), forwarder.WithLocalService(n.cfg.GetService()),
	}
	if t := n.Terms; t.GetRetryWindow() != nil {
		opts = append(opts, forwarder.WithRetryLimit(retrier.RetryLimit{
			Share: t.GetRetryShare(), Slack: float64(t.GetRetrySlack()), Window: t.GetRetryWindow().AsDuration(),
		}))
	}
	opts = append(opts, n.face.forwarderOptions()...)
	if limit := n.cfg.GetBodyLimitBytes(); limit > 0 {
		opts = append(opts, forwarder.WithBodyLimit(int64(limit)))
	}
	n.forwarder = forwarder.New(forwarder.Parts{
		Timer: n.Timer, Log: n.Log, Assert: n.Assert, Registry: n.Registry, Router: n.router, Announcer: n.announcer,
		Pool: n.peers, Recorder: n.recorder,
		Control: forwarder.Control{
			View: n.syncer.View, IsFresh: n.syncer.IsFresh, Staleness: n.syncer.Staleness, Bucket: n.syncer.Bucket,
			Locate: n.syncer.Locate, NodeCount: n.syncer.Nodes, Claim: n.syncer.Claim, Settle: n.syncer.Settle,
		},
	}, opts...)
}

// maxStaleness returns the oldest certificate under which keys are honoured.
func maxStaleness(t *schema.Terms) time.Duration {
	if t.GetRevokeLimit() == nil {
		return resolver.MaxCertificateAge
	}
	return time.Duration(float64(t.GetRevokeLimit().AsDuration()) * resolver.CertificateAgeShare)
}

// CallerAddr returns the address for callers and the node's own upstream.
func (n *Node) CallerAddr() netip.AddrPort {
	return n.callers.Addr()
}

// IsReady reports whether the node holds a fresh certificate and is not stopping.
func (n *Node) IsReady() bool {
	return n.syncer.IsFresh() && !n.forwarder.IsStopping()
}

// Revision returns the version of the settings tree that is in force at the node.
func (n *Node) Revision() uint64 {
	if v := n.syncer.View(); v != nil {
		return v.Revision
	}
	return 0
}

// ControlTraffic returns the bytes that the node has exchanged with control hosts.
func (n *Node) ControlTraffic() (sent, received int64) {
	return n.control.Traffic()
}

// Report returns the node's burn counts.
func (n *Node) Report() *schema.BurnReport {
	return n.recorder.Report()
}

// Stop ends the node without cutting off a request: callers leave first, while the upstream serves on; then it takes no
// new work; then connections close, and the tokens go back. Only requests beyond the stop limit are cut.
func (n *Node) Stop() error {
	limit, spread := n.stopTimes()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	n.Log.Info("nodeStopping", zap.String("node", n.cfg.GetName()))
	n.forwarder.Stop()
	_ = n.Timer.Sleep(ctx, spread)
	n.announcer.Stop()
	n.awaitIdle(ctx)
	err := n.callers.Shutdown(ctx)
	if hopErr := n.hops.Shutdown(ctx); err == nil {
		err = hopErr
	}
	n.Assert.Check(asserter.StopCutsNothing, err != nil || n.forwarder.Active() == 0, "")
	_ = n.syncer.Kill()
	n.syncer.Leave(ctx)
	return n.end(err)
}

// stopTimes returns the longest time for a planned stop, and the part of it in which others learn of it.
func (n *Node) stopTimes() (limit, spread time.Duration) {
	if d := n.cfg.GetStopLimit(); d != nil {
		return d.AsDuration(), spreadTime
	}
	if grace := n.Terms.GetGrace(); grace != nil {
		return grace.AsDuration() - stopMargin, grace.AsDuration() / 2
	}
	return defaultStopLimit, spreadTime
}

// awaitIdle waits until the upstream has no request in progress: until then it may make nested calls.
func (n *Node) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		if n.announcer.Inflight() == 0 {
			return
		}
		_ = n.Timer.Sleep(ctx, idlePoll)
	}
}

// Kill ends the node at once, as a crash would.
func (n *Node) Kill() error {
	n.tomb.Kill(nil)
	_ = n.callers.Close()
	_ = n.hops.Close()
	_ = n.syncer.Kill()
	return n.end(nil)
}

func (n *Node) end(err error) error {
	for _, srv := range n.extra {
		// Nothing that these servers answer is worth waiting for.
		_ = srv.Close()
	}
	n.tomb.Kill(nil)
	if tombErr := n.tomb.Wait(); err == nil {
		err = tombErr
	}
	n.peers.Close()
	n.control.Close()
	n.Log.Info("nodeStopped", zap.String("node", n.cfg.GetName()))
	return err
}
