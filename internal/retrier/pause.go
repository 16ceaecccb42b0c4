package retrier

import "time"

const (
	// usualObjective stands in for the objective of a request that has none.
	usualObjective = time.Second
	// leastPause and mostPause bound the wait of a caller that was refused.
	leastPause = 50 * time.Millisecond
	mostPause  = time.Second
	// fastShare and slowShare are the parts of its objective that a caller waits at least: the shorter one after a refusal
	// by one worker while others may have room, the longer one where news of room takes its time.
	fastShare = 8
	slowShare = 4
	// recoveryPause is the time in which a part of the fleet that was down serves again: the start of its processes, an
	// election at its slowest, and the first exchange of a node with the new leader.
	recoveryPause = time.Second
)

// Cause tells why a caller is sent away.
type Cause int

// Causes.
const (
	// OneWorker: the worker that was asked takes no work, others may.
	OneWorker Cause = iota
	// Rate: the client account has used up its rate.
	Rate
	// Capacity: the service is full.
	Capacity
	// Recovery: nothing that could serve the request is up, at this node or behind it.
	Recovery
)

// RetryAfter returns when a caller that was refused before its request ran should return: while an answer can still meet its
// objective, but no sooner than there is room, when that time is known. It answers a crowd of callers that are refused
// at the same moment: a draw from [0, 1) spreads them over as long again as they wait.
func RetryAfter(cause Cause, objective, known time.Duration, draw float64) time.Duration {
	if objective <= 0 {
		objective = usualObjective
	}
	wait := objective / slowShare
	if cause == OneWorker {
		wait = objective / fastShare
	}
	wait = max(known, leastPause, min(mostPause, wait))
	if cause == Recovery {
		wait = max(wait, recoveryPause)
	}
	return wait + time.Duration(draw*float64(wait))
}
