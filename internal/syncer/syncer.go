// Package syncer keeps a node in step with the control hosts: it exchanges state about once a second, holds the
// certificate of freshness, and keeps the tokens of client accounts.
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
	// firstInterval is the time between two exchanges until the leader says otherwise.
	firstInterval = 250 * time.Millisecond
	// firstExchangeRate is how many exchanges a second a node makes at most until the leader says otherwise.
	firstExchangeRate = 10
	// exchangeBurst is how many of them may follow each other at once.
	exchangeBurst = 3
	// callTimeout bounds one exchange.
	callTimeout = 500 * time.Millisecond
	// retryPause is the pause after a failed exchange; it varies by half.
	retryPause = 100 * time.Millisecond
	// locateTimeout bounds the wait for the workers of a service that was not called before.
	locateTimeout = 600 * time.Millisecond
	// nodesMemory is the part of the last number of nodes, in percent, that still counts after an exchange: a new leader
	// hears of the nodes one by one.
	nodesMemory = 90
	// maxWatches bounds the services that a node wants to know of.
	maxWatches = 1024
)

// Node is what a node says of itself.
type Node struct {
	Name          string
	FailureDomain string
	Region        string
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
}

// Parts are what a Syncer works with.
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
	// MaxStaleness is the oldest certificate under which keys are honoured.
	MaxStaleness time.Duration
	// SplitOver is a baseline for measurements: each node gets an equal part of every rate.
	SplitOver int
}

// Syncer is a node's side of the exchange. Its own state belongs to one goroutine; the view, the certificate and the
// buckets are read by others.
type Syncer struct {
	Parts
	incarnation uint64
	began       time.Time
	tomb        tomb.Tomb
	kicks       chan struct{}

	view        atomic.Pointer[resolver.View]
	certifiedAt atomic.Int64 // time since began, in nanoseconds; zero before the first certificate
	buckets     sync.Map     // string to *limiter.Bucket
	nodes       atomic.Uint32

	mu      sync.Mutex
	seeds   []netip.AddrPort
	watches map[string]bool
	rounds  chan struct{}
	leader  netip.AddrPort

	// The fields below belong to the control goroutine.
	mirror    *resolver.ViewBuilder
	epoch     uint64
	addresses []netip.AddrPort
	next      int
	held      map[string][]*schema.Worker
	pace      *rate.Limiter
	interval  time.Duration
	meter     meters
}

type meters struct {
	exchanges metrics.Timer
	failures  metrics.Counter
	sent      metrics.Gauge
	received  metrics.Gauge
}

// New returns a Syncer that has not exchanged anything.
func New(p Parts) *Syncer {
	s := &Syncer{
		Parts: p, incarnation: rand.Uint64(), began: p.Timer.Now(), kicks: make(chan struct{}, 1),
		watches: map[string]bool{}, rounds: make(chan struct{}), mirror: resolver.NewViewBuilder(),
		addresses: p.ControlAddresses, held: map[string][]*schema.Worker{},
		pace: rate.NewLimiter(firstExchangeRate, exchangeBurst), interval: firstInterval,
		meter: meters{
			exchanges: metrics.GetOrRegisterTimer("sync.exchanges", p.Registry),
			failures:  metrics.GetOrRegisterCounter("sync.failures", p.Registry),
			sent:      metrics.GetOrRegisterGauge("sync.bytesSent", p.Registry),
			received:  metrics.GetOrRegisterGauge("sync.bytesReceived", p.Registry),
		},
	}
	if s.MaxStaleness == 0 {
		s.MaxStaleness = resolver.MaxCertificateAge
	}
	s.seeds = p.ControlAddresses
	if len(s.addresses) > 0 {
		s.next = rand.IntN(len(s.addresses))
	}
	return s
}

// SetControlAddresses replaces the addresses of the settings. They are used from the next served exchange on, and at once while
// none is served.
func (s *Syncer) SetControlAddresses(addresses []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = addresses
}

// Run starts the control goroutine.
func (s *Syncer) Run() {
	s.tomb.Go(s.loop)
}

// Kill ends the control goroutine.
func (s *Syncer) Kill() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// Leave gives up all tokens and tells the leader that the node is leaving. The control goroutine must have ended.
func (s *Syncer) Leave(ctx context.Context) {
	s.buckets.Range(func(_, v any) bool {
		v.(*limiter.Bucket).ReturnTokens()
		return true
	})
	for range 2 * len(s.addresses) {
		if s.exchange(ctx, true) == nil {
			return
		}
	}
}

// View returns the newest view, or nil.
func (s *Syncer) View() *resolver.View {
	return s.view.Load()
}

