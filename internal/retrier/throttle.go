package retrier

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// throttleDecay is the time constant with which the counts of requests and successes decay.
	throttleDecay = 2 * time.Second
	// throttleFactor is the number of requests admitted per success; with two, half of them may fail.
	throttleFactor = 2.0
	// throttleMinRequests is the decayed number of requests from which the throttle rejects requests.
	throttleMinRequests = 10.0
	// throttleMinShare is the share of requests that is always admitted, to detect that the service works again.
	throttleMinShare = 0.1
)

// Throttle rejects requests to a service that fails most of them. Callers retry failed requests at any node, and each
// retry would load the whole chain of services. It is safe for concurrent use.
type Throttle struct {
	mu        sync.Mutex
	requests  float64
	successes float64
	at        time.Time
	ranks     recentRanks
	// draw returns a random number in [0, 1).
	draw func() float64
}

// NewThrottle returns a Throttle that admits all requests until failures are recorded.
func NewThrottle() *Throttle {
	return &Throttle{draw: rand.Float64}
}

func (t *Throttle) decay(now time.Time) {
	if dt := now.Sub(t.at); dt > 0 {
		f := math.Exp(-dt.Seconds() / throttleDecay.Seconds())
		t.requests *= f
		t.successes *= f
		t.at = now
	}
}

// Admit reports whether a request may proceed. Requests of the lowest rank are rejected first.
func (t *Throttle) Admit(rank uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.ranks.add(rank)
	if t.requests < throttleMinRequests {
		return true
	}
	excess := (t.requests - throttleFactor*t.successes) / (t.requests + 1)
	if excess <= 0 {
		return true
	}
	return t.ranks.position(rank, t.draw()) >= min(excess, 1-throttleMinShare)*float64(t.ranks.count())
}

// Count records a request that ran, and whether it succeeded.
func (t *Throttle) Count(success bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.requests++
	if success {
		t.successes++
	}
}

// Throttles holds one Throttle per name. It is safe for concurrent use.
type Throttles struct {
	registry[Throttle]
}

// Of returns the Throttle of a name.
func (t *Throttles) Of(name string) *Throttle {
	return t.get(name, NewThrottle)
}
