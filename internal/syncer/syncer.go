// Package syncer synchronizes a node with the control hosts: it exchanges state with the leader about once a second,
// and keeps the freshness certificate and the tokens of client accounts.
package syncer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/router"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// initialInterval is the time between two exchanges until the leader sets it.
	initialInterval = 250 * time.Millisecond
	// initialExchangeRate is the maximum number of exchanges per second until the leader sets it.
	initialExchangeRate = 10
	// exchangeBurst is the maximum number of exchanges that may follow each other immediately.
	exchangeBurst = 3
	// callTimeout bounds one exchange.
	callTimeout = 500 * time.Millisecond
	// retryPause is the mean pause after a failed exchange. The pause is jittered by up to half of it either way.
	retryPause = 100 * time.Millisecond
	// locateTimeout bounds the wait for the workers of a service that was not called before on this node.
	locateTimeout = 600 * time.Millisecond
	// nodeCountDecayPercent is the percentage of the previous node count that is the lower bound of the next one: the
	// count of a new leader is too low until it has heard from all nodes.
	nodeCountDecayPercent = 90
	// maxWatches bounds the services whose workers a node watches.
	maxWatches = 1024
)

// Node describes the node to the control hosts.
type Node struct {
	Name          string
	FailureDomain string
	Region        string
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
}

// Parts are the dependencies and settings of a Syncer.
type Parts struct {
	Node             Node
	ControlAddresses []netip.AddrPort
	Token            string
	Timer            *timer.Service
	Log              *zap.Logger
	Assert           *asserter.Asserter
	Registry         metrics.Registry
	Pool             *dialer.Pool
	Router           *router.Router
	Announcer        *announcer.Announcer
	// MaxCertificateAge is the age of the freshness certificate from which on keys are no longer accepted. Zero means
	// resolver.DefaultMaxCertificateAge.
	MaxCertificateAge time.Duration
	// SplitOver, if not zero, is the number of nodes that each rate is split over evenly, in place of grants. Experiments
	// use it as a baseline.
	SplitOver int
	// OnView, if not nil, is called with each new view, on the goroutine that makes the exchanges. The previous view was the newest
	// when the exchange before was sent, at the time last, which is zero if there was none.
	OnView func(v *resolver.View, last time.Time)
}

// Syncer is the node's side of the exchange. One goroutine makes the exchanges; other goroutines read the view, the
// freshness certificate and the buckets.
type Syncer struct {
	Parts
	incarnation uint64
	started     time.Time
	tomb        tomb.Tomb
	wakeups     chan struct{}
	// tokenWakeups requests an exchange ahead of the interval for the accounts that have news.
	tokenWakeups chan struct{}

	view        atomic.Pointer[resolver.View]
	certifiedAt atomic.Int64 // time since started, in nanoseconds; zero before the first freshness certificate
	buckets     sync.Map     // string to *limiter.Bucket
	nodes       atomic.Uint32
	sharedHosts atomic.Bool
	// aggregators holds the nodes that draw the tokens of small client accounts, or nil.
	aggregators atomic.Pointer[[]netip.AddrPort]

	mu           sync.Mutex
	seeds        []netip.AddrPort
	watches      map[string]bool
	exchangeDone chan struct{}
	leader       netip.AddrPort

	// The fields below are used only by the goroutine that makes the exchanges.
	viewBuilder     *resolver.ViewBuilder
	epoch           uint64
	controlHosts    []netip.AddrPort
	nextHost        int
	workers         map[string][]*schema.Worker
	exchangeLimiter *rate.Limiter
	interval        time.Duration
	// regularAt is when the next regular exchange is due.
	regularAt time.Time
	// partialAllowed is set while the leader has all demands of this node and epoch.
	partialAllowed         bool
	aggregatorsFingerprint uint64
	// lastSent is when the last successful exchange was sent.
	lastSent time.Time
	meter    meters
}

