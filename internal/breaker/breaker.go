// Package breaker decides, beside an upstream, whether its responses show that it is faulty, and declines calls on its behalf
// while it is.
package breaker

import (
	"math"
	"sync"
	"time"
)

const (
	// usualErrorRate and faultyErrorRate are the shares of failed calls between which the breaker distinguishes: that of a
	// healthy upstream, and the lowest of a faulty one.
	usualErrorRate  = 0.004
	faultyErrorRate = 0.32
	// openScore is the score at which the breaker opens. With it, four failures in thirteen calls open the breaker, and those of a
	// healthy upstream once in 15 million calls (13 times in 200 million).
	openScore = 14.0
	// scoreAfterTrial is the score with which a trial ends: the trial's calls are too few to exclude a fault.
	scoreAfterTrial = openScore / 2
	// scoreHalfLife is the half-life of the score without calls, since old failures say little about the present.
	scoreHalfLife = 5 * time.Second
	// maxDeclines is the number of consecutive declined calls at which the breaker opens.
	maxDeclines = 12
	// declinesPerCall is the number of declined calls that one call which ran outweighs, so that only an upstream that
	// declines nearly all calls is suspended.
	declinesPerCall = 5
	// firstWait is the time from opening to the first trial. Each further one lasts twice as long, up to maxWait: faults last
	// 4 s to 7 s, and a trial costs about three calls.
	firstWait = 500 * time.Millisecond
	maxWait   = 2 * time.Second
	// calmTime is the time after closing from which a new fault counts as the first one.
	calmTime = 10 * time.Second
	// trialSpacing is the shortest time between two trial calls before the first success.
	trialSpacing = 200 * time.Millisecond
	// maxFirstTrials is the number of trial calls in progress before the first success. With one, a lost response would hold
	// up the trial until its deadline.
	maxFirstTrials = 2
	// staleTrial is the time after which a trial call without a result no longer holds up the next one.
	staleTrial = time.Second
	// trialRefusal is the time for which calls beyond the trial are refused. A trial lasts about a second, and its calls come
	// from senders that were not refused before.
	trialRefusal = 100 * time.Millisecond
	// trialSuccesses is the number of consecutive successes that close the breaker. An upstream that fails 32 % of its calls
	// reaches it in one of fifty trials.
	trialSuccesses = 10
	// idempotentWait is how long a trial waits for idempotent calls before it uses others. A service may have no idempotent
	// ones.
	idempotentWait = time.Second
)

var (
	// failureScore and successScore are the logarithms of the likelihood ratios of one call.
	failureScore = math.Log(faultyErrorRate / usualErrorRate)
	successScore = math.Log((1 - faultyErrorRate) / (1 - usualErrorRate))
)

// Breaker suspends one upstream while its responses show that it is faulty. It serves an upstream that gets ten to a few
// hundred calls a second from many nodes, where each sender alone sees too few results to judge by. It sums the logarithms of the
// likelihood ratios of the results (CUSUM) and thus needs the fewest calls to tell the two error rates apart. It is safe for
// concurrent use.
type Breaker struct {
	mu    sync.Mutex
	state State
	// epoch counts the times that the breaker opened or closed. Results of calls of an earlier epoch are ignored.
	epoch    uint64
	score    float64
	scoredAt time.Time
	declines int
	// byDeclines is set if the breaker opened because the upstream declined its calls.
	byDeclines bool
	// opens counts how often the breaker opened without a calm time between.
	opens     int
	openUntil time.Time
	closedAt  time.Time
	// successes counts the consecutive successes since the breaker opened.
	successes int
	// trials is the number of trial calls in progress.
	trials         int
	lastTrial      time.Time
	lastIdempotent time.Time
}

// New returns a closed Breaker.
func New() *Breaker {
	return &Breaker{}
}

// Permit identifies an admitted call for Record.
type Permit struct {
	epoch uint64
	trial bool
}

// Admission is the answer to a call.
type Admission struct {
	Permit Permit
	// SuspendedFor is zero if the call may run. Otherwise, it is the time for which callers should avoid the upstream.
	SuspendedFor time.Duration
	Change       Change
}

// SuspendedFor returns what Admit would, without admitting the call.
func (b *Breaker) SuspendedFor(now time.Time, idempotent, ignoreSuspension bool) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspendedFor(now, idempotent, ignoreSuspension)
}

