// Package limiter holds every client account to its rate and burst over the whole fleet. An Owner keeps the level
// of each account's token bucket and leases tokens to nodes; a Bucket spends them at one node.
//
// For any window of length T the fleet admits at most burst + rate·T: the tokens that nodes hold, the room of their
// leases and the owner's level together never exceed the burst, and the owner refills at the rate less what is leased.
// What does not fit is clipped. Nodes tell
// when they spent their tokens; what was clipped after that is given back, so that late news costs no rate.
package limiter

import (
	"time"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
)

const (
	// GrantLifetime is how long a node may spend a grant, from the moment it asked.
	GrantLifetime = 2500 * time.Millisecond
	// ownerLifetime is how long the owner counts a grant as held. The margin covers clocks that differ in pace.
	ownerLifetime = GrantLifetime + GrantLifetime/10
	// holderLifetime is how long the owner remembers a node that no longer asks.
	holderLifetime = 10 * time.Second
	// circulatingShare is the part of a burst, less the room of leases, that nodes may hold as grants at once. A new owner
	// grants the rest while the old owner's grants may last.
	circulatingShare = 0.7
	// aheadShare is the part of what may circulate that nodes may hold for requests to come.
	aheadShare = 0.6
	// leastCirculating is the smallest such part, in tokens: with less nobody could start a request.
	leastCirculating = 1.0
	// minLeasedBurst is the smallest burst under which nodes are leased a part of the rate, in tokens.
	minLeasedBurst = 20
	// demandLifetime is how long a reported demand counts in the fleet's total.
	demandLifetime = 3 * time.Second
	// tolerance absorbs rounding in sums of tokens.
	tolerance = 1e-6
)

// Holder is one run of one node.
type Holder struct {
	Node        string
	Incarnation uint64
}

// GrantRequest is a node's account of one client account's tokens.
type GrantRequest struct {
	Account string
	// Demand is the demand at the node in requests a second.
	Demand float64
	// Want is the number of tokens wanted now.
	Want float64
	// Settled is the total of tokens spent or given up in this epoch.
	Settled float64
	// Unspent is the part of Settled that was given up.
	Unspent float64
	// Waiting is the number of requests that wait for a token.
	Waiting int
	// Importance is the highest of those requests.
	Importance uint32
	// Marks tell how Settled grew, oldest first.
	Marks []Mark
	// Lease is the lease that the node holds; its rate is zero once it has ended.
	Lease Lease
	// Overflow is the total of what the node's leases gave and the node could not save up.
	Overflow float64
	// Carryover is the number of tokens that the node still holds of earlier epochs.
	Carryover float64
}

// Mark tells that a total had been settled some time before the message was sent.
type Mark struct {
	Age     time.Duration
	Settled float64
}

// Grant is a batch of tokens.
type Grant struct {
	Account string
	Tokens  float64
	// End is the total granted to the holder in this epoch, with this batch.
	End float64
	// FleetDemand is the demand over the whole fleet in requests a second.
	FleetDemand float64
	// Lease takes the place of the one that the node holds.
	Lease Lease
	// Oversubscribed tells that the account asks for more than its rate.
	Oversubscribed bool
	// RestrictedFor is the time for which the owner grants nothing beyond its reserve.
	RestrictedFor time.Duration
}

// Carryover tells what nodes may still hold from earlier epochs when a new one begins.
type Carryover int

// What earlier epochs left behind.
const (
	// CarryoverNone: this is the fleet's first epoch.
	CarryoverNone Carryover = iota
	// CarryoverOne: one earlier owner may have granted all that may circulate.
	CarryoverOne
	// CarryoverSeveral: several owners followed each other so fast that the rest may be granted too.
	CarryoverSeveral
)

// Owner leases the tokens of all client accounts in one epoch. It is not safe for concurrent use.
type Owner struct {
	pools map[string]*pool
	began time.Time
	carry Carryover
	// carriedUntil is when the last grant of earlier owners has ended.
	carriedUntil time.Time
	assert       *asserter.Asserter
}

// NewOwner returns the owner of a new epoch.
func NewOwner(now time.Time, carry Carryover, assert *asserter.Asserter) *Owner {
	o := &Owner{pools: map[string]*pool{}, began: now, carry: carry, carriedUntil: now, assert: assert}
	if carry != CarryoverNone {
		o.carriedUntil = now.Add(ownerLifetime)
	}
	return o
}

// EndCarryover tells the owner that every node that may hold something of earlier epochs has drawn in this one, and so has
// told what it holds.
func (o *Owner) EndCarryover(now time.Time) {
	if !now.Before(o.carriedUntil) {
		return
	}
	o.carriedUntil = now
	for _, p := range o.pools {
		p.refill(now)
		p.carriedUntil = now
		p.clamp(now)
	}
}

// CarryoverEnded reports whether nothing unknown is left of earlier epochs. The owner that follows is then to assume CarryOne,
// and CarrySeveral otherwise.
func (o *Owner) CarryoverEnded(now time.Time) bool {
	return !now.Before(o.carriedUntil)
}

// SetRate sets the rate in tokens a second and the burst in tokens of an account. Changes are in force at once;
// tokens that nodes hold under a larger burst end within GrantLifetime.
func (o *Owner) SetRate(account string, rate, burst float64, now time.Time) {
	p := o.pools[account]
	if p == nil {
		p = &pool{filled: o.began, holdings: map[Holder]*holding{}, assert: o.assert}
		if o.carry == CarryoverNone {
			p.level = burst
		} else {
			p.carry, p.carriedUntil, p.earlierUntil = o.carry, o.carriedUntil, o.began.Add(ownerLifetime)
		}
		o.pools[account] = p
	}
	p.refill(now)
	if now.Before(p.carriedUntil) && (rate < p.rate || burst < p.burst) {
		p.lowered = true
	}
	p.rate, p.burst = rate, burst
	p.clamp(now)
}

// Release takes in the last totals of a node that gave up its tokens and leases and stops.
func (o *Owner) Release(h Holder, ask GrantRequest, now time.Time) {
	p := o.pools[ask.Account]
	if p == nil || p.holdings[h] == nil {
		return
	}
	hold := p.holdings[h]
	p.refill(now)
	p.credit(hold, ask, now)
	hold.demand, hold.waiting, hold.lease = 0, 0, heldLease{}
}

// Grant takes in a node's totals and grants tokens. It returns false for an unknown account.
func (o *Owner) Grant(h Holder, ask GrantRequest, now time.Time) (Grant, bool) {
	p := o.pools[ask.Account]
	if p == nil {
		return Grant{}, false
	}
	g := p.draw(h, ask, now)
	g.Account = ask.Account
	return g, true
}
