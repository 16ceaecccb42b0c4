// Package evacuator puts the evacuation of failure domains in force at a node.
package evacuator

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const (
	// DefaultLimit is the time until an evacuation is in force unless the settings set one.
	DefaultLimit = 5 * time.Second
	// gateShare is the share of the limit after which the gates of an evacuated domain refuse requests. By then other nodes send
	// nothing more: with 250 ms to 1 s between two exchanges they learn of it in less than a third of the default limit. Gates that
	// refused at once would refuse calls of nodes that choose another worker of the same domain next.
	gateShare = 0.4
)

// Parts are the dependencies and settings of an Evacuator.
type Parts struct {
	Timer    *timer.Service
	Log      *zap.Logger
	Registry metrics.Registry
	// Domain is the failure domain of the node.
	Domain string
	// Limit is the time after its acknowledgement within which an evacuation is in force. Zero means DefaultLimit.
	Limit time.Duration
	// Route keeps calls from the workers of the given failure domains.
	Route func(domains map[string]bool)
	// Refuse makes the gates of the node refuse requests, or accept them again.
	Refuse func(refuse bool)
}

// Evacuator keeps the evacuation in force at a node. It is safe for concurrent use.
type Evacuator struct {
	Parts
	mu      sync.Mutex
	domains map[string]bool
	// pending makes the gates refuse requests after a delay. It is nil if the domain of the node is not evacuated, or if they
	// refuse already.
	pending *timer.Subscription
	active  metrics.Gauge
}

// New returns an Evacuator without evacuated domains.
func New(p Parts) *Evacuator {
	if p.Limit <= 0 {
		p.Limit = DefaultLimit
	}
	return &Evacuator{
		Parts: p, domains: map[string]bool{}, active: metrics.GetOrRegisterGauge("evacuation.domains", p.Registry),
	}
}

// Apply puts a new set of evacuated domains in force. The node knew at the time last that its previous set was the newest; the zero
// time means that it had none. Calls to the workers of a new domain end at once. The gates of the node itself refuse requests a share
// of the limit after last, which is before any later acknowledgement.
func (e *Evacuator) Apply(domains map[string]bool, last time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range domains {
		if !e.domains[name] {
			e.Log.Info("domainEvacuated", zap.String("domain", name))
		}
	}
	for name := range e.domains {
		if !domains[name] {
			e.Log.Info("domainRestored", zap.String("domain", name))
		}
	}
	was := e.domains[e.Domain]
	e.domains = domains
	e.active.Update(int64(len(domains)))
	e.Route(domains)
	switch {
	case domains[e.Domain] && !was:
		e.refuseAt(last)
	case !domains[e.Domain] && was:
		e.stopPending()
		e.Refuse(false)
	}
}

// refuseAt makes the gates refuse requests once the delay after the given time has passed.
func (e *Evacuator) refuseAt(last time.Time) {
	delay := time.Duration(0)
	if !last.IsZero() {
		delay = time.Duration(gateShare*float64(e.Limit)) - e.Timer.Since(last)
	}
	if delay <= 0 {
		e.Refuse(true)
		return
	}
	e.pending = e.Timer.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		// The evacuation may have ended, and another begun, since the timer fired.
		if e.pending != nil && e.domains[e.Domain] {
			e.pending = nil
			e.Refuse(true)
		}
	})
}

func (e *Evacuator) stopPending() {
	if e.pending != nil {
		e.pending.Stop()
		e.pending = nil
	}
}

// Stop ends the delay that is in progress, if any.
func (e *Evacuator) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopPending()
}
