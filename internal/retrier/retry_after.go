package retrier

import "time"

const (
	// defaultObjective is the latency objective of a request that has none.
	defaultObjective = time.Second
	// minRetryAfter and maxRetryAfter bound the wait that is derived from the objective. The time until capacity is
	// available may exceed maxRetryAfter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// A caller waits at least its objective divided by oneWorkerDivisor after a refusal by one worker, since other workers
	// may have room, and its objective divided by defaultDivisor otherwise, since changes of capacity take time to become
	// known.
	oneWorkerDivisor = 8
	defaultDivisor   = 4
	// recoveryTime is how long a failed part of the fleet takes to serve again: the start of its processes, the slowest
	// election, and a node's first exchange with the new leader.
	recoveryTime = time.Second
)

// Cause is the reason why a request is refused before it runs.
type Cause int

// Causes.
const (
	// OneWorker means that the chosen worker accepts no requests; others may.
	OneWorker Cause = iota
	// Rate means that the client account has exhausted its rate limit.
	Rate
	// Capacity means that the service has no free capacity.
	Capacity
	// Recovery means that no component that could serve the request is up, at this node or behind it.
	Recovery
)

// RetryAfter returns how long a caller whose request was refused before it ran should wait before it retries. The
// wait is a share of the latency objective, so that a response can still meet it, but no shorter than availableIn, the
// time until capacity is available, or zero if that is not known. Jitter is uniform in [0, 1) and adds up to the same
// time again, so that callers refused at the same moment do not retry at the same time.
func RetryAfter(cause Cause, objective, availableIn time.Duration, jitter float64) time.Duration {
	if objective <= 0 {
		objective = defaultObjective
	}
	wait := objective / defaultDivisor
	if cause == OneWorker {
		wait = objective / oneWorkerDivisor
	}
	wait = max(availableIn, minRetryAfter, min(maxRetryAfter, wait))
	if cause == Recovery {
		wait = max(wait, recoveryTime)
	}
	return wait + time.Duration(jitter*float64(wait))
}
