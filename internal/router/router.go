package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// subsetSize bounds the workers of one service that a node talks to.
	subsetSize = 20
	// nearShare is how much dearer a near worker may be than a far one before a call goes there: crossing to another failure
	// domain costs bytes, and a small difference of means is mostly chance.
	nearShare = 1.3
	// choices is how many workers drawn at random are compared for a call. With three, half of a service of four may be slow
	// and no call is forced there; with all, callers whose news is equally old would all turn to the same worker.
	choices = 3
	// panicShare is the part of a service's workers that must be healthy; with fewer, ejections are ignored.
	panicShare = 0.5
)

// crossing is the time that a call saves by staying within a ring of workers: the own host, failure domain, region.
var crossing = [4]time.Duration{2 * time.Millisecond, 2 * time.Millisecond, 40 * time.Millisecond, 0}

// Router keeps the workers of each service and chooses among them. Set is called by the control goroutine; the
// other methods are safe for concurrent use.
type Router struct {
	node     string
	domain   string
	region   string
	services sync.Map // string to *atomic.Pointer[[]*Target]
	random   func(n int) int
	first    bool
}

// Option changes a Router under construction.
type Option func(*Router)

// WithRandom replaces the source of random numbers.
func WithRandom(random func(n int) int) Option {
	return func(r *Router) { r.random = random }
}

// WithUniformChoice makes the router take any worker. It is a baseline for measurements.
func WithUniformChoice() Option {
	return func(r *Router) { r.first = true }
}

// New returns a router for a node in a failure domain and region.
func New(node, domain, region string, opts ...Option) *Router {
	r := &Router{node: node, domain: domain, region: region, random: rand.IntN}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetWorkers replaces the workers of a service. What was learned of workers that stay is kept.
func (r *Router) SetWorkers(service string, workers []*schema.Worker) {
	entry, _ := r.services.LoadOrStore(service, &atomic.Pointer[[]*Target]{})
	p := entry.(*atomic.Pointer[[]*Target])
	old := map[string]*Target{}
	if list := p.Load(); list != nil {
		for _, t := range *list {
			old[t.Node+" "+t.Address.String()] = t
		}
	}
	list := make([]*Target, 0, len(workers))
	for _, w := range r.subset(workers) {
		if t := old[w.GetNode()+" "+w.GetPeerAddress()]; t != nil {
			t.update(w)
			list = append(list, t)
			continue
		}
		list = append(list, newTarget(w, r.node))
	}
	p.Store(&list)
}

// subset returns a bounded part of a service's workers: the nearest first, and among equals those that rendezvous
// hashing gives this node, so that the load of all nodes spreads evenly.
func (r *Router) subset(workers []*schema.Worker) []*schema.Worker {
	if len(workers) <= subsetSize {
		return workers
	}
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b *schema.Worker) int {
		return cmp.Or(
			cmp.Compare(r.distance(a.GetNode(), a.GetFailureDomain(), a.GetRegion()),
				r.distance(b.GetNode(), b.GetFailureDomain(), b.GetRegion())),
			cmp.Compare(r.affinity(a), r.affinity(b)))
	})
	// A third is kept for workers farther away, so that a failure domain can be lost.
	near := subsetSize * 2 / 3
	out := slices.Clone(sorted[:near])
	far := slices.DeleteFunc(sorted[near:], func(w *schema.Worker) bool { return w.GetFailureDomain() == r.domain })
	if len(far) < subsetSize-near {
		far = sorted[near:]
	}
	return append(out, far[:min(len(far), subsetSize-near)]...)
}

func (r *Router) affinity(w *schema.Worker) uint64 {
	return xxhash.Sum64String(r.node + " " + w.GetNode())
}

// distance is 0 for the own host, 1 for the own failure domain, 2 for the own region and 3 beyond.
func (r *Router) distance(node, domain, region string) int {
	switch {
	case node == r.node:
		return 0
	case domain == r.domain:
		return 1
	case region == r.region:
		return 2
	default:
		return 3
	}
}

// ReadyWorkers returns the number of workers of a service that take work.
func (r *Router) ReadyWorkers(service string) int {
	n := 0
	for _, t := range r.targets(service) {
		if t.ready.Load() {
			n++
		}
	}
	return n
}

// HasWorkers reports whether any worker of a service is known.
func (r *Router) HasWorkers(service string) bool {
	return len(r.targets(service)) > 0
}

func (r *Router) targets(service string) []*Target {
	entry, ok := r.services.Load(service)
	if !ok {
		return nil
	}
	list := entry.(*atomic.Pointer[[]*Target]).Load()
	if list == nil {
		return nil
	}
	return *list
}

// Pick chooses a worker of a service, leaving out those tried before. HasRoom tells whether this node's own
// upstream would run the call at once. Pick returns nil when there is no worker.
func (r *Router) Pick(service string, tried []*Target, hasRoom bool, now time.Time) *Target {
	candidates := r.candidates(service, tried, now)
	if len(candidates) == 0 {
		return nil
	}
	if r.first {
		return candidates[r.random(len(candidates))]
	}
	return r.nearest(candidates, hasRoom, now)
}

// nearest returns a worker of the nearest ring whose expected time is not much longer than that of a worker beyond it.
func (r *Router) nearest(candidates []*Target, hasRoom bool, now time.Time) *Target {
	for distance := 0; distance <= 3; distance++ {
		var ring, beyond []*Target
		for _, t := range candidates {
			switch d := r.distance(t.Node, t.Domain, t.Region); {
			case d == distance && (!t.Local || hasRoom):
				ring = append(ring, t)
			case d > distance:
				beyond = append(beyond, t)
			}
		}
		near, far := r.best(ring, now), r.best(beyond, now)
		if near != nil && (far == nil || near.cost(now) <= nearShare*far.cost(now)+crossing[distance].Seconds()) {
			return near
		}
	}
	return r.best(candidates, now)
}

// best returns the cheapest of a few workers drawn at random. It changes the order of the list.
func (r *Router) best(list []*Target, now time.Time) *Target {
	var best *Target
	lowest := 0.0
	for i := range min(choices, len(list)) {
		j := i + r.random(len(list)-i)
		list[i], list[j] = list[j], list[i]
		if cost := list[i].cost(now); best == nil || cost < lowest {
			best, lowest = list[i], cost
		}
	}
	return best
}

// candidates returns the workers that may serve a call: the ready ones, or those of silent nodes when there is no other.
func (r *Router) candidates(service string, tried []*Target, now time.Time) []*Target {
	all := r.targets(service)
	isReady := func(t *Target) bool { return t.ready.Load() }
	if slices.ContainsFunc(all, isReady) {
		return usable(all, tried, now, isReady)
	}
	return usable(all, tried, now, func(t *Target) bool { return t.suspect.Load() })
}

// usable returns the workers of a state that are neither tried nor ejected. When too few are left, ejections are ignored.
func usable(all, tried []*Target, now time.Time, isUsable func(*Target) bool) []*Target {
	var healthy, ready []*Target
	total := 0
	for _, t := range all {
		if !isUsable(t) {
			continue
		}
		total++
		if slices.Contains(tried, t) {
			continue
		}
		ready = append(ready, t)
		if !t.isEjected(now) {
			healthy = append(healthy, t)
		}
	}
	if float64(len(healthy)+len(tried)) < float64(total)*panicShare {
		return ready
	}
	if len(healthy) == 0 && len(tried) == 0 {
		return ready
	}
	return healthy
}
