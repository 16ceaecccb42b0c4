package router

import (
	"sync"
	"time"
)

// maxColdTime bounds the time for which a worker counts as cold after one response.
const maxColdTime = time.Minute

// WithColdShare sets the function that returns how many calls per second this node may send to one cold worker of a service. Zero
// means that cold workers are chosen like others.
func WithColdShare(share func(service string) float64) Option {
	return func(r *Router) { r.coldShare = share }
}

// coldness is what a sender knows of whether a worker is cold. Load that it serves: many nodes that each send a part of a service's
// calls, where all parts together must stay at what a cold worker takes. The gate beside the worker keeps the bound; the senders
// only avoid refusals.
type coldness struct {
	mu sync.Mutex
	// announced reports whether the worker's node announced it as cold.
	announced bool
	// until is the end of the cold time that the last response told.
	until    time.Time
	lastSend time.Time
}

func (c *coldness) announce(cold bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced = cold
	if !cold {
		c.until = time.Time{}
	}
}

// isHeldBack reports whether a cold worker gets no call yet, given the calls per second that this node may send to it.
func (c *coldness) isHeldBack(share float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.announced && !now.Before(c.until) {
		return false
	}
	return now.Sub(c.lastSend).Seconds()*share < 1
}

// RecordSend records the time of a call to the worker.
func (t *Target) RecordSend(now time.Time) {
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	t.cold.lastSend = now
}

// RecordCold records how much longer the worker is cold, as its gate reports in a response. Zero means that it is not.
func (t *Target) RecordCold(left time.Duration, now time.Time) {
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	t.cold.announced = false
	t.cold.until = now.Add(min(maxColdTime, left))
}

// withoutCold returns the candidates without those that are cold and have had their share. If no other remains, it returns all.
func (r *Router) withoutCold(service string, candidates []*Target, now time.Time) []*Target {
	if r.coldShare == nil {
		return candidates
	}
	share := r.coldShare(service)
	if share <= 0 {
		return candidates
	}
	out := make([]*Target, 0, len(candidates))
	for _, t := range candidates {
		if !t.cold.isHeldBack(share, now) {
			out = append(out, t)
		}
	}
	if len(out) == 0 {
		return candidates
	}
	return out
}
