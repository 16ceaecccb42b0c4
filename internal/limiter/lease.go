package limiter

import "time"

const (
	// leasedShare is the share of an account's rate that nodes may hold as leases. The owner grants the rest on demand.
	leasedShare = 0.6
	// leaseCapacityShare is the share of an account's burst that the capacities of all its leases may add up to.
	leaseCapacityShare = 0.4
	// minLeaseCapacity is the smallest useful capacity in tokens. With less, no request could ever start.
	minLeaseCapacity = 1.0
	// leaseHeadroom is the ratio of a node's lease to its demand, so that the node need not request tokens for a small
	// rise.
	leaseHeadroom = 1.25
	// averageWeight is the weight of a new report in the moving average of a holder's demand. A single report is
	// unreliable for accounts with a low demand, such as two requests per second.
	averageWeight = 0.1
	// maxLeaseWait is the longest time that a request waits for the lease to refill. A refused caller would wait about
	// as long before its retry.
	maxLeaseWait = 500 * time.Millisecond
	// leaseWaitMargin covers rounding in the computed wait.
	leaseWaitMargin = 5 * time.Millisecond
	// clockMargin divides the refill rate of a lease, so that a node whose clock runs fast stays within the leased rate.
	clockMargin = 1.045
)

// Lease lets a node admit requests at a rate of its own until it expires. Requests within the rate are thus admitted
// while the owner is unresponsive or new.
type Lease struct {
	// Rate is in tokens per second. The owner's own refill rate is reduced by it.
	Rate float64
	// Capacity is the largest number of tokens that the lease can accumulate.
	Capacity float64
	// Sequence increases with each lease to the same holder.
	Sequence uint64
}

// nodeLease is the node's side of a lease.
type nodeLease struct {
	Lease
	tokens float64
	// overflow is the total refill that exceeded the capacity.
	overflow   float64
	refilledAt time.Time
	expires    time.Time
}

// refill adds the lease's refill up to now. When the lease has expired, its accumulated tokens are lost.
func (l *nodeLease) refill(now time.Time) {
	if !now.Before(l.expires) {
		l.Rate, l.tokens = 0, 0
		return
	}
	if dt := now.Sub(l.refilledAt); dt > 0 {
		full := l.tokens + l.Rate/clockMargin*dt.Seconds()
		l.tokens = min(l.Capacity, full)
		l.overflow += full - l.tokens
		l.refilledAt = now
	}
}

// wait returns the time until the lease has refilled enough to serve the given number of waiting requests, or zero if
// that exceeds maxLeaseWait.
func (l *nodeLease) wait(waiting int) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	seconds := (float64(waiting) - l.tokens) / (l.Rate / clockMargin)
	if d := time.Duration(seconds*float64(time.Second)) + leaseWaitMargin; d <= maxLeaseWait {
		return d
	}
	return 0
}

// renew replaces the lease by a newer one, whose lifetime starts at requested. It ignores an older lease.
func (l *nodeLease) renew(next Lease, requested, now time.Time) {
	if next.Sequence <= l.Sequence {
		return
	}
	l.refill(now)
	l.Lease = next
	l.tokens = min(l.tokens, next.Capacity)
	l.refilledAt = now
	l.expires = requested.Add(GrantLifetime)
}

// ownerLease is the upper bound of what a holder may have been leased, as accounted by the owner.
type ownerLease struct {
	Lease
	expires time.Time
}

// at returns the lease at a time; it is empty once the lease has expired.
func (l ownerLease) at(now time.Time) Lease {
	if !now.Before(l.expires) {
		return Lease{}
	}
	return l.Lease
}

// leasable returns the limits on the total rate and capacity of all leases.
func (p *pool) leasable() Lease {
	if p.burst < minLeasedBurst {
		return Lease{}
	}
	return Lease{Rate: p.rate * leasedShare, Capacity: p.burst * leaseCapacityShare}
}

// unleasedRate returns the part of the rate that is not leased. While leases of earlier owners may be valid, everything
// that may be leased counts as leased.
func (p *pool) unleasedRate(now time.Time) float64 {
	if now.Before(p.carryoverUntil) {
		return max(0, p.rate-max(p.leasable().Rate, p.totals.lease.Rate))
	}
	return max(0, p.rate-p.totals.lease.Rate)
}

// renewLease returns the next lease of a holder, which reported its current one.
func (p *pool) renewLease(holder *holderState, reported Lease, demand float64, now time.Time) Lease {
	p.recordLease(holder, reported, now)
	holder.averageDemand += (holder.demand - holder.averageDemand) * averageWeight
	next := p.fairLease(holder, demand)
	if now.Before(p.carryoverUntil) {
		// Unknown leases of earlier owners may still be valid. No lease may grow, and rate taken from a lease now could
		// not be granted until they expire.
		next = reported
		if p.rateLowered {
			// Leases that were granted under the higher rate or burst must end.
			next = Lease{}
		}
	}
	// Leases that an earlier owner granted under a higher rate or burst may exceed the limits.
	others, limits := p.totals.othersLease(holder), p.leasable()
	next.Rate = max(0, min(next.Rate, limits.Rate-others.Rate))
	next.Capacity = max(0, min(next.Capacity, limits.Capacity-others.Capacity))
	if next.Capacity < minLeaseCapacity {
		next = Lease{}
	}
	holder.sequence++
	next.Sequence = holder.sequence
	holder.lease = ownerLease{
		Lease:   Lease{Rate: max(next.Rate, holder.lease.Rate), Capacity: max(next.Capacity, holder.lease.Capacity)},
		expires: now.Add(ownerLifetime),
	}
	return next
}

// recordLease records the lease that a holder reported. Only a report of the newest lease proves that earlier ones are
// no longer in use.
func (p *pool) recordLease(holder *holderState, reported Lease, now time.Time) {
	if reported.Sequence == holder.sequence && holder.sequence > 0 {
		holder.lease.Lease = reported
		return
	}
	if reported.Sequence > holder.sequence {
		// An earlier owner granted the lease.
		holder.sequence = reported.Sequence
		holder.lease = ownerLease{Lease: reported, expires: now.Add(ownerLifetime)}
		return
	}
	if !now.Before(holder.lease.expires) {
		holder.lease = ownerLease{}
	}
}

// creditOverflow returns to the pool the lease refill that exceeded the holder's capacity since its last report. If the
// pool was full in that time, it would have discarded the refill too, and nothing is returned.
func (p *pool) creditOverflow(holder *holderState, total float64, now time.Time) {
	since := holder.overflowAt
	holder.overflowAt = now
	if total < holder.overflow || since.IsZero() {
		// This is the first report of the holder, or one that arrived out of order.
		holder.overflow = max(holder.overflow, total)
		return
	}
	gain := total - holder.overflow
	holder.overflow = total
	if p.lastFullAt.Before(since) {
		p.available += gain
		p.clamp(now)
	}
}

// fairLease returns the lease in proportion to a holder's share of the demand.
func (p *pool) fairLease(holder *holderState, demand float64) Lease {
	limits := p.leasable()
	demand = max(demand, holder.averageDemand)
	if demand <= 0 {
		return Lease{}
	}
	rate := holder.averageDemand * leaseHeadroom
	if wanted := demand * leaseHeadroom; wanted > limits.Rate {
		rate *= limits.Rate / wanted
	}
	return Lease{Rate: rate, Capacity: max(minLeaseCapacity, limits.Capacity*holder.averageDemand/demand)}
}
