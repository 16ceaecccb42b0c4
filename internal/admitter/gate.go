// Package admitter is the gate in front of an upstream: it decides which requests run, in which order, and which
// are shed before any work is done.
package admitter

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const (
	// minQueueTime and maxQueueTime bound how long a request waits for a slot.
	minQueueTime = 50 * time.Millisecond
	maxQueueTime = 400 * time.Millisecond
	// queueFactor is the time that a request waits at most, in mean times of a request.
	queueFactor = 2
	// latencyWeight is the weight of a new sample in the mean time of a request.
	latencyWeight = 0.05
	// maxMissed is the number of windows without a request that a level is lowered for at once.
	maxMissed = 32
	// A queue longer than longQueue times the limit is long, one up to shortQueue times is short. In between it covers the
	// time that a new level takes to reach the entries.
	longQueue  = 0.8
	shortQueue = 0.3
	// maxQueued bounds the queue's memory, in requests for each slot.
	maxQueued = 64
)

// Decision is the outcome of asking a gate.
type Decision int

// Decisions of a Gate.
const (
	// Admitted: the request may run; its Ticket must be ended.
	Admitted Decision = iota
	// Shed: the upstream has no capacity for this rank.
	Shed
	// DeadlineExceeded: the request could not finish by its deadline.
	DeadlineExceeded
	// Draining: the upstream takes no new work.
	Draining
	// Canceled: the caller went away.
	Canceled
)

// Gate admits requests to one upstream. It is safe for concurrent use.
type Gate struct {
	timer  *timer.Service
	assert *asserter.Asserter

	mu          sync.Mutex
	draining    bool
	inflight    int
	limit       limit
	level       level
	queue       queue
	sequence    uint64
	mean        time.Duration
	windowStart time.Time
	served      int
	pressed     bool
	standing    bool
	fifo        bool
	open        bool
	static      bool
	slots       int
	usable      float64
}

// Option changes a Gate under construction.
type Option func(*Gate)

// WithStaticLimit keeps the limit at the slots that are used. It answers upstreams whose slots are exact: there a refusal
// of the upstream itself tells of a fault, not of too many requests at once.
func WithStaticLimit() Option {
	return func(g *Gate) {
		g.static = true
		g.limit.pin()
	}
}

// WithUsableShare sets the part of an upstream's slots that the gate uses.
func WithUsableShare(share float64) Option {
	return func(g *Gate) {
		g.usable = share
		g.limit.setSlots(g.usableOf(g.slots))
	}
}

// usableOf returns how many of an upstream's slots are used, at least one.
func (g *Gate) usableOf(slots int) int {
	return max(1, int(float64(slots)*g.usable))
}

// WithFIFO makes the gate serve in order of arrival and shed by waiting time only. It is a baseline for measurements.
func WithFIFO() Option {
	return func(g *Gate) { g.fifo = true }
}

// WithoutGate admits every request at once. It is a baseline for measurements.
func WithoutGate() Option {
	return func(g *Gate) { g.open = true }
}

