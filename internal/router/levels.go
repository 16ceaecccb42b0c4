package router

import (
	"sync"
	"time"
)

const (
	// levelLifetime is how long a learned level holds before it is lowered for a probe.
	levelLifetime = 250 * time.Millisecond
	// levelStep is how far a level is lowered in each further levelLifetime, in ranks; it doubles each time.
	levelStep = 1 << 13
	// maxLevelSteps is the number of steps after which a level is forgotten.
	maxLevelSteps = 10
)

// Levels remembers the admission levels that answers brought, for each service and route. It is safe for concurrent
// use.
type Levels struct {
	byRoute sync.Map // routeKey to *learnedLevel
}

type routeKey struct {
	service string
	route   string
}

type learnedLevel struct {
	mu       sync.Mutex
	byWorker map[string]workerLevel
}

type workerLevel struct {
	value uint32
	at    time.Time
}

// Record notes the level that a worker's answer brought.
func (l *Levels) Record(service, route, worker string, value uint32, now time.Time) {
	entry, ok := l.byRoute.Load(routeKey{service, route})
	if !ok {
		if value == 0 {
			return
		}
		entry, _ = l.byRoute.LoadOrStore(routeKey{service, route}, &learnedLevel{byWorker: map[string]workerLevel{}})
	}
	learned := entry.(*learnedLevel)
	learned.mu.Lock()
	defer learned.mu.Unlock()
	learned.byWorker[worker] = workerLevel{value: value, at: now}
}

// Of returns the rank below which a call would most likely be shed: the mean over the workers heard of lately. It falls while no answers
// come, so that a few calls find out whether the overload has passed.
func (l *Levels) Of(service, route string, now time.Time) uint32 {
	entry, ok := l.byRoute.Load(routeKey{service, route})
	if !ok {
		return 0
	}
	learned := entry.(*learnedLevel)
	learned.mu.Lock()
	defer learned.mu.Unlock()
	sum, n := uint64(0), uint64(0)
	for worker, w := range learned.byWorker {
		steps := int(now.Sub(w.at) / levelLifetime)
		if steps > maxLevelSteps {
			delete(learned.byWorker, worker)
			continue
		}
		sum += uint64(aged(w.value, steps))
		n++
	}
	if n == 0 {
		return 0
	}
	return uint32(sum / n)
}

func aged(value uint32, steps int) uint32 {
	if steps == 0 {
		return value
	}
	down := uint32(levelStep) << steps
	if down >= value {
		return 0
	}
	return value - down
}
