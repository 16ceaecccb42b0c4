// Package aggregator draws the tokens of small client accounts through a few nodes. The requests of such an account arrive at
// all nodes, each of which would get a fraction of a token; and every one of them would cost the control leader an exchange.
// Instead, each account has one node, or a few, that holds its tokens, and the other nodes ask that node for each request. The
// owner at the control leader still decides how many tokens there are, so any choice of nodes keeps the limits.
//
// Load that it serves: hundreds of nodes and accounts, where each node gets less than a few requests a second of an account.
package aggregator

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/internal/ranker"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// minLocalRate is an account's rate per node, in requests per second, from which on each node draws its own tokens: it
	// then uses a batch before the batch expires.
	minLocalRate = 2.0
	// maxAggregatedRate is the rate of an account, in requests per second, that one node draws for the others. Accounts with
	// a larger rate have more nodes.
	maxAggregatedRate = 100.0
	// minAvoidance is how long a node is not asked after it did not respond in time. The time doubles with each further failure,
	// up to maxAvoidance, which also applies to a node that said that it stops.
	minAvoidance = time.Second
	maxAvoidance = 8 * time.Second
	// maxLateness is how late a reply may come before its sender is avoided.
	maxLateness = 150 * time.Millisecond
	// maxAttempts is the number of nodes that are asked for a token before this node draws one itself.
	maxAttempts = 2
	// sampleSize and sampleAlpha define the sample of waiting times: about the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// floodFactor is the ratio of the requests that ask for a token to the tokens, and floodMemory the time for which a refusal
	// keeps others from asking.
	floodFactor = 2.0
	floodMemory = 500 * time.Millisecond
	// importanceLevels is the number of distinct importance values.
	importanceLevels = 8
	// reportLifetime is how long a reported demand is used.
	reportLifetime = 3 * time.Second
)

// Parts are the dependencies of an Aggregator.
type Parts struct {
	// Self is the address at which other nodes reach this one.
	Self     netip.AddrPort
	Timer    *timer.Service
	Registry metrics.Registry
	Pool     *dialer.Pool
	// Token authenticates this node to others.
	Token string
	// Members returns the nodes that draw tokens for others, in an order that all nodes share. The list is never changed.
	Members func() *[]netip.AddrPort
	// NodeCount returns the number of nodes in the fleet.
	NodeCount func() int
	// Bucket returns this node's bucket of an account.
	Bucket func(account string) *limiter.Bucket
	// ReturnTokens gives up this node's tokens.
	ReturnTokens func()
	// Ask asks another node for a token. If it is nil, the node is called over the pool.
	Ask func(ctx context.Context, addr netip.AddrPort, req *schema.TakeRequest) (*schema.TakeReply, error)
}

// Aggregator takes tokens for the requests of this node, and serves those of others. It is safe for concurrent use.
type Aggregator struct {
	Parts
	accounts sync.Map // string to *remoteAccount
	peers    peers
	stopping atomic.Bool
	meter    meters
}

type meters struct {
	// wait holds the times in microseconds until other nodes replied.
	wait   metrics.Histogram
	failed metrics.Counter
	served metrics.Counter
}

