// Package runner assembles the components of a process from its settings, and starts and stops them in order.
package runner

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/aggregator"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/budgeter"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/evacuator"
	"github.com/lavenderhub/lavenderhub/internal/forwarder"
	"github.com/lavenderhub/lavenderhub/internal/pipeliner"
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
	// defaultStopLimit is the longest time for a planned stop unless the settings set one.
	defaultStopLimit = 30 * time.Second
	// leaveNoticeTime is how long a stopping node waits for other nodes to learn that it is leaving.
	leaveNoticeTime = 1500 * time.Millisecond
	// stopMargin is the time between the end of a planned stop and the end of the platform's grace period.
	stopMargin = 500 * time.Millisecond
	// sendMargin is the time for the last responses to be sent before the stop limit.
	sendMargin = 200 * time.Millisecond
	// idlePollInterval is how often a stopping node checks for requests in progress.
	idlePollInterval = 20 * time.Millisecond
)

// Base holds the components and settings shared by all roles of a process.
type Base struct {
	Timer *timer.Service
	// Clock includes the time during which the host was suspended. If it is nil, Timer is used.
	Clock    *timer.Service
	Log      *zap.Logger
	Assert   *asserter.Asserter
	Registry metrics.Registry
	Security *dialer.Security
	// Dial, if not nil, opens connections to other processes.
	Dial dialer.DialFunc
	// Budget bounds what the process holds for callers, upstreams and other processes. If it is nil, a node has one of its own.
	Budget *budgeter.Budget
	// FleetToken authenticates the process to other processes of the fleet.
	FleetToken string
	// Terms are the operating guarantees of the fleet, such as the time limit for withdrawn keys. If it is nil, the defaults
	// apply.
	Terms *schema.Terms
}

// Baseline disables or simplifies decisions of a node, as a reference for measurements.
type Baseline struct {
	Gate      []admitter.Option
	Router    []router.Option
	Overrides forwarder.Overrides
	// SplitOver is the number of nodes among which every rate is divided equally. If it is zero, rates are shared through
	// leases.
	SplitOver int
}

// Node is a running node.
type Node struct {
	Base
	cfg          *schema.NodeSettings
	tomb         tomb.Tomb
	announcer    *announcer.Announcer
	prober       *prober.Prober
	router       *router.Router
	syncer       *syncer.Syncer
	aggregator   *aggregator.Aggregator
	evacuator    *evacuator.Evacuator
	forwarder    *forwarder.Forwarder
	recorder     *reporter.Recorder
	peerPool     *dialer.Pool
	controlPool  *dialer.Pool
	callerServer *dialer.Server
	peerServer   *dialer.Server
	face         face
	faceServers  []*dialer.Server
}

// StartNode starts a node. Admin is the address at which the node's reports are available, which it announces to control
// hosts.
func StartNode(b Base, cfg *schema.NodeSettings, admin netip.AddrPort, baseline Baseline) (*Node, error) {
	if b.Budget == nil {
		b.Budget = newCallerBudget(b.Timer, cfg.GetCallerMemoryBytes(), b.Registry)
	}
	n := &Node{Base: b, cfg: cfg}
	n.peerPool = dialer.NewPool(b.Security, b.Timer, dialer.WithDial(b.Dial))
	n.controlPool = dialer.NewPool(b.Security, b.Timer, dialer.WithDial(b.Dial))
	n.recorder = reporter.NewRecorder(b.Timer)
	n.router = router.New(cfg.GetName(), cfg.GetFailureDomain(), cfg.GetRegion(),
		append([]router.Option{router.WithColdShare(n.coldShare)}, baseline.Router...)...)
	n.face = newFace(cfg)
	proberOpts, err := n.newProber()
	if err != nil {
		return nil, err
	}
	n.announcer = announcer.New(b.Timer, b.Assert,
		append(n.face.announcerOptions(func() { n.syncer.Wake() }, n.gateOptions(baseline)),
			append(proberOpts, announcer.WithColdLimits(n.coldLimit))...)...)
	callerListener, err := listen(cfg.GetCallerAddress())
	if err != nil {
		return nil, err
	}
	peerListener, err := listen(cfg.GetPeerAddress())
	if err != nil {
		_ = callerListener.Close()
		return nil, err
	}
	if err := n.newSyncer(peerListener.Addr(), admin, baseline.SplitOver); err != nil {
		return nil, err
	}
	n.newForwarder(baseline.Overrides)
	n.syncer.Run()
	n.startProber()
	if err := n.face.listen(n); err != nil {
		return nil, err
	}
	n.callerServer = b.Security.Serve(&n.tomb, callerListener, dialer.Callers, chargeStreams(b.Budget, n.face.callerHandler(n)),
		pipeliner.WithLimits(b.Budget, maxConnections()))
	n.peerServer = b.Security.Serve(&n.tomb, peerListener, dialer.Peers, n.peerHandler())
	n.Registry.GetOrRegister("callers.pipelinedCut", metrics.NewFunctionalGauge(n.callerServer.CutRequests))
	n.tomb.Go(func() error { return logPressure(&n.tomb, b.Timer, b.Log, b.Budget, n.callerServer.ClosedConnections) })
	n.Log.Info("nodeStarted", zap.String("node", cfg.GetName()),
		zap.Stringer("callers", n.callerServer.Addr()), zap.Stringer("peers", n.peerServer.Addr()))
	return n, nil
}

