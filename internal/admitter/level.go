package admitter

import (
	"math"
	"slices"
	"time"
)

const (
	// levelWindow is the shortest time between two updates of the admission level: about the time in which a new level reaches
	// the entry nodes and the requests that it refuses are missing here. If fewer than minServed requests finished in that time
	// and others are waiting, the window is extended, up to maxLevelWindow, so that the level does not follow random variation.
	levelWindow    = 300 * time.Millisecond
	maxLevelWindow = 600 * time.Millisecond
	minServed      = 16
	// sampleSize is the maximum number of ranks per window from which the level is computed.
	sampleSize = 512
	// targetLoad is the load at which the level keeps an upstream whose callers ask for more, as a share of its limit.
	targetLoad = 0.95
	// growthGain is the exponent of the growth of the admitted requests in one window: the effect of a lower level comes after two
	// or three windows. minGrowth and maxGrowth bound the growth.
	growthGain = 0.5
	minGrowth  = 1.05
	maxGrowth  = 1.5
	// busyLoad is the load below which a short queue does not keep a level from being lowered.
	busyLoad = 0.85
	// idleLoad is the load below which a level is lowered by whole classes.
	idleLoad = 0.5
	// minLoad is the lowest load that counts.
	minLoad = 0.1
	// minKeep is the smallest share of the admitted requests that a higher level leaves: the mean request time of an upstream that waits
	// for others says little about the time that requests will take.
	minKeep = 0.5
	// maxWidening is the largest growth of the admitted part of a class in one window.
	maxWidening = 3.0
	// minWidth is the minimum number of ranks of its class that a level admits.
	minWidth = classSize / 16
	// classLifetime is how long a class counts as in use after its last request.
	classLifetime = time.Minute
	// shedFloorTime is how long lower classes are shed after a request of a higher class was shed.
	shedFloorTime = time.Second
	classCount    = 1 << (priorityBits + 3)
)

// level is the admission level: the rank below which a gate sheds requests without queueing them. While callers ask for more
// than the upstream can serve, it follows the load in both directions: each update changes the admitted requests in proportion to
// what the upstream lacks or has left. The change takes effect only after some time, so that smaller steps would come too late
// and larger ones would swing.
type level struct {
	value   Rank
	arrived int
	// admitted counts the requests of the current window that the level admits, and unranked the calls in progress among them
	// whose root is unknown.
	admitted int
	unranked int
	sample   [sampleSize]Rank
	lastSeen [classCount]time.Time

	shedAt   [classCount]time.Time
	lastShed time.Time
}

// current returns the rank below which requests are shed at the given time.
func (l *level) current(now time.Time) Rank {
	return max(l.value, l.shedFloor(now))
}

// recordShed records that a request was shed. A call in progress is shed only because its time ran out, which says nothing
// about lower classes.
func (l *level) recordShed(r Rank, now time.Time) {
	if r == InProgress {
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

// recordArrival counts a request that arrived in the current window. Calls in progress whose root the level refuses are still
// served, but need no higher level: their roots were admitted before the level rose, and no more of them will come.
func (l *level) recordArrival(req Request, now time.Time) {
	rank := req.demandRank()
	if rank >= l.value {
		l.admitted++
	}
	if rank == InProgress {
		l.unranked++
		return
	}
	l.sample[l.arrived%sampleSize] = rank
	l.arrived++
	l.lastSeen[rank.class()%classCount] = now
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

// update adjusts the level at the end of a window. Demand is what the level admitted, and occupancy what was in progress, both as a
// share of what the upstream can serve.
func (l *level) update(demand, occupancy float64, p pressure, now time.Time) {
	if p == saturated && occupancy < busyLoad {
		// The queue is there by chance.
		p = relaxed
	}
	switch {
	case p == overloaded && demand > targetLoad:
		l.raise(max(minKeep, targetLoad/demand))
	case p == relaxed && occupancy < idleLoad && l.value > 0:
		l.lowerByClass(now)
	case p == relaxed && occupancy < targetLoad && l.value > 0:
		l.lower(max(minGrowth, min(maxGrowth, math.Pow(targetLoad/max(minLoad, occupancy), growthGain))), now)
	}
	l.arrived, l.admitted, l.unranked = 0, 0, 0
}

// admittedRanks returns the sampled ranks that the level admits, in ascending order, and the number of calls without a known root
// for as many.
func (l *level) admittedRanks() (ranks []Rank, unranked float64) {
	for _, r := range l.sample[:min(l.arrived, sampleSize)] {
		if r >= l.value {
			ranks = append(ranks, r)
		}
	}
	slices.Sort(ranks)
	return ranks, float64(l.unranked) * float64(min(l.arrived, sampleSize)) / float64(max(1, l.arrived))
}

// raise lets only the given share of the requests pass that the level admits so far.
func (l *level) raise(keep float64) {
	ranks, unranked := l.admittedRanks()
	if len(ranks) == 0 {
		return
	}
	drop := (1 - keep) * (float64(len(ranks)) + unranked)
	l.value = max(l.value, ranks[min(len(ranks)-1, int(drop))])
}

// lower admits more ranks of the level's class, so that the admitted requests grow by a factor, or of the next lower class in use
// once the whole class is admitted.
func (l *level) lower(growth float64, now time.Time) {
	class := l.value.class()
	ranks, unranked := l.admittedRanks()
	inClass := 0
	for inClass < len(ranks) && ranks[inClass].class() == class {
		inClass++
	}
	widening := maxWidening
	if inClass > 0 {
		widening = min(maxWidening, 1+(growth-1)*(float64(len(ranks))+unranked)/float64(inClass))
	}
	width := float64(max(minWidth, lowestRank(class+1)-l.value))
	if width >= classSize/2 {
		// Only accounts over their rate have lower ranks of a class.
		widening = maxWidening
	}
	width *= widening
	if width < classSize {
		l.value = lowestRank(class+1) - Rank(width)
		return
	}
	below := l.classBelow(class, now)
	if below < 0 {
		l.value = 0
		return
	}
	l.value = lowestRank(below+1) - minWidth
}

// lowerByClass admits all of the level's class, and all of the next lower one in use. An upstream that is half idle has room for
// more than the admitted requests can tell.
func (l *level) lowerByClass(now time.Time) {
	class := l.value.class()
	if below := l.classBelow(class, now); below >= 0 {
		l.value = lowestRank(below)
		return
	}
	l.value = 0
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
