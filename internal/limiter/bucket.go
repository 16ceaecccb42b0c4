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
	// demandHorizon is how far ahead a node requests tokens for its expected demand.
	demandHorizon = 1500 * time.Millisecond
	// renewBefore is how long before its expiry a batch stops counting as available, so that the node requests a
	// replacement in time.
	renewBefore = 1200 * time.Millisecond
	// idleTimeout is how long a node requests tokens for an account after its last request.
	idleTimeout = 20 * time.Second
	// demandWindow is the time constant of the moving average of demand.
	demandWindow = time.Second
	// maxMarks limits the number of marks in one exchange, and minMarkSpacing is the shortest time between two marks.
	maxMarks       = 16
	minMarkSpacing = 5 * time.Millisecond
	// askInterval is how often a waiting request asks the owner again.
	askInterval = 40 * time.Millisecond
	// MaxOwnerWait is the longest time that a request waits for an unresponsive owner.
	MaxOwnerWait = 2 * time.Second
	// MaxGrantWait is the longest time that a request waits for a granted token. A request may wait longer for the
	// node's lease to refill.
	MaxGrantWait = 150 * time.Millisecond
)

// Decision is the outcome of Bucket.Take.
type Decision int

// Outcomes of Bucket.Take.
const (
	// Admitted means that the request may start.
	Admitted Decision = iota
	// OverRate means that no token became available within the maximum wait.
	OverRate
	// Canceled means that the context was canceled first.
	Canceled
	// OwnerUnresponsive means that the owner did not reply, so the node can't determine whether the account is over its
	// rate.
	OwnerUnresponsive
)

// Bucket holds and spends the tokens of one client account at one node. It is safe for concurrent use.
type Bucket struct {
	timer  *timer.Service
	assert *asserter.Asserter
	wake   func()

	mu      sync.Mutex
	epoch   uint64
	batches []nodeBatch
	// granted, settled and unspent are total numbers of tokens since the start of the epoch.
	granted        float64
	settled        float64
	unspent        float64
	waiters        queue
	arrivals       arrivals
	oversubscribed bool
	spentCount     uint64
	tokenRate      tokenRate
	demand         float64
	demandUpdated  time.Time
	fleetDemand    float64
	lastReply      time.Time
	// lastAnswered is when the exchange was sent to which lastReply belongs.
	lastAnswered    time.Time
	lastTake        time.Time
	marks           []nodeMark
	marksSent       int
	lease           nodeLease
	restrictedUntil time.Time
	localRate       *localRate
	// sent is the newest report, and acknowledged the newest one that the owner has replied to.
	sent         report
	acknowledged report
}

// localRate is a token bucket that belongs to this node alone.
type localRate struct {
	rate       float64
	burst      float64
	available  float64
	refilledAt time.Time
}

