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
	// subsetSize is the maximum number of workers of one service that a node sends calls to.
	subsetSize = 20
	// nearCostFactor is the factor by which the cost of a near worker may exceed that of a far one before a call goes to the
	// far one: traffic between failure domains uses bandwidth, and small differences of mean latency are mostly noise.
	nearCostFactor = 1.3
	// objectiveShare is the part of a call's latency objective that a worker farther away must save in addition, where gates
	// report their expected times: callers notice no less, and bytes between failure domains are expensive.
	objectiveShare = 0.05
	// choices is the number of randomly chosen workers that are compared for a call. With three, half of the workers of a
	// service of four may be slow without any call having to use one. If all were compared, callers with equally old load
	// reports would all choose the same worker.
	choices = 3
	// panicThreshold is the share of a service's workers that must be healthy. With fewer healthy workers, ejections and
	// suspensions are ignored. Suspensions alone are ignored already when no more than this share remains.
	panicThreshold = 0.5
)

// crossingLatency is the extra latency assumed for a call to a worker farther away than the nearest ring, indexed by the
// ring's distance: this host, failure domain, region, or beyond.
var crossingLatency = [4]time.Duration{2 * time.Millisecond, 2 * time.Millisecond, 40 * time.Millisecond, 0}

// Router holds the workers of each service and chooses among them. SetWorkers must be called from one goroutine only; the
// other methods are safe for concurrent use.
type Router struct {
	node     string
	domain   string
	region   string
	services sync.Map // string to *atomic.Pointer[[]*Target]
	random   func(n int) int
	uniform  bool
	// coldShare returns how many calls per second this node may send to one cold worker of a service.
	coldShare func(service string) float64
	evacuated atomic.Pointer[map[string]bool]
	large     largeServices
}

// Option configures a Router.
type Option func(*Router)

// WithRandom sets the function that returns a uniform random number in [0, n).
func WithRandom(random func(n int) int) Option {
	return func(r *Router) { r.random = random }
}

// WithUniformChoice makes the router choose uniformly among the workers. It is a baseline for measurements.
func WithUniformChoice() Option {
	return func(r *Router) { r.uniform = true }
}

