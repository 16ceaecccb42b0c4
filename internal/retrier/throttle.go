package retrier

import (
	"math"
	"sync"
	"time"
)

const (
	// throttleMemory is the time constant with which requests and successes are forgotten.
	throttleMemory = 2 * time.Second
	// throttleFactor is how many requests are let on for each success; with two, half of them may fail.
	throttleFactor = 2.0
	// throttleStart is the number of remembered requests from which a throttle acts.
	throttleStart = 10.0
	// throttleLeast is the part of the requests that always goes on, to find out whether the service works again.
	throttleLeast = 0.1
	// throttleRanks is the number of recent requests whose ranks are compared.
	throttleRanks = 64
)

// Throttle holds back requests to a service that fails most of them. Callers send such requests again, at whatever
// node they reach, and each would cost the whole chain of services. It is safe for concurrent use.
type Throttle struct {
	mu        sync.Mutex
	requests  float64
	successes float64
	at        time.Time
	ranks     [throttleRanks]uint32
	seen      int
}

// NewThrottle returns a Throttle that lets all requests on.
func NewThrottle() *Throttle {
	return &Throttle{}
}

func (t *Throttle) decay(now time.Time) {
	if dt := now.Sub(t.at); dt > 0 {
		f := math.Exp(-dt.Seconds() / throttleMemory.Seconds())
		t.requests *= f
		t.successes *= f
		t.at = now
	}
}

// Admit reports whether a request may go on. The lowest ranks are held back first.
func (t *Throttle) Admit(rank uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.ranks[t.seen%throttleRanks] = rank
	t.seen++
	if t.requests < throttleStart {
		return true
	}
	excess := (t.requests - throttleFactor*t.successes) / (t.requests + 1)
	if excess <= 0 {
		return true
	}
	lower := 0
	known := t.ranks[:min(t.seen, throttleRanks)]
	for _, r := range known {
		if r < rank {
			lower++
		}
	}
	return float64(lower) >= min(excess, 1-throttleLeast)*float64(len(known))
}

// Count takes in a request that ran.
func (t *Throttle) Count(success bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.requests++
	if success {
		t.successes++
	}
}

// Throttles holds one Throttle for each name. It is safe for concurrent use.
type Throttles struct {
	names[Throttle]
}

// Of returns the Throttle of a name.
func (t *Throttles) Of(name string) *Throttle {
	return t.of(name, NewThrottle)
}
