// Package admitter implements the admission gate in front of an upstream. The gate decides which requests run, in which
// order, and which are shed before any work is done.
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
	// minQueueTime and maxQueueTime bound the time that a request may wait for a slot.
	minQueueTime = 50 * time.Millisecond
	maxQueueTime = 400 * time.Millisecond
	// queueFactor is the maximum wait of a request as a multiple of the mean request time.
	queueFactor = 2
	// maxInProgressWait is the time that a call in progress may wait for a slot.
	maxInProgressWait = 2 * time.Second
	// inProgressWaitShare is the share of the time to its deadline that such a call may wait. Calls that wait longer use slots
	// for requests above that mostly run out of time later.
	inProgressWaitShare = 0.3
	// refusalTime allows for the way of a refusal back to the caller before the request's deadline.
	refusalTime = 25 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average of the request time.
	latencyWeight = 0.05
	// maxIdleWindows bounds the number of elapsed windows without a request for which the level is lowered in one call.
	maxIdleWindows = 32
	// A queue longer than longQueue times the limit counts as long, one of up to shortQueue times the limit as short. A
	// queue between the two keeps the upstream busy while a new level propagates to the entry nodes.
	longQueue  = 0.8
	shortQueue = 0.3
	// maxQueuedPerSlot bounds the length of the queue, and thus its memory, in requests per slot.
	maxQueuedPerSlot = 64
)

// Decision is the result of an admission request.
type Decision int

// Decisions of a Gate.
const (
	// Admitted means that the request may run. Done or Cancel must be called on its Ticket.
	Admitted Decision = iota
	// Shed means that the upstream has no capacity for the request's rank.
	Shed
	// DeadlineExceeded means that the request could not finish by its deadline.
	DeadlineExceeded
	// Draining means that the upstream accepts no new requests.
	Draining
	// Canceled means that the caller's context ended.
	Canceled
	// Cold means that the upstream is cold and takes no further request now.
	Cold
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
	// queueShed reports whether a queued request was shed, or the queue was full, in the current window.
	queueShed bool
	// standingQueue reports whether the queue was not empty when the current window began, and has not been empty since.
	standingQueue bool
	fifo          bool
	unlimited     bool
	static        bool
	slots         int
	usableShare   float64
	adaptive      AdaptiveMode
	// reportsSlowdown reports whether the upstream has reported a slowdown of its host.
	reportsSlowdown bool
	sharedHosts     func() bool
	congestion      congestionMeter
	learned         learned
	cold            coldState
}

// Option configures a Gate.
type Option func(*Gate)

// WithStaticLimit fixes the limit at the number of usable slots. It is meant for upstreams whose slot count is exact: a
// refusal by such an upstream indicates a fault, not too many concurrent requests.
func WithStaticLimit() Option {
	return func(g *Gate) {
		g.static = true
		g.limit.fixAtSlots()
	}
}

// WithUsableShare sets the share of the upstream's slots that the gate uses, from 0 to 1.
func WithUsableShare(share float64) Option {
	return func(g *Gate) {
		g.usableShare = share
		g.limit.setSlots(g.usableSlots(g.slots))
	}
}

// usableSlots returns how many of the given slots the gate uses, at least one.
func (g *Gate) usableSlots(slots int) int {
	return max(1, int(float64(slots)*g.usableShare))
}

// WithFIFO makes the gate serve requests in order of arrival and shed by waiting time only. It is a baseline for
// measurements.
func WithFIFO() Option {
	return func(g *Gate) { g.fifo = true }
}

// WithoutGate makes the gate admit every request immediately. It is a baseline for measurements.
func WithoutGate() Option {
	return func(g *Gate) { g.unlimited = true }
}

