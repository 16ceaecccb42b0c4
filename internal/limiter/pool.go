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
	level       float64
	filled      time.Time
	fullAt      time.Time
	outstanding float64
	clips       clips
	carry       Carryover
	// carriedUntil is until when nodes that this owner has not heard of may hold something of earlier epochs.
	carriedUntil time.Time
	// earlierUntil is when the last grant of earlier epochs ends.
	earlierUntil time.Time
	// lowered tells that the terms were lowered while an earlier owner's grants may last.
	lowered  bool
	holdings map[Holder]*holding
	assert   *asserter.Asserter
}

// holding is what one holder was granted. Positions count tokens from the start of the epoch.
type holding struct {
	granted float64
	settled float64
	unspent float64
	batches []batch
	demand  float64
	seen    time.Time
	// waiting is the number of requests that wait for a token, and urgent the highest importance of them.
	waiting int
	urgent  uint32
	// usual is the demand over several reports.
	usual float64
	// lease is the most that the holder may be leased; sequence numbers the newest one.
	lease    heldLease
	sequence uint64
	// overflow is the total that the holder reported last, and overflowAt the time of that report.
	overflow   float64
	overflowAt time.Time
	// carried is what the holder has of earlier epochs, as it reported.
	carried float64
}

// batch is a grant that ends at a position and expires.
type batch struct {
	end     float64
	expires time.Time
}

// limit returns how many tokens level and outstanding may make up together.
func (p *pool) limit(now time.Time) float64 {
	unleased := p.burst - p.leasable().Capacity
	switch {
	case !now.Before(p.carriedUntil):
		return max(0, unleased-p.carried(now))
	case p.carry == CarryoverOne:
		return unleased - p.circulation()
	default:
		return 0
	}
}

// circulation returns how many granted tokens nodes may hold at once.
func (p *pool) circulation() float64 {
	unleased := p.burst - p.leasable().Capacity
	return min(unleased, max(leastCirculating, unleased*circulatingShare))
}

// grantable returns how much of a share may be granted beside what circulates. Tokens for later requests leave room for
// those that wait elsewhere. Less than one token would start no request.
func (p *pool) grantable(share, waiting float64, now time.Time) float64 {
	all := p.circulation()
	room := all - p.outstanding - p.carried(now)
	ahead := max(0, room-all*(1-aheadShare))
	tokens := min(share, max(min(waiting, room), ahead))
	if tokens < min(1, share) {
		return 0
	}
	return tokens
}

// carried returns what nodes reported to hold of earlier epochs.
func (p *pool) carried(now time.Time) float64 {
	if !now.Before(p.earlierUntil) {
		return 0
	}
	sum := 0.0
	for _, hold := range p.holdings {
		sum += hold.carried
	}
	return sum
}

// refill brings the level up to a moment. The limit changes when the carried grants end.
func (p *pool) refill(now time.Time) {
	if p.filled.Before(p.carriedUntil) && now.After(p.carriedUntil) {
		p.fill(p.carriedUntil, p.limit(p.filled))
	}
	p.fill(now, p.limit(now))
	p.expire(now)
}

// fill adds what the rate gives until a moment, and notes what did not fit.
func (p *pool) fill(until time.Time, limit float64) {
	if !until.After(p.filled) {
		return
	}
	// Leases that ended in between count to the end: less is refilled, never more.
	rate := p.freeRate(p.filled)
	gain := rate * until.Sub(p.filled).Seconds()
	room := max(0, limit-p.outstanding-p.level)
	if gain > room {
		full := p.filled.Add(time.Duration(room / rate * float64(time.Second)))
		p.clips.add(clip{from: full, to: until, rate: rate}, until)
		gain = room
		p.fullAt = until
	}
	p.level += gain
	p.filled = until
}

// clamp bounds the level after the limit fell.
func (p *pool) clamp(now time.Time) {
	p.level = max(0, min(p.level, p.limit(now)-p.outstanding))
}

func (p *pool) expire(now time.Time) {
	for h, hold := range p.holdings {
		for len(hold.batches) > 0 && !now.Before(hold.batches[0].expires) {
			p.settleSpent(hold, hold.batches[0].end, hold.batches[0].expires)
			hold.batches = hold.batches[1:]
		}
		if now.Sub(hold.seen) > holderLifetime && len(hold.batches) == 0 && !now.Before(hold.lease.until) {
			delete(p.holdings, h)
		}
	}
}

