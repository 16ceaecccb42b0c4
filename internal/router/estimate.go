package router

import (
	"math"
	"sync"
	"time"
)

const (
	// estimateFade is the time constant with which the mean of the last reports replaces the newest one. Hosts are slow for
	// about half a second at a time.
	estimateFade = 500 * time.Millisecond
	// estimateWeight is the weight of a new report in that mean.
	estimateWeight = 0.2
	// estimateLifetime is how long reports are used. Before that, the expected time decays like a mean latency, so that a
	// worker that is avoided is tried again, and not by all nodes at the same time.
	estimateLifetime = 4 * statsHalfLife
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

// factor returns the ratio of the times that this node measures to those that the gates report.
func (s *timeScale) factor() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported <= 0 {
		return 1
	}
	return s.measured / s.reported
}

// estimate is what a worker's gate has reported of itself: the newest report, which holds for a moment, and the mean of the
// last reports, which tells how fast the worker is in general.
type estimate struct {
	newest gateState
	mean   gateState
	at     time.Time
	// inflight is the number of this node's calls in progress at that time.
	inflight int32
}

// gateState is the expected time of a call in seconds, without the wait in the queue, and the load.
type gateState struct {
	time float64
	load float64
}

// toward returns a state between s and other, at the given share of the way.
func (s gateState) toward(other gateState, share float64) gateState {
	return gateState{time: s.time + (other.time-s.time)*share, load: s.load + (other.load-s.load)*share}
}

// recordEstimate records the expected time in a response.
func (t *Target) recordEstimate(r Result, now time.Time) {
	if r.Expected <= 0 {
		return
	}
	e := &t.estimate
	e.newest = gateState{time: r.Expected.Seconds() / max(1, r.Load), load: r.Load}
	if e.mean.time == 0 || now.Sub(e.at) >= estimateLifetime {
		e.mean = e.newest
	}
	e.mean = e.mean.toward(e.newest, estimateWeight)
	e.at, e.inflight = now, t.inflight.Load()
	if !r.Failed && !r.Refused {
		t.scale.record(r.Latency, r.Expected)
	}
}

// estimated returns what is expected of the worker's gate at present, including the calls that this node has sent since the
// last report: otherwise all calls of a moment would go to the worker with the best report. It returns false without a report of
// the last seconds.
func (t *Target) estimated(now time.Time) (gateState, bool) {
	e := &t.estimate
	age := now.Sub(e.at)
	if e.newest.time == 0 || age >= estimateLifetime {
		return gateState{}, false
	}
	s := e.mean.toward(e.newest, math.Exp(-age.Seconds()/estimateFade.Seconds()))
	s.time *= math.Exp2(-age.Seconds() / statsHalfLife.Seconds())
	sent := max(0, t.inflight.Load()-e.inflight)
	s.load += float64(sent) / float64(max(1, t.slots.Load()))
	return s, true
}

// hasEstimate reports whether the worker's gate has reported its expected time recently.
func (t *Target) hasEstimate(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.estimated(now)
	return ok
}

// estimatedCost returns the expected time of one more call, in seconds as this node would measure it, by which workers are
// compared.
func (t *Target) estimatedCost(s gateState) float64 {
	crowd := 1 + crowdedCost*max(0, s.load-crowdedLoad)/(1-crowdedLoad)
	return max(minLatency.Seconds(), s.time*t.scale.factor()) * (1 + s.load) * max(1, s.load) * crowd
}
