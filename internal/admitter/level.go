package admitter

import (
	"slices"
	"time"
)

const (
	// levelWindow is how often a gate decides on its admission level.
	levelWindow = 100 * time.Millisecond
	// sampleSize is how many ranks of one window the level is worked out from.
	sampleSize = 512
	// headroom is how much more than was served a gate lets in, so that its queue does not run dry.
	headroom = 1.05
	// firstStep is the first step down of a level, as a share of a class.
	firstStep = 0.05
	// maxStep is the largest step down, in classes.
	maxStep = 2.0
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

// decide ends a window in which a number of requests were served.
func (l *level) decide(served int, overloaded bool, now time.Time) {
	switch {
	case overloaded:
		l.raise(served)
	case l.value > 0:
		l.lower(now)
	}
	l.arrived = 0
}

func (l *level) raise(served int) {
	l.step = firstStep
	if l.arrived == 0 {
		return
	}
	ranks := slices.Clone(l.sample[:min(l.arrived, sampleSize)])
	slices.Sort(ranks)
	keep := float64(served) * headroom / float64(l.arrived)
	if keep >= 1 {
		return
	}
	cut := ranks[min(len(ranks)-1, int(float64(len(ranks))*(1-keep)))]
	l.value = max(l.value, cut)
}

func (l *level) lower(now time.Time) {
	down := l.step
	l.step = min(l.step*2, maxStep)
	class := l.value.class()
	within := float64(l.value-floor(class)) / classSize
	for within < down {
		down -= within
		within = 1
		class = l.classBelow(class, now)
		if class < 0 {
			l.value = 0
			return
		}
	}
	l.value = floor(class) + Rank((within-down)*classSize)
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
