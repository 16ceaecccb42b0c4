package router

import (
	"maps"
	"sync"

	"github.com/lavenderhub/lavenderhub/schema"
)

// largeServices keeps all workers of the services that have more of them than this node sends calls to.
type largeServices struct {
	mu      sync.Mutex
	workers map[string][]*schema.Worker
}

func (l *largeServices) set(service string, workers []*schema.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(workers) <= subsetSize {
		delete(l.workers, service)
		return
	}
	if l.workers == nil {
		l.workers = map[string][]*schema.Worker{}
	}
	l.workers[service] = workers
}

func (l *largeServices) all() map[string][]*schema.Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.workers)
}

// SetEvacuated replaces the set of failure domains whose workers get no calls. It must be called from the goroutine that calls
// SetWorkers. The workers of large services are chosen anew, since all of those in use may be in evacuated domains.
func (r *Router) SetEvacuated(domains map[string]bool) {
	r.evacuated.Store(&domains)
	for service, workers := range r.large.all() {
		r.SetWorkers(service, workers)
	}
}

// workersInUse returns the workers of a large service outside of evacuated failure domains, or all if there is none, so that the
// service stays known.
func (r *Router) workersInUse(workers []*schema.Worker) []*schema.Worker {
	domains := r.evacuated.Load()
	if len(workers) <= subsetSize || domains == nil || len(*domains) == 0 {
		return workers
	}
	out := make([]*schema.Worker, 0, len(workers))
	for _, w := range workers {
		if !(*domains)[w.GetFailureDomain()] {
			out = append(out, w)
		}
	}
	if len(out) == 0 {
		return workers
	}
	return out
}

// inUse returns the workers outside of evacuated failure domains.
func (r *Router) inUse(all []*Target) []*Target {
	domains := r.evacuated.Load()
	if domains == nil || len(*domains) == 0 {
		return all
	}
	out := make([]*Target, 0, len(all))
	for _, t := range all {
		if !(*domains)[t.Domain] {
			out = append(out, t)
		}
	}
	return out
}
