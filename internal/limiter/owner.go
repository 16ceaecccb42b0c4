// Package limiter holds every client account to its rate and burst over the whole fleet. An Owner keeps the level
// of each account's token bucket and leases tokens to nodes; a Bucket spends them at one node.
//
// For any window of length T the fleet admits at most burst + rate·T: the tokens that nodes hold and the owner's
// level together never exceed the burst, and the owner refills at the rate.
package limiter

import (
	"fmt"
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
	// reserveShare is the part of each burst that is kept back, so that a new owner has something to grant while
	// the old owner's grants last.
	reserveShare = 0.05
	// minReservedBurst is the smallest burst of which a part is kept back, in tokens.
	minReservedBurst = 20
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

// Ask is a node's account of one client account's tokens.
type Ask struct {
	Account string
	// Rate is the demand at the node in requests a second.
	Rate float64
	// Want is the number of tokens wanted now.
	Want float64
	// Settled is the total of tokens spent or given up in this epoch.
	Settled float64
	// Unspent is the part of Settled that was given up.
	Unspent float64
}

// Grant is a batch of tokens.
type Grant struct {
	Account string
	Tokens  float64
	// End is the total granted to the holder in this epoch, with this batch.
	End float64
	// FleetDemand is the demand over the whole fleet in requests a second.
	FleetDemand float64
}

// Carry tells what nodes may still hold from earlier epochs when a new one begins.
type Carry int

// What earlier epochs left behind.
const (
	// CarryNothing: this is the fleet's first epoch.
	CarryNothing Carry = iota
	// CarryOne: one earlier owner may have granted all but the reserve.
	CarryOne
	// CarrySeveral: several owners followed each other so fast that the reserve may be granted too.
	CarrySeveral
)

// Owner leases the tokens of all client accounts in one epoch. It is not safe for concurrent use.
type Owner struct {
	pools  map[string]*pool
	began  time.Time
	carry  Carry
	assert *asserter.Asserter
}

// NewOwner returns the owner of a new epoch.
func NewOwner(now time.Time, carry Carry, assert *asserter.Asserter) *Owner {
	return &Owner{pools: map[string]*pool{}, began: now, carry: carry, assert: assert}
}

// CarryOf returns what an owner must assume when the epoch before its own began at a known time.
func CarryOf(previousBegan, now time.Time) Carry {
	if now.Sub(previousBegan) > ownerLifetime {
		return CarryOne
	}
	return CarrySeveral
}

// SetTerms sets the rate in tokens a second and the burst in tokens of an account. Changes are in force at once;
// tokens that nodes hold under a larger burst end within GrantLifetime.
func (o *Owner) SetTerms(account string, rate, burst float64, now time.Time) {
	p := o.pools[account]
	if p == nil {
		p = &pool{filled: o.began, holdings: map[Holder]*holding{}, assert: o.assert}
		if o.carry == CarryNothing {
			p.level = burst
		} else {
			p.carry, p.carriedUntil = o.carry, o.began.Add(ownerLifetime)
		}
		o.pools[account] = p
	}
	p.refill(now)
	p.rate, p.burst = rate, burst
	p.clamp(now)
}

// Forget drops an account that no longer exists.
func (o *Owner) Forget(account string) {
	delete(o.pools, account)
}

// Draw takes in a node's totals and grants tokens. It returns false for an unknown account.
func (o *Owner) Draw(h Holder, ask Ask, now time.Time) (Grant, bool) {
	p := o.pools[ask.Account]
	if p == nil {
		return Grant{}, false
	}
	g := p.draw(h, ask, now)
	g.Account = ask.Account
	return g, true
}

// pool is the token bucket of one account.
type pool struct {
	rate         float64
	burst        float64
	level        float64
	filled       time.Time
	outstanding  float64
	carry        Carry
	carriedUntil time.Time
	holdings     map[Holder]*holding
	assert       *asserter.Asserter
}

// holding is what one holder was granted. Positions count tokens from the start of the epoch.
type holding struct {
	granted float64
	settled float64
	unspent float64
	batches []batch
	demand  float64
	seen    time.Time
}

// batch is a grant that ends at a position and expires.
type batch struct {
	end     float64
	expires time.Time
}

// limit returns how many tokens level and outstanding may make up together.
func (p *pool) limit(now time.Time) float64 {
	reserve := 0.0
	if p.burst >= minReservedBurst {
		reserve = p.burst * reserveShare
	}
	switch {
	case !now.Before(p.carriedUntil):
		return p.burst - reserve
	case p.carry == CarryOne:
		return reserve
	default:
		return 0
	}
}

func (p *pool) refill(now time.Time) {
	if now.After(p.filled) {
		p.level += p.rate * now.Sub(p.filled).Seconds()
		p.filled = now
	}
	p.expire(now)
	p.clamp(now)
}

// clamp bounds the level so that level and outstanding tokens stay within the limit.
func (p *pool) clamp(now time.Time) {
	p.level = max(0, min(p.level, p.limit(now)-p.outstanding))
}

func (p *pool) expire(now time.Time) {
	for h, hold := range p.holdings {
		for len(hold.batches) > 0 && !now.Before(hold.batches[0].expires) {
			p.settle(hold, hold.batches[0].end)
			hold.batches = hold.batches[1:]
		}
		if now.Sub(hold.seen) > holderLifetime && len(hold.batches) == 0 {
			delete(p.holdings, h)
		}
	}
}

// settle moves a holding's settled position forward. Positions that were settled before change nothing.
func (p *pool) settle(hold *holding, position float64) {
	position = min(position, hold.granted)
	if position <= hold.settled {
		return
	}
	p.outstanding = max(0, p.outstanding-(position-hold.settled))
	hold.settled = position
}

func (p *pool) draw(h Holder, ask Ask, now time.Time) Grant {
	hold := p.holdings[h]
	if hold == nil {
		hold = &holding{}
		p.holdings[h] = hold
	}
	hold.seen, hold.demand = now, ask.Rate
	p.credit(hold, ask)
	p.refill(now)
	demand := p.demand(now)
	tokens := p.share(ask, demand)
	if tokens > 0 {
		p.level -= tokens
		p.outstanding += tokens
		hold.granted += tokens
		hold.batches = append(hold.batches, batch{end: hold.granted, expires: now.Add(ownerLifetime)})
		p.check(now)
	}
	return Grant{Tokens: tokens, End: hold.granted, FleetDemand: demand}
}

// credit settles what the node reports. Tokens given up return to the level, unless they expired here before.
func (p *pool) credit(hold *holding, ask Ask) {
	before := p.outstanding
	p.settle(hold, ask.Settled)
	freed := before - p.outstanding
	returned := min(ask.Unspent-hold.unspent, freed)
	hold.unspent = max(hold.unspent, ask.Unspent)
	if returned > 0 {
		p.level += returned
	}
	for len(hold.batches) > 0 && hold.batches[0].end <= hold.settled {
		hold.batches = hold.batches[1:]
	}
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

// share returns how much of the level one node gets: all it wants when there is plenty, its share of the demand,
// and at least one token, when there is not.
func (p *pool) share(ask Ask, demand float64) float64 {
	want := max(0, ask.Want)
	if want == 0 || p.level < 1 {
		return 0
	}
	part := 1.0
	if demand > ask.Rate {
		part = ask.Rate / demand
	}
	fair := max(1, p.level*part)
	plenty := p.level > p.burst/2 && p.level >= 2*want
	if plenty {
		fair = want
	}
	return min(want, fair, p.level)
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
