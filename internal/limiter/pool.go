package limiter

import (
	"fmt"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
)

// pool is the token bucket of one account.
type pool struct {
	rate        float64
	burst       float64
	available   float64
	refilledAt  time.Time
	lastFullAt  time.Time
	outstanding float64
	discards    discards
	carryover   Carryover
	// carryoverUntil is until when nodes that have not reported to this owner may hold grants of earlier epochs.
	carryoverUntil time.Time
	// earlierGrantsUntil is when the last grant of earlier epochs expires.
	earlierGrantsUntil time.Time
	// rateLowered reports whether the rate or burst was lowered while grants of an earlier owner may be valid.
	rateLowered bool
	holders     map[Holder]*holderState
	totals      totals
	assert      *asserter.Asserter
}

// holderState is the owner's state of one holder. Granted, settled, unspent and the ends of batches are token counts
// since the start of the epoch.
type holderState struct {
	holder   Holder
	granted  float64
	settled  float64
	unspent  float64
	batches  []ownerBatch
	demand   float64
	lastSeen time.Time
	// waiting is the number of requests that wait for a token, and maxImportance their highest importance.
	waiting       int
	maxImportance uint32
	// averageDemand is the moving average of demand over several reports.
	averageDemand float64
	// lease is the upper bound of the holder's lease, and sequence the sequence number of its newest lease.
	lease    ownerLease
	sequence uint64
	// overflow is the holder's last reported total, and overflowAt the time of that report.
	overflow   float64
	overflowAt time.Time
	// carryover is the reported number of tokens from earlier epochs.
	carryover float64
	// counted is the holder's part of the totals, due the time at which it changes by itself, and index the holder's place
	// in the heap by that time.
	counted contribution
	due     time.Time
	index   int
}

// ownerBatch is a grant as accounted by the owner. Its end is the holder's total number of granted tokens.
type ownerBatch struct {
	end     float64
	expires time.Time
}

// limit returns the largest permitted sum of available and outstanding tokens.
func (p *pool) limit(now time.Time) float64 {
	unleased := p.burst - p.leasable().Capacity
	switch {
	case !now.Before(p.carryoverUntil):
		return max(0, unleased-p.carryoverTokens(now))
	case p.carryover == CarryoverOne:
		return unleased - p.maxOutstanding()
	default:
		return 0
	}
}

// maxOutstanding returns the limit on outstanding tokens.
func (p *pool) maxOutstanding() float64 {
	unleased := p.burst - p.leasable().Capacity
	return min(unleased, max(minOutstandingLimit, unleased*outstandingShare))
}

// grantable returns how much of share may be granted without exceeding the limit on outstanding tokens. Tokens beyond
// those for waiting requests are limited to prefetchShare, which leaves tokens for requests that wait at other nodes.
// It returns zero instead of less than one token, since that could start no request.
func (p *pool) grantable(share, waiting float64, now time.Time) float64 {
	limit := p.maxOutstanding()
	room := limit - p.outstanding - p.carryoverTokens(now)
	prefetch := max(0, room-limit*(1-prefetchShare))
	tokens := min(share, max(min(waiting, room), prefetch))
	if tokens < min(1, share) {
		return 0
	}
	return tokens
}

// carryoverTokens returns the reported number of tokens from earlier epochs at all nodes.
func (p *pool) carryoverTokens(now time.Time) float64 {
	if !now.Before(p.earlierGrantsUntil) {
		return 0
	}
	return max(0, p.totals.carryover)
}

// refill refills the pool and expires batches up to now. It refills in two steps if the carry-over ended in between,
// because the limit changes then.
func (p *pool) refill(now time.Time) {
	if p.refilledAt.Before(p.carryoverUntil) && now.After(p.carryoverUntil) {
		p.refillUntil(p.carryoverUntil, p.limit(p.refilledAt))
	}
	p.refillUntil(now, p.limit(now))
	p.expire(now)
}

// refillUntil adds the refill up to a time and records what was discarded.
func (p *pool) refillUntil(until time.Time, limit float64) {
	if !until.After(p.refilledAt) {
		return
	}
	// A lease that expired in between counts for the whole period. This can refill too little, never too much.
	rate := p.unleasedRate(p.refilledAt)
	gain := rate * until.Sub(p.refilledAt).Seconds()
	room := max(0, limit-p.outstanding-p.available)
	if gain > room {
		full := p.refilledAt.Add(time.Duration(room / rate * float64(time.Second)))
		p.discards.add(discard{from: full, to: until, rate: rate}, until)
		gain = room
		p.lastFullAt = until
	}
	p.available += gain
	p.refilledAt = until
}

// clamp reduces the available tokens to the limit, which may have decreased.
func (p *pool) clamp(now time.Time) {
	p.available = max(0, min(p.available, subtractDown(p.limit(now), p.outstanding)))
}

// expire settles expired batches and removes holders that no longer send requests.
func (p *pool) expire(now time.Time) {
	for holder := p.totals.next(now); holder != nil; holder = p.totals.next(now) {
		for len(holder.batches) > 0 && !now.Before(holder.batches[0].expires) {
			p.settleSpent(holder, holder.batches[0].end, holder.batches[0].expires)
			holder.batches = holder.batches[1:]
		}
		if holder.isGone(now) {
			p.totals.remove(holder)
			delete(p.holders, holder.holder)
			continue
		}
		p.totals.update(holder, now)
	}
}

