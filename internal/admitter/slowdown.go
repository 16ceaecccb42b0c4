package admitter

import (
	"math"
	"time"
)

const (
	// slowdownStep is the resolution of the history, slowdownSteps its length: 2.5 s, longer than nearly all requests.
	slowdownStep  = 20 * time.Millisecond
	slowdownSteps = 128
	// slowdownWeight is the smallest weight of a new report, so that a single wrong one has little effect.
	slowdownWeight = 0.3
	// slowdownSmoothing is the time after which a report has replaced the ones before it, also if it is the only one.
	slowdownSmoothing = 50 * time.Millisecond
	// slowdownLifetime is how long a report is valid. Periods of slowness last about half a second.
	slowdownLifetime = 500 * time.Millisecond
)

// slowdowns holds the slowdown of the upstream's host as reported over the last seconds.
type slowdowns struct {
	current    float64
	reportedAt time.Time
	// integral is the sum of the slowdown over time, in seconds, up to the time at.
	integral float64
	at       time.Time
	ring     [slowdownSteps]slowdownPoint
	points   int
}

type slowdownPoint struct {
	at       time.Time
	integral float64
}

// record adds a report.
func (s *slowdowns) record(factor float64, now time.Time) {
	if s.reportedAt.IsZero() {
		s.current, s.reportedAt, s.at = factor, now, now
		s.ring[0], s.points = slowdownPoint{at: now}, 1
		return
	}
	s.advance(now)
	weight := max(slowdownWeight, 1-math.Exp(-now.Sub(s.reportedAt).Seconds()/slowdownSmoothing.Seconds()))
	s.current += (factor - s.current) * weight
	s.reportedAt = now
}

func (s *slowdowns) advance(now time.Time) {
	s.integral += s.current * max(0, now.Sub(s.at).Seconds())
	s.at = now
	if now.Sub(s.ring[(s.points-1)%slowdownSteps].at) >= slowdownStep {
		s.ring[s.points%slowdownSteps] = slowdownPoint{at: now, integral: s.integral}
		s.points++
	}
}

// isCurrent reports whether a recent report exists.
func (s *slowdowns) isCurrent(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < slowdownLifetime
}

// average returns the mean slowdown between two times, the second of which is the present. It returns false without reports
// from that time.
func (s *slowdowns) average(from, now time.Time) (float64, bool) {
	if s.reportedAt.IsZero() {
		return 0, false
	}
	s.advance(now)
	oldest := max(0, s.points-slowdownSteps)
	i := s.points - 1
	for i > oldest && s.ring[i%slowdownSteps].at.After(from) {
		i--
	}
	p := s.ring[i%slowdownSteps]
	length := now.Sub(p.at).Seconds()
	if length <= 0 {
		return s.current, true
	}
	return (s.integral - p.integral) / length, true
}
