package limiter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const (
	// horizon is how much demand a node keeps tokens for.
	horizon = 1500 * time.Millisecond
	// renewAhead is how long before its end a batch no longer counts towards the tokens held.
	renewAhead = 1200 * time.Millisecond
	// idleLifetime is how long a node keeps tokens for an account that sends nothing.
	idleLifetime = 20 * time.Second
	// demandWindow is the time constant of the demand's moving average.
	demandWindow = time.Second
	// maxMarks bounds the marks of one exchange, and markSpacing is the shortest time between two.
	maxMarks    = 16
	markSpacing = 5 * time.Millisecond
	// MaxOwnerWait is the longest time that a request waits while the owner does not answer.
	MaxOwnerWait = 2 * time.Second
	// MaxGrantWait is the longest time that a request waits for a token.
	MaxGrantWait = 150 * time.Millisecond
)

// Decision is the outcome of asking for a token.
type Decision int

// Decisions of a Bucket.
const (
	// Admitted: the request may start.
	Admitted Decision = iota
	// OverRate: no token came within the wait.
	OverRate
	// Canceled: the caller went away.
	Canceled
	// OwnerUnresponsive: the owner was not heard from, so nothing is known of the rate.
	OwnerUnresponsive
)

// Bucket spends one account's tokens at one node. It is safe for concurrent use.
type Bucket struct {
	timer  *timer.Service
	assert *asserter.Asserter
	kick   func()

	mu          sync.Mutex
	epoch       uint64
	batches     []nodeBatch
	end         float64
	settled     float64
	unspent     float64
	waiters     queue
	arrivals    arrivals
	scarce      bool
	turn        uint64
	demand      float64
	counted     time.Time
	fleetDemand float64
	answered    time.Time
	asked       time.Time
	marks       []nodeMark
	marksSent   int
	lease       nodeLease
	closedUntil time.Time
	own         *ownRate
}

// ownRate is a token bucket of this node alone.
type ownRate struct {
	rate   float64
	burst  float64
	level  float64
	filled time.Time
}

func (o *ownRate) spend(now time.Time) bool {
	o.level = min(o.burst, o.level+o.rate*now.Sub(o.filled).Seconds())
	o.filled = now
	if o.level < 1 {
		return false
	}
	o.level--
	return true
}

// BucketOption changes a Bucket under construction.
type BucketOption func(*Bucket)

// WithLocalRate gives the node a rate and burst of its own in place of grants. It is a baseline for measurements.
func WithLocalRate(rate, burst float64) BucketOption {
	return func(b *Bucket) {
		b.own = &ownRate{rate: rate, burst: burst, level: burst, filled: b.timer.Now()}
	}
}

// nodeMark tells what had been settled at a moment.
type nodeMark struct {
	at      time.Time
	settled float64
}

// nodeBatch is a grant as the node holds it.
type nodeBatch struct {
	epoch   uint64
	tokens  float64
	end     float64
	expires time.Time
}

