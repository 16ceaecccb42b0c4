// Package router chooses the worker that a call goes to.
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
	// ejectAfter is the number of failures in a row after which a worker is left out.
	ejectAfter = 5
	// firstEjection is how long a worker is left out for the first time; it doubles up to lastEjection.
	firstEjection = time.Second
	lastEjection  = 30 * time.Second
	// loadLifetime is how long a reported load is believed.
	loadLifetime = time.Second
	// startLatency is assumed of a worker that was not measured yet.
	startLatency = time.Millisecond
	// latencyMemory is the time after which half of a worker's latency is forgotten, so that one that was slow is tried
	// again.
	latencyMemory = 4 * time.Second
	// faultCost is how many usual times a lost call costs: its caller sends it again, or a whole chain above it fails.
	faultCost = 8.0
)

// Target is one worker as this node knows it. It is safe for concurrent use.
type Target struct {
	Node    string
	Address netip.AddrPort
	Domain  string
	Region  string
	// Local tells that the worker is this node's own upstream.
	Local bool

	slots    atomic.Uint32
	ready    atomic.Bool
	suspect  atomic.Bool
	inflight atomic.Int32
	instance atomic.Pointer[string]

	mu        sync.Mutex
	latency   time.Duration
	measured  time.Time
	faults    float64
	faultsAt  time.Time
	load      float64
	loadAt    time.Time
	failures  int
	ejections int
	ejected   time.Time
}

func newTarget(w *schema.Worker, self string) *Target {
	addr, _ := netip.ParseAddrPort(w.GetPeerAddress())
	t := &Target{
		Node:    w.GetNode(),
		Address: addr,
		Domain:  w.GetFailureDomain(),
		Region:  w.GetRegion(),
		Local:   w.GetNode() == self,
	}
	t.update(w)
	return t
}

func (t *Target) update(w *schema.Worker) {
	t.slots.Store(w.GetSlots())
	t.ready.Store(w.GetState() == schema.UpstreamState_UPSTREAM_STATE_READY)
	t.suspect.Store(w.GetState() == schema.UpstreamState_UPSTREAM_STATE_SUSPECT)
	instance := w.GetInstance()
	t.instance.Store(&instance)
}

// Instance returns the run of the upstream that is expected there, or nothing when it gave none.
func (t *Target) Instance() string {
	return *t.instance.Load()
}

// Start counts a call in progress.
func (t *Target) Start() {
	t.inflight.Add(1)
}

// Result is what a finished call tells of its worker.
type Result struct {
	Latency time.Duration
	// Failed tells that the worker broke, as seen from here.
	Failed bool
	// Declined tells that the upstream itself did not take a call that its gate let through.
	Declined bool
	// Refused tells that the worker's gate did not run the call.
	Refused bool
	// Load is the gate's reported load; it is valid when HasLoad is set.
	Load    float64
	HasLoad bool
}

// Finish ends a call in progress.
func (t *Target) Finish(r Result, now time.Time) {
	t.inflight.Add(-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.HasLoad {
		t.load, t.loadAt = r.Load, now
	}
	t.noteFault(r, now)
	switch {
	case r.Failed:
		t.fail(now)
	case r.Refused:
	default:
		t.failures = 0
		if now.After(t.ejected) {
			t.ejections = 0
		}
		if t.latency == 0 {
			t.latency = r.Latency
		}
		t.learn(r.Latency, now)
	}
}

// noteFault keeps the share of calls that the worker failed or declined. It answers a worker that fails a part of its work
// while it seems well: it loses its share of the calls, not all of them.
func (t *Target) noteFault(r Result, now time.Time) {
	fault := 0.0
	if r.Failed || r.Declined {
		fault = 1
	} else if r.Refused {
		return
	}
	t.faults = t.agedFaults(now)
	t.faults += (fault - t.faults) * latencyWeight
	t.faultsAt = now
}

// agedFaults returns the share of calls that the worker failed, of which a part is forgotten while there are none.
func (t *Target) agedFaults(now time.Time) float64 {
	idle := max(0, now.Sub(t.faultsAt))
	return t.faults * math.Exp2(-idle.Seconds()/latencyMemory.Seconds())
}

func (t *Target) fail(now time.Time) {
	t.failures++
	if t.failures < ejectAfter || now.Before(t.ejected) {
		return
	}
	t.failures = 0
	t.ejected = now.Add(min(lastEjection, firstEjection<<min(t.ejections, 10)))
	t.ejections++
}

func (t *Target) isEjected(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.ejected)
}

// learn takes in one latency. It weighs as much as was forgotten since the last one.
func (t *Target) learn(latency time.Duration, now time.Time) {
	weight := max(latencyWeight, 1-float64(t.aged(now))/float64(max(1, t.latency)))
	t.latency += time.Duration(float64(latency-t.latency) * weight)
	t.measured = now
}

// aged returns the mean latency, of which a part is forgotten while no call is measured.
func (t *Target) aged(now time.Time) time.Duration {
	idle := max(0, now.Sub(t.measured))
	return time.Duration(float64(t.latency) * math.Exp2(-idle.Seconds()/latencyMemory.Seconds()))
}

// busyness returns the requests at the worker over its slots. The gate's own report covers all nodes; without a
// fresh one only the calls from here are known.
func (t *Target) busyness(now time.Time) float64 {
	own := float64(t.inflight.Load()) / float64(max(1, t.slots.Load()))
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.loadAt) < loadLifetime {
		return max(own, t.load)
	}
	return own
}

// cost orders workers: the expected time for one more request.
func (t *Target) cost(now time.Time) float64 {
	busy := t.busyness(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(startLatency, t.aged(now)).Seconds() * (1 + busy) * math.Max(1, busy) * (1 + faultCost*t.agedFaults(now))
}
