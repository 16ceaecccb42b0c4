// Package router chooses the worker that serves a call.
package router

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// latencyWeight is the weight of a new sample in a worker's mean latency.
	latencyWeight = 0.1
	// ejectAfter is the number of consecutive failures after which a worker is ejected.
	ejectAfter = 5
	// firstEjection is the duration of a worker's first ejection. Each further one lasts twice as long, up to
	// maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// loadLifetime is how long a reported load is valid.
	loadLifetime = time.Second
	// minLatency is the minimum latency used for the cost of a worker, and thus the latency of one without samples.
	minLatency = time.Millisecond
	// statsHalfLife is the half-life of a worker's mean latency and share of failed calls while it gets no calls, so that a
	// worker that was slow is tried again.
	statsHalfLife = 4 * time.Second
	// faultCost is the cost of a failed call in mean latencies: its caller retries it, or the whole call chain above it
	// fails.
	faultCost = 8.0
)

// Target is a worker to which this node sends calls, with the statistics of those calls. It is safe for concurrent use.
type Target struct {
	Node    string
	Address netip.AddrPort
	Domain  string
	Region  string
	// Local reports whether the worker is the local upstream.
	Local bool

	slots    atomic.Uint32
	ready    atomic.Bool
	suspect  atomic.Bool
	inflight atomic.Int32
	instance atomic.Pointer[string]
	cold     coldness

	mu           sync.Mutex
	latency      time.Duration
	measuredAt   time.Time
	faults       float64
	faultsAt     time.Time
	load         float64
	loadAt       time.Time
	failures     int
	ejections    int
	ejectedUntil time.Time
	// suspendedUntil is the time until which the worker's gate declines calls because its upstream is faulty.
	suspendedUntil time.Time
	estimate       estimate
	scale          *timeScale
}

func newTarget(w *schema.Worker, self string, scale *timeScale) *Target {
	addr, _ := netip.ParseAddrPort(w.GetPeerAddress())
	t := &Target{
		Node:    w.GetNode(),
		Address: addr,
		Domain:  w.GetFailureDomain(),
		Region:  w.GetRegion(),
		Local:   w.GetNode() == self,
		scale:   scale,
	}
	t.update(w)
	return t
}

func (t *Target) update(w *schema.Worker) {
	t.slots.Store(w.GetSlots())
	t.ready.Store(w.GetState() == schema.UpstreamState_UPSTREAM_STATE_READY)
	t.suspect.Store(w.GetState() == schema.UpstreamState_UPSTREAM_STATE_SUSPECT)
	instance := w.GetInstance()
	if old := t.instance.Swap(&instance); old != nil && *old != instance {
		t.Suspend(0, time.Time{})
	}
	t.cold.announce(w.GetCold())
}

// Instance returns the ID of the expected upstream instance, or an empty string if the upstream reported none.
func (t *Target) Instance() string {
	return *t.instance.Load()
}

// Start counts a new call in progress.
func (t *Target) Start() {
	t.inflight.Add(1)
}

// Result describes a finished call.
type Result struct {
	Latency time.Duration
	// Failed reports whether the call failed at the worker.
	Failed bool
	// Declined reports whether the upstream itself declined a call that its gate had admitted.
	Declined bool
	// Refused reports whether the call was refused and not run.
	Refused bool
	// Load is the load that the worker's gate reported. It is valid only if HasLoad is set.
	Load    float64
	HasLoad bool
	// Expected is the time of one more call that the worker's gate expects, or zero if it reported none.
	Expected time.Duration
}

// Finish ends a call in progress and records its result.
func (t *Target) Finish(r Result, now time.Time) {
	t.inflight.Add(-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.HasLoad {
		t.load, t.loadAt = r.Load, now
	}
	t.recordEstimate(r, now)
	t.recordFault(r, now)
	switch {
	case r.Failed:
		t.recordFailure(now)
	case r.Refused:
	default:
		t.failures = 0
		if now.After(t.ejectedUntil) {
			t.ejections = 0
		}
		if t.latency == 0 {
			t.latency = r.Latency
		}
		t.recordLatency(r.Latency, now)
	}
}

// recordFault updates the share of calls that the worker failed or declined. A worker that fails some of its calls and
// serves the others normally gets fewer calls in proportion, rather than none.
func (t *Target) recordFault(r Result, now time.Time) {
	fault := 0.0
	if r.Failed || r.Declined {
		fault = 1
	} else if r.Refused {
		return
	}
	t.faults = t.decayedFaults(now)
	t.faults += (fault - t.faults) * latencyWeight
	t.faultsAt = now
}

// decayedFaults returns the share of calls that the worker failed or declined, decayed by the time without calls.
func (t *Target) decayedFaults(now time.Time) float64 {
	idle := max(0, now.Sub(t.faultsAt))
	return t.faults * math.Exp2(-idle.Seconds()/statsHalfLife.Seconds())
}

func (t *Target) recordFailure(now time.Time) {
	t.failures++
	if t.failures < ejectAfter || now.Before(t.ejectedUntil) {
		return
	}
	t.failures = 0
	t.ejectedUntil = now.Add(min(maxEjection, firstEjection<<min(t.ejections, 10)))
	t.ejections++
}

func (t *Target) isEjected(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.ejectedUntil)
}

// recordLatency adds a latency sample to the mean. The sample's weight is at least the share by which the mean has
// decayed since the last sample.
func (t *Target) recordLatency(latency time.Duration, now time.Time) {
	weight := max(latencyWeight, 1-float64(t.decayedLatency(now))/float64(max(1, t.latency)))
	t.latency += time.Duration(float64(latency-t.latency) * weight)
	t.measuredAt = now
}

// decayedLatency returns the mean latency, decayed by the time without samples.
func (t *Target) decayedLatency(now time.Time) time.Duration {
	idle := max(0, now.Sub(t.measuredAt))
	return time.Duration(float64(t.latency) * math.Exp2(-idle.Seconds()/statsHalfLife.Seconds()))
}

// utilization returns the requests at the worker divided by its slots. The load that its gate reports covers calls from
// all nodes. Without a recent report, only the calls from this node are known.
func (t *Target) utilization(now time.Time) float64 {
	local := float64(t.inflight.Load()) / float64(max(1, t.slots.Load()))
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.loadAt) < loadLifetime {
		return max(local, t.load)
	}
	return local
}

// cost returns the expected time of one more call to the worker, in seconds, by which workers are compared.
func (t *Target) cost(now time.Time) float64 {
	load := t.utilization(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	faults := 1 + faultCost*t.decayedFaults(now)
	if s, ok := t.estimated(now); ok {
		return t.estimatedCost(s) * faults
	}
	return max(minLatency, t.decayedLatency(now)).Seconds() * (1 + load) * math.Max(1, load) * faults
}
