package router

import "time"

// maxSuspension bounds the time for which a report of a worker's gate can suspend the worker.
const maxSuspension = 5 * time.Second

// Suspend makes the node avoid the worker for the time that its gate reported, unless too few workers would remain.
func (t *Target) Suspend(d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspendedUntil = now.Add(min(d, maxSuspension))
}

// IsSuspended reports whether the worker's gate has suspended its upstream. A call that is sent to it nevertheless must say that
// it ignores the suspension.
func (t *Target) IsSuspended(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.suspendedUntil)
}
