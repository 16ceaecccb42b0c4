// Package limiter enforces the rate and burst of every client account over the whole fleet. An Owner keeps the token
// bucket of each account and grants tokens and leases to nodes. A Bucket spends them at one node.
//
// In any window of length T the fleet admits at most burst + rate·T requests: the tokens granted to nodes, the capacity
// of their leases and the owner's available tokens together never exceed the burst, and the owner refills at the rate
// less the leased rate. It discards refill that would exceed the burst. Nodes report when they spent their tokens, and
// refill discarded after that time is reclaimed, so that late reports do not reduce the effective rate.
package limiter

import (
	"time"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
)

const (
	// GrantLifetime is how long a node may spend a grant, counted from its request.
	GrantLifetime = 2500 * time.Millisecond
	// ownerLifetime is how long the owner counts a grant as outstanding. The margin covers clocks of different speed.
	ownerLifetime = GrantLifetime + GrantLifetime/10
	// holderLifetime is how long the owner keeps the state of a node after its last request.
	holderLifetime = 10 * time.Second
	// outstandingShare is the share of a burst, less the capacity of leases, that may be outstanding as grants. A new
	// owner grants from the rest while the old owner's grants may be valid.
	outstandingShare = 0.7
	// prefetchShare is the share of the outstanding limit that may be granted for future requests.
	prefetchShare = 0.6
	// minOutstandingLimit is the smallest limit on outstanding tokens. With less, no request could start.
	minOutstandingLimit = 1.0
	// minLeasedBurst is the smallest burst, in tokens, at which part of the rate is leased.
	minLeasedBurst = 20
	// demandLifetime is how long a reported demand counts towards the fleet's demand.
	demandLifetime = 3 * time.Second
	// tolerance is the rounding error allowed in sums of tokens.
	tolerance = 1e-6
)

// Holder identifies one incarnation of a node, to which tokens are granted.
type Holder struct {
	Node        string
	Incarnation uint64
}

// GrantRequest is a node's report and request for one client account.
type GrantRequest struct {
	Account string
	// Demand is the demand at the node in requests per second.
	Demand float64
	// Want is the number of tokens that the node requests.
	Want float64
	// Settled is the total number of tokens spent or given up in this epoch.
	Settled float64
	// Unspent is the part of Settled that was given up unspent.
	Unspent float64
	// Waiting is the number of requests that wait for a token.
	Waiting int
	// Importance is the highest importance of those requests.
	Importance uint32
	// Marks is the recent history of Settled, oldest first.
	Marks []Mark
	// Lease is the node's current lease. Its rate is zero once it has expired.
	Lease Lease
	// Overflow is the total refill of the node's leases that exceeded their capacity.
	Overflow float64
	// Carryover is the number of tokens that the node still holds from earlier epochs.
	Carryover float64
}

// Mark records that Settled tokens had been settled at the given age before the message was sent.
type Mark struct {
	Age     time.Duration
	Settled float64
}

// Grant is the owner's reply: a batch of tokens and a lease.
type Grant struct {
	Account string
	Tokens  float64
	// End is the total number of tokens granted to the holder in this epoch, including this batch.
	End float64
	// FleetDemand is the demand over the whole fleet in requests per second.
	FleetDemand float64
	// Lease replaces the node's current lease.
	Lease Lease
	// Oversubscribed reports whether the account's demand exceeds its rate.
	Oversubscribed bool
	// RestrictedFor is how long the owner still grants only from its reserve, because grants of earlier owners may
	// be valid.
	RestrictedFor time.Duration
}

// Carryover describes which grants of earlier epochs may still be valid when a new epoch begins.
type Carryover int

// Values of Carryover.
const (
	// CarryoverNone means that this is the fleet's first epoch.
	CarryoverNone Carryover = iota
	// CarryoverOne means that one earlier owner may have granted up to the outstanding limit.
	CarryoverOne
	// CarryoverSeveral means that several owners succeeded each other so quickly that the reserve may be granted
	// too.
	CarryoverSeveral
)

// Owner grants the tokens and leases of all client accounts in one epoch. It is not safe for concurrent use.
type Owner struct {
	pools     map[string]*pool
	start     time.Time
	carryover Carryover
	// carryoverUntil is when the last unknown grant of earlier owners expires.
	carryoverUntil time.Time
	assert         *asserter.Asserter
}

// NewOwner returns the owner of a new epoch.
func NewOwner(now time.Time, carryover Carryover, assert *asserter.Asserter) *Owner {
	o := &Owner{pools: map[string]*pool{}, start: now, carryover: carryover, carryoverUntil: now, assert: assert}
	if carryover != CarryoverNone {
		o.carryoverUntil = now.Add(ownerLifetime)
	}
	return o
}

// EndCarryover ends the restriction on grants early. The caller must have seen a request in this epoch from every
// node that may hold tokens or leases of earlier epochs, so that the owner knows all of them.
func (o *Owner) EndCarryover(now time.Time) {
	if !now.Before(o.carryoverUntil) {
		return
	}
	o.carryoverUntil = now
	for _, p := range o.pools {
		p.refill(now)
		p.carryoverUntil = now
		p.clamp(now)
	}
}

// CarryoverEnded reports whether no unknown grants of earlier epochs are left. If so, the next owner may
// assume that only one earlier owner left grants; otherwise it must assume several.
func (o *Owner) CarryoverEnded(now time.Time) bool {
	return !now.Before(o.carryoverUntil)
}

// SetRate sets an account's rate in tokens per second and its burst in tokens. Changes take effect
// immediately; tokens that were granted under a larger burst expire within GrantLifetime.
func (o *Owner) SetRate(account string, rate, burst float64, now time.Time) {
	p := o.pools[account]
	if p == nil {
		p = &pool{refilledAt: o.start, holders: map[Holder]*holderState{}, assert: o.assert}
		if o.carryover == CarryoverNone {
			p.available = burst
		} else {
			p.carryover, p.carryoverUntil, p.earlierGrantsUntil = o.carryover, o.carryoverUntil, o.start.Add(ownerLifetime)
		}
		o.pools[account] = p
	}
	p.refill(now)
	if now.Before(p.carryoverUntil) && (rate < p.rate || burst < p.burst) {
		p.rateLowered = true
	}
	p.rate, p.burst = rate, burst
	p.clamp(now)
}

// Release processes the last report of a node that gave up its tokens and lease before it stops.
func (o *Owner) Release(h Holder, req GrantRequest, now time.Time) {
	p := o.pools[req.Account]
	if p == nil {
		return
	}
	p.refill(now)
	holder := p.holders[h]
	if holder == nil {
		return
	}
	p.credit(holder, req, now)
	holder.demand, holder.waiting, holder.lease = 0, 0, ownerLease{}
	p.totals.update(holder, now)
}

// Grant processes a node's report and grants tokens and a lease. It returns false if the account is unknown.
func (o *Owner) Grant(h Holder, req GrantRequest, now time.Time) (Grant, bool) {
	p := o.pools[req.Account]
	if p == nil {
		return Grant{}, false
	}
	g := p.grant(h, req, now)
	g.Account = req.Account
	return g, true
}