// New returns a gate for an upstream with a number of slots.
func New(slots int, t *timer.Service, assert *asserter.Asserter, opts ...Option) *Gate {
	now := t.Now()
	g := &Gate{timer: t, assert: assert, limit: newLimit(slots, now), windowStart: now, slots: slots, usable: 1}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Request describes a request that wants to run.
type Request struct {
	Rank     Rank
	Deadline time.Time
	// MaxWait is how long the request may wait for a slot; zero leaves it to the gate.
	MaxWait time.Duration
	// Rerouted tells that another gate refused the request: it is no demand of this one's own.
	Rerouted bool
}

// Ticket is the right to run one request.
type Ticket struct {
	gate *Gate
}

// Admit waits for a slot for a bounded time. Only with Admitted is the ticket valid.
func (g *Gate) Admit(ctx context.Context, ask Request) (Ticket, Decision) {
	g.mu.Lock()
	now := g.timer.Now()
	g.turn(now)
	if d := g.judge(ask, now); d != Admitted {
		g.mu.Unlock()
		return Ticket{}, d
	}
	if g.open || (g.queue.Len() == 0 && g.inflight < g.limit.current()) {
		g.enter()
		g.mu.Unlock()
		return Ticket{gate: g}, Admitted
	}
	w := g.enqueue(ask, now)
	g.dispatch(now)
	wait := min(g.queueTime(ask), ask.Deadline.Sub(now))
	g.mu.Unlock()
	return g.await(ctx, w, wait)
}

// judge decides on what needs no waiting.
func (g *Gate) judge(ask Request, now time.Time) Decision {
	if g.draining {
		return Draining
	}
	if !ask.Rerouted {
		g.level.arrive(ask.Rank, now)
	}
	switch {
	case g.open:
		return Admitted
	case ask.Deadline.Sub(now) < g.mean/2:
		return DeadlineExceeded
	case !g.fifo && ask.Rank < g.level.current(now):
		g.level.shed(ask.Rank, now)
		return Shed
	case g.queue.Len() >= g.limit.slots*maxQueued:
		g.pressed = true
		g.level.shed(ask.Rank, now)
		return Shed
	}
	return Admitted
}

func (g *Gate) enter() {
	g.inflight++
	g.assert.Check(asserter.WithinSlots, g.open || g.inflight <= g.limit.slots, "")
	g.assert.Check(asserter.NoWorkWhenDraining, !g.draining, "")
}

func (g *Gate) enqueue(ask Request, now time.Time) *waiter {
	g.sequence++
	w := &waiter{ask: ask, sequence: g.sequence, ready: make(chan Decision, 1), fifo: g.fifo, since: now}
	heap.Push(&g.queue, w)
	g.limit.busy = true
	return w
}

// queueTime returns how long a request may wait. A service whose usual request is short may have long ones as well, which
// bear a longer wait.
func (g *Gate) queueTime(ask Request) time.Duration {
	return max(minQueueTime, min(maxQueueTime, max(g.mean*queueFactor, ask.MaxWait)))
}

func (g *Gate) await(ctx context.Context, w *waiter, wait time.Duration) (Ticket, Decision) {
	sub := g.timer.After(wait)
	defer sub.Stop()
	d := Shed
	select {
	case d = <-w.ready:
		return Ticket{gate: g}, d
	case <-sub.C:
	case <-ctx.Done():
		d = Canceled
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		return Ticket{gate: g}, <-w.ready
	}
	heap.Remove(&g.queue, w.index)
	if d == Shed {
		now := g.timer.Now()
		g.pressed = true
		g.level.shed(w.ask.Rank, now)
		if !now.Before(w.ask.Deadline) {
			d = DeadlineExceeded
		}
	}
	return Ticket{}, d
}

// Sample is what is learned from a finished request.
type Sample struct {
	// Total is the time from admission to the end of the answer.
	Total time.Duration
	// Self is Total without the time in nested calls.
	Self time.Duration
	// Shed tells that the upstream refused the request for lack of capacity.
	Shed bool
}

// Done ends a ticket and lets the next request in.
func (t Ticket) Done(s Sample) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight--
	g.served++
	if !s.Shed {
		g.mean += time.Duration(float64(s.Total-g.mean) * latencyWeight)
	}
	g.limit.finish(s.Self, s.Shed)
	now := g.timer.Now()
	g.turn(now)
	g.dispatch(now)
}

// Cancel gives a ticket back for a request that was not run after all.
func (t Ticket) Cancel() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight--
	g.dispatch(g.timer.Now())
}