// New returns a gate for an upstream with the given number of slots.
func New(slots int, t *timer.Service, assert *asserter.Asserter, opts ...Option) *Gate {
	now := t.Now()
	g := &Gate{
		timer: t, assert: assert, limit: newLimit(slots, now), windowStart: now, slots: slots, usableShare: 1,
		sharedHosts: func() bool { return false },
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Request describes a request for admission.
type Request struct {
	Rank     Rank
	Deadline time.Time
	// MaxWait is the time that the request may wait for a slot. Zero selects a limit derived from the mean request time.
	MaxWait time.Duration
	// Rerouted reports whether another gate refused the request before. Such a request is not counted as demand here.
	Rerouted bool
}

// Ticket represents the admission of one request.
type Ticket struct {
	gate *Gate
}

// Admit waits for a slot for a bounded time. The ticket is valid only if the decision is Admitted.
func (g *Gate) Admit(ctx context.Context, req Request) (Ticket, Decision) {
	g.mu.Lock()
	now := g.timer.Now()
	g.endWindow(now)
	if d := g.checkRequest(req, now); d != Admitted {
		g.mu.Unlock()
		return Ticket{}, d
	}
	if g.unlimited || (g.queue.Len() == 0 && g.inflight < g.limit.current() && g.cold.take(now)) {
		g.recordCongestion(false, now)
		g.start()
		g.mu.Unlock()
		return Ticket{gate: g}, Admitted
	}
	if g.isTooCold(req, now) {
		g.mu.Unlock()
		return Ticket{}, Cold
	}
	w := g.enqueue(req, now)
	g.dispatch(now)
	wait := min(g.maxWait(req, now), w.lastStart.Sub(now))
	if g.cold.isCold(now) {
		wait = g.coldWait(req, now)
	}
	g.mu.Unlock()
	return g.await(ctx, w, wait)
}

// checkRequest returns Admitted for a request that may run or wait for a slot, and the reason for refusing it otherwise.
func (g *Gate) checkRequest(req Request, now time.Time) Decision {
	if g.draining {
		return Draining
	}
	if !req.Rerouted {
		g.level.recordArrival(req.Rank, now)
	}
	switch {
	case g.unlimited:
		return Admitted
	case req.Deadline.Sub(now) < g.mean/2:
		return DeadlineExceeded
	case !g.fifo && req.Rank < g.level.current(now):
		g.recordCongestion(true, now)
		g.level.recordShed(req.Rank, now)
		return Shed
	case g.queue.Len() >= g.limit.slots*maxQueuedPerSlot:
		g.queueShed = true
		g.recordCongestion(true, now)
		g.level.recordShed(req.Rank, now)
		return Shed
	}
	return Admitted
}

// recordCongestion counts a call for the congestion of the gate. A cold upstream is not full, and others may be warm.
func (g *Gate) recordCongestion(congested bool, now time.Time) {
	if !g.cold.isCold(now) {
		g.congestion.record(congested, now)
	}
}

// recordWait counts a call whose wait for a slot ended.
func (g *Gate) recordWait(w *waiter, now time.Time) {
	if !g.cold.isCold(now) {
		g.congestion.recordWait(w, now)
	}
}

func (g *Gate) start() {
	g.inflight++
	g.assert.Check(asserter.WithinSlots, g.unlimited || g.inflight <= g.limit.slots, "")
	g.assert.Check(asserter.NoWorkWhenDraining, !g.draining, "")
}

func (g *Gate) enqueue(req Request, now time.Time) *waiter {
	g.sequence++
	w := &waiter{
		req: req, sequence: g.sequence, decision: make(chan Decision, 1), fifo: g.fifo, enqueuedAt: now, lastStart: g.lastStart(req),
		byDeadline: req.Rank == InProgress && g.reportsCongestion(),
	}
	heap.Push(&g.queue, w)
	g.limit.busy = true
	return w
}

// maxWait returns how long a request may wait for a slot. A service whose typical request is short may also have long
// requests, which tolerate a longer wait. The work spent above a call in progress is lost if it is shed.
func (g *Gate) maxWait(req Request, now time.Time) time.Duration {
	if req.Rank == InProgress && g.reportsCongestion() {
		return min(maxInProgressWait, time.Duration(inProgressWaitShare*float64(req.Deadline.Sub(now))))
	}
	if req.Rank == InProgress {
		return maxInProgressWait
	}
	return max(minQueueTime, min(maxQueueTime, max(g.mean*queueFactor, req.MaxWait)))
}

// lastStart returns the time after which a request is refused because it can't finish by its deadline. The refusal must
// reach the hosts above before they end the call themselves.
func (g *Gate) lastStart(req Request) time.Time {
	runTime := g.mean / 2
	if req.Rank == InProgress {
		// These calls are served from the oldest, so that under a lasting overload all of them start at their last moment.
		runTime = g.mean
	}
	return req.Deadline.Add(-runTime - refusalTime)
}

func (g *Gate) await(ctx context.Context, w *waiter, wait time.Duration) (Ticket, Decision) {
	sub := g.timer.After(wait)
	defer sub.Stop()
	d := Shed
	select {
	case d = <-w.decision:
		return Ticket{gate: g}, d
	case <-sub.C:
	case <-ctx.Done():
		d = Canceled
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		return Ticket{gate: g}, <-w.decision
	}
	heap.Remove(&g.queue, w.index)
	now := g.timer.Now()
	if d == Canceled {
		g.recordWait(w, now)
	}
	if d == Shed {
		if g.cold.isCold(now) {
			// Other upstreams of the service may be warm, so the level must not rise.
			d = Cold
		} else {
			g.queueShed = true
			g.recordCongestion(true, now)
			g.level.recordShed(w.req.Rank, now)
		}
		if !now.Before(w.lastStart) {
			d = DeadlineExceeded
		}
	}
	return Ticket{}, d
}

// Sample holds the measurements of a finished request.
type Sample struct {
	// Total is the time from admission to the end of the response.
	Total time.Duration
	// Self is Total without the time spent in nested calls.
	Self time.Duration
	// Shed reports whether the upstream refused the request for lack of capacity.
	Shed bool
	// Failed reports whether the upstream did not complete the request, or answered it with an error.
	Failed bool
}

// Done releases the ticket's slot and admits the next waiting request.
func (t Ticket) Done(s Sample) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight--
	g.served++
	if !s.Shed {
		g.mean += time.Duration(float64(s.Total-g.mean) * latencyWeight)
	}
	g.limit.recordRequest(s.Self, s.Shed)
	now := g.timer.Now()
	g.endWindow(now)
	g.dispatch(now)
	g.learn(s, now)
}

// Cancel releases the ticket's slot for a request that was not run.
func (t Ticket) Cancel() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight--
	g.dispatch(g.timer.Now())
}