// gateOptions returns the options of the upstreams' gates.
func (n *Node) gateOptions(baseline Baseline) []admitter.Option {
	mode := admitter.AdaptiveAuto
	switch n.cfg.GetAdaptiveControl() {
	case schema.AdaptiveControl_ADAPTIVE_CONTROL_ON:
		mode = admitter.AdaptiveOn
	case schema.AdaptiveControl_ADAPTIVE_CONTROL_OFF:
		mode = admitter.AdaptiveOff
	default:
		if n.face.expectsFaultyUpstreams(n.cfg.GetPlatformRules()) {
			mode = admitter.AdaptiveOn
		}
	}
	shared := func() bool { return n.syncer.HasSharedHosts() }
	return append([]admitter.Option{admitter.WithAdaptiveMode(mode), admitter.WithSharedHosts(shared)}, baseline.Gate...)
}

// listen opens a listener on an address from the settings.
func listen(text string) (net.Listener, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", text)
	}
	return dialer.ListenTCP(addr)
}

// newProber creates the prober of the local upstream if the settings contain its address and the face has health checks. It
// returns the announcer's options that go with it.
func (n *Node) newProber() ([]announcer.Option, error) {
	if n.cfg.GetUpstreamAddress() == "" || n.face.readHealth == nil {
		return nil, nil
	}
	addr, err := netip.ParseAddrPort(n.cfg.GetUpstreamAddress())
	if err != nil {
		return nil, errors.Wrapf(err, "upstream address %q", n.cfg.GetUpstreamAddress())
	}
	service := n.cfg.GetService()
	n.prober = prober.New(prober.Parts{
		Timer: n.Timer, Log: n.Log, Service: service, Address: addr, ReadHealth: n.face.readHealth,
		HealthPath: func() (string, bool) {
			// Health checks are kept from an evacuated upstream too.
			if view := n.syncer.View(); view != nil && !view.Evacuated()[n.cfg.GetFailureDomain()] {
				return view.HealthPath(service), true
			}
			return "", false
		},
	})
	if n.cfg.GetFirstStart() {
		return nil, nil
	}
	return []announcer.Option{announcer.WithConfirmation(n.prober.Wake)}, nil
}

// startProber starts the prober if there is one.
func (n *Node) startProber() {
	if n.prober == nil {
		return
	}
	n.prober.Announcer = n.announcer
	n.tomb.Go(func() error { return n.prober.Run(n.tomb.Context(context.Background())) })
}

// serveCaller serves announcements of the local upstream and forwards all other requests.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == announcer.Path {
		n.announcer.ServeHTTP(w, r)
		return
	}
	n.forwarder.ServeCaller(w, r)
}

