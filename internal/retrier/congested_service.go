package retrier

import (
	"math"
	"time"
)

const (
	// shareInterval is the shortest time between two changes of a share. An interval with an affected response and fewer than
	// minShareResponses in all is extended to maxShareInterval, so that a share does not follow random variation. With five in
	// place of three, nodes that see 10 requests a second react too late.
	shareInterval     = 200 * time.Millisecond
	maxShareInterval  = time.Second
	minShareResponses = 3
	// minDownstreamShare is the share of dependent requests that is always admitted, to detect that the service is free.
	minDownstreamShare = 0.1
	// shareDecrease is the part of the affected share by which the admitted share is lowered, and drainShare the part of the
	// sustainable share below which it is not lowered: that leaves four tenths of the capacity to shorten the queue.
	shareDecrease = 0.8
	drainShare    = 0.6
	// settleTime is how long a lower share takes to shorten the queue of a full service. If responses still report a high
	// congestion by then, the share is lowered again before the first of the requests admitted under it have ended.
	settleTime = 600 * time.Millisecond
	// highCongestion is the reported congestion from which a share is not raised beyond what the service can sustain.
	highCongestion = 0.5
	// shareStep is the step by which a share is raised, and fastStep the step below probeShare of what the service can
	// sustain. At a lasting overload larger steps than shareStep overshoot before the first responses show it.
	shareStep  = 0.03
	fastStep   = 0.2
	probeShare = 0.9
	// The overload counts as ended once no response reports congestion and either the demand is below endShare of that at the
	// last decrease or no response was affected for endTime. The share is then raised by fastStep, so that all but
	// single requests are admitted again two seconds after the load has ended.
	endShare = 0.75
	endTime  = time.Second
	// sustainableDecay is the time constant of the counts by which the sustainable share is estimated.
	sustainableDecay = time.Second
	// peakDecay is the time constant with which the highest rate of successes is forgotten. An overloaded service completes far
	// fewer trees of calls than it can sustain, so that the present rate alone would keep the share low.
	peakDecay = 3 * time.Second
	// maxIdleIntervals bounds the steps that are made up for in one call after a time without requests.
	maxIdleIntervals = 16
	// quietTime is the time without an affected response after which a service with a share of 1 counts as free.
	quietTime = 2 * time.Second
	// maxDependentRoutes is the number of routes kept for a congested service.
	maxDependentRoutes = 16
	// minMeanShare is the part of the admitted share that every class and every client account keeps, however low its ranks.
	minMeanShare = 0.25
	// minDirectShare is the part of the admitted share that requests keep which reach a service directly while calls fill it.
	// Operators expect nearly half of the worth of each class while most upstreams of a service are gone.
	minDirectShare = 0.5
)

// congestedService is what an entry node knows of a congested service: the routes whose requests lead to it, and the share
// of these requests that the node admits.
type congestedService struct {
	name  string
	share float64
	// base is the share before it was last lowered, at loweredAt. Responses to requests that were admitted under the base
	// can lower the share once, by the highest affected share among them; only responses to later requests show its effect.
	base          float64
	loweredAt     time.Time
	intervalStart time.Time
	before, after responseCount
	// reported is the congestion that the last response reported, affectedAt the time of the last affected one.
	reported   Congestion
	affectedAt time.Time
	// arrived and succeeded are the decayed numbers of dependent requests that arrived at the node, and that succeeded.
	// demand is the former when the share was last lowered, and capacity the highest recent value of the latter.
	arrived, succeeded float64
	decayedAt          time.Time
	demand, capacity   float64
	// limited is set from the first time that the share is lowered until the service is free again.
	limited   bool
	limitedAt time.Time
	routes    [maxDependentRoutes]dependentRoute
	ranks     recentRanks
}

func newCongestedService(name string, now time.Time) *congestedService {
	return &congestedService{name: name, share: 1, base: 1, intervalStart: now, decayedAt: now}
}

// isDependent reports whether requests of a route lead to the service.
func (s *congestedService) isDependent(name RouteName, now time.Time) bool {
	r := s.find(name)
	return r != nil && r.isDependent(now)
}

// isFilledByCalls reports whether requests of other services lead to the service.
func (s *congestedService) isFilledByCalls(now time.Time) bool {
	for i := range s.routes {
		if r := &s.routes[i]; r.name.Service != s.name && r.isDependent(now) {
			return true
		}
	}
	return false
}

func (s *congestedService) find(name RouteName) *dependentRoute {
	for i := range s.routes {
		if s.routes[i].name == name {
			return &s.routes[i]
		}
	}
	return nil
}

// add returns the entry of a route. A new one takes the place of the route whose last response is the oldest.
func (s *congestedService) add(name RouteName) *dependentRoute {
	if r := s.find(name); r != nil {
		return r
	}
	oldest := &s.routes[0]
	for i := range s.routes {
		if s.routes[i].at.Before(oldest.at) {
			oldest = &s.routes[i]
		}
	}
	*oldest = dependentRoute{name: name}
	return oldest
}