type meters struct {
	exchanges metrics.Timer
	failures  metrics.Counter
	ahead     metrics.Counter
	demands   metrics.Counter
	sent      metrics.Gauge
	received  metrics.Gauge
}

// New returns a Syncer that has made no exchange yet.
func New(p Parts) *Syncer {
	s := &Syncer{
		Parts: p, incarnation: rand.Uint64(), started: p.Timer.Now(), wakeups: make(chan struct{}, 1),
		tokenWakeups: make(chan struct{}, 1),
		watches:      map[string]bool{}, exchangeDone: make(chan struct{}), viewBuilder: resolver.NewViewBuilder(),
		controlHosts: p.ControlAddresses, workers: map[string][]*schema.Worker{},
		exchangeLimiter: rate.NewLimiter(initialExchangeRate, exchangeBurst), interval: initialInterval,
		meter: meters{
			exchanges: metrics.GetOrRegisterTimer("sync.exchanges", p.Registry),
			failures:  metrics.GetOrRegisterCounter("sync.failures", p.Registry),
			ahead:     metrics.GetOrRegisterCounter("sync.ahead", p.Registry),
			demands:   metrics.GetOrRegisterCounter("sync.demands", p.Registry),
			sent:      metrics.GetOrRegisterGauge("sync.bytesSent", p.Registry),
			received:  metrics.GetOrRegisterGauge("sync.bytesReceived", p.Registry),
		},
	}
	if s.MaxCertificateAge == 0 {
		s.MaxCertificateAge = resolver.DefaultMaxCertificateAge
	}
	s.seeds = p.ControlAddresses
	if len(s.controlHosts) > 0 {
		s.nextHost = rand.IntN(len(s.controlHosts))
	}
	return s
}

// SetControlAddresses replaces the control host addresses from the settings. They take effect after the next successful
// exchange, or after all known control hosts were tried without success.
func (s *Syncer) SetControlAddresses(addresses []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = addresses
}

// Run starts the goroutine that makes the exchanges.
func (s *Syncer) Run() {
	s.tomb.Go(s.loop)
}

// Kill stops the goroutine that makes the exchanges, and waits for it to end.
func (s *Syncer) Kill() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// Leave gives up all tokens and notifies the leader that the node is leaving. It must be called after Kill.
func (s *Syncer) Leave(ctx context.Context) {
	s.giveUpTokens()
	for range 2 * len(s.controlHosts) {
		if s.exchange(ctx, leaving) == nil {
			return
		}
	}
}

// ReturnTokens gives up all tokens, so that other nodes get them. Requests that come later draw new ones.
func (s *Syncer) ReturnTokens() {
	s.giveUpTokens()
	s.Wake()
}

func (s *Syncer) giveUpTokens() {
	s.buckets.Range(func(_, v any) bool {
		v.(*limiter.Bucket).ReturnTokens()
		return true
	})
}

// Aggregators returns the nodes that draw the tokens of small client accounts, or nil. The list must not be changed.
func (s *Syncer) Aggregators() *[]netip.AddrPort {
	return s.aggregators.Load()
}

// View returns the newest view, or nil before the first successful exchange.
func (s *Syncer) View() *resolver.View {
	return s.view.Load()
}

// CertificateAge returns the age of the newest freshness certificate, or the maximum duration if there is none.
func (s *Syncer) CertificateAge() time.Duration {
	at := s.certifiedAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return s.Timer.Since(s.started) - time.Duration(at)
}

// IsFresh reports whether the freshness certificate is recent enough to accept keys.
func (s *Syncer) IsFresh() bool {
	return s.CertificateAge() < s.MaxCertificateAge
}

// Bucket returns the token bucket of a client account, and creates it if needed.
func (s *Syncer) Bucket(account string) *limiter.Bucket {
	if b, ok := s.buckets.Load(account); ok {
		return b.(*limiter.Bucket)
	}
	b, _ := s.buckets.LoadOrStore(account, limiter.NewBucket(s.Timer, s.Assert, s.wakeForTokens, s.splitRateOptions(account)...))
	return b.(*limiter.Bucket)
}

