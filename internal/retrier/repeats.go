package retrier

import (
	"math"
	"sync"
	"time"
)

const (
	// repeatsSpans is the number of spans in which a window of repeats is counted.
	repeatsSpans = 10
	// leastSpan keeps a window that the settings leave at nothing from being divided by.
	leastSpan = time.Millisecond
	// recentSpans is the number of them that tell of requests in progress.
	recentSpans = 2
	// repeatsPrior is a number of requests that is assumed besides those counted: the first repeat says little.
	repeatsPrior = 20.0
	// reportWeight is the weight of a new answer in the share of repeats that a caller reckons with, and reportMemory the time
	// constant with which such a share is forgotten while no answers come.
	reportWeight = 0.1
	reportMemory = 5 * time.Second
)

// RetryMeter measures, at an upstream's gate, which part of its requests in the last window are repeats: sent again after a
// failure, or made by a run that was itself a repeat. It is safe for concurrent use.
type RetryMeter struct {
	mu    sync.Mutex
	span  time.Duration
	spans [repeatsSpans]repeatsSpan
}

// repeatsSpan counts the requests of one span, by number of the span.
type repeatsSpan struct {
	number  int64
	firsts  float64
	repeats float64
}

// NewRetryMeter returns a measure over a window.
func NewRetryMeter(window time.Duration) *RetryMeter {
	return &RetryMeter{span: max(leastSpan, window/repeatsSpans)}
}

// Count takes in one request. Weight is the chance that it is a repeat.
func (r *RetryMeter) Count(weight float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := now.UnixNano() / int64(r.span)
	s := &r.spans[number%repeatsSpans]
	if s.number != number {
		*s = repeatsSpan{number: number}
	}
	s.firsts += 1 - weight
	s.repeats += weight
}

// Share returns the repeats over the first requests.
func (r *RetryMeter) Share(now time.Time) float64 {
	firsts, repeats := r.total(repeatsSpans, now)
	return repeats / (firsts + repeatsPrior)
}

// Probability returns the chance that a request in progress is a repeat.
func (r *RetryMeter) Probability(now time.Time) float64 {
	firsts, repeats := r.total(recentSpans, now)
	if firsts+repeats == 0 {
		return 0
	}
	return repeats / (firsts + repeats)
}

// total sums up the newest spans.
func (r *RetryMeter) total(spans int64, now time.Time) (firsts, repeats float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := now.UnixNano() / int64(r.span)
	for _, s := range r.spans {
		if number-s.number < spans {
			firsts, repeats = firsts+s.firsts, repeats+s.repeats
		}
	}
	return firsts, repeats
}

// RetryMeters holds one Repeats for each service. It is safe for concurrent use.
type RetryMeters struct {
	names[RetryMeter]
}

// Of returns the Repeats of a service, over a window.
func (r *RetryMeters) Of(service string, window time.Duration) *RetryMeter {
	return r.of(service, func() *RetryMeter { return NewRetryMeter(window) })
}

// RetryShares keeps the shares of repeats that answers report, each for a service and all that it calls. It is safe for
// concurrent use.
type RetryShares struct {
	mu        sync.Mutex
	byService map[string]repeatReport
}

type repeatReport struct {
	value float64
	at    time.Time
}

// Record takes in what an answer of a service reported.
func (s *RetryShares) Record(service string, share float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = map[string]repeatReport{}
	}
	old := s.byService[service].aged(now)
	s.byService[service] = repeatReport{value: old + (share-old)*reportWeight, at: now}
}

// Of returns the share of a service.
func (s *RetryShares) Of(service string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byService[service].aged(now)
}

// Highest returns the highest share of all services.
func (s *RetryShares) Highest(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := 0.0
	for _, one := range s.byService {
		highest = max(highest, one.aged(now))
	}
	return highest
}

func (s repeatReport) aged(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-max(0, now.Sub(s.at)).Seconds()/reportMemory.Seconds())
}
