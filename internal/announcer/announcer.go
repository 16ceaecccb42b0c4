// Package announcer keeps the local upstreams of a node, which announce themselves by heartbeats.
package announcer

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/breaker"
	"github.com/lavenderhub/lavenderhub/internal/exchanger"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// Path is the URL path at which upstreams announce themselves.
	Path = "/lavenderhub/v1/upstreams"
	// HeartbeatTimeout is how long an upstream remains registered after its last heartbeat.
	HeartbeatTimeout = 2 * time.Second
)

// Upstream is an announced upstream with its gate.
type Upstream struct {
	Service string
	Address netip.AddrPort
	Gate    *admitter.Gate
	// Pool holds the connections to the upstream.
	Pool *exchanger.Pool
	// Breaker suspends the upstream while its responses show that it is faulty.
	Breaker *breaker.Breaker
	// Instance identifies the running instance, or is empty if the upstream gave no identifier.
	Instance string

	slots         int
	state         schema.UpstreamState
	lastHeartbeat time.Time
	began         time.Time
	sequence      uint64
	// adopted is true until the first heartbeat of an adopted instance.
	adopted bool
	// coldAssumed is true until the first heartbeat.
	coldAssumed bool
}

// Announcer keeps the upstreams that are local to this node. It is safe for concurrent use.
type Announcer struct {
	timer            *timer.Service
	assert           *asserter.Asserter
	onChange         func()
	gateOpts         []admitter.Option
	poolOpts         []exchanger.Option
	heartbeatTimeout time.Duration
	mu               sync.RWMutex
	stopping         bool
	evacuated        bool
	coldLimit        func(service string) admitter.ColdLimit
	byService        map[string]*Upstream
	departures       map[string]departure
	expiries         map[string]expiry
	startedAt        time.Time
	// onUnconfirmed is nil if heartbeats are not to be confirmed.
	onUnconfirmed func()
	// unconfirmed holds the newest heartbeat of an instance that is not known to be running, by service.
	unconfirmed map[string]Announcement
}

// Option configures a new Announcer.
type Option func(*Announcer)

// WithOnChange sets a function that is called after an upstream was added, changed or removed.
func WithOnChange(f func()) Option {
	return func(a *Announcer) { a.onChange = f }
}

// WithGateOptions sets the options of the upstreams' gates.
func WithGateOptions(opts ...admitter.Option) Option {
	return func(a *Announcer) { a.gateOpts = opts }
}

// WithPoolOptions sets the options of the upstreams' connection pools.
func WithPoolOptions(opts ...exchanger.Option) Option {
	return func(a *Announcer) { a.poolOpts = opts }
}

// WithHeartbeatTimeout sets how long an upstream remains registered after its last heartbeat.
func WithHeartbeatTimeout(d time.Duration) Option {
	return func(a *Announcer) { a.heartbeatTimeout = d }
}

// WithConfirmation makes an Announcer that has just started wait for a confirmation before it registers an instance: the
// departure of the instance may have been acknowledged before the start, and its heartbeat be late. It calls f after
// such a heartbeat; Confirm or Reject decide on it.
func WithConfirmation(f func()) Option {
	return func(a *Announcer) { a.onUnconfirmed = f }
}

