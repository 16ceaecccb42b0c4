package admitter

import (
	"math"
	"time"
)

const (
	// minTrialSlots is the number of slots below which no trial is made: a step would be less than one slot.
	minTrialSlots = 16
	// minBoundShare is the share of the slots below which the limit is never bounded, whatever the trials show.
	minBoundShare = 0.5
	// minSaturated is how long requests must have waited without a break before a trial.
	minSaturated = 200 * time.Millisecond
	// firstTrialPause is the time before a trial of a lower or a higher limit. After a trial that changes nothing it grows by
	// trialPauseFactor, up to the other two, and lasts at least pauseShare times as long as the trial, so that trials cost
	// about one percent of the throughput. A higher limit is tried more often, since it is tried only after a lower one was kept.
	firstTrialPause  = time.Second
	trialPauseFactor = 3
	pauseShare       = 10
	maxLowerPause    = time.Minute
	maxRaisePause    = 8 * time.Second
	// minPhase and maxPhase bound the time in which completions are counted, and the time before it in which the requests
	// of the earlier limit end. Both are one mean request time otherwise.
	minPhase = 200 * time.Millisecond
	maxPhase = time.Second
	// settleFactor is that earlier time in mean request times.
	settleFactor = 1.3
	// minPhaseDone is the minimum number of completions that are counted in a phase.
	minPhaseDone = 30
	// maxSlack is the share of completions in a phase that may leave a slot free. The phase says nothing about the limit
	// otherwise.
	maxSlack = 0.1
	// maxPairs is the number of pairs of phases in a trial, and maxDiscarded the number that may be discarded because the
	// host's slowdown changed by more than slowdownChange.
	maxPairs       = 6
	maxDiscarded   = 6
	slowdownChange = 1.25
	// lowerErrors is the number of standard errors, lowerGain the share, by which the lower limit must have more completions
	// to be kept.
	lowerErrors = 2.5
	lowerGain   = 0.03
	// minPairs is the number of pairs after which a tried limit may be kept: a period of slowness may fall into one phase of
	// a pair. A higher limit is kept if it has not had fewer completions.
	minPairs = 3
)

// lowerSteps are the relative sizes of tried reductions, in turn. An upstream that slows down by 1.3 from some number of requests
// gains from a reduction to just below that number if it is within 0.23 of the limit. raiseSteps are those of tried increases.
var (
	lowerSteps = [...]float64{1.0 / 16, 1.0 / 8, 3.0 / 16}
	raiseSteps = [...]float64{1.0 / 8, 1.0 / 32}
)

// capacity learns how many concurrent requests an upstream handles well, by trials under load: while requests wait, it
// alternates between two limits and counts completions. A lower limit is kept only if it has more completions. So neither an
// upstream that is evenly slower nor a slow nested service, which both have more requests in progress and longer times,
// lowers it. It serves upstreams that slow down before all slots are in use, under a load that fills them.
type capacity struct {
	// slots is the number of usable slots, bound the learned limit. They are equal if nothing was learned.
	slots int
	bound int

	saturatedAt time.Time
	lower       schedule
	raise       schedule
	trial       *trial
}

// schedule tells when the next trial in one direction is due, and counts the trials.
type schedule struct {
	pause  time.Duration
	next   time.Time
	trials int
}

// restart makes a trial due after the first pause.
func (s *schedule) restart(now time.Time) {
	s.pause, s.next = firstTrialPause, now.Add(firstTrialPause)
}

// postpone makes a trial due after a longer pause than before. The last one took the given time.
func (s *schedule) postpone(took, limit time.Duration, now time.Time) {
	s.pause = min(limit, trialPauseFactor*s.pause)
	s.next = now.Add(max(s.pause, pauseShare*took))
}

// trial compares two limits in pairs of phases.
type trial struct {
	begun     time.Time
	low, high int
	raising   bool
	// useHigh is the current phase's limit. secondPhase is set in the second phase of a pair; the order of phases alternates.
	useHigh     bool
	secondPhase bool
	phase       phase
	// pair holds the phases of the current pair by limit. gain and gainSquares are sums over all pairs.
	pair        [2]phaseResult
	pairs       int
	discarded   int
	gain        float64
	gainSquares float64
}

type phase struct {
	begun    time.Time
	counting bool
	done     int
	slack    int
}

type phaseResult struct {
	// rate is in completions per second.
	rate     float64
	slowdown float64
}

// reset sets the number of usable slots and forgets what was learned for another number.
func (c *capacity) reset(slots int, now time.Time) {
	if c.slots != slots {
		*c = capacity{slots: slots, bound: slots}
		c.lower.restart(now)
		c.raise.restart(now)
	}
}

// limit returns the limit to use at present.
func (c *capacity) limit() int {
	if c.trial == nil {
		return c.bound
	}
	if c.trial.useHigh {
		return c.trial.high
	}
	return c.trial.low
}

// load is the state of a gate when a request has finished and waiting ones have been admitted.
type load struct {
	inflight int
	limit    int
	// failed is set if the request failed, so that it does not count as completed.
	failed bool
	mean   time.Duration
	// slowdown returns the mean slowdown of the host since a time, or 1 if it is not known.
	slowdown func(since time.Time) float64
}