// settle advances a holder's settled total and returns the number of outstanding tokens that this freed. A total that is
// already settled has no effect.
func (p *pool) settle(holder *holderState, total float64) float64 {
	total = min(total, holder.granted)
	if total <= holder.settled {
		return 0
	}
	freed := min(p.outstanding, total-holder.settled)
	p.outstanding -= freed
	holder.settled = total
	return freed
}

// settleSpent settles tokens that were spent by a time. It reclaims refill that was discarded after that time because
// these tokens still counted as outstanding.
func (p *pool) settleSpent(holder *holderState, total float64, at time.Time) {
	freed := p.settle(holder, total)
	if freed > 0 {
		p.available += p.discards.reclaim(freed, at)
	}
}

func (p *pool) grant(h Holder, req GrantRequest, now time.Time) Grant {
	holder := p.holders[h]
	if holder == nil {
		holder = &holderState{holder: h, carryover: req.Carryover, lastSeen: now, index: -1}
		p.holders[h] = holder
		p.totals.update(holder, now)
	}
	holder.lastSeen = now
	p.totals.setCarryover(holder, min(holder.carryover, req.Carryover))
	// Leases that have expired since the last refill count until now, so the other totals change after the refill.
	p.refill(now)
	holder.demand = req.Demand
	holder.maxImportance, holder.waiting = req.Importance, req.Waiting
	p.credit(holder, req, now)
	p.creditOverflow(holder, req.Overflow, now)
	p.totals.update(holder, now)
	demand := max(req.Demand, p.totals.demand)
	tokens := 0.0
	if !p.yields(req, holder) {
		tokens = p.grantable(p.share(holder, req, demand), float64(req.Waiting), now)
	}
	if tokens > 0 {
		p.available = subtractDown(p.available, tokens)
		p.outstanding = addDown(p.outstanding, tokens)
		holder.granted += tokens
		holder.batches = append(holder.batches, ownerBatch{end: holder.granted, expires: now.Add(ownerLifetime)})
		p.check(now)
	}
	lease := p.renewLease(holder, req.Lease, demand, now)
	p.totals.update(holder, now)
	return Grant{
		Tokens: tokens, End: holder.granted, FleetDemand: demand, Lease: lease,
		Oversubscribed: demand > p.rate, RestrictedFor: max(0, p.carryoverUntil.Sub(now)),
	}
}

// credit settles the tokens that a holder reported as spent or given up. Tokens that were given up become available
// again, unless they had already expired at the owner.
func (p *pool) credit(holder *holderState, req GrantRequest, now time.Time) {
	returned := max(0, min(req.Unspent-holder.unspent, req.Settled-holder.settled, holder.granted-holder.settled))
	holder.unspent = max(holder.unspent, req.Unspent)
	// The report does not include which tokens were given up; the last ones are assumed.
	for _, m := range req.Marks {
		// The margin covers a fast clock at the node.
		at := now.Add(-m.Age + m.Age/10)
		p.settleSpent(holder, min(m.Settled, req.Settled-returned), at)
	}
	p.settleSpent(holder, req.Settled-returned, now)
	p.available += p.settle(holder, req.Settled)
	for len(holder.batches) > 0 && holder.batches[0].end <= holder.settled {
		holder.batches = holder.batches[1:]
	}
	p.clamp(now)
}

// share returns how many of the available tokens one node gets: all that its waiting requests need if plenty are
// available, and otherwise a part in proportion to its demand. A part below one token is rounded up for a node with
// waiting requests, and is zero for other nodes.
func (p *pool) share(holder *holderState, req GrantRequest, demand float64) float64 {
	waiting := min(max(0, req.Want), float64(req.Waiting))
	want := waiting + min(max(0, req.Want)-waiting, p.prefetch(holder, req.Demand, demand))
	if want <= 0 {
		return 0
	}
	if p.available < 1 {
		return p.topUp(holder, req)
	}
	if p.available >= 2*want {
		return want
	}
	fair := p.available
	if demand > req.Demand {
		fair *= req.Demand / demand
	}
	if fair < 1 {
		if req.Waiting == 0 {
			return 0
		}
		fair = 1
	}
	return min(want, fair)
}

// topUp returns the part of a token that a waiting request lacks, if there is as much. Otherwise parts of tokens would lie unused
// at the owner and at the node.
func (p *pool) topUp(holder *holderState, req GrantRequest) float64 {
	missing := 1 - (holder.granted - holder.settled)
	if req.Waiting == 0 || missing <= 0 || missing > min(1, p.available) {
		return 0
	}
	return missing
}

// prefetch returns how many tokens a node may get for future requests: its part, by demand, of what all nodes may hold
// for them, less what it holds. A part below one token would mostly expire unused while requests wait at other nodes.
func (p *pool) prefetch(holder *holderState, nodeDemand, demand float64) float64 {
	part := p.maxOutstanding() * prefetchShare * nodeDemand / max(demand, p.rate)
	tokens := part - (holder.granted - holder.settled)
	if tokens < 1 {
		return 0
	}
	return tokens
}

// check asserts that available and outstanding tokens stay within the limit.
func (p *pool) check(now time.Time) {
	sum := p.available + p.outstanding
	ok := sum <= max(p.limit(now), p.outstanding)+tolerance
	detail := ""
	if !ok {
		detail = fmt.Sprintf("level %v outstanding %v burst %v", p.available, p.outstanding, p.burst)
	}
	p.assert.Check(asserter.TokensWithinBurst, ok, detail)
}
