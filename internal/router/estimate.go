package router

import (
	"sync"
	"time"
)

const (
	// estimateLifetime is how long the expected time that a worker's gate reported is used. Hosts are slow for about half a
	// second at a time.
	estimateLifetime = time.Second
	// scaleWeight is the weight of a new call in the relation of measured to reported times.
	scaleWeight = 0.02
	// crowdedLoad is the load from which a worker's cost rises more steeply, by the share crowdedCost at full load. Reports are
	// older than the load, so that a worker at its limit gets calls that must wait or are refused.
	crowdedLoad = 0.9
	crowdedCost = 0.5
)

// timeScale relates the times that a service's gates report to those that this node measures. The gates report the mean over the
// requests of all nodes; this node may send shorter or longer ones. It is shared by the workers of a service: as all of them
// serve the same mix of requests, their reported times can be compared, and a common factor makes them comparable with measured
// times.
type timeScale struct {
	mu       sync.Mutex
	measured float64
	reported float64
}

// record adds a call with its measured time and the expected time that came with its response.
func (s *timeScale) record(measured, reported time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported == 0 {
		s.measured, s.reported = measured.Seconds(), reported.Seconds()
		return
	}
	s.measured += (measured.Seconds() - s.measured) * scaleWeight
	s.reported += (reported.Seconds() - s.reported) * scaleWeight
}

// apply returns the time that this node would measure for a reported time.
func (s *timeScale) apply(reported time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported <= 0 {
		return reported
	}
	return time.Duration(float64(reported) * s.measured / s.reported)
}

// estimate is the newest expected time that a worker's gate has reported.
type estimate struct {
	expected time.Duration
	at       time.Time
	// inflight is the number of this node's calls in progress at that time.
	inflight int32
}

// recordEstimate records the expected time in a response.
func (t *Target) recordEstimate(r Result, now time.Time) {
	if r.Expected <= 0 {
		return
	}
	t.estimate = estimate{expected: r.Expected, at: now, inflight: t.inflight.Load()}
	if !r.Failed && !r.Refused {
		t.scale.record(r.Latency, r.Expected)
	}
}

func (t *Target) hasEstimate(now time.Time) bool {
	return t.estimate.expected > 0 && now.Sub(t.estimate.at) < estimateLifetime
}

// estimatedLoad returns the load that the gate reported, with the calls that this node has sent since. Otherwise all calls of
// a moment would go to the worker with the best report.
func (t *Target) estimatedLoad() float64 {
	sent := max(0, t.inflight.Load()-t.estimate.inflight)
	return t.load + float64(sent)/float64(max(1, t.slots.Load()))
}

// estimatedQueue returns the factor for the wait in the queue. The estimate contains the wait at the time of the report.
func (t *Target) estimatedQueue(load float64) float64 {
	return max(1, load) / max(1, t.load) * (1 + crowdedCost*max(0, load-crowdedLoad)/(1-crowdedLoad))
}