// splitRateOptions returns the options of a bucket for the baseline that splits each rate evenly over the nodes.
func (s *Syncer) splitRateOptions(account string) []limiter.BucketOption {
	if s.SplitOver == 0 {
		return nil
	}
	policy := s.View().AccountPolicy(account)
	n := float64(s.SplitOver)
	return []limiter.BucketOption{limiter.WithLocalRate(policy.Rate/n, policy.Burst/n)}
}

// HasSharedHosts reports whether an upstream of the fleet has reported a slowdown of its host since this node started.
func (s *Syncer) HasSharedHosts() bool {
	return s.sharedHosts.Load()
}

// Nodes returns the number of nodes in the fleet, at least one.
func (s *Syncer) Nodes() int {
	return max(1, int(s.nodes.Load()))
}

// Wake requests that the next regular exchange is made at once.
func (s *Syncer) Wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

// wakeForTokens requests an exchange for the accounts that have news.
func (s *Syncer) wakeForTokens() {
	select {
	case s.tokenWakeups <- struct{}{}:
	default:
	}
}

// Locate starts to watch the workers of a service and waits until they are known. It returns false when neither the
// configuration nor any node has the service.
func (s *Syncer) Locate(ctx context.Context, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	s.watch(service)
	// Wait for two exchanges, since the first one to end may have been in progress already.
	for range 2 {
		s.mu.Lock()
		done := s.exchangeDone
		s.mu.Unlock()
		s.Wake()
		select {
		case <-done:
		case <-ctx.Done():
		}
		if s.Router.HasWorkers(service) {
			return true
		}
	}
	view := s.View()
	if view != nil && view.HasService(service) {
		return true
	}
	s.unwatch(service)
	return false
}

func (s *Syncer) watch(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.watches) < maxWatches {
		s.watches[service] = true
	}
}

func (s *Syncer) unwatch(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Router.HasWorkers(service) {
		delete(s.watches, service)
	}
}

// loop makes the exchanges until the Syncer is stopped.
func (s *Syncer) loop() error {
	ctx := s.tomb.Context(context.Background())
	kind := regular
	for ctx.Err() == nil {
		s.Announcer.Expire()
		err := s.exchange(ctx, kind)
		if err != nil && ctx.Err() == nil {
			s.meter.failures.Inc(1)
			s.Log.Debug("syncFailed", zap.Error(err))
		}
		if kind == regular {
			s.regularAt = s.Timer.Now().Add(s.interval*9/10 + rand.N(s.interval/10))
		}
		kind = s.waitForNext(ctx, err)
	}
	return nil
}

// waitForNext waits until the next exchange is due, and returns its kind. A regular exchange is due at its time, or earlier
// after a wake-up or a failure.
func (s *Syncer) waitForNext(ctx context.Context, err error) exchangeKind {
	if err != nil {
		pause := retryPause
		if isBusy(err) {
			pause = max(retryPause, s.interval/2)
		}
		_ = s.Timer.Sleep(ctx, pause/2+rand.N(pause))
		return regular
	}
	sub := s.Timer.After(max(0, s.regularAt.Sub(s.Timer.Now())))
	defer sub.Stop()
	select {
	case <-sub.C:
	case <-ctx.Done():
	case <-s.wakeups:
		_ = s.exchangeLimiter.Wait(ctx)
	case <-s.tokenWakeups:
		_ = s.exchangeLimiter.Wait(ctx)
		if s.Timer.Now().Before(s.regularAt) && !s.isWoken() {
			return ahead
		}
	}
	return regular
}

// isWoken reports whether a regular exchange was requested, and withdraws the request.
func (s *Syncer) isWoken() bool {
	select {
	case <-s.wakeups:
		return true
	default:
		return false
	}
}

// errNotServed is returned when a control host can't serve the exchange.
var errNotServed = errors.New("control host does not lead")

