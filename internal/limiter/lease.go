package limiter

import "time"

const (
	// leasedShare is the part of an account's rate that nodes may hold as leases; the rest is granted on demand.
	leasedShare = 0.6
	// roomShare is the part of its burst that nodes may save up under their leases.
	roomShare = 0.4
	// leastRoom is the smallest room of use: with less no request could ever start.
	leastRoom = 1.0
	// leaseHeadroom is how much more than its demand a node is leased, so that it need not ask for small rises.
	leaseHeadroom = 1.25
	// usualWeight is the weight of a new report in a holder's usual demand: at two requests a second one report alone says
	// little.
	usualWeight = 0.1
	// maxLeaseWait is the longest that a request waits for its turn under a lease: about what a caller that was refused
	// would wait before it returns.
	maxLeaseWait = 500 * time.Millisecond
	// leaseMargin covers the rounding of a wait.
	leaseMargin = 5 * time.Millisecond
	// paceMargin is how much slower than its rate a lease fills, for a node whose clock runs fast.
	paceMargin = 1.045
)

// Lease lets a node admit requests at a rate of its own until it ends, so that a silent or a new owner stops nobody who
// keeps to the rate.
type Lease struct {
	// Rate is in tokens a second; the owner's own refill is smaller by as much.
	Rate float64
	// Capacity is how many tokens may be saved up.
	Capacity float64
	// Sequence grows with each lease to one holder.
	Sequence uint64
}

// nodeLease is a lease as the node holds it.
type nodeLease struct {
	Lease
	tokens float64
	// overflow is the total of what did not fit into the room.
	overflow float64
	filled   time.Time
	expires  time.Time
}

// fill adds what the lease gives until a moment. What it saved up ends with it.
func (l *nodeLease) fill(now time.Time) {
	if !now.Before(l.expires) {
		l.Rate, l.tokens = 0, 0
		return
	}
	if dt := now.Sub(l.filled); dt > 0 {
		full := l.tokens + l.Rate/paceMargin*dt.Seconds()
		l.tokens = min(l.Capacity, full)
		l.overflow += full - l.tokens
		l.filled = now
	}
}

// wait returns the time until the lease serves the last of some waiting requests, or zero when that is too long.
func (l *nodeLease) wait(waiting int) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	seconds := (float64(waiting) - l.tokens) / (l.Rate / paceMargin)
	if d := time.Duration(seconds*float64(time.Second)) + leaseMargin; d <= maxLeaseWait {
		return d
	}
	return 0
}

// renew takes over a newer lease that was asked for at a time.
func (l *nodeLease) renew(next Lease, asked, now time.Time) {
	if next.Sequence <= l.Sequence {
		return
	}
	l.fill(now)
	l.Lease = next
	l.tokens = min(l.tokens, next.Capacity)
	l.filled = now
	l.expires = asked.Add(GrantLifetime)
}

// heldLease is the most that a holder may have been leased, as the owner counts it.
type heldLease struct {
	Lease
	until time.Time
}

// at returns what counts as leased at a moment.
func (l heldLease) at(now time.Time) Lease {
	if !now.Before(l.until) {
		return Lease{}
	}
	return l.Lease
}

// leasable returns the rate and the room that all leases together may have.
func (p *pool) leasable() Lease {
	if p.burst < minLeasedBurst {
		return Lease{}
	}
	return Lease{Rate: p.rate * leasedShare, Capacity: p.burst * roomShare}
}

// leased returns the rate and the room of all leases that may be held at a moment, but for one holding. While an earlier
// owner's leases last, all that may be leased counts as leased.
func (p *pool) leased(now time.Time, but *holding) Lease {
	var sum Lease
	for _, h := range p.holdings {
		if h != but {
			l := h.lease.at(now)
			sum.Rate += l.Rate
			sum.Capacity += l.Capacity
		}
	}
	return sum
}

// freeRate returns the part of the rate that nobody holds as a lease.
func (p *pool) freeRate(now time.Time) float64 {
	if now.Before(p.carriedUntil) {
		return max(0, p.rate-max(p.leasable().Rate, p.leased(now, nil).Rate))
	}
	return max(0, p.rate-p.leased(now, nil).Rate)
}

// lease renews the lease of a holder that reported the one that it holds.
func (p *pool) lease(hold *holding, held Lease, demand float64, now time.Time) Lease {
	p.noteHeld(hold, held, now)
	hold.usual += (hold.demand - hold.usual) * usualWeight
	next := p.fairLease(hold, demand)
	if now.Before(p.carriedUntil) {
		// Leases that this owner does not know of may last: none may grow, and what shrinks now would be lost until then.
		next = held
		if p.lowered {
			// Leases of the larger terms must end.
			next = Lease{}
		}
	}
	// Leases of larger terms, which an earlier owner lowered, fit only in part.
	others, all := p.leased(now, hold), p.leasable()
	next.Rate = max(0, min(next.Rate, all.Rate-others.Rate))
	next.Capacity = max(0, min(next.Capacity, all.Capacity-others.Capacity))
	if next.Capacity < leastRoom {
		next = Lease{}
	}
	hold.sequence++
	next.Sequence = hold.sequence
	hold.lease = heldLease{
		Lease: Lease{Rate: max(next.Rate, hold.lease.Rate), Capacity: max(next.Capacity, hold.lease.Capacity)}, until: now.Add(ownerLifetime),
	}
	return next
}

// noteHeld takes in the lease that a holder says that it holds. Only news of the newest one proves that earlier ones ended.
func (p *pool) noteHeld(hold *holding, held Lease, now time.Time) {
	if held.Sequence == hold.sequence && hold.sequence > 0 {
		hold.lease.Lease = held
		return
	}
	if held.Sequence > hold.sequence {
		// The lease is an earlier owner's.
		hold.sequence = held.Sequence
		hold.lease = heldLease{Lease: held, until: now.Add(ownerLifetime)}
		return
	}
	if !now.Before(hold.lease.until) {
		hold.lease = heldLease{}
	}
}

// creditOverflow gives back what a holder could not save up since its last report, unless the level was full in between:
// then the owner would have lost it as well.
func (p *pool) creditOverflow(hold *holding, total float64, now time.Time) {
	since := hold.overflowAt
	hold.overflowAt = now
	if total < hold.overflow || since.IsZero() {
		// The first report of a holder, or one that was overtaken.
		hold.overflow = max(hold.overflow, total)
		return
	}
	gain := total - hold.overflow
	hold.overflow = total
	if p.fullAt.Before(since) {
		p.level += gain
		p.clamp(now)
	}
}

// fairLease returns a holder's part by its share of the demand.
func (p *pool) fairLease(hold *holding, demand float64) Lease {
	all := p.leasable()
	demand = max(demand, hold.usual)
	if demand <= 0 {
		return Lease{}
	}
	rate := hold.usual * leaseHeadroom
	if wanted := demand * leaseHeadroom; wanted > all.Rate {
		rate *= all.Rate / wanted
	}
	return Lease{Rate: rate, Capacity: max(leastRoom, all.Capacity*hold.usual/demand)}
}
