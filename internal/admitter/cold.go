package admitter

import (
	"math"
	"time"
)

const (
	// MaxCold bounds the time for which an upstream counts as cold after one report, and before its first. A false report must
	// not slow an upstream down for good.
	MaxCold = time.Minute
	// coldBurstShare is the share of the slack that requests to a cold upstream may use as a burst. The rest is left for requests
	// that are in transit and for health checks.
	coldBurstShare = 0.375
	// maxColdBurst bounds the burst, in requests: a cold upstream crashes under a load that a burst may start.
	maxColdBurst = 4.0
	// coldTransit is by how much the time from the gate to the upstream may vary. Requests that were admitted over a second and
	// this time may reach the upstream within one second.
	coldTransit = 250 * time.Millisecond
	// coldHealthChecks is the number of health checks that a node may make in the second before it registers an upstream.
	coldHealthChecks = 5.0
	// firstColdWait is how long a call waits at a cold upstream that has not been refused elsewhere. It is short, since another
	// upstream of the service may be warm.
	firstColdWait = 100 * time.Millisecond
)

// ColdLimit bounds the requests to a cold upstream: at most Rate*Excess + Slack in any second.
type ColdLimit struct {
	// Rate is the number of requests per second that a cold upstream takes. Zero means that there is no bound.
	Rate   float64
	Excess float64
	Slack  float64
}

// pace returns the rate and the burst of a token bucket that keeps the bound by a margin for requests in transit. A bound of less
// than two requests per second leaves no margin; then the bucket fills at half of the bound, so that the upstream stays in service.
func (l ColdLimit) pace() (rate, burst float64) {
	bound := l.Rate*max(1, l.Excess) + max(0, l.Slack)
	burst = min(maxColdBurst, max(1, l.Slack*coldBurstShare))
	rate = min(l.Rate, (bound-burst)/(1+coldTransit.Seconds()))
	return max(rate, min(l.Rate, bound)/2), burst
}

// initialTokens returns the tokens with which the bucket of a new upstream starts. They are negative if the health checks before
// its registration use up more than the margin, but only by as much as refills until they no longer count.
func (l ColdLimit) initialTokens() float64 {
	rate, burst := l.pace()
	bound := l.Rate*max(1, l.Excess) + max(0, l.Slack)
	perWindow := rate * (1 + coldTransit.Seconds())
	return max(-perWindow, min(0, bound-burst-perWindow-coldHealthChecks))
}

// coldState bounds the requests to a cold upstream. Load that it serves: a service at many times the rate that its cold upstream
// takes, where one second above the bound crashes the upstream. It is not safe for concurrent use.
type coldState struct {
	// limit returns the bound in force. It is nil if there is none.
	limit func() ColdLimit
	until time.Time
	// isNew reports whether no request has been considered since the upstream was registered.
	isNew      bool
	tokens     float64
	refilledAt time.Time
	// wakeAt is when the next dispatch of waiting requests is scheduled, or zero.
	wakeAt time.Time
}

// WithColdLimit sets the bound on requests while the upstream is cold. The gate counts as cold until SetCold tells otherwise,
// for at most MaxCold. The function is called with the gate locked.
func WithColdLimit(limit func() ColdLimit) Option {
	return func(g *Gate) {
		now := g.timer.Now()
		g.cold = coldState{limit: limit, until: now.Add(MaxCold), isNew: true, refilledAt: now}
	}
}

func (c *coldState) isCold(now time.Time) bool {
	return c.limit != nil && now.Before(c.until) && isPositive(c.limit().Rate)
}

// isPositive reports whether x is positive and finite.
func isPositive(x float64) bool {
	return x > 0 && !math.IsInf(x, 1)
}

// refill adds the tokens since the last call.
func (c *coldState) refill(now time.Time) {
	l := c.limit()
	rate, burst := l.pace()
	if c.isNew {
		c.tokens, c.isNew = l.initialTokens(), false
	}
	c.tokens = min(burst, c.tokens+rate*max(0, now.Sub(c.refilledAt).Seconds()))
	c.refilledAt = now
}

// take takes the token of one request. It reports false if the upstream is cold and there is no token.
func (c *coldState) take(now time.Time) bool {
	if !c.isCold(now) {
		return true
	}
	c.refill(now)
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// hasRoom reports whether take would succeed.
func (c *coldState) hasRoom(now time.Time) bool {
	if !c.isCold(now) {
		return true
	}
	c.refill(now)
	return c.tokens >= 1
}

// delay returns the time until there is a token for a request behind the given number of waiting ones.
func (c *coldState) delay(ahead int, now time.Time) time.Duration {
	if c.hasRoom(now) && ahead == 0 {
		return 0
	}
	if !c.isCold(now) {
		return 0
	}
	rate, _ := c.limit().pace()
	missing := float64(ahead+1) - c.tokens
	// Rounded up, since a token that is short of one by a rounding error would need another delay.
	wait := time.Duration(min(MaxCold.Seconds(), max(0, missing)/rate)*float64(time.Second)) + time.Microsecond
	return min(wait, max(0, c.until.Sub(now)))
}

// SetCold records how much longer the upstream is cold, as it reports itself. Zero ends the bound at once. Reports are clamped to
// MaxCold.
func (g *Gate) SetCold(left time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timer.Now()
	if !now.Before(g.cold.until) {
		// Requests of the time before may still be on their way.
		g.cold.tokens, g.cold.refilledAt, g.cold.isNew = 0, now, false
	}
	g.cold.until = now.Add(min(MaxCold, max(0, left)))
	g.dispatch(now)
}

// ColdLeft returns how much longer the gate treats the upstream as cold.
func (g *Gate) ColdLeft() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coldLeft(g.timer.Now())
}

func (g *Gate) coldLeft(now time.Time) time.Duration {
	if !g.cold.isCold(now) {
		return 0
	}
	return g.cold.until.Sub(now)
}

// isTooCold reports whether a request that can't start now would get no token of a cold upstream in the time that it may wait. A
// call that was not refused elsewhere waits for a shorter time.
func (g *Gate) isTooCold(req Request, now time.Time) bool {
	if !g.cold.isCold(now) {
		return false
	}
	ahead := 0
	for _, w := range g.queue {
		if w.req.Rank >= req.Rank {
			ahead++
		}
	}
	return g.cold.delay(ahead, now) > g.coldWait(req, now)
}

// coldWait returns how long a request may wait for a token of a cold upstream.
func (g *Gate) coldWait(req Request, now time.Time) time.Duration {
	wait := min(g.maxWait(req, now), g.lastStart(req).Sub(now))
	if !req.Rerouted {
		wait = min(wait, firstColdWait)
	}
	return wait
}

// scheduleColdDispatch makes the gate admit the next waiting request once a cold upstream takes it. The number of timers is
// bounded: one is pending at a time, unless an earlier one is needed.
func (g *Gate) scheduleColdDispatch(now time.Time) {
	if g.queue.Len() == 0 || g.inflight >= g.limit.current() || !g.cold.isCold(now) {
		return
	}
	at := now.Add(g.cold.delay(0, now))
	if !g.cold.wakeAt.IsZero() && !at.Before(g.cold.wakeAt) {
		return
	}
	g.cold.wakeAt = at
	g.timer.AfterFunc(at.Sub(now), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.timer.Now()
		g.cold.wakeAt = time.Time{}
		g.dispatch(now)
	})
}