// recordDone counts a finished request. The limit may change.
func (c *capacity) recordDone(l load, now time.Time) {
	if c.slots < minTrialSlots {
		return
	}
	saturated := l.inflight >= l.limit
	if c.trial != nil {
		c.advance(l, saturated, now)
		return
	}
	switch {
	case !saturated:
		c.saturatedAt = time.Time{}
	case c.saturatedAt.IsZero():
		c.saturatedAt = now
	case now.Sub(c.saturatedAt) >= minSaturated:
		c.begin(now)
	}
}

// begin starts a trial that is due: of a higher limit if the limit has been lowered, or else of a lower one.
func (c *capacity) begin(now time.Time) {
	t := &trial{begun: now, low: c.bound, high: c.bound, phase: phase{begun: now}}
	switch {
	case c.bound < c.slots && !now.Before(c.raise.next):
		step := raiseSteps[c.raise.trials%len(raiseSteps)]
		c.raise.trials++
		t.raising = true
		t.high = min(c.slots, c.bound+max(1, int(float64(c.bound)*step)))
	case !now.Before(c.lower.next):
		step := lowerSteps[c.lower.trials%len(lowerSteps)]
		c.lower.trials++
		t.low = max(int(float64(c.slots)*minBoundShare), c.bound-int(math.Ceil(float64(c.bound)*step)))
	default:
		return
	}
	if t.low == t.high {
		return
	}
	t.useHigh = !t.raising
	c.trial = t
}

// advance counts a request in the current phase, and ends the phase or the trial when it is due.
func (c *capacity) advance(l load, saturated bool, now time.Time) {
	t := c.trial
	p := &t.phase
	elapsed := now.Sub(p.begun)
	if !p.counting {
		if elapsed >= clampPhase(time.Duration(settleFactor*float64(l.mean))) && l.inflight <= l.limit {
			*p = phase{begun: now, counting: true}
		} else if elapsed > 4*maxPhase {
			c.end(c.bound, now)
		}
		return
	}
	if !l.failed {
		p.done++
	}
	if !saturated {
		p.slack++
	}
	if elapsed < clampPhase(l.mean) || (p.done < minPhaseDone && elapsed < 4*maxPhase) {
		return
	}
	if p.done < minPhaseDone || float64(p.slack) > maxSlack*float64(p.done) {
		c.end(c.bound, now)
		return
	}
	t.pair[index(t.useHigh)] = phaseResult{rate: float64(p.done) / elapsed.Seconds(), slowdown: l.slowdown(p.begun)}
	if !t.secondPhase {
		t.secondPhase, t.useHigh, t.phase = true, !t.useHigh, phase{begun: now}
		return
	}
	// The next pair begins with the limit of this phase, whose requests are in progress already.
	t.secondPhase, t.phase = false, phase{begun: now, counting: true}
	t.addPair()
	if keep, ended := t.decide(); ended {
		if !keep {
			c.end(c.bound, now)
			return
		}
		c.end(t.challenger(), now)
	}
}

func index(high bool) int {
	if high {
		return 1
	}
	return 0
}

func clampPhase(d time.Duration) time.Duration {
	return max(minPhase, min(maxPhase, d))
}

func (t *trial) challenger() int {
	if t.raising {
		return t.high
	}
	return t.low
}

// addPair adds the result of a pair of phases, unless the host's slowdown differed between the two.
func (t *trial) addPair() {
	a, b := t.pair[0].slowdown, t.pair[1].slowdown
	if a > b*slowdownChange || b > a*slowdownChange {
		t.discarded++
		return
	}
	t.pairs++
	gain := math.Log(t.pair[index(t.raising)].rate / t.pair[index(!t.raising)].rate)
	t.gain += gain
	t.gainSquares += gain * gain
}

// decide reports whether the trial has ended, and whether the tried limit is kept.
func (t *trial) decide() (keep, ended bool) {
	last := t.pairs >= maxPairs || t.discarded >= maxDiscarded
	if t.pairs == 0 {
		return false, last
	}
	n := float64(t.pairs)
	mean := t.gain / n
	if t.raising {
		return mean >= 0, mean < -lowerGain || t.pairs >= minPairs || last
	}
	if mean < 0 || t.pairs < minPairs {
		return false, mean < 0 || last
	}
	err := math.Sqrt(max(0, t.gainSquares/n-mean*mean) / (n - 1))
	keep = mean > lowerGain && mean > lowerErrors*err
	return keep, keep || last
}

// end ends the trial with the given limit.
func (c *capacity) end(bound int, now time.Time) {
	switch {
	case bound != c.bound:
		c.lower.restart(now)
		c.raise.restart(now)
	case c.trial.raising:
		c.raise.postpone(now.Sub(c.trial.begun), maxRaisePause, now)
	default:
		c.lower.postpone(now.Sub(c.trial.begun), maxLowerPause, now)
	}
	c.bound, c.trial, c.saturatedAt = bound, nil, now
}