// dispatch admits waiting requests while there is room.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.Len() > 0 && g.inflight < g.limit.current() {
		w := heap.Pop(&g.queue).(*waiter)
		if w.ask.Deadline.Sub(now) < g.mean/2 {
			w.ready <- DeadlineExceeded
			continue
		}
		if !g.fifo && w.ask.Rank < g.level.fence(now) {
			g.level.shed(w.ask.Rank, now)
			w.ready <- Shed
			continue
		}
		g.checkOrder(w)
		g.enter()
		w.ready <- Admitted
	}
	if g.queue.Len() == 0 {
		g.standing = false
	}
}

func (g *Gate) checkOrder(w *waiter) {
	if g.fifo || g.queue.Len() == 0 {
		return
	}
	top := g.queue[0].ask.Rank
	detail := ""
	if top > w.ask.Rank {
		detail = fmt.Sprintf("admitted %d while %d waits", w.ask.Rank, top)
	}
	g.assert.Check(asserter.ImportantShedLast, top <= w.ask.Rank, detail)
}

// turn ends the level's window when it is over.
func (g *Gate) turn(now time.Time) {
	if g.queue.Len() == 0 {
		g.standing = false
	}
	elapsed := now.Sub(g.windowStart)
	if elapsed < levelWindow {
		return
	}
	g.limit.decide(now)
	if elapsed < maxLevelWindow && g.served < levelServed && g.queue.Len() > 0 {
		return
	}
	g.level.decide(g.capacity(elapsed), g.pressure(), now)
	for range min(int(elapsed/levelWindow)-1, maxMissed) {
		if g.queue.Len() == 0 {
			g.level.decide(0, relaxed, now)
		}
	}
	g.windowStart = now
	g.served, g.pressed = 0, false
	// A queue that stays non-empty through the whole next window is a standing one.
	g.standing = g.queue.Len() > 0
}

// capacity returns how many requests the upstream can serve in a time: what it did serve, or what the limit and the mean
// time of a request promise.
func (g *Gate) capacity(d time.Duration) float64 {
	if g.mean <= 0 {
		return float64(g.served)
	}
	return max(float64(g.served), float64(g.limit.current())*d.Seconds()/g.mean.Seconds())
}

// pressure judges the window by the queue: a short one keeps the upstream busy, a long one only makes requests wait.
func (g *Gate) pressure() pressure {
	waiting := float64(g.queue.Len()) / float64(g.limit.current())
	switch {
	case g.pressed || (g.standing && waiting > longQueue):
		return overloaded
	case waiting > shortQueue:
		return saturated
	default:
		return relaxed
	}
}

// Report is what a gate tells with each answer.
type Report struct {
	// Level is the rank below which the gate sheds.
	Level Rank
	// Load is the requests in progress and waiting over the limit.
	Load float64
	// Mean is the mean time of a request.
	Mean time.Duration
}

// Report returns the gate's current state.
func (g *Gate) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timer.Now()
	g.turn(now)
	load := float64(g.inflight+g.queue.Len()) / float64(g.limit.current())
	return Report{Level: g.level.current(now), Load: load, Mean: g.mean}
}

// HasRoom reports whether a request would be admitted without waiting.
func (g *Gate) HasRoom() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.draining && g.queue.Len() == 0 && g.inflight < g.limit.current()
}

// Inflight returns the number of requests in progress.
func (g *Gate) Inflight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inflight
}

// SetSlots changes the slots of the upstream.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.slots == slots {
		return
	}
	g.slots = slots
	g.limit.setSlots(g.usableOf(slots))
	if g.static {
		g.limit.pin()
	}
}

// SetReportedLoad takes in the load that the upstream reports of itself, with 1 for full use. It can lower the limit a little and
// never raise it.
func (g *Gate) SetReportedLoad(load float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.hint = load
}

// Drain makes the gate refuse new requests. Requests in progress and waiting ones go on.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for g.queue.Len() > 0 {
		heap.Pop(&g.queue).(*waiter).ready <- Draining
	}
}

// Resume ends a drain. The upstream starts cold.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		return
	}
	g.draining = false
	g.limit = newLimit(g.usableOf(g.slots), g.timer.Now())
	if g.static {
		g.limit.pin()
	}
}
