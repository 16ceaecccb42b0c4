package retrier

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxCongestedServices is the number of congested services that an entry node keeps.
	maxCongestedServices = 8
	// SlowShare is the part of its latency objective from which a request counts as slow. Half is the usual time of some routes.
	SlowShare = 0.85
	// returnShare is the largest part of a route's latency objective after which a refused request should come back at the
	// earliest. Jitter doubles it at most, so that the rest is enough for a request that takes a third of its objective.
	returnShare = 0.35
	// A congestion that has lasted is expected to last on for about as long: refused requests should come back after lastedShare of
	// that time, up to maxReturn. Those that come back while nothing has changed are refused again.
	lastedShare = 0.5
	maxReturn   = 2 * time.Second
)

// DownstreamLimiter refuses requests at their entry node while a service to which their calls lead has no capacity for
// them. It serves entry nodes that see from a few to hundreds of requests a second, each on its own and from the responses
// that it gets, and keeps a fixed amount of state for each congested service. It is safe for concurrent use.
type DownstreamLimiter struct {
	// tracked is the number of services. While it is zero, calls take no lock.
	tracked  atomic.Int32
	mu       sync.Mutex
	services []*congestedService
	// draw returns a random number in [0, 1).
	draw     func() float64
	onShare  func(service string, share float64)
	onChange func(service string, share float64, congested bool)
}

// DownstreamOption configures a DownstreamLimiter.
type DownstreamOption func(*DownstreamLimiter)

// WithShareReport sets a function that is called with each new share of a service.
func WithShareReport(report func(service string, share float64)) DownstreamOption {
	return func(l *DownstreamLimiter) { l.onShare = report }
}

// WithChangeReport sets a function that is called when a service becomes congested and when it is free again.
func WithChangeReport(report func(service string, share float64, congested bool)) DownstreamOption {
	return func(l *DownstreamLimiter) { l.onChange = report }
}

// NewDownstreamLimiter returns a limiter that admits all requests until responses report congestion.
func NewDownstreamLimiter(opts ...DownstreamOption) *DownstreamLimiter {
	l := &DownstreamLimiter{
		draw: rand.Float64, onShare: func(string, float64) {}, onChange: func(string, float64, bool) {},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// DownstreamResponse is the response to a request that this node admitted.
type DownstreamResponse struct {
	Route RouteName
	// Congestion is the one that the response reported.
	Congestion Congestion
	// Failed reports whether the request failed, and Slow whether it took over SlowShare of its latency objective.
	Failed bool
	Slow   bool
	// Lost reports whether the request failed without a response that could have reported congestion.
	Lost bool
	// Start is when the request was admitted.
	Start time.Time
}

// Observe counts a response. It reports whether the response counts as affected by a congested service.
func (l *DownstreamLimiter) Observe(r DownstreamResponse, now time.Time) bool {
	isNew := (r.Failed || r.Slow) && r.Congestion.Current(now) > 0
	if l.tracked.Load() == 0 && !isNew {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if isNew {
		l.track(r.Congestion.Service, now)
	}
	affected := false
	for _, s := range l.services {
		affected = s.observe(r, now) || affected
	}
	l.update(now)
	return affected
}

// track adds a service. If there are too many, it is left out until another one is free.
func (l *DownstreamLimiter) track(name string, now time.Time) {
	for _, s := range l.services {
		if s.name == name {
			return
		}
	}
	if len(l.services) < maxCongestedServices {
		l.services = append(l.services, newCongestedService(name, now))
		l.tracked.Store(int32(len(l.services)))
	}
}

// Admit reports whether a request may proceed. For a refused one it returns the earliest time after which it should come
// back, which is longer while less is admitted. The objective is the latency objective of its route.
func (l *DownstreamLimiter) Admit(route RouteName, rank uint32, objective time.Duration, now time.Time) (bool, time.Duration) {
	if l.tracked.Load() == 0 {
		return true, 0
	}
	if objective <= 0 {
		objective = defaultObjective
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now)
	admitted, lowest, lasted, kept := true, 1.0, time.Duration(0), l.draw()
	for _, s := range l.services {
		if s.isDependent(route, now) && !s.admits(rank, kept, l.draw(), now) {
			admitted, lowest, lasted = false, min(lowest, s.share), max(lasted, s.lasted(now))
		}
	}
	if admitted {
		return true, 0
	}
	after := time.Duration(float64(objective) * returnShare * (1 - lowest))
	return false, max(after, min(maxReturn, time.Duration(float64(lasted)*lastedShare)))
}

// KeepsMinimum reports whether a request belongs to the minimum that its service keeps for requests that reach it directly, while
// calls of other services' requests fill it. The gate admits these calls before all other requests.
func (l *DownstreamLimiter) KeepsMinimum(route RouteName, now time.Time) bool {
	if l.tracked.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.services {
		if s.name == route.Service {
			return s.share < 1 && s.isFilledByCalls(now) && l.draw() < minDirectShare*s.share
		}
	}
	return false
}

// update changes the shares whose interval has ended, and forgets services that are free again.
func (l *DownstreamLimiter) update(now time.Time) {
	for _, s := range l.services {
		if !s.update(now) {
			continue
		}
		l.onShare(s.name, s.share)
		if s.share >= 1 {
			// Nothing is refused, so a later refusal is the first one.
			s.limitedAt = now
		}
		if congested := s.share < 1; congested != s.limited && (congested || s.isQuiet(now)) {
			s.limited, s.limitedAt = congested, now
			l.onChange(s.name, s.share, congested)
		}
	}
	if n := len(l.services); n > 0 {
		l.services = slices.DeleteFunc(l.services, func(s *congestedService) bool { return !s.limited && s.isOver(now) })
		l.tracked.Store(int32(len(l.services)))
	}
}
