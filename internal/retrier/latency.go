package retrier

import (
	"math"
	"sync"
	"time"
)

const (
	// latencyWeight and deviationWeight are the weights of a new sample, those of TCP's retransmission timer (RFC 6298).
	latencyWeight   = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviationFactor is the timeout's distance from the mean, in mean deviations. With four, as in TCP, one in a hundred
	// attempts at requests of varying duration would time out without need.
	deviationFactor = 6
	// minTimeout is the shortest timeout of an attempt: shorter delays come from scheduling.
	minTimeout = 100 * time.Millisecond
	// minSamples is the number of responses needed before a timeout is computed.
	minSamples = 20
)

// Latency estimates the response time of one route and derives a timeout for attempts. It is safe for concurrent use.
type Latency struct {
	mu        sync.Mutex
	mean      float64
	deviation float64
	samples   int
}

// Observe records the duration of one response.
func (l *Latency) Observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples++
	if l.samples == 1 {
		l.mean, l.deviation = took.Seconds(), took.Seconds()/2
		return
	}
	diff := took.Seconds() - l.mean
	l.mean += diff * latencyWeight
	l.deviation += (math.Abs(diff) - l.deviation) * deviationWeight
}

// Timeout returns how long an attempt may take before it is better to make another one. It returns zero if there are too
// few samples, or if a second attempt would most likely not finish in the time left.
func (l *Latency) Timeout(left time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout := max(minTimeout, l.usual())
	if l.samples < minSamples || timeout+time.Duration(l.mean*float64(time.Second)) > left {
		return 0
	}
	return timeout
}

// Usual returns the time within which a response usually comes. It returns zero if there are too few samples.
func (l *Latency) Usual() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.samples < minSamples {
		return 0
	}
	return l.usual()
}

func (l *Latency) usual() time.Duration {
	return time.Duration((l.mean + deviationFactor*l.deviation) * float64(time.Second))
}

// Latencies holds one Latency per name. It is safe for concurrent use.
type Latencies struct {
	registry[Latency]
}

// Of returns the Latency of a name.
func (l *Latencies) Of(name string) *Latency {
	return l.get(name, func() *Latency { return &Latency{} })
}