// New returns an Announcer without upstreams.
func New(t *timer.Service, assert *asserter.Asserter, opts ...Option) *Announcer {
	a := &Announcer{
		timer: t, assert: assert, onChange: func() {}, byService: map[string]*Upstream{}, departures: map[string]departure{},
		expiries:         map[string]expiry{},
		heartbeatTimeout: HeartbeatTimeout, startedAt: t.Now(), unconfirmed: map[string]Announcement{},
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Announce processes one heartbeat.
func (a *Announcer) Announce(msg Announcement) error {
	addr, state, err := validate(msg)
	if err == nil {
		err = a.validateOrder(msg)
	}
	if err != nil {
		return err
	}
	a.mu.Lock()
	if a.isOutdated(msg, a.byService[msg.Service]) {
		a.mu.Unlock()
		return nil
	}
	if a.needsConfirmation(msg, state) {
		a.unconfirmed[msg.Service] = msg
		a.mu.Unlock()
		a.onUnconfirmed()
		return nil
	}
	if a.unconfirmed[msg.Service].Instance == msg.Instance {
		delete(a.unconfirmed, msg.Service)
	}
	changed := a.register(msg, addr, state)
	a.mu.Unlock()
	if changed {
		a.onChange()
	}
	return nil
}

// needsConfirmation reports whether a heartbeat is the first one of its instance and may have been sent before a departure
// that this node acknowledged before its start. A draining upstream gets no requests and needs no confirmation, unless it
// would replace another one.
func (a *Announcer) needsConfirmation(msg Announcement, state schema.UpstreamState) bool {
	if a.onUnconfirmed == nil || a.timer.Since(a.startedAt) >= departureRetention {
		return false
	}
	up := a.byService[msg.Service]
	if up == nil {
		return state != schema.UpstreamState_UPSTREAM_STATE_DRAINING
	}
	return up.Instance != msg.Instance
}

// Unconfirmed returns the heartbeat of a service that waits for a confirmation, if there is one.
func (a *Announcer) Unconfirmed(service string) (Announcement, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	msg, ok := a.unconfirmed[service]
	return msg, ok
}

// Confirm registers an upstream by its unconfirmed heartbeat, unless another message has decided on the instance meanwhile.
func (a *Announcer) Confirm(msg Announcement) {
	addr, state, err := validate(msg)
	if err != nil {
		return
	}
	a.mu.Lock()
	changed := false
	if a.unconfirmed[msg.Service] == msg {
		delete(a.unconfirmed, msg.Service)
		changed = !a.isOutdated(msg, a.byService[msg.Service]) && a.register(msg, addr, state)
	}
	a.mu.Unlock()
	if changed {
		a.onChange()
	}
}

// Reject drops an unconfirmed heartbeat. A later heartbeat of its instance needs a confirmation again.
func (a *Announcer) Reject(msg Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unconfirmed[msg.Service] == msg {
		delete(a.unconfirmed, msg.Service)
	}
}

// register adds or updates the upstream of a heartbeat and reports whether anything changed that others must learn.
func (a *Announcer) register(msg Announcement, addr netip.AddrPort, state schema.UpstreamState) bool {
	up := a.byService[msg.Service]
	isNew := up == nil || up.Address != addr || up.Instance != msg.Instance || (!up.adopted && !up.began.Equal(msg.Began))
	if isNew {
		if up != nil {
			up.Gate.Drain()
			up.Pool.Close()
		}
		up = a.newUpstream(msg, addr)
		a.byService[msg.Service] = up
	} else {
		up.began, up.adopted = msg.Began, false
	}
	changed := isNew || up.state != state || up.slots != msg.Slots
	up.state, up.slots, up.lastHeartbeat, up.sequence = state, msg.Slots, a.timer.Now(), msg.Sequence
	up.Gate.SetSlots(msg.Slots)
	up.Gate.SetReportedLoad(msg.Load)
	changed = up.recordCold(msg) || changed
	a.applyState(up)
	return changed
}

// Adopt registers an upstream that responded to a health check before its first heartbeat. It returns an error when the
// instance is known to have left or its service already has an upstream.
func (a *Announcer) Adopt(service string, addr netip.AddrPort, instance string, slots int) error {
	msg := Announcement{Service: service, Address: addr.String(), Slots: slots, State: "ready", Instance: instance}
	if _, _, err := validate(msg); err != nil {
		return err
	}
	a.mu.Lock()
	if _, ok := a.departures[instance]; ok || a.byService[service] != nil {
		a.mu.Unlock()
		return errors.Errorf("run %q has left, or its service has an upstream", instance)
	}
	up := a.newUpstream(msg, addr)
	up.state, up.slots, up.lastHeartbeat, up.adopted = schema.UpstreamState_UPSTREAM_STATE_READY, slots, a.timer.Now(), true
	a.applyState(up)
	a.byService[service] = up
	a.mu.Unlock()
	a.onChange()
	return nil
}

func (a *Announcer) newUpstream(msg Announcement, addr netip.AddrPort) *Upstream {
	return &Upstream{
		Service:  msg.Service,
		Address:  addr,
		Gate:     admitter.New(msg.Slots, a.timer, a.assert, a.gateOptions(msg.Service)...),
		Pool:     exchanger.New(addr, a.timer, a.poolOpts...),
		Breaker:  breaker.New(),
		Instance: msg.Instance,
		began:    msg.Began,

		coldAssumed: true,
	}
}

// Remove removes the upstream of a service if it has the given address. The zero address matches any.
func (a *Announcer) Remove(service string, addr netip.AddrPort) {
	a.mu.Lock()
	up := a.byService[service]
	if up == nil || (addr.IsValid() && up.Address != addr) {
		a.mu.Unlock()
		return
	}
	a.detach(up)
	a.mu.Unlock()
	a.onChange()
}

// RemoveInstance removes the upstream of an instance that began at the given time, which may be zero. Late heartbeats of
// the instance do not register it again, even on a node that has just started. A departure notice of an earlier instance
// with the same identifier has no effect. RemoveInstance reports whether it removed an upstream.
func (a *Announcer) RemoveInstance(instance string, began time.Time) bool {
	a.mu.Lock()
	found := false
	now := a.timer.Now()
	for _, up := range a.byService {
		if up.Instance != instance {
			continue
		}
		if !up.adopted && began.Before(up.began) && !began.IsZero() {
			a.mu.Unlock()
			return false
		}
		if !up.adopted {
			began = up.began
		}
		a.detach(up)
		found = true
	}
	if began.IsZero() {
		// All that is known of the instance is that it began before now.
		began = now
	}
	if len(a.departures) < maxDepartures {
		a.departures[instance] = departure{began: began, leftAt: now}
	}
	a.mu.Unlock()
	if found {
		a.onChange()
	}
	return found
}

func (a *Announcer) detach(up *Upstream) {
	up.Gate.Drain()
	up.Pool.Close()
	delete(a.byService, up.Service)
}

// Expire removes the upstreams whose heartbeats have stopped, and old records of departures and expiries.
func (a *Announcer) Expire() {
	a.mu.Lock()
	now := a.timer.Now()
	expired := 0
	for _, up := range a.byService {
		if now.Sub(up.lastHeartbeat) > a.heartbeatTimeout {
			a.detach(up)
			expired++
			if up.Instance != "" {
				a.expiries[up.Instance] = expiry{began: up.began, sequence: up.sequence, expiredAt: now}
			}
		}
	}
	for instance, d := range a.departures {
		if now.Sub(d.leftAt) > departureRetention {
			delete(a.departures, instance)
		}
	}
	for instance, e := range a.expiries {
		if now.Sub(e.expiredAt) > departureRetention {
			delete(a.expiries, instance)
		}
	}
	a.mu.Unlock()
	if expired > 0 {
		a.onChange()
	}
}

// Stop drains all upstreams, including those that announce themselves later.
func (a *Announcer) Stop() {
	a.mu.Lock()
	a.stopping = true
	for _, up := range a.byService {
		up.Gate.Drain()
	}
	a.mu.Unlock()
	a.onChange()
}

// Inflight returns the number of requests in progress at all upstreams.
func (a *Announcer) Inflight() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	total := 0
	for _, up := range a.byService {
		total += up.Gate.Inflight()
	}
	return total
}

// HasSharedHost reports whether an upstream has reported a slowdown of its host.
func (a *Announcer) HasSharedHost() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	for _, up := range a.byService {
		if up.Gate.ReportsSlowdown() {
			return true
		}
	}
	return false
}

// Suspended returns the number of upstreams whose breakers are not closed.
func (a *Announcer) Suspended() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	n := 0
	for _, up := range a.byService {
		if up.Breaker.IsSuspended() {
			n++
		}
	}
	return n
}

// Upstream returns the upstream of a service, or nil.
func (a *Announcer) Upstream(service string) *Upstream {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.byService[service]
}

// Workers returns the upstreams as they are reported to other nodes, ordered by service.
func (a *Announcer) Workers() []*schema.Worker {
	a.mu.RLock()
	defer a.mu.RUnlock()
	out := make([]*schema.Worker, 0, len(a.byService))
	for _, up := range a.byService {
		state := up.state
		if a.stopping {
			state = schema.UpstreamState_UPSTREAM_STATE_DRAINING
		}
		out = append(out, &schema.Worker{
			Service: up.Service, Slots: uint32(up.slots), State: state, Instance: up.Instance, Cold: up.Gate.ColdLeft() > 0,
		})
	}
	slices.SortFunc(out, func(x, y *schema.Worker) int { return strings.Compare(x.GetService(), y.GetService()) })
	return out
}
