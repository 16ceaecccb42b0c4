package admitter_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/router"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// chain simulates services that call each other: the kinds of requests meet at the smallest service, at the end of all call
// chains. Calls have no link to the request that makes them.
type chain struct {
	mu       sync.Mutex
	rng      *rand.Rand
	services map[string][]*chainWorker
	entries  []*router.Levels
	kinds    []*chainKind
	// noRoots leaves the ranks of the requests that make calls out of the calls, and noNested the levels of services further
	// down out of the reports.
	noRoots  bool
	noNested bool
	// accounts gives the requests accounts of two importances, which precede that of their kind.
	accounts bool
	// surge multiplies the load until surgeEnd. Requests that start before countFrom are not counted.
	surge     float64
	surgeEnd  time.Time
	countFrom time.Time
}

// chainKind is a kind of request from callers.
type chainKind struct {
	name       string
	service    string
	route      string
	importance uint32
	perSecond  float64
	objective  time.Duration
	deadline   time.Duration

	sent, good, refused, failed int
}

// chainWorker is a worker with the gate and the levels of its node.
type chainWorker struct {
	name string
	// speed is the worker's speed relative to the mean.
	speed   float64
	gate    *admitter.Gate
	nested  router.Levels
	running []admitter.Rank
}

// chainRoute describes the work of a request and its calls, which are made one after the other.
type chainRoute struct {
	work  time.Duration
	calls []string
}

var chainRoutes = map[string]chainRoute{
	"read":   {82 * time.Millisecond, []string{"check"}},
	"change": {110 * time.Millisecond, []string{"owner", "owner"}},
	"move":   {57 * time.Millisecond, nil},
	"scan":   {33 * time.Millisecond, nil},
	"check":  {15 * time.Millisecond, []string{"owner"}},
	"owner":  {15 * time.Millisecond, []string{"tag", "tag", "tag", "tag"}},
	"tag":    {20 * time.Millisecond, nil},
}

var chainServices = map[string]string{"check": "records", "owner": "custody", "tag": "scanner"}

const (
	chainHop     = 2 * time.Millisecond
	chainEntries = 17
)

func newChain(load float64) *chain {
	c := &chain{rng: rand.New(rand.NewPCG(1, 2)), services: map[string][]*chainWorker{}}
	for service, slots := range map[string]int{"history": 198, "records": 248, "custody": 248, "scanner": 31} {
		for i := range 4 {
			c.services[service] = append(c.services[service], &chainWorker{
				name: fmt.Sprint(service, i), speed: 1,
				gate: admitter.New(slots, timer.New(), nil, admitter.WithStaticLimit(), admitter.WithUsableShare(0.95)),
			})
		}
	}
	for range chainEntries {
		c.entries = append(c.entries, &router.Levels{})
	}
	const ms = time.Millisecond
	c.kinds = []*chainKind{
		{name: "read", service: "history", route: "read", importance: 1, perSecond: 420, objective: 1200 * ms, deadline: 5000 * ms},
		{name: "change", service: "records", route: "change", importance: 3, perSecond: 200, objective: 1500 * ms, deadline: 5000 * ms},
		{name: "move", service: "custody", route: "move", importance: 3, perSecond: 150, objective: 200 * ms, deadline: 800 * ms},
		{name: "scan", service: "scanner", route: "scan", importance: 2, perSecond: 130, objective: 120 * ms, deadline: 500 * ms},
	}
	for _, k := range c.kinds {
		k.perSecond *= load
	}
	return c
}