// isBusy reports whether a control host rejected a call because too many wait.
func isBusy(err error) bool {
	var twirpErr twirp.Error
	return errors.As(err, &twirpErr) && twirpErr.Code() == twirp.ResourceExhausted
}

// exchange makes one exchange with the last known leader, or with the next control host to try.
func (s *Syncer) exchange(ctx context.Context, kind exchangeKind) error {
	if len(s.controlHosts) == 0 {
		return errNotServed
	}
	addr := s.controlHosts[s.nextHost%len(s.controlHosts)]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := s.newRequest(kind)
	if req.GetAhead() && len(req.GetDemands()) == 0 {
		return nil
	}
	s.meter.demands.Inc(int64(len(req.GetDemands())))
	sent := s.Timer.Now()
	reply, err := s.client(addr).Sync(ctx, req)
	if isBusy(err) {
		// The leader lives; another host or another connection would only add to its work.
		return err
	}
	if err != nil {
		s.useNextHost()
		// Drop the connection, since later calls would wait for it again if it is unresponsive.
		s.Pool.Peer(addr).Reset()
		return err
	}
	s.meter.exchanges.UpdateSince(sent)
	s.measureTraffic()
	if reply.GetStatus() != schema.ReplyStatus_REPLY_STATUS_OK {
		s.redirect(reply)
		return errNotServed
	}
	s.setLeader(addr)
	s.applyReply(req, reply, sent)
	return nil
}

// useNextHost moves on to the next control host. After all known ones were tried, it adds the addresses from the
// settings.
func (s *Syncer) useNextHost() {
	s.nextHost++
	if s.nextHost%len(s.controlHosts) != 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.seeds {
		if !slices.Contains(s.controlHosts, a) {
			s.controlHosts = append(s.controlHosts, a)
		}
	}
}

func (s *Syncer) measureTraffic() {
	sent, received := s.Pool.Traffic()
	s.meter.sent.Update(sent)
	s.meter.received.Update(received)
}

// redirect moves on to the leader that a reply names, or to the next control host.
func (s *Syncer) redirect(reply *schema.SyncReply) {
	s.nextHost++
	leader, err := netip.ParseAddrPort(reply.GetLeaderAddress())
	if err != nil || reply.GetStatus() == schema.ReplyStatus_REPLY_STATUS_NOT_CONFIRMED {
		return
	}
	for i, a := range s.controlHosts {
		if a == leader {
			s.nextHost = i
			return
		}
	}
	s.controlHosts = append(s.controlHosts, leader)
	s.nextHost = len(s.controlHosts) - 1
}

func (s *Syncer) setLeader(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = addr
}

// Leader returns the control host of the last successful exchange, or the zero address if there was none.
func (s *Syncer) Leader() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

func (s *Syncer) client(addr netip.AddrPort) schema.Control {
	peer := s.Pool.Peer(addr)
	return schema.NewControlProtobufClient(peer.URL(""), &http.Client{Transport: dialer.WithToken(peer, s.Token)})
}