// dispatch admits waiting requests while the limit allows it.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.Len() > 0 && g.inflight < g.limit.current() && g.cold.hasRoom(now) {
		w := heap.Pop(&g.queue).(*waiter)
		if now.After(g.lastStart(w.req)) {
			g.recordCongestion(true, now)
			w.decision <- DeadlineExceeded
			continue
		}
		if !g.fifo && w.req.Rank < g.level.shedFloor(now) {
			g.recordCongestion(true, now)
			g.level.recordShed(w.req.Rank, now)
			w.decision <- Shed
			continue
		}
		g.checkOrder(w)
		g.recordWait(w, now)
		g.cold.take(now)
		g.start()
		w.decision <- Admitted
	}
	g.scheduleColdDispatch(now)
	if g.queue.Len() == 0 {
		g.standingQueue = false
	}
}

func (g *Gate) checkOrder(w *waiter) {
	if g.fifo || g.queue.Len() == 0 {
		return
	}
	top := g.queue[0].req.Rank
	detail, isOrdered := "", top.precedence() <= w.req.Rank.precedence()
	if !isOrdered {
		detail = fmt.Sprintf("admitted %d while %d waits", w.req.Rank, top)
	}
	g.assert.Check(asserter.ImportantShedLast, isOrdered, detail)
}

