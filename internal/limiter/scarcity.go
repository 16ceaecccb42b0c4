package limiter

import (
	"math"
	"slices"
	"time"
)

// A client account that asks for more than its rate must be refused part of its requests. Its tokens go to its more
// important requests first: a token is kept back for those while they are likely to come soon, and less important ones
// get what is left and a floor.
const (
	// importances is the number of importances that are told apart.
	importances = 8
	// keepFor is how long a token is kept for a more important request.
	keepFor = 500 * time.Millisecond
	// floorEvery is the turn at which a token goes to whoever asks: every so many tokens.
	floorEvery = 10
	// urgentFor is how long the owner reckons with the waiting requests that a node reported.
	urgentFor = 300 * time.Millisecond
)

// waiter is a request that waits for a token.
type waiter struct {
	ready      chan struct{}
	importance uint32
}

// queue holds waiting requests, the more important ones first, and among equals the older ones.
type queue []waiter

func (q *queue) add(w waiter) (position int) {
	at := len(*q)
	for at > 0 && (*q)[at-1].importance < w.importance {
		at--
	}
	*q = slices.Insert(*q, at, w)
	return at
}

func (q *queue) find(ready chan struct{}) int {
	return slices.IndexFunc(*q, func(w waiter) bool { return w.ready == ready })
}

func (q *queue) remove(i int) {
	*q = slices.Delete(*q, i, i+1)
}

// arrivals are moving averages of the requests a second, by importance.
type arrivals struct {
	rates [importances]float64
	at    time.Time
}

func (a *arrivals) count(importance uint32, now time.Time) {
	if dt := now.Sub(a.at); dt > 0 {
		f := math.Exp(-dt.Seconds() / demandWindow.Seconds())
		for i := range a.rates {
			a.rates[i] *= f
		}
		a.at = now
	}
	a.rates[min(importance, importances-1)] += 1 / demandWindow.Seconds()
}

// above returns the requests a second that are more important.
func (a *arrivals) above(importance uint32) float64 {
	sum := 0.0
	for i := int(importance) + 1; i < importances; i++ {
		sum += a.rates[i]
	}
	return sum
}

// mayTake reports whether a request of an importance may use a token now, or must leave it to more important ones.
func (b *Bucket) mayTake(importance uint32, now time.Time) bool {
	if !b.scarce || b.turn%floorEvery == 0 {
		return true
	}
	kept := math.Round(b.arrivals.above(importance) * keepFor.Seconds())
	return kept == 0 || b.held(now)+b.lease.tokens >= 1+kept
}

// serve hands tokens to waiting requests.
func (b *Bucket) serve(now time.Time) {
	for len(b.waiters) > 0 {
		at := 0
		if b.scarce && b.turn%floorEvery == 0 {
			at = len(b.waiters) - 1
		}
		if !b.mayTake(b.waiters[at].importance, now) || !b.spend(now) {
			return
		}
		b.waiters[at].ready <- struct{}{}
		b.waiters.remove(at)
	}
}

// yields reports whether a holder must leave the level to requests of more importance that wait at others.
func (p *pool) yields(ask GrantRequest, hold *holding, now time.Time) bool {
	waiting := 0
	for _, h := range p.holdings {
		if h != hold && h.urgent > ask.Importance && now.Sub(h.seen) < urgentFor {
			waiting += h.waiting
		}
	}
	return waiting > 0 && p.level < float64(waiting)+1
}