// applyReply applies the reply of a successful exchange.
func (s *Syncer) applyReply(req *schema.SyncRequest, reply *schema.SyncReply, sent time.Time) {
	previous := s.viewBuilder.Revision()
	s.partialAllowed = false
	if !s.viewBuilder.Apply(reply.GetRevision(), reply.GetDelta()) {
		// The reply is older than the state that this node already has.
		return
	}
	s.Assert.Check(asserter.VersionNeverReverts, s.viewBuilder.Revision() >= previous, "")
	if reply.GetDelta() != nil || s.view.Load() == nil {
		s.view.Store(s.viewBuilder.Build())
		if s.OnView != nil {
			s.OnView(s.view.Load(), s.lastSent)
		}
	}
	s.lastSent = sent
	// The leader was in contact with its quorum at most Age before it received the request, so no earlier than Age
	// before the request was sent.
	at := sent.Sub(s.started) - time.Duration(reply.GetAgeMicros())*time.Microsecond
	s.certifiedAt.Store(max(s.certifiedAt.Load(), int64(at), 1))
	s.applyMemberships(reply)
	s.applyAggregators(reply.GetAggregators())
	s.partialAllowed = reply.GetPartialAllowed() && reply.GetEpoch() == req.GetEpoch()
	if reply.GetEpoch() != s.epoch {
		s.epoch = reply.GetEpoch()
		s.Wake()
	}
	for _, g := range reply.GetGrants() {
		s.Bucket(g.GetAccount()).AddGrant(limiter.Grant{
			Account: g.GetAccount(), Tokens: g.GetTokens(), End: g.GetEnd(), FleetDemand: g.GetFleetDemand(),
			Lease:          limiter.Lease{Rate: g.GetLease().GetRate(), Capacity: g.GetLease().GetRoom(), Sequence: g.GetLease().GetSequence()},
			Oversubscribed: g.GetScarce(), RestrictedFor: time.Duration(g.GetClosedMicros()) * time.Microsecond,
		}, req.GetEpoch(), sent)
	}
	if len(reply.GetControlAddresses()) > 0 {
		s.updateControlHosts(reply)
	}
	s.nodes.Store(max(s.nodes.Load()*nodeCountDecayPercent/100, reply.GetNodes()))
	if reply.GetSharedHosts() {
		s.sharedHosts.Store(true)
	}
	s.interval = max(initialInterval, time.Duration(reply.GetIntervalMicros())*time.Microsecond)
	s.exchangeLimiter.SetLimit(rate.Limit(reply.GetExchangeRate()))
	s.mu.Lock()
	close(s.exchangeDone)
	s.exchangeDone = make(chan struct{})
	s.mu.Unlock()
}

// applyMemberships replaces the workers of services. While a new leader is still collecting the nodes' states, it keeps
// the workers of nodes that the reply doesn't name.
func (s *Syncer) applyMemberships(reply *schema.SyncReply) {
	for _, m := range reply.GetMemberships() {
		workers := m.GetWorkers()
		if !reply.GetMembershipComplete() {
			workers = mergeWorkers(s.workers[m.GetService()], workers)
		}
		if len(workers) == 0 && len(s.workers[m.GetService()]) == 0 {
			continue
		}
		s.workers[m.GetService()] = workers
		s.Router.SetWorkers(m.GetService(), workers)
	}
}

func (s *Syncer) applyAggregators(a *schema.Aggregators) {
	if a == nil {
		return
	}
	list := make([]netip.AddrPort, 0, len(a.GetAddresses()))
	for _, text := range a.GetAddresses() {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			list = append(list, addr)
		}
	}
	s.aggregators.Store(&list)
	s.aggregatorsFingerprint = a.GetFingerprint()
}

// mergeWorkers returns the newer workers, and the older ones of nodes that have no newer one.
func mergeWorkers(older, newer []*schema.Worker) []*schema.Worker {
	byNode := map[string]bool{}
	for _, w := range newer {
		byNode[w.GetNode()] = true
	}
	out := newer
	for _, w := range older {
		if !byNode[w.GetNode()] {
			out = append(out, w)
		}
	}
	return out
}

// updateControlHosts updates the control host addresses from a reply. The addresses from the settings are kept, so that
// the node can fall back on them.
func (s *Syncer) updateControlHosts(reply *schema.SyncReply) {
	current := s.controlHosts[s.nextHost%len(s.controlHosts)]
	var list []netip.AddrPort
	seen := map[netip.AddrPort]bool{}
	add := func(a netip.AddrPort) {
		if !seen[a] {
			seen[a] = true
			list = append(list, a)
		}
	}
	for _, text := range reply.GetControlAddresses() {
		if a, err := netip.ParseAddrPort(text); err == nil {
			add(a)
		}
	}
	s.mu.Lock()
	for _, a := range s.seeds {
		add(a)
	}
	s.mu.Unlock()
	add(current)
	s.controlHosts = list
	for i, a := range list {
		if a == current {
			s.nextHost = i
		}
	}
}