// settle moves a holding's settled position forward and returns by how much. Positions that were settled before
// change nothing.
func (p *pool) settle(hold *holding, position float64) float64 {
	position = min(position, hold.granted)
	if position <= hold.settled {
		return 0
	}
	freed := min(p.outstanding, position-hold.settled)
	p.outstanding -= freed
	hold.settled = position
	return freed
}

// settleSpent settles tokens that were spent by a moment, and gives back what was clipped after it because they
// seemed to be held.
func (p *pool) settleSpent(hold *holding, position float64, at time.Time) {
	freed := p.settle(hold, position)
	if freed > 0 {
		p.level += p.clips.take(freed, at)
	}
}

func (p *pool) draw(h Holder, ask GrantRequest, now time.Time) Grant {
	hold := p.holdings[h]
	if hold == nil {
		hold = &holding{carried: ask.Carryover}
		p.holdings[h] = hold
	}
	hold.carried = min(hold.carried, ask.Carryover)
	hold.seen, hold.demand = now, ask.Demand
	hold.urgent, hold.waiting = ask.Importance, ask.Waiting
	p.refill(now)
	p.credit(hold, ask, now)
	p.creditOverflow(hold, ask.Overflow, now)
	demand := p.demand(now)
	tokens := 0.0
	if !p.yields(ask, hold, now) {
		tokens = p.grantable(p.share(ask, demand), float64(ask.Waiting), now)
	}
	if tokens > 0 {
		p.level -= tokens
		p.outstanding += tokens
		hold.granted += tokens
		hold.batches = append(hold.batches, batch{end: hold.granted, expires: now.Add(ownerLifetime)})
		p.check(now)
	}
	return Grant{
		Tokens: tokens, End: hold.granted, FleetDemand: demand, Lease: p.lease(hold, ask.Lease, demand, now),
		Oversubscribed: demand > p.rate, RestrictedFor: max(0, p.carriedUntil.Sub(now)),
	}
}

// credit settles what the node reports. Tokens given up return to the level, unless they expired here before.
func (p *pool) credit(hold *holding, ask GrantRequest, now time.Time) {
	returned := max(0, min(ask.Unspent-hold.unspent, ask.Settled-hold.settled, hold.granted-hold.settled))
	hold.unspent = max(hold.unspent, ask.Unspent)
	// Which of the positions were given up is not known: the last ones are taken to be.
	for _, m := range ask.Marks {
		// The margin covers a node's clock that runs fast.
		at := now.Add(-m.Age + m.Age/10)
		p.settleSpent(hold, min(m.Settled, ask.Settled-returned), at)
	}
	p.settleSpent(hold, ask.Settled-returned, now)
	p.level += p.settle(hold, ask.Settled)
	for len(hold.batches) > 0 && hold.batches[0].end <= hold.settled {
		hold.batches = hold.batches[1:]
	}
	p.clamp(now)
}

func (p *pool) demand(now time.Time) float64 {
	total := 0.0
	for _, hold := range p.holdings {
		if now.Sub(hold.seen) < demandLifetime {
			total += hold.demand
		}
	}
	return total
}

// share returns how much of the level one node gets: all it wants when there is plenty, and its share of the demand when
// there is not. A share of less than one token goes to nodes at which a request waits for it.
func (p *pool) share(ask GrantRequest, demand float64) float64 {
	want := max(0, ask.Want)
	if want == 0 || p.level < 1 {
		return 0
	}
	if p.level > p.burst/2 && p.level >= 2*want {
		return want
	}
	fair := p.level
	if demand > ask.Demand {
		fair *= ask.Demand / demand
	}
	if fair < 1 {
		if ask.Waiting == 0 {
			return 0
		}
		fair = 1
	}
	return min(want, fair)
}

func (p *pool) check(now time.Time) {
	sum := p.level + p.outstanding
	ok := sum <= max(p.limit(now), p.outstanding)+tolerance
	detail := ""
	if !ok {
		detail = fmt.Sprintf("level %v outstanding %v burst %v", p.level, p.outstanding, p.burst)
	}
	p.assert.Check(asserter.TokensWithinBurst, ok, detail)
}