// Staleness returns the age of the newest certificate.
func (s *Syncer) Staleness() time.Duration {
	at := s.certifiedAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return s.Timer.Since(s.began) - time.Duration(at)
}

// IsFresh reports whether the certificate is young enough to honour keys.
func (s *Syncer) IsFresh() bool {
	return s.Staleness() < s.MaxStaleness
}

// Bucket returns the tokens of a client account.
func (s *Syncer) Bucket(account string) *limiter.Bucket {
	if found, ok := s.buckets.Load(account); ok {
		return found.(*limiter.Bucket)
	}
	found, _ := s.buckets.LoadOrStore(account, limiter.NewBucket(s.Timer, s.Assert, s.Wake, s.split(account)...))
	return found.(*limiter.Bucket)
}

// split returns the options of a bucket under the baseline that splits each rate over the nodes.
func (s *Syncer) split(account string) []limiter.BucketOption {
	if s.SplitOver == 0 {
		return nil
	}
	terms := s.View().AccountPolicy(account)
	n := float64(s.SplitOver)
	return []limiter.BucketOption{limiter.WithLocalRate(terms.Rate/n, terms.Burst/n)}
}

// Nodes returns how many nodes the fleet has, at least one.
func (s *Syncer) Nodes() int {
	return max(1, int(s.nodes.Load()))
}

// Wake asks for an exchange soon.
func (s *Syncer) Wake() {
	select {
	case s.kicks <- struct{}{}:
	default:
	}
}

