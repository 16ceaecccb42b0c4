package admitter

import "time"

// learned holds what a gate has learned from its upstream's completions and load reports. It is soft state: a new gate starts
// from the announced slots.
type learned struct {
	slowdowns slowdowns
	time      expectedTime
	capacity  capacity
}

// Estimate is what a gate expects of its upstream.
type Estimate struct {
	// Expected is the time that one more call would take, with the time in the queue. It is valid only if HasExpected is set,
	// which it is if the gate is adaptive.
	Expected    time.Duration
	HasExpected bool
	// Slowdown is the reported slowdown of the upstream's host, or 1.
	Slowdown float64
	// Limit is the number of requests that may be in progress.
	Limit int
	// Learned is the learned limit without the present trial, or zero if nothing bounds the limit.
	Learned int
}

// learn adds a finished request to what is known of the upstream, and updates the bound of the limit.
func (g *Gate) learn(s Sample, now time.Time) {
	l := &g.learned
	since := func(from time.Time) float64 {
		if factor, ok := l.slowdowns.average(from, now); ok {
			return factor
		}
		return 1
	}
	// An upstream that fails requests at once is not fast. One that fails them late is at least that slow.
	if !s.Shed && (!s.Failed || s.Total > l.time.mean()) {
		l.time.record(s.Total, since(now.Add(-s.Total)), now)
	}
	// A limit that is not static is adapted by its own probes.
	if !g.static || !g.isAdaptive() {
		g.limit.bound = 0
		return
	}
	l.capacity.reset(g.limit.slots, now)
	l.capacity.recordDone(load{
		inflight: g.inflight, limit: g.limit.current(), failed: s.Shed || s.Failed, mean: l.time.mean(), slowdown: since,
	}, now)
	g.limit.bound = l.capacity.limit()
	g.dispatch(now)
}

// estimate returns what the gate expects of the upstream at the given load.
func (g *Gate) estimate(load float64, now time.Time) Estimate {
	l := &g.learned
	e := Estimate{Slowdown: 1, Limit: g.limit.current(), Learned: g.learnedLimit(), Expected: l.time.mean()}
	if l.slowdowns.isCurrent(now) {
		e.Slowdown = l.slowdowns.current
		e.Expected = l.time.at(e.Slowdown)
	}
	e.Expected = time.Duration(float64(e.Expected) * max(1, load))
	e.HasExpected = g.isAdaptive() && e.Expected > 0
	return e
}

func (g *Gate) learnedLimit() int {
	if g.limit.bound == 0 {
		return 0
	}
	return g.learned.capacity.bound
}