func (n *Node) newSyncer(peerListenAddr net.Addr, admin netip.AddrPort, splitOver int) error {
	peerAddr, err := netip.ParseAddrPort(peerListenAddr.String())
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
	n.evacuator = evacuator.New(evacuator.Parts{
		Timer: n.Timer, Log: n.Log, Registry: n.Registry, Domain: n.cfg.GetFailureDomain(),
		Limit: n.Terms.GetEvacuateLimit().AsDuration(), Route: n.router.SetEvacuated, Refuse: n.announcer.SetEvacuated,
	})
	n.syncer = syncer.New(syncer.Parts{
		Node: syncer.Node{
			Name: n.cfg.GetName(), FailureDomain: n.cfg.GetFailureDomain(), Region: n.cfg.GetRegion(),
			PeerAddress: peerAddr, AdminAddress: admin,
		},
		MaxCertificateAge: maxCertificateAge(n.Terms),
		ControlAddresses:  addresses, Token: n.FleetToken, Timer: clock, Log: n.Log, Assert: n.Assert, Registry: n.Registry,
		Pool: n.controlPool, Router: n.router, Announcer: n.announcer, SplitOver: splitOver,
		OnView: func(v *resolver.View, last time.Time) { n.evacuator.Apply(v.Evacuated(), last) },
	})
	n.aggregator = aggregator.New(aggregator.Parts{
		Self: peerAddr, Timer: n.Timer, Registry: n.Registry, Pool: n.peerPool, Token: n.FleetToken,
		Members: n.syncer.Aggregators, NodeCount: n.syncer.Nodes, Bucket: n.syncer.Bucket, ReturnTokens: n.syncer.ReturnTokens,
	})
	return nil
}

// peerHandler serves the calls of other nodes: requests for tokens, and requests for the local upstream, which carry a token.
func (n *Node) peerHandler() http.Handler {
	tokens := n.aggregator.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !forwarder.IsHop(r) && strings.HasPrefix(r.URL.Path, aggregator.PathPrefix) {
			tokens.ServeHTTP(w, r)
			return
		}
		n.forwarder.ServePeer(w, r)
	})
}

func (n *Node) newForwarder(overrides forwarder.Overrides) {
	opts := []forwarder.Option{
		forwarder.WithOverrides(overrides), forwarder.WithMaxCertificateAge(maxCertificateAge(n.Terms)),
		forwarder.WithLocalService(n.cfg.GetService()), forwarder.WithBudget(n.Budget),
	}
	if t := n.Terms; t.GetRetryWindow() != nil {
		opts = append(opts, forwarder.WithRetryLimit(retrier.RetryLimit{
			Share: t.GetRetryShare(), Slack: float64(t.GetRetrySlack()), Window: t.GetRetryWindow().AsDuration(),
		}))
	}
	opts = append(opts, n.face.forwarderOptions()...)
	if limit := n.cfg.GetBodyLimitBytes(); limit > 0 {
		opts = append(opts, forwarder.WithBodyLimit(int64(min(limit, math.MaxInt64))))
	}
	n.forwarder = forwarder.New(forwarder.Parts{
		Timer: n.Timer, Log: n.Log, Assert: n.Assert, Registry: n.Registry, Router: n.router, Announcer: n.announcer,
		Pool: n.peerPool, Recorder: n.recorder,
		Control: forwarder.Control{
			View: n.syncer.View, IsFresh: n.syncer.IsFresh, CertificateAge: n.syncer.CertificateAge,
			Locate: n.syncer.Locate, NodeCount: n.syncer.Nodes, Claim: n.syncer.Claim, Settle: n.syncer.Settle,
			Tokens: forwarder.Tokens{
				Draw: n.aggregator.Draw, FleetDemand: n.aggregator.FleetDemand, RestrictedFor: n.aggregator.RestrictedFor,
				State: n.aggregator.State,
			},
		},
	}, opts...)
}

// maxCertificateAge returns the greatest age of a freshness certificate at which the node still accepts keys.
func maxCertificateAge(t *schema.Terms) time.Duration {
	if t.GetRevokeLimit() == nil {
		return resolver.DefaultMaxCertificateAge
	}
	return time.Duration(float64(t.GetRevokeLimit().AsDuration()) * resolver.CertificateAgeShare)
}

// CallerAddr returns the address for callers and the local upstream.
func (n *Node) CallerAddr() netip.AddrPort {
	return n.callerServer.Addr()
}

// IsReady reports whether the node's freshness certificate is recent enough to accept keys and the node is not stopping.
func (n *Node) IsReady() bool {
	return n.syncer.IsFresh() && !n.forwarder.IsStopping()
}