// New returns a router for the given node, which is in the given failure domain and region.
func New(node, domain, region string, opts ...Option) *Router {
	r := &Router{node: node, domain: domain, region: region, random: rand.IntN}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetWorkers replaces the workers of a service. Workers that remain keep their statistics.
func (r *Router) SetWorkers(service string, workers []*schema.Worker) {
	r.large.set(service, workers)
	entry, _ := r.services.LoadOrStore(service, &atomic.Pointer[[]*Target]{})
	p := entry.(*atomic.Pointer[[]*Target])
	old := map[string]*Target{}
	if list := p.Load(); list != nil {
		for _, t := range *list {
			old[t.Node+" "+t.Address.String()] = t
		}
	}
	scale := &timeScale{}
	for _, t := range old {
		scale = t.scale
	}
	list := make([]*Target, 0, len(workers))
	for _, w := range r.subset(workers) {
		if t := old[w.GetNode()+" "+w.GetPeerAddress()]; t != nil {
			t.update(w)
			list = append(list, t)
			continue
		}
		list = append(list, newTarget(w, r.node, scale))
	}
	p.Store(&list)
}

// subset returns at most subsetSize of a service's workers. It prefers the nearest ones, and among equally near workers
// those that rendezvous hashing assigns to this node, so that the load of all nodes is spread evenly.
func (r *Router) subset(workers []*schema.Worker) []*schema.Worker {
	workers = r.workersInUse(workers)
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
	// A third is reserved for workers in other failure domains, so that calls are still served if this one fails.
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

// domainDistance is the distance of a worker in this node's failure domain.
const domainDistance = 1

// distance returns 0 for this host, 1 for this failure domain, 2 for this region and 3 otherwise.
func (r *Router) distance(node, domain, region string) int {
	switch {
	case node == r.node:
		return 0
	case domain == r.domain:
		return domainDistance
	case region == r.region:
		return 2
	default:
		return 3
	}
}

// ReadyWorkers returns the number of workers of a service that accept calls.
func (r *Router) ReadyWorkers(service string) int {
	n := 0
	for _, t := range r.inUse(r.targets(service)) {
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

// Pick chooses a worker of a service, other than those tried before. HasRoom reports whether the local upstream would
// run the call without waiting. Pick returns nil if there is no worker.
func (r *Router) Pick(service string, tried []*Target, hasRoom bool, now time.Time) *Target {
	return r.PickFor(service, tried, hasRoom, 0, now)
}

// PickFor is like Pick, for a call with the given latency objective.
func (r *Router) PickFor(service string, tried []*Target, hasRoom bool, objective time.Duration, now time.Time) *Target {
	candidates := r.candidates(service, tried, now)
	if len(candidates) == 0 {
		return nil
	}
	if r.uniform {
		return candidates[r.random(len(candidates))]
	}
	return r.nearest(candidates, hasRoom, objective, now)
}

// nearest returns a worker of the nearest ring (the workers at one distance) whose cost is not much higher than that of a
// worker farther away.
func (r *Router) nearest(candidates []*Target, hasRoom bool, objective time.Duration, now time.Time) *Target {
	for distance := 0; distance <= 3; distance++ {
		var ring, farther []*Target
		for _, t := range candidates {
			switch d := r.distance(t.Node, t.Domain, t.Region); {
			case d == distance && (!t.Local || hasRoom):
				ring = append(ring, t)
			case d > distance:
				farther = append(farther, t)
			}
		}
		near, far := r.best(ring, now), r.best(farther, now)
		if near != nil && (far == nil || near.cost(now) <= nearCostFactor*far.cost(now)+near.extraCost(distance, objective, now)) {
			return near
		}
	}
	return r.best(candidates, now)
}

// extraCost returns by how much the cost of a worker at a distance may exceed that of one farther away, in seconds.
func (t *Target) extraCost(distance int, objective time.Duration, now time.Time) float64 {
	extra := crossingLatency[distance]
	if distance == domainDistance && t.hasEstimate(now) {
		extra = max(extra, time.Duration(objectiveShare*float64(objective)))
	}
	return extra.Seconds()
}

// best returns the worker of lowest cost among a few randomly chosen ones. It changes the order of the list.
func (r *Router) best(list []*Target, now time.Time) *Target {
	var best *Target
	lowestCost := 0.0
	for i := range min(choices, len(list)) {
		j := i + r.random(len(list)-i)
		list[i], list[j] = list[j], list[i]
		if cost := list[i].cost(now); best == nil || cost < lowestCost {
			best, lowestCost = list[i], cost
		}
	}
	return best
}

// candidates returns the workers that may serve a call: the ready ones, or the suspect ones if none is ready.
func (r *Router) candidates(service string, tried []*Target, now time.Time) []*Target {
	all := r.inUse(r.targets(service))
	isReady := func(t *Target) bool { return t.ready.Load() }
	if slices.ContainsFunc(all, isReady) {
		return r.withoutCold(service, eligible(all, tried, now, isReady), now)
	}
	return eligible(all, tried, now, func(t *Target) bool { return t.suspect.Load() })
}

// eligible returns the workers for which isEligible returns true and that are neither tried, ejected nor suspended. If too
// few remain, it ignores ejections and suspensions.
func eligible(all, tried []*Target, now time.Time, isEligible func(*Target) bool) []*Target {
	var healthy, untried []*Target
	total, suspended := 0, 0
	for _, t := range all {
		if isEligible(t) {
			total++
			if t.IsSuspended(now) {
				suspended++
			}
		}
	}
	avoidSuspended := float64(total-suspended) > float64(total)*panicThreshold
	for _, t := range all {
		if !isEligible(t) {
			continue
		}
		if slices.Contains(tried, t) {
			continue
		}
		untried = append(untried, t)
		if !t.isEjected(now) && (!avoidSuspended || !t.IsSuspended(now)) {
			healthy = append(healthy, t)
		}
	}
	if float64(len(healthy)+len(tried)) < float64(total)*panicThreshold {
		return untried
	}
	if len(healthy) == 0 && len(tried) == 0 {
		return untried
	}
	return healthy
}