// spend takes one token and reports whether there was one.
func (l *localRate) spend(now time.Time) bool {
	l.available = min(l.burst, l.available+l.rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.available < 1 {
		return false
	}
	l.available--
	return true
}

// BucketOption configures a Bucket.
type BucketOption func(*Bucket)

// WithLocalRate replaces the owner's grants by a fixed rate and burst at this node. Experiments use it as a baseline.
func WithLocalRate(rate, burst float64) BucketOption {
	return func(b *Bucket) {
		b.localRate = &localRate{rate: rate, burst: burst, available: burst, refilledAt: b.timer.Now()}
	}
}

// nodeMark records the total number of settled tokens at a time.
type nodeMark struct {
	at      time.Time
	settled float64
}

// nodeBatch is the unspent part of a grant at the node.
type nodeBatch struct {
	epoch   uint64
	tokens  float64
	end     float64
	expires time.Time
}

// NewBucket returns an empty bucket. The bucket calls wake when it needs tokens before the next exchange with the owner.
func NewBucket(t *timer.Service, assert *asserter.Asserter, wake func(), opts ...BucketOption) *Bucket {
	b := &Bucket{timer: t, assert: assert, wake: wake, demandUpdated: t.Now(), lastTake: t.Now()}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Take spends one token on a request of the given importance. If no token is available, it waits for at most maxWait,
// or, while the owner does not reply, for at most ownerWait.
func (b *Bucket) Take(ctx context.Context, importance uint32, maxWait, ownerWait time.Duration) Decision {
	b.mu.Lock()
	now := b.timer.Now()
	b.countArrival(now)
	b.arrivals.add(importance, now)
	b.lastTake = now
	if b.localRate != nil {
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
	if b.isQueueFull(importance, maxWait, now) {
		b.mu.Unlock()
		return OverRate
	}
	ready := make(chan struct{}, 1)
	index := b.waiters.add(waiter{ready: ready, importance: importance})
	b.serveWaiters(now)
	if maxWait >= MaxGrantWait {
		maxWait = max(MaxGrantWait, min(maxWait, b.lease.wait(index+1)))
	}
	b.mu.Unlock()
	b.wake()
	return b.await(ctx, ready, now, min(ownerWait, maxWait), ownerWait)
}

// await waits for a token. It waits for maxWait, and repeats this while the owner has not replied since start, until
// ownerWait or the limit for an unresponsive owner has passed.
func (b *Bucket) await(ctx context.Context, ready chan struct{}, start time.Time, maxWait, ownerWait time.Duration) Decision {
	for {
		decision := b.waitOnce(ctx, ready, maxWait)
		if decision == Admitted {
			return Admitted
		}
		b.mu.Lock()
		b.serveWaiters(b.timer.Now())
		i := b.waiters.find(ready)
		if i < 0 {
			// The token was delivered as the wait ended.
			b.mu.Unlock()
			return Admitted
		}
		waited := b.timer.Since(start)
		ownerReplied := b.hasReplied(start)
		if decision == OverRate && !ownerReplied && waited < min(ownerWait, MaxOwnerWait) {
			b.mu.Unlock()
			b.wake()
			continue
		}
		b.waiters.remove(i)
		b.mu.Unlock()
		if decision == OverRate && !ownerReplied {
			return OwnerUnresponsive
		}
		return decision
	}
}

// hasReplied reports whether the owner has replied to a request that waits since start. While the account is within its rate, a reply
// to an exchange that was sent earlier does not count: the owner may give a token once it is asked.
func (b *Bucket) hasReplied(start time.Time) bool {
	return b.lastReply.After(start) && (b.oversubscribed || !b.lastAnswered.Before(start))
}

// waitOnce waits for a token for at most wait. A request whose account is within its rate asks again meanwhile: the tokens may
// just have been at other nodes.
func (b *Bucket) waitOnce(ctx context.Context, ready chan struct{}, wait time.Duration) Decision {
	sub := b.timer.After(wait)
	defer sub.Stop()
	again := b.timer.Every(askInterval)
	defer again.Stop()
	for {
		select {
		case <-ready:
			return Admitted
		case <-again.C:
			if !b.isOversubscribed() {
				b.wake()
			}
		case <-sub.C:
			return OverRate
		case <-ctx.Done():
			return Canceled
		}
	}
}

func (b *Bucket) isOversubscribed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.oversubscribed
}

// countArrival adds one request to the moving average of demand.
func (b *Bucket) countArrival(now time.Time) {
	b.decayDemand(now)
	b.demand += 1 / demandWindow.Seconds()
}

func (b *Bucket) decayDemand(now time.Time) {
	if dt := now.Sub(b.demandUpdated); dt > 0 {
		b.demand *= math.Exp(-dt.Seconds() / demandWindow.Seconds())
		b.demandUpdated = now
	}
}

// spend takes one token from the lease and then from the batches that expire first, and reports whether there was one.
// Fractions from several batches may make up the token.
func (b *Bucket) spend(now time.Time) bool {
	if b.localRate != nil {
		return b.localRate.spend(now)
	}
	b.dropExpired(now)
	b.lease.refill(now)
	need := 1 - min(1, b.lease.tokens)
	if b.tokensValidAt(now) < need {
		return false
	}
	b.lease.tokens -= 1 - need
	b.spentCount++
	b.tokenRate.add(1, now)
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
	b.assert.Check(asserter.SpentWithinGrant, need <= tolerance && b.settled <= b.granted+tolerance, "")
	return true
}

// settle advances the settled total to the start of the unspent part of the batch.
func (b *Bucket) settle(first nodeBatch, now time.Time) {
	total := first.end - first.tokens
	if first.epoch != b.epoch || total <= b.settled {
		return
	}
	b.settled = total
	n := len(b.marks)
	if n > b.marksSent && now.Sub(b.marks[n-1].at) < minMarkSpacing {
		// A later time for the same tokens is safe: the owner reclaims less discarded refill.
		b.marks[n-1] = nodeMark{at: now, settled: total}
		return
	}
	if n >= maxMarks {
		b.thinMarks()
	}
	b.marks = append(b.marks, nodeMark{at: now, settled: total})
}

// thinMarks removes every other mark. The later mark of a pair covers the tokens of both.
func (b *Bucket) thinMarks() {
	thinned := b.marks[:0]
	for i, m := range b.marks {
		if i%2 == 1 {
			thinned = append(thinned, m)
		}
	}
	b.marks = thinned
	b.marksSent = 0
}

// dropExpired removes expired batches and counts their tokens as unspent.
func (b *Bucket) dropExpired(now time.Time) {
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

// tokensValidAt returns the number of granted tokens that have not expired at t.
func (b *Bucket) tokensValidAt(t time.Time) float64 {
	total := 0.0
	for _, batch := range b.batches {
		if t.Before(batch.expires) {
			total += batch.tokens
		}
	}
	return total
}

// GrantRequest returns the message to send to the owner of an epoch. It returns false if the bucket needs no tokens and
// has nothing to report.
func (b *Bucket) GrantRequest(account string, epoch uint64) (GrantRequest, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	if epoch != b.epoch {
		// The new owner counts tokens from the old epoch as carry-over.
		b.epoch, b.granted, b.settled, b.unspent = epoch, 0, 0, 0
		b.marks = nil
	}
	b.dropExpired(now)
	b.decayDemand(now)
	b.lease.refill(now)
	idle := now.Sub(b.lastTake) > idleTimeout
	if idle && len(b.batches) == 0 && b.lease.Rate == 0 {
		return GrantRequest{}, false
	}
	want := 0.0
	if !idle {
		unleasedDemand := max(0, b.demand-b.lease.Rate/clockMargin)
		target := 1 + math.Ceil(unleasedDemand*demandHorizon.Seconds()) + float64(len(b.waiters))
		want = max(0, target-b.tokensValidAt(now.Add(renewBefore)))
	}
	req := GrantRequest{
		Account: account, Demand: b.demand, Want: want, Settled: b.settled, Unspent: b.unspent, Waiting: len(b.waiters),
		Lease: b.lease.Lease, Overflow: b.lease.overflow, Carryover: b.carryover(),
	}
	if len(b.waiters) > 0 {
		req.Importance = b.waiters[0].importance
	}
	for _, m := range b.marks {
		req.Marks = append(req.Marks, Mark{Age: now.Sub(m.at), Settled: m.settled})
	}
	b.marksSent = len(b.marks)
	b.sent = b.newReport(now)
	return req, true
}

// carryover returns the number of tokens from earlier epochs that have not expired.
func (b *Bucket) carryover() float64 {
	total := 0.0
	for _, batch := range b.batches {
		if batch.epoch != b.epoch {
			total += batch.tokens
		}
	}
	return total
}

// IsIdle reports whether the bucket is unused and can be removed.
func (b *Bucket) IsIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiters) == 0 && len(b.batches) == 0 && b.timer.Since(b.lastTake) > 2*idleTimeout
}

// AddGrant adds a grant of the given epoch and serves waiting requests. The grant's lifetime starts at requested,
// the time at which the node sent the request.
func (b *Bucket) AddGrant(g Grant, epoch uint64, requested time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleetDemand, b.oversubscribed = g.FleetDemand, g.Oversubscribed
	if epoch != b.epoch {
		return
	}
	b.lastReply, b.lastAnswered = b.timer.Now(), requested
	b.acknowledged = b.sent
	b.marks = b.marks[min(b.marksSent, len(b.marks)):]
	b.marksSent = 0
	now := b.timer.Now()
	b.lease.renew(g.Lease, requested, now)
	b.restrictedUntil = now.Add(g.RestrictedFor)
	if g.End <= b.granted {
		return
	}
	b.granted = g.End
	batch := nodeBatch{epoch: epoch, tokens: g.Tokens, end: g.End, expires: requested.Add(GrantLifetime)}
	if len(b.batches) == 0 {
		// Grants whose replies were lost precede this one; their tokens can't be spent and count as settled.
		b.settled = max(b.settled, batch.end-batch.tokens)
	}
	b.batches = append(b.batches, batch)
	waiting := len(b.waiters)
	b.serveWaiters(now)
	if len(b.waiters) < waiting && b.lease.Rate == 0 {
		// Spent tokens limit what other nodes get until they are reported.
		b.wake()
	}
}

// ReturnTokens gives up all tokens and the lease before a planned stop, so that the next exchange reports them as
// unspent.
func (b *Bucket) ReturnTokens() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.batches {
		b.batches[i].expires = time.Time{}
	}
	b.lease.Rate, b.lease.Capacity, b.lease.tokens = 0, 0, 0
	b.dropExpired(b.timer.Now())
}