// Revision returns the revision of the settings tree that is in force at the node, or zero if there is none.
func (n *Node) Revision() uint64 {
	if v := n.syncer.View(); v != nil {
		return v.Revision
	}
	return 0
}

// ControlTraffic returns the number of bytes that the node has sent to and received from control hosts.
func (n *Node) ControlTraffic() (sent, received int64) {
	return n.controlPool.Traffic()
}

// Report returns the node's burn counts.
func (n *Node) Report() *schema.BurnReport {
	return n.recorder.Report()
}

// Stop stops the node without interrupting requests. It works in four steps:
//
//   - the node reports that it is not ready and closes callers' connections after their current request, so that callers
//     move to other nodes; the local upstream still serves requests
//   - the upstream takes no new requests, and requests in progress complete; callers' new requests are refused if their
//     deadline is after the stop limit
//   - connections are closed
//   - unused tokens are returned to the control hosts
//
// Requests that are still in progress at the stop limit are interrupted.
func (n *Node) Stop() error {
	limit, notice := n.stopTimes()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	end := n.Timer.Now().Add(limit - sendMargin)
	n.Log.Info("nodeStopping", zap.String("node", n.cfg.GetName()))
	n.forwarder.Stop()
	n.callerServer.StopPipelining()
	n.aggregator.Stop()
	_ = n.Timer.Sleep(ctx, notice)
	n.forwarder.RefuseBeyond(end)
	n.announcer.Stop()
	n.logStop("upstreamDrains")
	n.waitIdle(ctx)
	n.logStop("serversClose")
	err := n.callerServer.Shutdown(ctx)
	if peerErr := n.peerServer.Shutdown(ctx); err == nil {
		err = peerErr
	}
	if err != nil {
		// Callers and other nodes must not wait for requests that are interrupted.
		_ = n.callerServer.Close()
		_ = n.peerServer.Close()
	}
	n.logStop("serversClosed")
	n.Assert.Check(asserter.StopCutsNothing, err != nil || n.forwarder.Active() == 0, "")
	_ = n.syncer.Kill()
	n.syncer.Leave(ctx)
	return n.release(err)
}

// logStop logs that a step of a stop begins, with the requests in progress.
func (n *Node) logStop(step string) {
	n.Log.Info("nodeStopStep", zap.String("step", step), zap.Int64("active", n.forwarder.Active()),
		zap.Int("upstreamActive", n.announcer.Inflight()), zap.Int64("pipelinedCut", n.callerServer.CutRequests()))
}

// stopTimes returns the longest time for a planned stop, and the part of it during which callers and other nodes learn
// that the node is leaving.
func (n *Node) stopTimes() (limit, notice time.Duration) {
	if d := n.cfg.GetStopLimit(); d != nil {
		return d.AsDuration(), leaveNoticeTime
	}
	if grace := n.Terms.GetGrace(); grace != nil {
		return grace.AsDuration() - stopMargin, grace.AsDuration() / 2
	}
	return defaultStopLimit, leaveNoticeTime
}

// waitIdle waits until the local upstream has no requests in progress, since these may still make nested calls through
// the node.
func (n *Node) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		if n.announcer.Inflight() == 0 {
			return
		}
		_ = n.Timer.Sleep(ctx, idlePollInterval)
	}
}

// Kill stops the node immediately, as a crash would.
func (n *Node) Kill() error {
	n.tomb.Kill(nil)
	_ = n.callerServer.Close()
	_ = n.peerServer.Close()
	_ = n.syncer.Kill()
	return n.release(nil)
}

// release closes the remaining servers and connection pools, waits for the goroutines and returns the first error.
func (n *Node) release(err error) error {
	for _, srv := range n.faceServers {
		// These servers handle only heartbeats and readiness checks, so Close need not wait for requests in progress.
		_ = srv.Close()
	}
	n.tomb.Kill(nil)
	if tombErr := n.tomb.Wait(); err == nil {
		err = tombErr
	}
	n.evacuator.Stop()
	n.peerPool.Close()
	n.controlPool.Close()
	n.Log.Info("nodeStopped", zap.String("node", n.cfg.GetName()))
	return err
}