func (c *chain) random(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// work returns the time of one piece of work, which varies by half.
func (c *chain) work(mean time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(float64(mean) * (0.5 + c.rng.Float64()))
}

// pick returns the less busy of two random workers.
func (c *chain) pick(service string) *chainWorker {
	list := c.services[service]
	a, b := list[c.random(len(list))], list[c.random(len(list))]
	if a.gate.Report().Load <= b.gate.Report().Load {
		return a
	}
	return b
}

// call runs a call or a request at a worker. It returns whether it succeeded, whether it was refused before any work, and the
// level that the worker reports.
func (c *chain) call(service, route string, rank, root admitter.Rank, deadline time.Time) (w *chainWorker, ok, refused bool, level uint32) {
	time.Sleep(chainHop)
	defer time.Sleep(chainHop)
	w = c.pick(service)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ticket, d := w.gate.Admit(ctx, admitter.Request{Rank: rank, Root: root, Deadline: deadline, MaxWait: 100 * time.Millisecond})
	if d != admitter.Admitted {
		return w, false, true, c.level(w)
	}
	start := time.Now()
	c.setRunning(w, root, 1)
	time.Sleep(time.Duration(float64(c.work(chainRoutes[route].work)) / w.speed))
	ok = true
	for _, nested := range chainRoutes[route].calls {
		if ok = c.nested(w, nested, deadline); !ok {
			break
		}
	}
	c.setRunning(w, root, -1)
	ticket.Done(admitter.Sample{Total: time.Since(start), Self: time.Since(start)})
	return w, ok && time.Now().Before(deadline), false, c.level(w)
}

func (c *chain) nested(w *chainWorker, route string, deadline time.Time) bool {
	limit := time.Now().Add(700 * time.Millisecond)
	if deadline.Before(limit) {
		limit = deadline
	}
	root := admitter.Rank(0)
	if !c.noRoots {
		root = c.sampleRunning(w)
	}
	target, ok, _, level := c.call(chainServices[route], route, admitter.InProgress, root, limit)
	w.nested.Record(chainServices[route], route, target.name, level, time.Now())
	return ok
}

// setRunning adds or removes the rank of a request at a worker.
func (c *chain) setRunning(w *chainWorker, rank admitter.Rank, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change > 0 {
		w.running = append(w.running, rank)
		return
	}
	for i, r := range w.running {
		if r == rank {
			w.running = append(w.running[:i], w.running[i+1:]...)
			return
		}
	}
}

// sampleRunning returns the rank of one of the requests at a worker: it is unknown which of them makes a call.
func (c *chain) sampleRunning(w *chainWorker) admitter.Rank {
	c.mu.Lock()
	defer c.mu.Unlock()
	return w.running[c.rng.IntN(len(w.running))]
}

func (c *chain) level(w *chainWorker) uint32 {
	if c.noNested {
		return uint32(w.gate.Report().Level)
	}
	return max(uint32(w.gate.Report().Level), w.nested.Highest(time.Now()))
}

func (c *chain) request(k *chainKind) {
	entry := c.entries[c.random(len(c.entries))]
	start := time.Now()
	c.mu.Lock()
	importance, priority := k.importance, uint32(0)
	if c.accounts {
		importance, priority = 6+uint32(c.rng.IntN(2)), k.importance
	}
	rank := admitter.NewRank(importance, priority, binary.LittleEndian.AppendUint32(nil, c.rng.Uint32()), 1, 1)
	c.mu.Unlock()
	refused := uint32(rank) < entry.Of(k.service, k.route, start)
	ok := false
	if !refused {
		var w *chainWorker
		var level uint32
		w, ok, refused, level = c.call(k.service, k.route, rank, rank, start.Add(k.deadline))
		entry.Record(k.service, k.route, w.name, level, time.Now())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if start.Before(c.countFrom) {
		return
	}
	k.sent++
	switch {
	case refused:
		k.refused++
	case !ok:
		k.failed++
	case time.Since(start) <= k.objective:
		k.good++
	}
}

func (c *chain) run(t *testing.T, length time.Duration) {
	t.Helper()
	var group sync.WaitGroup
	for i, k := range c.kinds {
		arrivals := rand.New(rand.NewPCG(uint64(i), 7))
		group.Go(func() {
			for start := time.Now(); time.Since(start) < length; {
				perSecond := k.perSecond
				if time.Now().Before(c.surgeEnd) {
					perSecond *= c.surge
				}
				time.Sleep(time.Duration(arrivals.ExpFloat64() / perSecond * float64(time.Second)))
				group.Go(func() { c.request(k) })
			}
		})
	}
	group.Wait()
	for _, k := range c.kinds {
		t.Logf("%-7s %6d sent, %.3f good, %.3f refused, %.3f failed after work", k.name, k.sent, k.share(k.good), k.share(k.refused),
			k.share(k.failed))
	}
}

func (k *chainKind) share(n int) float64 {
	return float64(n) / float64(max(1, k.sent))
}

// TestImportantKindsStarveBelowCalls guards against a service at the end of all call chains whose own requests, and those of the
// services above it, fail because less important requests were admitted whose calls it has no room for.
func TestImportantKindsStarveBelowCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const load, wantImportant, maxFailed = 2.0, 0.9, 0.02
		c := newChain(load)
		c.run(t, 20*time.Second)
		for _, k := range c.kinds {
			if k.importance > 1 && k.share(k.good) < wantImportant {
				t.Errorf("%s: %.3f good, want %v", k.name, k.share(k.good), wantImportant)
			}
			if k.share(k.failed) > maxFailed {
				t.Errorf("%s: %.3f failed after work was spent, want at most %v", k.name, k.share(k.failed), maxFailed)
			}
		}
		// The scanner's 116 usable slots bear a load of 1.6. The least important kind gets what the others leave.
		important := load * (200*8*0.020 + 130*0.033)
		room := (116 - important) / (load * 420 * 4 * 0.020)
		if read := c.kinds[0]; read.share(read.good) < wantImportant*room {
			t.Errorf("%s: %.3f good, want %v of room for %.3f", read.name, read.share(read.good), wantImportant, room)
		}
	})
}

