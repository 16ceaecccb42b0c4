package admitter

import (
	"slices"
	"time"
)

const (
	// levelWindow is the shortest time between two updates of the admission level. If fewer than minServed requests
	// finished in that time and others are waiting, the window is extended, up to maxLevelWindow, so that the level does
	// not follow random variation.
	levelWindow    = 100 * time.Millisecond
	maxLevelWindow = 400 * time.Millisecond
	minServed      = 16
	// sampleSize is the maximum number of ranks per window from which the level is computed.
	sampleSize = 512
	// headroom is the number of requests that a raised level admits, divided by the capacity. It is above one, so that the
	// queue does not run empty.
	headroom = 1.05
	// initialStep is the first step by which a level is lowered, as a share of the ranks of its class that it admits.
	// Steps double up to maxStep.
	initialStep = 0.1
	maxStep     = 8.0
	// stepsBeforeDoubling is the number of steps before the step size starts to double. A lowered level takes that many
	// windows to propagate to the entry nodes.
	stepsBeforeDoubling = 5
	// minWidth is the minimum number of ranks of its class that a level admits.
	minWidth = classSize / 64
	// classLifetime is how long a class counts as in use after its last request.
	classLifetime = time.Minute
	// shedFloorTime is how long lower classes are shed after a request of a higher class was shed.
	shedFloorTime = time.Second
	classCount    = 1 << (priorityBits + 3)
)

// level is the admission level: the rank below which a gate sheds requests without queueing them. Under overload it
// rises to the rank that would have admitted as many requests as the upstream can serve. Without pressure it falls in
// steps of doubling size.
type level struct {
	value     Rank
	step      float64
	stepsDown int
	arrived   int
	// decided is the number of requests that arrived in the current window and that their entry nodes have admitted.
	decided  int
	sample   [sampleSize]Rank
	lastSeen [classCount]time.Time

	shedAt   [classCount]time.Time
	lastShed time.Time
}

// current returns the rank below which requests are shed at the given time.
func (l *level) current(now time.Time) Rank {
	return max(l.value, l.shedFloor(now))
}

// recordShed records that a request was shed. A request that its entry node has admitted is shed only because its time ran out,
// which says nothing about lower classes.
func (l *level) recordShed(r Rank, now time.Time) {
	if r.isDecided() {
		return
	}
	l.shedAt[r.class()%classCount] = now
	l.lastShed = now
}

// shedFloor returns the lowest rank of the highest class of which a request was shed within shedFloorTime. Lower classes
// are shed for that time, so that a more important request is not shed shortly before a less important one is admitted.
func (l *level) shedFloor(now time.Time) Rank {
	if l.lastShed.IsZero() || now.Sub(l.lastShed) >= shedFloorTime {
		return 0
	}
	for class := classCount - 1; class > 0; class-- {
		if at := l.shedAt[class]; !at.IsZero() && now.Sub(at) < shedFloorTime {
			return lowestRank(class)
		}
	}
	return 0
}

// recordArrival counts a request that arrived in the current window.
func (l *level) recordArrival(r Rank, now time.Time) {
	if r.isDecided() {
		l.decided++
		return
	}
	l.sample[l.arrived%sampleSize] = r
	l.arrived++
	l.lastSeen[r.class()%classCount] = now
}

// pressure classifies the state of a gate's queue in a window.
type pressure int

const (
	// relaxed means that the queue was empty or short.
	relaxed pressure = iota
	// saturated means that the queue was just long enough to keep the upstream busy.
	saturated
	// overloaded means that requests were shed from the queue, or that the queue stayed long.
	overloaded
)

// update adjusts the level at the end of a window in which the upstream could serve capacity requests.
func (l *level) update(capacity float64, p pressure, now time.Time) {
	switch {
	case p == overloaded:
		l.raise(capacity)
	case p == relaxed && l.value > 0:
		l.lower(now)
	}
	l.arrived, l.decided = 0, 0
}

func (l *level) raise(capacity float64) {
	l.step, l.stepsDown = initialStep, 0
	if l.arrived == 0 {
		return
	}
	ranks := slices.Clone(l.sample[:min(l.arrived, sampleSize)])
	slices.Sort(ranks)
	admitShare := max(0, capacity*headroom-float64(l.decided)) / float64(l.arrived)
	if admitShare >= 1 {
		return
	}
	minRank := ranks[min(len(ranks)-1, int(float64(len(ranks))*(1-admitShare)))]
	l.value = max(l.value, minRank)
}

// lower admits more ranks of the level's class, or of the next lower class in use once the whole class is admitted.
func (l *level) lower(now time.Time) {
	class := l.value.class()
	width := max(minWidth, lowestRank(class+1)-l.value)
	width += Rank(float64(width) * l.step)
	l.stepsDown++
	if l.stepsDown > stepsBeforeDoubling {
		l.step = min(l.step*2, maxStep)
	}
	if width < classSize {
		l.value = lowestRank(class+1) - width
		return
	}
	below := l.classBelow(class, now)
	if below < 0 {
		l.value = 0
		return
	}
	l.value = lowestRank(below+1) - minWidth
}

// classBelow returns the next lower class in use, or -1 if there is none.
func (l *level) classBelow(class int, now time.Time) int {
	for c := class - 1; c >= 0; c-- {
		if !l.lastSeen[c].IsZero() && now.Sub(l.lastSeen[c]) < classLifetime {
			return c
		}
	}
	return -1
}
