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

// Of returns the rank below which a call would most likely be shed: the level of a random worker among those whose levels have
// not expired. Over many calls, as large a share of them is shed as the workers would shed. A mean of levels would not do that,
// since ranks of different classes are not evenly spread. The level falls while no responses arrive, so that a few calls probe
// whether the overload has passed.
func (l *Levels) Of(service, route string, now time.Time) uint32 {
	entry, ok := l.byRoute.Load(routeKey{service, route})
	if !ok {
		return 0
	}
	return entry.(*routeLevels).draw(now)
}

// Highest returns the highest level of all services and routes, each of a random worker.
func (l *Levels) Highest(now time.Time) uint32 {
	highest := uint32(0)
	l.byRoute.Range(func(_, entry any) bool {
		highest = max(highest, entry.(*routeLevels).draw(now))
		return true
	})
	return highest
}

// draw returns the present level of a random worker, or zero if there is none.
func (l *routeLevels) draw(now time.Time) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := 0
	for worker, w := range l.byWorker {
		switch age := now.Sub(w.at); {
		case age > levelLifetime:
			delete(l.byWorker, worker)
		case age <= levelHoldTime:
			recent++
		}
	}
	if len(l.byWorker) == 0 {
		return 0
	}
	skip := rand.IntN(max(recent, 1))
	if recent == 0 {
		skip = rand.IntN(len(l.byWorker))
	}
	for _, w := range l.byWorker {
		if recent > 0 && now.Sub(w.at) > levelHoldTime {
			continue
		}
		if skip == 0 {
			return w.lowered(now)
		}
		skip--
	}
	return 0
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