// endWindow updates the level and the limit if the current window has elapsed.
func (g *Gate) endWindow(now time.Time) {
	if g.queue.Len() == 0 {
		g.standingQueue = false
	}
	elapsed := now.Sub(g.windowStart)
	if elapsed < levelWindow {
		return
	}
	g.limit.update(now)
	if elapsed < maxLevelWindow && g.served < minServed && g.queue.Len() > 0 {
		return
	}
	g.level.update(g.capacity(elapsed), g.pressure(), now)
	for range min(int(elapsed/levelWindow)-1, maxIdleWindows) {
		if g.queue.Len() == 0 {
			g.level.update(0, relaxed, now)
		}
	}
	g.windowStart = now
	g.served, g.queueShed = 0, false
	// A queue that is never empty during the next window is a standing queue.
	g.standingQueue = g.queue.Len() > 0
}

// capacity estimates how many requests the upstream can serve in a time d. It is the larger of the number served and the
// number that the limit and the mean request time allow.
func (g *Gate) capacity(d time.Duration) float64 {
	if g.mean <= 0 {
		return float64(g.served)
	}
	return max(float64(g.served), float64(g.limit.current())*d.Seconds()/g.mean.Seconds())
}

// pressure classifies the window by the length of the queue: a short queue keeps the upstream busy, a long one only adds
// waiting time.
func (g *Gate) pressure() pressure {
	waiting := float64(g.queue.Len()) / float64(g.limit.current())
	switch {
	case g.cold.isCold(g.windowStart):
		// The queue of a cold upstream is short of tokens, not of slots.
		return relaxed
	case g.queueShed || (g.standingQueue && waiting > longQueue):
		return overloaded
	case waiting > shortQueue:
		return saturated
	default:
		return relaxed
	}
}

// Report is the state of a gate that is sent with each response.
type Report struct {
	// Level is the rank below which the gate sheds.
	Level Rank
	// Load is the number of requests in progress and waiting, divided by the limit.
	Load float64
	// Mean is the mean request time.
	Mean time.Duration
	// Congestion is the share of calls in the last 0.2 s that were refused for lack of capacity or waited for long. It is
	// zero if AdaptiveOff is set.
	Congestion float64
	Estimate
	// ColdLeft is how much longer the upstream counts as cold.
	ColdLeft time.Duration
}

// Report returns the gate's current state.
func (g *Gate) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timer.Now()
	g.endWindow(now)
	load := float64(g.inflight+g.queue.Len()) / float64(g.limit.current())
	report := Report{Level: g.level.current(now), Load: load, Mean: g.mean, Estimate: g.estimate(load, now), ColdLeft: g.coldLeft(now)}
	if g.reportsCongestion() {
		report.Congestion = g.congestion.value(now)
	}
	return report
}

// HasRoom reports whether a slot is free and no request is waiting.
func (g *Gate) HasRoom() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.draining && g.queue.Len() == 0 && g.inflight < g.limit.current() && g.cold.hasRoom(g.timer.Now())
}

// Inflight returns the number of requests in progress.
func (g *Gate) Inflight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inflight
}

// SetSlots changes the number of slots of the upstream.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.slots == slots {
		return
	}
	g.slots = slots
	g.limit.setSlots(g.usableSlots(slots))
	if g.static {
		g.limit.fixAtSlots()
	}
}

// SetReportedLoad records the load that the upstream reports about itself, where 1 means fully used. A reported load
// can lower the limit by up to a tenth; it never raises it.
func (g *Gate) SetReportedLoad(load float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.reportedLoad = load
}

// Drain makes the gate refuse new and waiting requests. Requests in progress continue.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for g.queue.Len() > 0 {
		heap.Pop(&g.queue).(*waiter).decision <- Draining
	}
}

// Resume ends a drain. The limit restarts at the initial value of a newly started upstream.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		return
	}
	g.draining = false
	g.limit = newLimit(g.usableSlots(g.slots), g.timer.Now())
	if g.static {
		g.limit.fixAtSlots()
	}
}