// NewBucket returns an empty bucket. It calls kick when tokens are needed before the next exchange.
func NewBucket(t *timer.Service, assert *asserter.Asserter, kick func(), opts ...BucketOption) *Bucket {
	b := &Bucket{timer: t, assert: assert, kick: kick, counted: t.Now(), asked: t.Now()}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Take spends one token on a request of an importance. It waits for up to a patience when none is there, and for a longer
// time, of at most wait, while the owner does not answer.
func (b *Bucket) Take(ctx context.Context, importance uint32, patience, wait time.Duration) Decision {
	b.mu.Lock()
	now := b.timer.Now()
	b.count(now)
	b.arrivals.count(importance, now)
	b.asked = now
	if b.own != nil {
		defer b.mu.Unlock()
		if b.spend(now) {
			return Admitted
		}
		return OverRate
	}
	if len(b.waiters) == 0 && b.mayTake(importance, now) && b.spend(now) {
		b.mu.Unlock()
		return Admitted
	}
	ready := make(chan struct{}, 1)
	position := b.waiters.add(waiter{ready: ready, importance: importance})
	b.serve(now)
	if patience >= MaxGrantWait {
		patience = max(MaxGrantWait, min(patience, b.lease.wait(position+1)))
	}
	b.mu.Unlock()
	b.kick()
	return b.await(ctx, ready, now, min(wait, patience), wait)
}

// await waits for a token: for a patience at a time until the owner had its say, and no longer than wait.
func (b *Bucket) await(ctx context.Context, ready chan struct{}, began time.Time, patience, wait time.Duration) Decision {
	for {
		decision := b.waitOnce(ctx, ready, patience)
		if decision == Admitted {
			return Admitted
		}
		b.mu.Lock()
		b.serve(b.timer.Now())
		i := b.waiters.find(ready)
		if i < 0 {
			// The token was handed over while the wait ended.
			b.mu.Unlock()
			return Admitted
		}
		waited := b.timer.Since(began)
		heard := b.answered.After(began)
		if decision == OverRate && !heard && waited < min(wait, MaxOwnerWait) {
			b.mu.Unlock()
			b.kick()
			continue
		}
		b.waiters.remove(i)
		b.mu.Unlock()
		if decision == OverRate && !heard {
			return OwnerUnresponsive
		}
		return decision
	}
}

func (b *Bucket) waitOnce(ctx context.Context, ready chan struct{}, wait time.Duration) Decision {
	sub := b.timer.After(wait)
	defer sub.Stop()
	select {
	case <-ready:
		return Admitted
	case <-sub.C:
		return OverRate
	case <-ctx.Done():
		return Canceled
	}
}

// count adds one arrival to the moving average of the demand.
func (b *Bucket) count(now time.Time) {
	b.decay(now)
	b.demand += 1 / demandWindow.Seconds()
}

func (b *Bucket) decay(now time.Time) {
	if dt := now.Sub(b.counted); dt > 0 {
		b.demand *= math.Exp(-dt.Seconds() / demandWindow.Seconds())
		b.counted = now
	}
}

// spend takes one token from the batches that expire first. A token may be put together from several batches.
func (b *Bucket) spend(now time.Time) bool {
	if b.own != nil {
		return b.own.spend(now)
	}
	b.drop(now)
	b.lease.fill(now)
	need := 1 - min(1, b.lease.tokens)
	if b.held(now) < need {
		return false
	}
	b.lease.tokens -= 1 - need
	b.turn++
	for need > 0 && len(b.batches) > 0 {
		first := &b.batches[0]
		part := min(need, first.tokens)
		first.tokens -= part
		need -= part
		b.settle(*first, now)
		if first.tokens <= tolerance {
			b.batches = b.batches[1:]
		}
	}
	b.assert.Check(asserter.SpentWithinGrant, need <= tolerance && b.settled <= b.end+tolerance, "")
	return true
}

// settle reports everything before what is left of a batch as settled.
func (b *Bucket) settle(first nodeBatch, now time.Time) {
	position := first.end - first.tokens
	if first.epoch != b.epoch || position <= b.settled {
		return
	}
	b.settled = position
	n := len(b.marks)
	if n > b.marksSent && now.Sub(b.marks[n-1].at) < markSpacing {
		// A later time for the same tokens is on the safe side.
		b.marks[n-1] = nodeMark{at: now, settled: position}
		return
	}
	if n >= maxMarks {
		b.thinMarks()
	}
	b.marks = append(b.marks, nodeMark{at: now, settled: position})
}

// thinMarks drops every other mark; the later of two covers the tokens of both.
func (b *Bucket) thinMarks() {
	kept := b.marks[:0]
	for i, m := range b.marks {
		if i%2 == 1 {
			kept = append(kept, m)
		}
	}
	b.marks = kept
	b.marksSent = 0
}

// drop gives up the batches that expired.
func (b *Bucket) drop(now time.Time) {
	for len(b.batches) > 0 && !now.Before(b.batches[0].expires) {
		first := b.batches[0]
		b.batches = b.batches[1:]
		if first.epoch == b.epoch {
			b.unspent += first.tokens
		}
		first.tokens = 0
		b.settle(first, now)
	}
}

func (b *Bucket) held(until time.Time) float64 {
	total := 0.0
	for _, one := range b.batches {
		if until.Before(one.expires) {
			total += one.tokens
		}
	}
	return total
}

// GrantRequest returns what to send to the owner of an epoch. It returns false when there is nothing to say.
func (b *Bucket) GrantRequest(account string, epoch uint64) (GrantRequest, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	if epoch != b.epoch {
		// The new owner counts what is held from the old epoch as carried.
		b.epoch, b.end, b.settled, b.unspent = epoch, 0, 0, 0
		b.marks = nil
	}
	b.drop(now)
	b.decay(now)
	b.lease.fill(now)
	idle := now.Sub(b.asked) > idleLifetime
	if idle && len(b.batches) == 0 && b.lease.Rate == 0 {
		return GrantRequest{}, false
	}
	want := 0.0
	if !idle {
		unleased := max(0, b.demand-b.lease.Rate/paceMargin)
		target := 1 + math.Ceil(unleased*horizon.Seconds()) + float64(len(b.waiters))
		want = max(0, target-b.held(now.Add(renewAhead)))
	}
	ask := GrantRequest{
		Account: account, Demand: b.demand, Want: want, Settled: b.settled, Unspent: b.unspent, Waiting: len(b.waiters),
		Lease: b.lease.Lease, Overflow: b.lease.overflow, Carryover: b.carried(),
	}
	if len(b.waiters) > 0 {
		ask.Importance = b.waiters[0].importance
	}
	for _, m := range b.marks {
		ask.Marks = append(ask.Marks, Mark{Age: now.Sub(m.at), Settled: m.settled})
	}
	b.marksSent = len(b.marks)
	return ask, true
}

// carried returns the tokens of earlier epochs that have not expired.
func (b *Bucket) carried() float64 {
	total := 0.0
	for _, one := range b.batches {
		if one.epoch != b.epoch {
			total += one.tokens
		}
	}
	return total
}

// IsIdle reports whether the bucket may be forgotten.
func (b *Bucket) IsIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiters) == 0 && len(b.batches) == 0 && b.timer.Since(b.asked) > 2*idleLifetime
}

