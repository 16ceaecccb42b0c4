package admitter

import (
	"slices"
	"time"
)

const (
	// levelWindow is how often a gate decides on its admission level, at most. With fewer answers than levelServed it
	// waits longer, up to maxLevelWindow, so that the level does not follow chance.
	levelWindow    = 100 * time.Millisecond
	maxLevelWindow = 400 * time.Millisecond
	levelServed    = 16
	// sampleSize is how many ranks of one window the level is worked out from.
	sampleSize = 512
	// headroom is how much more than its capacity a gate lets in, so that its queue does not run dry.
	headroom = 1.05
	// firstStep is the first step down of a level, as a share of what it lets in of its class; steps double up to
	// maxStep.
	firstStep = 0.1
	maxStep   = 8.0
	// easyWindows is the number of steps down before they double: the news of each takes that long to reach the entries.
	easyWindows = 5
	// leastWidth is the least that a level lets in of a class, in ranks.
	leastWidth = classSize / 64
	// classMemory is how long a class counts as in use after its last arrival.
	classMemory = time.Minute
	// fenceTime is how long lower classes stay out after a request was shed.
	fenceTime  = time.Second
	classCount = 1 << (priorityBits + 3)
)

// level is the rank below which a gate sheds at once. It rises to the rank that would have let in what was served,
// and falls in steps that double while the gate keeps up.
type level struct {
	value    Rank
	step     float64
	eased    int
	arrived  int
	sample   [sampleSize]Rank
	lastSeen [classCount]time.Time

	shedAt   [classCount]time.Time
	lastShed time.Time
}

// current returns the rank below which requests are shed now.
func (l *level) current(now time.Time) Rank {
	return max(l.value, l.fence(now))
}

// shed notes that a request was shed.
func (l *level) shed(r Rank, now time.Time) {
	l.shedAt[r.class()%classCount] = now
	l.lastShed = now
}

// fence returns the lowest rank of the highest class of which a request was shed lately. Lower classes stay out for a
// while, so that a more important request is not shed shortly before a less important one is admitted.
func (l *level) fence(now time.Time) Rank {
	if l.lastShed.IsZero() || now.Sub(l.lastShed) >= fenceTime {
		return 0
	}
	for class := classCount - 1; class > 0; class-- {
		if at := l.shedAt[class]; !at.IsZero() && now.Sub(at) < fenceTime {
			return floor(class)
		}
	}
	return 0
}

// arrive counts an arrival of the current window.
func (l *level) arrive(r Rank, now time.Time) {
	l.sample[l.arrived%sampleSize] = r
	l.arrived++
	l.lastSeen[r.class()%classCount] = now
}

// pressure is how a gate's queue did in a window.
type pressure int

const (
	// relaxed: the queue was empty or nearly so.
	relaxed pressure = iota
	// saturated: the queue keeps the upstream busy and no more.
	saturated
	// overloaded: requests waited in vain, or the queue stayed long.
	overloaded
)

// decide ends a window in which the upstream could serve a number of requests.
func (l *level) decide(capacity float64, p pressure, now time.Time) {
	switch {
	case p == overloaded:
		l.raise(capacity)
	case p == relaxed && l.value > 0:
		l.lower(now)
	}
	l.arrived = 0
}

func (l *level) raise(capacity float64) {
	l.step, l.eased = firstStep, 0
	if l.arrived == 0 {
		return
	}
	ranks := slices.Clone(l.sample[:min(l.arrived, sampleSize)])
	slices.Sort(ranks)
	keep := capacity * headroom / float64(l.arrived)
	if keep >= 1 {
		return
	}
	cut := ranks[min(len(ranks)-1, int(float64(len(ranks))*(1-keep)))]
	l.value = max(l.value, cut)
}

// lower lets in more of the level's class, and then of the next lower one in use.
func (l *level) lower(now time.Time) {
	class := l.value.class()
	width := max(leastWidth, floor(class+1)-l.value)
	width += Rank(float64(width) * l.step)
	l.eased++
	if l.eased > easyWindows {
		l.step = min(l.step*2, maxStep)
	}
	if width < classSize {
		l.value = floor(class+1) - width
		return
	}
	below := l.classBelow(class, now)
	if below < 0 {
		l.value = 0
		return
	}
	l.value = floor(below+1) - leastWidth
}

// classBelow returns the next lower class in use, or -1.
func (l *level) classBelow(class int, now time.Time) int {
	for c := class - 1; c >= 0; c-- {
		if !l.lastSeen[c].IsZero() && now.Sub(l.lastSeen[c]) < classMemory {
			return c
		}
	}
	return -1
}