// New returns an Aggregator.
func New(p Parts) *Aggregator {
	a := &Aggregator{
		Parts: p,
		meter: meters{
			wait:   metrics.GetOrRegisterHistogram("aggregator.wait", p.Registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
			failed: metrics.GetOrRegisterCounter("aggregator.failed", p.Registry),
			served: metrics.GetOrRegisterCounter("aggregator.served", p.Registry),
		},
	}
	if a.Ask == nil {
		a.Ask = a.call
	}
	return a
}

// call calls another node over the pool.
func (a *Aggregator) call(ctx context.Context, addr netip.AddrPort, req *schema.TakeRequest) (*schema.TakeReply, error) {
	peer := a.Pool.Peer(addr)
	client := schema.NewTokensProtobufClient(peer.URL(""), &http.Client{Transport: dialer.WithToken(peer, a.Token)})
	return client.Take(ctx, req)
}

// remoteAccount is what this node knows of an account whose tokens other nodes hold.
type remoteAccount struct {
	mu              sync.Mutex
	members         *[]netip.AddrPort
	ranking         []netip.AddrPort
	fleetDemand     float64
	restrictedUntil time.Time
	reportedAt      time.Time
	// refusedAt is when the account was last over its rate, by the importance of the request.
	refusedAt [importanceLevels]time.Time
}

// isFlooded reports whether a request would most likely be refused, and chooses at random: of the requests of an account that asks
// for a multiple of its rate, as many ask for a token as twice the tokens that there are. Others would cost two nodes a call each.
func (r *remoteAccount) isFlooded(req Request, random float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused := false
	for i := min(int(req.Importance), importanceLevels-1); i < importanceLevels; i++ {
		refused = refused || now.Sub(r.refusedAt[i]) < floodMemory
	}
	return refused && now.Sub(r.reportedAt) < floodMemory && random*r.fleetDemand > floodFactor*req.Policy.Rate
}

// Request is a request for one token.
type Request struct {
	Policy     *resolver.AccountPolicy
	Importance uint32
	// MaxWait is how long the request may wait for a token, and OwnerWait how long while the owner does not respond.
	MaxWait   time.Duration
	OwnerWait time.Duration
}

// Draw takes one token of an account from the node that holds them, or from this node's bucket.
func (a *Aggregator) Draw(ctx context.Context, req Request) limiter.Decision {
	end := a.Timer.Now().Add(req.OwnerWait)
	for range maxAttempts {
		addr, ok := a.choose(req.Policy)
		if !ok {
			break
		}
		left := end.Sub(a.Timer.Now())
		if left <= 0 {
			return limiter.OwnerUnresponsive
		}
		if a.account(req.Policy.Account).isFlooded(req, rand.Float64(), a.Timer.Now()) {
			return limiter.OverRate
		}
		// The rest is for another node, in case this one does not respond.
		if decision, ok := a.takeRemote(ctx, addr, req, left/2); ok {
			return decision
		}
		if ctx.Err() != nil {
			return limiter.Canceled
		}
	}
	return a.Bucket(req.Policy.Account).Take(ctx, req.Importance, req.MaxWait, max(0, end.Sub(a.Timer.Now())))
}

// takeRemote asks another node for a token. It returns false if that node can't decide.
func (a *Aggregator) takeRemote(ctx context.Context, addr netip.AddrPort, req Request, limit time.Duration) (limiter.Decision, bool) {
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := a.Timer.Now()
	reply, err := a.Ask(callCtx, addr, &schema.TakeRequest{
		Account: req.Policy.Account, Importance: req.Importance,
		MaxWaitMicros: uint64(req.MaxWait.Microseconds()), OwnerWaitMicros: uint64(limit.Microseconds()),
	})
	now := a.Timer.Now()
	if err != nil {
		if ctx.Err() != nil {
			return limiter.Canceled, true
		}
		a.meter.failed.Inc(1)
		a.peers.recordFailure(addr, now)
		return 0, false
	}
	a.meter.wait.Update(now.Sub(start).Microseconds())
	a.account(req.Policy.Account).record(req, reply, now)
	switch reply.GetOutcome() {
	case schema.TakeOutcome_TAKE_OUTCOME_ADMITTED:
		a.recordReply(addr, now.Sub(start)-req.MaxWait, now)
		return limiter.Admitted, true
	case schema.TakeOutcome_TAKE_OUTCOME_OVER_RATE:
		a.recordReply(addr, now.Sub(start)-req.MaxWait, now)
		return limiter.OverRate, true
	case schema.TakeOutcome_TAKE_OUTCOME_LEAVING:
		a.peers.avoid(addr, maxAvoidance, now)
	default:
		a.peers.recordFailure(addr, now)
	}
	return 0, false
}

// recordReply records a reply that took longer than the request may wait for a token by the given lateness.
func (a *Aggregator) recordReply(addr netip.AddrPort, lateness time.Duration, now time.Time) {
	if lateness > maxLateness {
		a.peers.recordFailure(addr, now)
		return
	}
	a.peers.recordSuccess(addr)
}

func (a *Aggregator) account(name string) *remoteAccount {
	if r, ok := a.accounts.Load(name); ok {
		return r.(*remoteAccount)
	}
	r, _ := a.accounts.LoadOrStore(name, &remoteAccount{})
	return r.(*remoteAccount)
}

func (r *remoteAccount) record(req Request, reply *schema.TakeReply, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.GetOutcome() == schema.TakeOutcome_TAKE_OUTCOME_OVER_RATE {
		r.refusedAt[min(req.Importance, importanceLevels-1)] = now
	}
	r.fleetDemand, r.reportedAt = reply.GetFleetDemand(), now
	r.restrictedUntil = now.Add(time.Duration(reply.GetRestrictedMicros()) * time.Microsecond)
}

// rankingOf returns the first nodes of an account. It is computed anew when the members have changed.
func (r *remoteAccount) rankingOf(account string, members *[]netip.AddrPort, n int) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members != members || len(r.ranking) < min(n, len(*members)) {
		r.members, r.ranking = members, ranker.Rank(account, *members, n)
	}
	return r.ranking
}

// choose returns the node that holds the tokens of an account for this node. It returns false if this node draws its own.
func (a *Aggregator) choose(policy *resolver.AccountPolicy) (netip.AddrPort, bool) {
	members := a.Members()
	if members == nil || len(*members) == 0 || policy.Rate >= minLocalRate*float64(a.NodeCount()) {
		return netip.AddrPort{}, false
	}
	holders := max(1, int(math.Ceil(policy.Rate/maxAggregatedRate)))
	ranking := a.account(policy.Account).rankingOf(policy.Account, members, holders+maxAttempts)
	first := 0
	if len(ranking) > holders {
		first = int(xxhash.Sum64String(a.Self.String()) % uint64(holders))
	}
	now := a.Timer.Now()
	for i := range ranking {
		addr := ranking[(first+i)%len(ranking)]
		if a.peers.isAvoided(addr, now) {
			continue
		}
		return addr, addr != a.Self
	}
	return netip.AddrPort{}, false
}

// FleetDemand returns the account's demand over the whole fleet in requests per second, as far as this node knows it.
func (a *Aggregator) FleetDemand(policy *resolver.AccountPolicy) float64 {
	if _, ok := a.choose(policy); !ok {
		return a.Bucket(policy.Account).FleetDemand()
	}
	r := a.account(policy.Account)
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Timer.Since(r.reportedAt) > reportLifetime {
		return 0
	}
	return r.fleetDemand
}

// RestrictedFor returns how long a new owner still restricts its grants of the account.
func (a *Aggregator) RestrictedFor(policy *resolver.AccountPolicy) time.Duration {
	if _, ok := a.choose(policy); !ok {
		return a.Bucket(policy.Account).RestrictedFor()
	}
	r := a.account(policy.Account)
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.restrictedUntil.Sub(a.Timer.Now()))
}

// State returns what this node knows of an account's tokens, for logs.
func (a *Aggregator) State(policy *resolver.AccountPolicy) limiter.State {
	if _, ok := a.choose(policy); !ok {
		return a.Bucket(policy.Account).State()
	}
	r := a.account(policy.Account)
	r.mu.Lock()
	defer r.mu.Unlock()
	return limiter.State{FleetDemand: r.fleetDemand, GrantAge: a.Timer.Since(r.reportedAt)}
}