// State is a snapshot of a bucket for logs.
type State struct {
	// Tokens is the number of available tokens, including those of the lease.
	Tokens float64
	// Leased is the rate of the node's lease in tokens per second.
	Leased float64
	// Demand and FleetDemand are the demand at this node and over the whole fleet in requests per second.
	Demand      float64
	FleetDemand float64
	// Waiting is the number of requests that wait for a token.
	Waiting int
	// GrantAge is the time since the owner's last reply.
	GrantAge time.Duration
}

// State returns a snapshot of the bucket.
func (b *Bucket) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	b.lease.refill(now)
	return State{
		Tokens: b.tokensValidAt(now) + b.lease.tokens, Leased: b.lease.Rate, Demand: b.demand, FleetDemand: b.fleetDemand,
		Waiting: len(b.waiters), GrantAge: now.Sub(b.lastReply),
	}
}

// RestrictedFor returns how long a new owner still restricts its grants because grants of earlier owners may be
// valid. It is zero while the node holds a lease.
func (b *Bucket) RestrictedFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	b.lease.refill(now)
	if b.lease.Rate > 0 {
		return 0
	}
	return max(0, b.restrictedUntil.Sub(now))
}

// FleetDemand returns the account's demand over the whole fleet in requests per second, as last reported by the owner,
// but at least the demand at this node.
func (b *Bucket) FleetDemand() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.fleetDemand, b.demand)
}