// Locate learns of the workers of a service. It returns false when neither the settings nor any node know it.
func (s *Syncer) Locate(ctx context.Context, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	s.watch(service)
	// The first exchange to end may have been on its way already.
	for range 2 {
		s.mu.Lock()
		round := s.rounds
		s.mu.Unlock()
		s.Wake()
		select {
		case <-round:
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

// loop is the control goroutine of the node.
func (s *Syncer) loop() error {
	ctx := s.tomb.Context(context.Background())
	for ctx.Err() == nil {
		s.Announcer.Expire()
		err := s.exchange(ctx, false)
		if err != nil && ctx.Err() == nil {
			s.meter.failures.Inc(1)
			s.Log.Debug("syncFailed", zap.Error(err))
		}
		s.pause(ctx, err)
	}
	return nil
}

// pause waits for the next exchange: jittered, and shorter after a kick or a failure.
func (s *Syncer) pause(ctx context.Context, err error) {
	if err != nil {
		_ = s.Timer.Sleep(ctx, retryPause/2+rand.N(retryPause))
		return
	}
	sub := s.Timer.After(s.interval*9/10 + rand.N(s.interval/10))
	defer sub.Stop()
	select {
	case <-sub.C:
	case <-ctx.Done():
	case <-s.kicks:
		_ = s.pace.Wait(ctx)
	}
}

// errNotServed is returned when a control host can't serve the exchange.
var errNotServed = errors.New("control host does not lead")

// exchange makes one call to the control host that led last, or to the next one.
func (s *Syncer) exchange(ctx context.Context, leaving bool) error {
	if len(s.addresses) == 0 {
		return errNotServed
	}
	addr := s.addresses[s.next%len(s.addresses)]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := s.request(leaving)
	sent := s.Timer.Now()
	reply, err := s.client(addr).Sync(ctx, req)
	if err != nil {
		s.turn()
		// A connection that went silent must not be waited for again.
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
	s.take(req, reply, sent)
	return nil
}

// turn goes on to the next control host. After a round over all known ones the addresses of the settings are added.
func (s *Syncer) turn() {
	s.next++
	if s.next%len(s.addresses) != 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.seeds {
		if !slices.Contains(s.addresses, a) {
			s.addresses = append(s.addresses, a)
		}
	}
}

func (s *Syncer) measureTraffic() {
	sent, received := s.Pool.Traffic()
	s.meter.sent.Update(sent)
	s.meter.received.Update(received)
}

// redirect turns to the leader that a reply names, or to the next control host.
func (s *Syncer) redirect(reply *schema.SyncReply) {
	s.next++
	leader, err := netip.ParseAddrPort(reply.GetLeaderAddress())
	if err != nil || reply.GetStatus() == schema.ReplyStatus_REPLY_STATUS_NOT_CONFIRMED {
		return
	}
	for i, a := range s.addresses {
		if a == leader {
			s.next = i
			return
		}
	}
	s.addresses = append(s.addresses, leader)
	s.next = len(s.addresses) - 1
}

func (s *Syncer) setLeader(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = addr
}

// Leader returns the control host that served the last exchange.
func (s *Syncer) Leader() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

func (s *Syncer) client(addr netip.AddrPort) schema.Control {
	peer := s.Pool.Peer(addr)
	return schema.NewControlProtobufClient(peer.URL(""), &http.Client{Transport: dialer.WithToken(peer, s.Token)})
}

func (s *Syncer) request(leaving bool) *schema.SyncRequest {
	req := &schema.SyncRequest{
		Node: s.Node.Name, Incarnation: s.incarnation, HaveRevision: s.mirror.Revision(), Epoch: s.epoch, Leaving: leaving,
	}
	if s.Node.AdminAddress.IsValid() {
		req.AdminAddress = s.Node.AdminAddress.String()
	}
	for _, w := range s.Announcer.Workers() {
		w.Node, w.FailureDomain, w.Region = s.Node.Name, s.Node.FailureDomain, s.Node.Region
		w.PeerAddress = s.Node.PeerAddress.String()
		req.Workers = append(req.Workers, w)
		// Callers of the own upstream's service may come here too.
		s.watch(w.GetService())
	}
	s.mu.Lock()
	for service := range s.watches {
		req.Watches = append(req.Watches, &schema.Watch{Service: service, Fingerprint: resolver.Fingerprint(s.held[service])})
	}
	s.mu.Unlock()
	s.buckets.Range(func(k, v any) bool {
		account, b := k.(string), v.(*limiter.Bucket)
		if ask, ok := b.GrantRequest(account, s.epoch); ok {
			req.Demands = append(req.Demands, demandOf(ask))
		} else if b.IsIdle() {
			s.buckets.Delete(account)
		}
		return true
	})
	return req
}

func demandOf(ask limiter.GrantRequest) *schema.Demand {
	d := &schema.Demand{
		Account: ask.Account, Rate: ask.Demand, Want: ask.Want, Settled: ask.Settled, Unspent: ask.Unspent,
		Waiting:  uint32(ask.Waiting),
		Lease:    &schema.Lease{Rate: ask.Lease.Rate, Room: ask.Lease.Capacity, Sequence: ask.Lease.Sequence},
		Overflow: ask.Overflow, Importance: ask.Importance, Carried: ask.Carryover,
	}
	for _, m := range ask.Marks {
		d.Marks = append(d.Marks, &schema.SettledMark{AgeMicros: uint64(m.Age.Microseconds()), Settled: m.Settled})
	}
	return d
}

// take applies a served reply.
func (s *Syncer) take(req *schema.SyncRequest, reply *schema.SyncReply, sent time.Time) {
	before := s.mirror.Revision()
	if !s.mirror.Apply(reply.GetRevision(), reply.GetDelta()) {
		// A reply from before what this node has seen is of no use.
		return
	}
	s.Assert.Check(asserter.VersionNeverReverts, s.mirror.Revision() >= before, "")
	if reply.GetDelta() != nil || s.view.Load() == nil {
		s.view.Store(s.mirror.Build())
	}
	// The leader heard from its quorum at most Age before it received the request, so before the request was sent.
	at := sent.Sub(s.began) - time.Duration(reply.GetAgeMicros())*time.Microsecond
	s.certifiedAt.Store(max(s.certifiedAt.Load(), int64(at), 1))
	s.takeMemberships(reply)
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
	s.takeAddresses(reply)
	s.nodes.Store(max(s.nodes.Load()*nodesMemory/100, reply.GetNodes()))
	s.interval = max(firstInterval, time.Duration(reply.GetIntervalMicros())*time.Microsecond)
	s.pace.SetLimit(rate.Limit(reply.GetExchangeRate()))
	s.mu.Lock()
	close(s.rounds)
	s.rounds = make(chan struct{})
	s.mu.Unlock()
}

// takeMemberships replaces the workers of services. While a new leader still gathers the nodes' states, workers are
// only added.
func (s *Syncer) takeMemberships(reply *schema.SyncReply) {
	for _, m := range reply.GetMemberships() {
		workers := m.GetWorkers()
		if !reply.GetMembershipComplete() {
			workers = union(s.held[m.GetService()], workers)
		}
		if len(workers) == 0 && len(s.held[m.GetService()]) == 0 {
			continue
		}
		s.held[m.GetService()] = workers
		s.Router.SetWorkers(m.GetService(), workers)
	}
}

// union returns the newer workers and the older ones of other nodes.
func union(older, newer []*schema.Worker) []*schema.Worker {
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

// takeAddresses follows changes of the control hosts. Addresses from the settings stay, for a fresh start.
func (s *Syncer) takeAddresses(reply *schema.SyncReply) {
	current := s.addresses[s.next%len(s.addresses)]
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
	s.addresses = list
	for i, a := range list {
		if a == current {
			s.next = i
		}
	}
}
