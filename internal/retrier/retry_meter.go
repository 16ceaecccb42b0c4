package retrier

import (
	"math"
	"sync"
	"time"
)

const (
	// meterSpans is the number of spans into which a window is divided.
	meterSpans = 10
	// minSpan is the shortest span. It avoids a division by zero when the settings give a window of zero.
	minSpan = time.Millisecond
	// recentSpans is the number of spans from which the retry probability of requests in progress is estimated.
	recentSpans = 2
	// priorRequests is added to the number of counted requests, since a single retry is no evidence of a high share.
	priorRequests = 20.0
	// shareWeight is the weight of a new response in a service's reported retry share. shareDecay is the time constant with
	// which the share decays while no responses arrive.
	shareWeight = 0.1
	shareDecay  = 5 * time.Second
)

// RetryMeter measures, at an upstream's gate, the share of requests in the last window that are retries: requests sent
// again after a failure, or nested calls of a request that was itself a retry. It is safe for concurrent use.
type RetryMeter struct {
	mu    sync.Mutex
	span  time.Duration
	spans [meterSpans]meterSpan
}

// meterSpan counts the requests of one span. Spans are numbered since the Unix epoch.
type meterSpan struct {
	number  int64
	initial float64
	retries float64
}

// NewRetryMeter returns a meter over the given window.
func NewRetryMeter(window time.Duration) *RetryMeter {
	return &RetryMeter{span: max(minSpan, window/meterSpans)}
}

// Count records one request that is a retry with the given probability.
func (m *RetryMeter) Count(probability float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	number := now.UnixNano() / int64(m.span)
	s := &m.spans[number%meterSpans]
	if s.number != number {
		*s = meterSpan{number: number}
	}
	s.initial += 1 - probability
	s.retries += probability
}

// Share returns the ratio of retries to initial requests in the window.
func (m *RetryMeter) Share(now time.Time) float64 {
	initial, retries := m.total(meterSpans, now)
	return retries / (initial + priorRequests)
}

// Probability returns the probability that a request in progress is a retry.
func (m *RetryMeter) Probability(now time.Time) float64 {
	initial, retries := m.total(recentSpans, now)
	if initial+retries == 0 {
		return 0
	}
	return retries / (initial + retries)
}

// total sums the counts of the newest spans.
func (m *RetryMeter) total(spans int64, now time.Time) (initial, retries float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	number := now.UnixNano() / int64(m.span)
	for _, s := range m.spans {
		if number-s.number < spans {
			initial, retries = initial+s.initial, retries+s.retries
		}
	}
	return initial, retries
}

// RetryMeters holds one meter per service. It is safe for concurrent use.
type RetryMeters struct {
	registry[RetryMeter]
}

// Of returns the meter of a service. A new meter uses the given window.
func (m *RetryMeters) Of(service string, window time.Duration) *RetryMeter {
	return m.get(service, func() *RetryMeter { return NewRetryMeter(window) })
}

// RetryShares holds the retry shares that responses report. Each share covers a service and the services that it
// calls. It is safe for concurrent use.
type RetryShares struct {
	mu        sync.Mutex
	byService map[string]retryShare
}

type retryShare struct {
	value float64
	at    time.Time
}

// Record records the retry share that a response of a service reported.
func (s *RetryShares) Record(service string, share float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = map[string]retryShare{}
	}
	old := s.byService[service].decayed(now)
	s.byService[service] = retryShare{value: old + (share-old)*shareWeight, at: now}
}

// Of returns the retry share of a service.
func (s *RetryShares) Of(service string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byService[service].decayed(now)
}

// Highest returns the highest retry share of all services.
func (s *RetryShares) Highest(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := 0.0
	for _, share := range s.byService {
		highest = max(highest, share.decayed(now))
	}
	return highest
}

func (s retryShare) decayed(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-max(0, now.Sub(s.at)).Seconds()/shareDecay.Seconds())
}