func (b *Breaker) suspendedFor(now time.Time, idempotent, ignoreSuspension bool) time.Duration {
	switch {
	case b.state == Closed || ignoreSuspension:
		return 0
	case b.state == Open && now.Before(b.openUntil):
		return b.openUntil.Sub(now)
	case !b.mayTry(now, idempotent):
		return trialRefusal
	default:
		return 0
	}
}

// mayTry reports whether a call may be a trial.
func (b *Breaker) mayTry(now time.Time, idempotent bool) bool {
	lastIdempotent := b.lastIdempotent
	if lastIdempotent.Before(b.openUntil) {
		lastIdempotent = b.openUntil
	}
	if !idempotent && now.Sub(lastIdempotent) < idempotentWait {
		return false
	}
	sinceLast := now.Sub(b.lastTrial)
	return (b.trials < maxFirstTrials+b.successes || sinceLast >= staleTrial) && sinceLast >= trialSpacing/time.Duration(1+b.successes)
}

// Admit reports whether a call may run. With ignoreSuspension it may always run. For an admitted call, Record must be called.
func (b *Breaker) Admit(now time.Time, idempotent, ignoreSuspension bool) Admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := b.suspendedFor(now, idempotent, ignoreSuspension); d > 0 {
		return Admission{SuspendedFor: d}
	}
	a := Admission{Permit: Permit{epoch: b.epoch}}
	if b.state == Closed || now.Before(b.openUntil) {
		return a
	}
	if b.state == Open {
		a.Change = b.change(Trial, 0)
	}
	if idempotent {
		b.lastIdempotent = now
	}
	if !ignoreSuspension {
		a.Permit.trial = true
		b.trials++
		b.lastTrial = now
	}
	return a
}

// Record records the result of an admitted call.
func (b *Breaker) Record(p Permit, r Result, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.epoch != b.epoch {
		return Change{}
	}
	if p.trial {
		b.trials--
	}
	if b.state == Closed {
		return b.recordClosed(r, now)
	}
	return b.recordSuspended(r, now)
}

// recordClosed updates the scores and opens the breaker once one of them shows a fault.
func (b *Breaker) recordClosed(r Result, now time.Time) Change {
	if idle := now.Sub(b.scoredAt); idle > 0 {
		b.score *= math.Exp2(-idle.Seconds() / scoreHalfLife.Seconds())
		b.scoredAt = now
	}
	switch r {
	case Success:
		b.score = max(0, b.score+successScore)
		b.declines = max(0, b.declines-declinesPerCall)
	case Failure:
		b.score += failureScore
		b.declines = max(0, b.declines-declinesPerCall)
	case Declined:
		b.declines++
	}
	if b.score < openScore && b.declines < maxDeclines {
		return Change{}
	}
	if now.Sub(b.closedAt) >= calmTime {
		b.opens = 0
	}
	b.byDeclines = b.declines >= maxDeclines
	return b.open(now)
}

// recordSuspended closes the breaker after a series of successes, and ends a trial at its first failure.
func (b *Breaker) recordSuspended(r Result, now time.Time) Change {
	switch {
	case r == Success:
		b.successes++
		if b.successes < trialSuccesses {
			return Change{}
		}
		b.epoch++
		b.score, b.scoredAt, b.declines, b.closedAt = scoreAfterTrial, now, 0, now
		return b.change(Closed, 0)
	case r == Failure || (r == Declined && b.byDeclines):
		b.successes = 0
		if b.state == Open {
			return Change{}
		}
		return b.open(now)
	default:
		return Change{}
	}
}

// open suspends the upstream, each time longer than the time before.
func (b *Breaker) open(now time.Time) Change {
	wait := min(maxWait, firstWait<<min(b.opens, 10))
	b.opens++
	b.epoch++
	b.openUntil, b.successes, b.trials = now.Add(wait), 0, 0
	b.lastTrial, b.lastIdempotent = time.Time{}, time.Time{}
	return b.change(Open, wait)
}

func (b *Breaker) change(to State, wait time.Duration) Change {
	c := Change{From: b.state, To: to, Wait: wait, ByDeclines: b.byDeclines}
	b.state = to
	return c
}

// IsSuspended reports whether the breaker is not closed.
func (b *Breaker) IsSuspended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state != Closed
}
