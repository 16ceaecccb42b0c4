package router

import (
	"sync"
	"time"
)

const (
	// levelLifetime is how long a reported level holds before it is lowered to probe the worker.
	levelLifetime = 250 * time.Millisecond
	// levelStep is the basis of the steps by which a level is lowered, in ranks: after n times levelLifetime without a
	// response, it is lowered by levelStep << n.
	levelStep = 1 << 13
	// maxLevelSteps is the number of steps after which a level is discarded.
	maxLevelSteps = 10
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

// Of returns the rank below which a call would most likely be shed: the mean over the workers whose levels have not
// expired. It falls while no responses arrive, so that a few calls probe whether the overload has passed.
func (l *Levels) Of(service, route string, now time.Time) uint32 {
	entry, ok := l.byRoute.Load(routeKey{service, route})
	if !ok {
		return 0
	}
	levels := entry.(*routeLevels)
	levels.mu.Lock()
	defer levels.mu.Unlock()
	sum, n := uint64(0), uint64(0)
	for worker, w := range levels.byWorker {
		steps := int(now.Sub(w.at) / levelLifetime)
		if steps > maxLevelSteps {
			delete(levels.byWorker, worker)
			continue
		}
		sum += uint64(lowered(w.value, steps))
		n++
	}
	if n == 0 {
		return 0
	}
	return uint32(sum / n)
}

func lowered(value uint32, steps int) uint32 {
	if steps == 0 {
		return value
	}
	decrease := uint32(levelStep) << steps
	if decrease >= value {
		return 0
	}
	return value - decrease
}