// TestLevelOutlivesOverload guards against levels that refuse requests after a surge has ended. Accounts of two importances give the
// levels several classes to cross.
func TestLevelOutlivesOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const surge, calm, recovery, want = 5 * time.Second, 8 * time.Second, 4 * time.Second, 0.97
		c := newChain(1.0)
		c.accounts = true
		c.surge, c.surgeEnd = 8, time.Now().Add(surge)
		c.countFrom = c.surgeEnd.Add(recovery)
		c.run(t, surge+calm)
		for _, k := range c.kinds {
			if k.share(k.good) < want {
				t.Errorf("%s: %.3f good from %v after the surge on, want %v", k.name, k.share(k.good), recovery, want)
			}
		}
	})
}

// TestRandomBurstsRaiseLevel guards against requests that are refused with room, because a short queue made by chance raised a level.
func TestRandomBurstsRaiseLevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const load, want = 1.35, 0.99
		c := newChain(load)
		c.run(t, 20*time.Second)
		for _, k := range c.kinds {
			if k.share(k.good) < want {
				t.Errorf("%s: %.3f good at a load of %v of 1.6, want %v", k.name, k.share(k.good), load, want)
			}
		}
	})
}

// TestLevelsReachEntries shows what the levels of services further down, and the ranks of the roots of calls, are worth to
// callers: without both the important kinds get less.
func TestLevelsReachEntries(t *testing.T) {
	worth := map[string]int{"read": 1, "change": 3, "move": 3, "scan": 2}
	earned := func(noRoots, noNested bool) (sum int) {
		synctest.Test(t, func(t *testing.T) {
			c := newChain(2.0)
			c.noRoots, c.noNested = noRoots, noNested
			c.run(t, 10*time.Second)
			for _, k := range c.kinds {
				sum += worth[k.name] * k.good
			}
		})
		return sum
	}
	full, noRoots, neither := earned(false, false), earned(true, false), earned(true, true)
	t.Logf("worth earned: %d, without roots %d, without both %d", full, noRoots, neither)
	if full <= noRoots || full <= neither {
		t.Errorf("worth earned: %d, without roots %d, without both %d", full, noRoots, neither)
	}
}
