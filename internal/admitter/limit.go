package admitter

import (
	"math"
	"time"
)

const (
	// startShare is the share of the slots with which the limit of a newly started upstream begins.
	startShare = 0.25
	// limitWindow is the shortest time between two updates of the limit.
	limitWindow = 200 * time.Millisecond
	// minWindowSamples is the minimum number of requests in a window. minProbeSamples is the minimum in a window whose
	// latency is compared for a probe: with fewer requests, random variation exceeds the effect of the probe.
	minWindowSamples = 10
	minProbeSamples  = 200
	// shedBackoff is the factor by which the limit is cut after the upstream itself shed requests.
	shedBackoff = 0.8
	// probeShare is the relative size of a probe, up or down.
	probeShare = 0.08
	// gainShare is the share of a probe's size by which latency must fall for the lower limit to be kept. Latency is
	// compared, since throughput varies by more than that from one window to the next.
	gainShare = 0.6
	// inflationFactor is the ratio of latency to its floor above which a lower limit is probed.
	inflationFactor = 2.0
	// floorDrift is the share per window by which the latency floor follows a lasting rise.
	floorDrift = 0.01
	// maxProbePause is the maximum number of windows between two probes. The number doubles after each probe that did not
	// lower the latency enough.
	maxProbePause = 64
	// reportedLoadStart is the reported load above which the limit is lowered; full use alone does not lower it. At
	// reportedLoadEnd the limit is lowered by the share reportedLoadCut.
	reportedLoadStart = 1.0
	reportedLoadEnd   = 1.5
	reportedLoadCut   = 0.1
)

// limit adapts the number of concurrent requests at an upstream. The slots are its upper bound. A rise of latency alone
// does not lower it: an upstream that slows down evenly would lose throughput. It is lowered when the upstream sheds
// requests, and when a probe shows that fewer concurrent requests give the same throughput.
type limit struct {
	slots        int
	value        float64
	reportedLoad float64

	updatedAt  time.Time
	done       int
	shed       int
	latencySum time.Duration
	// busy reports whether a request had to wait in the current window.
	busy         bool
	latencyFloor time.Duration
	// probe is -1 while a lower limit is tried, and 0 otherwise. latencyBefore is the mean latency before the probe.
	probe         int
	latencyBefore time.Duration
	// probePause is the number of windows until the next probe, pauseLength the last full pause.
	probePause  int
	pauseLength int
	// slowStartDone reports whether the limit has reached the slots once or the upstream has shed requests.
	slowStartDone bool
	static        bool
	// bound is the learned capacity of the upstream, or zero if it does not limit.
	bound int
}

func newLimit(slots int, now time.Time) limit {
	return limit{slots: slots, value: max(1, float64(slots)*startShare), updatedAt: now}
}

// current returns the limit in requests, between one and the number of slots.
func (l *limit) current() int {
	v := l.value * (1 - reportedLoadCut*min(1, max(0, l.reportedLoad-reportedLoadStart)/(reportedLoadEnd-reportedLoadStart)))
	n := min(l.slots, int(math.Round(v)))
	if l.bound > 0 {
		n = min(n, l.bound)
	}
	return max(1, n)
}

func (l *limit) setSlots(slots int) {
	l.slots = slots
	l.value = min(l.value, float64(slots))
}

// fixAtSlots sets the limit to the number of slots and stops its adaptation.
func (l *limit) fixAtSlots() {
	l.value = float64(l.slots)
	l.slowStartDone, l.static = true, true
}

// recordRequest counts a finished request with the time spent in the upstream itself, and whether the upstream shed it.
func (l *limit) recordRequest(self time.Duration, shed bool) {
	if shed {
		l.shed++
		return
	}
	l.done++
	l.latencySum += self
	// During slow start each response raises the limit by one.
	if !l.slowStartDone {
		l.value = min(float64(l.slots), l.value+1)
	}
}

// update adjusts the limit if the current window is long enough and has enough samples.
func (l *limit) update(now time.Time) {
	if l.static {
		return
	}
	elapsed := now.Sub(l.updatedAt)
	if elapsed < limitWindow || l.done+l.shed < minWindowSamples {
		return
	}
	full := l.value >= float64(l.slots)
	comparing := l.probe < 0 || (full && l.slowStartDone && l.probePause == 0)
	if comparing && l.done < minProbeSamples && l.shed*10 <= l.done {
		return
	}
	mean := time.Duration(0)
	if l.done > 0 {
		mean = l.latencySum / time.Duration(l.done)
		l.updateFloor(mean)
	}
	l.adjust(mean)
	l.updatedAt, l.done, l.shed, l.latencySum, l.busy = now, 0, 0, 0, false
}

// updateFloor updates the latency floor with the mean latency of a window.
func (l *limit) updateFloor(mean time.Duration) {
	if l.latencyFloor == 0 || mean < l.latencyFloor {
		l.latencyFloor = mean
		return
	}
	l.latencyFloor += time.Duration(float64(mean-l.latencyFloor) * floorDrift)
}

func (l *limit) adjust(mean time.Duration) {
	inflated := float64(mean) > inflationFactor*float64(l.latencyFloor)
	full := l.value >= float64(l.slots)
	switch {
	case l.shed*10 > l.done:
		l.value = max(1, l.value*shedBackoff)
		l.probe, l.slowStartDone = 0, true
	case l.probe < 0:
		// With fewer concurrent requests and the same throughput, latency falls in proportion. Otherwise the limit is
		// restored.
		l.probePause = 0
		if float64(mean) > float64(l.latencyBefore)*(1-probeShare*gainShare) {
			l.value /= 1 - probeShare
			l.pauseLength = min(maxProbePause, max(1, 2*l.pauseLength))
			l.probePause = l.pauseLength
		} else {
			l.pauseLength = 0
		}
		l.probe = 0
	case l.probePause > 0:
		l.probePause--
		l.grow(full)
	case l.busy && inflated && full && l.slowStartDone:
		l.latencyBefore, l.probe = mean, -1
		l.value = max(1, l.value*(1-probeShare))
	default:
		l.grow(full)
	}
	l.value = max(1, min(l.value, float64(l.slots)))
}

// grow raises the limit if it was reached in the window, and ends slow start if the limit is at the slots.
func (l *limit) grow(full bool) {
	if l.busy {
		l.value *= 1 + probeShare
	}
	l.slowStartDone = l.slowStartDone || full
}
