package router

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// levelHoldTime is how long a reported level holds. Levels of workers without a response in that time are used only if no
	// worker has a newer one.
	levelHoldTime = time.Second
	// levelStepTime is the time between two steps by which an old level is lowered, and levelStep the size of the first one in
	// ranks: a sixteenth of the ranks of one class, so that a few requests find out whether the overload has passed. Steps double
	// each stepsBeforeDoubling, since the classes in use may be far apart.
	levelStepTime       = 100 * time.Millisecond
	levelStep           = 1 << 12
	stepsBeforeDoubling = 5
	// levelLifetime is the time without a response after which a level is discarded.
	levelLifetime = 5 * time.Second
)

// Levels stores the admission levels that workers reported in their responses, per service and route. It is safe for
// concurrent use.
type Levels struct {
	byRoute sync.Map // routeKey to *routeLevels
}

type routeKey struct {
	service string
	route   string
}

type routeLevels struct {
	mu       sync.Mutex
	byWorker map[string]workerLevel
	// candidates is reused between draws.
	candidates []workerLevel
}

type workerLevel struct {
	value uint32
	at    time.Time
}

// Record records the level that a worker reported in a response.
func (l *Levels) Record(service, route, worker string, value uint32, now time.Time) {
	entry, ok := l.byRoute.Load(routeKey{service, route})
	if !ok {
		if value == 0 {
			return
		}
		entry, _ = l.byRoute.LoadOrStore(routeKey{service, route}, &routeLevels{byWorker: map[string]workerLevel{}})
	}
	levels := entry.(*routeLevels)
	levels.mu.Lock()
	defer levels.mu.Unlock()
	levels.byWorker[worker] = workerLevel{value: value, at: now}
}

// Of returns the rank below which a call would most likely be shed: the lower level of two random workers among those with recent
// responses. A mean of levels would say little, since ranks of different classes are not evenly spread. The level falls while no responses arrive, so that a few calls probe
// whether the overload has passed.
func (l *Levels) Of(service, route string, now time.Time) uint32 {
	entry, ok := l.byRoute.Load(routeKey{service, route})
	if !ok {
		return 0
	}
	return entry.(*routeLevels).draw(now)
}

// Highest returns the highest level of all services and routes, each the lower one of two random workers.
func (l *Levels) Highest(now time.Time) uint32 {
	highest := uint32(0)
	l.byRoute.Range(func(_, entry any) bool {
		highest = max(highest, entry.(*routeLevels).draw(now))
		return true
	})
	return highest
}

// draw returns the lower level of two random workers, or zero if there is none: a worker that lacks room does not matter while calls
// can go to others.
func (l *routeLevels) draw(now time.Time) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.candidates = l.candidates[:0]
	recent := false
	for worker, w := range l.byWorker {
		age := now.Sub(w.at)
		switch {
		case age > levelLifetime:
			delete(l.byWorker, worker)
			continue
		case age <= levelHoldTime && !recent:
			recent = true
			l.candidates = l.candidates[:0]
		case age > levelHoldTime && recent:
			continue
		}
		l.candidates = append(l.candidates, w)
	}
	if len(l.candidates) == 0 {
		return 0
	}
	first, second := l.candidates[rand.IntN(len(l.candidates))], l.candidates[rand.IntN(len(l.candidates))]
	return min(first.lowered(now), second.lowered(now))
}

// lowered returns the level as lowered by the time without a response.
func (w workerLevel) lowered(now time.Time) uint32 {
	steps := int(max(0, now.Sub(w.at)-levelHoldTime) / levelStepTime)
	decrease := uint64(0)
	for i := range steps {
		decrease += levelStep << (i / stepsBeforeDoubling)
	}
	if decrease >= uint64(w.value) {
		return 0
	}
	return w.value - uint32(decrease)
}
