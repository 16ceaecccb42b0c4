package limiter

import (
	"math"
	"slices"
	"time"
)

// Part of the requests of an oversubscribed client account must be refused. Its tokens go to the more important
// requests first: tokens are reserved for those that are likely to arrive soon. Less important requests get the
// remaining tokens and a guaranteed minimum share.
const (
	// importanceLevels is the number of distinct importance values.
	importanceLevels = 8
	// reserveHorizon is how far ahead tokens are reserved for more important requests.
	reserveHorizon = 500 * time.Millisecond
	// floorInterval is the number of spent tokens after which one token may go to a request of any importance, the least
	// important waiting request first.
	floorInterval = 10
	// waitingReportLifetime is how long the owner takes a node's reported waiting requests into account.
	waitingReportLifetime = 300 * time.Millisecond
)

// minQueue is the number of requests that may always wait for a token at a node.
const minQueue = 4

// isQueueFull reports whether a request of an oversubscribed account would wait in vain: as many requests of its importance or a
// higher one wait as twice the tokens that its node may expect in that time. Refused at once, its caller can come back sooner, and
// a flood of requests holds no memory.
func (b *Bucket) isQueueFull(importance uint32, maxWait time.Duration, now time.Time) bool {
	if !b.oversubscribed || len(b.waiters) < minQueue || now.Sub(b.lastReply) > demandLifetime {
		return false
	}
	ahead := 0
	for _, w := range b.waiters {
		if w.importance >= importance {
			ahead++
		}
	}
	return float64(ahead) >= max(minQueue, 2*b.tokenRate.at(now)*maxWait.Seconds())
}

// tokenRate is the moving average of the tokens that a node gets, in tokens per second.
type tokenRate struct {
	value     float64
	updatedAt time.Time
}

// add counts tokens that a node has spent.
func (r *tokenRate) add(n float64, now time.Time) {
	r.value = r.at(now) + n/demandWindow.Seconds()
	r.updatedAt = now
}

func (r *tokenRate) at(now time.Time) float64 {
	return r.value * math.Exp(-max(0, now.Sub(r.updatedAt)).Seconds()/demandWindow.Seconds())
}

// waiter is a request that waits for a token.
type waiter struct {
	ready      chan struct{}
	importance uint32
}

// queue holds waiting requests in order of descending importance and, for equal importance, of arrival.
type queue []waiter

// add inserts a waiter and returns its index.
func (q *queue) add(w waiter) (index int) {
	i := len(*q)
	for i > 0 && (*q)[i-1].importance < w.importance {
		i--
	}
	*q = slices.Insert(*q, i, w)
	return i
}

// find returns the index of a waiter, or -1.
func (q *queue) find(ready chan struct{}) int {
	return slices.IndexFunc(*q, func(w waiter) bool { return w.ready == ready })
}

func (q *queue) remove(i int) {
	*q = slices.Delete(*q, i, i+1)
}

// arrivals holds moving averages of the arrival rate in requests per second, by importance.
type arrivals struct {
	rates     [importanceLevels]float64
	updatedAt time.Time
}

func (a *arrivals) add(importance uint32, now time.Time) {
	if dt := now.Sub(a.updatedAt); dt > 0 {
		f := math.Exp(-dt.Seconds() / demandWindow.Seconds())
		for i := range a.rates {
			a.rates[i] *= f
		}
		a.updatedAt = now
	}
	a.rates[min(importance, importanceLevels-1)] += 1 / demandWindow.Seconds()
}

// rateAbove returns the arrival rate of requests that are more important.
func (a *arrivals) rateAbove(importance uint32) float64 {
	sum := 0.0
	for i := int(importance) + 1; i < importanceLevels; i++ {
		sum += a.rates[i]
	}
	return sum
}

// mayTake reports whether a request of the given importance may use a token now. It may not if all tokens are reserved
// for more important requests.
func (b *Bucket) mayTake(importance uint32, now time.Time) bool {
	if !b.oversubscribed || b.spentCount%floorInterval == 0 {
		return true
	}
	reserved := math.Round(b.arrivals.rateAbove(importance) * reserveHorizon.Seconds())
	return reserved == 0 || b.tokensValidAt(now)+b.lease.tokens >= 1+reserved
}

// serveWaiters spends tokens on waiting requests while there are enough.
func (b *Bucket) serveWaiters(now time.Time) {
	for len(b.waiters) > 0 {
		i := 0
		if b.oversubscribed && b.spentCount%floorInterval == 0 {
			i = len(b.waiters) - 1
		}
		if !b.mayTake(b.waiters[i].importance, now) || !b.spend(now) {
			return
		}
		b.waiters[i].ready <- struct{}{}
		b.waiters.remove(i)
	}
}

// yields reports whether a holder must leave the available tokens to more important requests that wait at other holders.
func (p *pool) yields(req GrantRequest, holder *holderState) bool {
	waiting := p.totals.othersWaiting(holder, req.Importance)
	return waiting > 0 && p.available < float64(waiting)+1
}