// observe counts a response. It reports whether the response was affected by the service.
func (s *congestedService) observe(r DownstreamResponse, now time.Time) bool {
	value := 0.0
	if r.Congestion.Service == s.name {
		value = r.Congestion.Current(now)
	}
	if value > 0 {
		s.reported = r.Congestion
	}
	affected := value > 0 && (r.Failed || r.Slow)
	if r.Lost && now.Sub(s.reported.At) < congestionLifetime {
		affected = s.isDependent(r.Route, now)
	}
	if affected {
		s.affectedAt = now
		s.add(r.Route).record(true, now)
	} else if route := s.find(r.Route); route != nil {
		route.record(false, now)
	}
	if !s.isDependent(r.Route, now) {
		return affected
	}
	s.decay(now)
	if !r.Failed {
		s.succeeded++
		s.capacity = max(s.capacity, s.succeeded)
	}
	hasSettled := value >= highCongestion && now.Sub(s.loweredAt) >= settleTime
	if hasSettled || !r.Start.Before(s.loweredAt) {
		s.after.add(affected)
	} else {
		s.before.add(affected)
	}
	return affected
}

// update changes the share if the current interval has ended. It returns whether the interval has.
func (s *congestedService) update(now time.Time) bool {
	elapsed := now.Sub(s.intervalStart)
	if elapsed < shareInterval {
		return false
	}
	isAffected := s.before.affected+s.after.affected > 0
	if isAffected && s.before.all+s.after.all < minShareResponses && elapsed < maxShareInterval {
		return false
	}
	s.decay(now)
	switch {
	case s.after.affected > 0:
		s.base, s.loweredAt = s.share, now
		s.lower(s.after)
	case s.before.affected > 0:
		s.lower(s.before)
	default:
		s.raise(s.reported.Current(now), min(int(elapsed/shareInterval), maxIdleIntervals))
	}
	s.intervalStart, s.before, s.after = now, responseCount{}, responseCount{}
	return true
}

// lower lowers the share for the affected ones among the counted responses.
func (s *congestedService) lower(c responseCount) {
	s.demand = s.arrived
	floor := max(minDownstreamShare, drainShare*s.sustainable())
	s.share = min(s.share, max(floor, s.base*(1-c.decrease())))
}

// sustainable returns the share of the requests that arrive at present that the service can sustain.
func (s *congestedService) sustainable() float64 {
	return min(1, s.capacity/max(1, s.arrived))
}

// raise raises the share by a step for each of the given number of intervals.
func (s *congestedService) raise(value float64, intervals int) {
	target := probeShare * s.sustainable()
	switch {
	case s.share < target:
		s.share = min(target, s.share+fastStep*float64(intervals))
	case value <= 0 && (s.arrived < endShare*s.demand || s.intervalStart.Sub(s.affectedAt) >= endTime):
		s.share = min(1, s.share+fastStep*float64(intervals))
	case value < highCongestion:
		s.share = min(1, s.share+shareStep*float64(intervals))
	}
}

// decay lowers the counts of requests by their age.
func (s *congestedService) decay(now time.Time) {
	if dt := now.Sub(s.decayedAt); dt > 0 {
		f := math.Exp(-dt.Seconds() / sustainableDecay.Seconds())
		s.arrived *= f
		s.succeeded *= f
		s.capacity = max(s.succeeded, s.capacity*math.Exp(-dt.Seconds()/peakDecay.Seconds()))
		s.decayedAt = now
	}
}

// admits counts a dependent request and reports whether the share covers it. A part of all requests is admitted whatever
// their rank, which keeps a minimum for each class and account without a count for each; the others are compared by rank.
// kept and draw are random numbers in [0, 1).
func (s *congestedService) admits(rank uint32, kept, draw float64, now time.Time) bool {
	s.decay(now)
	s.arrived++
	s.ranks.add(rank)
	minimum := minMeanShare * s.share
	if s.share >= 1 || kept < minimum {
		return true
	}
	refused := (1 - s.share) / (1 - minimum)
	return s.ranks.position(rank, draw) >= refused*float64(s.ranks.count())
}

// lasted returns how long dependent requests have been refused.
func (s *congestedService) lasted(now time.Time) time.Duration {
	if !s.limited {
		return 0
	}
	return now.Sub(s.limitedAt)
}

// isQuiet reports whether all dependent requests have been admitted without harm for some time.
func (s *congestedService) isQuiet(now time.Time) bool {
	return s.share >= 1 && now.Sub(s.affectedAt) >= quietTime
}

// isOver reports whether the service has no dependent route left.
func (s *congestedService) isOver(now time.Time) bool {
	return s.share >= 1 && now.Sub(s.affectedAt) >= dependentLifetime
}