// AddGrant takes in a grant of an epoch that was asked for at a time, and wakes waiting requests.
func (b *Bucket) AddGrant(g Grant, epoch uint64, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleetDemand, b.scarce = g.FleetDemand, g.Oversubscribed
	if epoch != b.epoch {
		return
	}
	b.answered = b.timer.Now()
	b.marks = b.marks[min(b.marksSent, len(b.marks)):]
	b.marksSent = 0
	now := b.timer.Now()
	b.lease.renew(g.Lease, asked, now)
	b.closedUntil = now.Add(g.RestrictedFor)
	if g.End <= b.end {
		return
	}
	b.end = g.End
	one := nodeBatch{epoch: epoch, tokens: g.Tokens, end: g.End, expires: asked.Add(GrantLifetime)}
	if len(b.batches) == 0 {
		// Batches that were granted but never arrived lie before this one.
		b.settled = max(b.settled, one.end-one.tokens)
	}
	b.batches = append(b.batches, one)
	b.serve(now)
}

// ReturnTokens gives up all tokens, before a planned stop.
func (b *Bucket) ReturnTokens() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.batches {
		b.batches[i].expires = time.Time{}
	}
	b.lease.Rate, b.lease.Capacity, b.lease.tokens = 0, 0, 0
	b.drop(b.timer.Now())
}

// State is what a bucket holds and knows, for logs.
type State struct {
	// Tokens is the number of tokens, with those of the lease.
	Tokens float64
	// Leased is the node's own rate in tokens a second.
	Leased float64
	// Demand and FleetDemand are in requests a second, at this node and over the fleet.
	Demand      float64
	FleetDemand float64
	// Waiting is the number of requests that wait for a token.
	Waiting int
	// GrantAge is the time since the owner was heard from.
	GrantAge time.Duration
}

// State returns the bucket's state.
func (b *Bucket) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	b.lease.fill(now)
	return State{
		Tokens: b.held(now) + b.lease.tokens, Leased: b.lease.Rate, Demand: b.demand, FleetDemand: b.fleetDemand,
		Waiting: len(b.waiters), GrantAge: now.Sub(b.answered),
	}
}

// RestrictedFor returns how long a new owner still grants only a part, while grants of earlier ones may last.
// It is zero for a node that holds a lease.
func (b *Bucket) RestrictedFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	b.lease.fill(now)
	if b.lease.Rate > 0 {
		return 0
	}
	return max(0, b.closedUntil.Sub(now))
}

// FleetDemand returns the account's demand over the whole fleet in requests a second, as last heard.
func (b *Bucket) FleetDemand() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.fleetDemand, b.demand)
}
