// Package announcer keeps the upstreams that announce themselves to their own node.
package announcer

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/exchanger"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// Path is where upstreams announce themselves.
	Path = "/lavenderhub/v1/upstreams"
	// HeartbeatTimeout is how long an announcement holds without a heartbeat.
	HeartbeatTimeout = 2 * time.Second
	// departureMemory is how long a run that left is remembered; heartbeats arrive later by seconds only.
	departureMemory = time.Minute
	// maxSlots bounds the slots that an upstream may announce.
	maxSlots = 100000
	// maxBody bounds an announcement in bytes.
	maxBody = 4096
	// maxDepartures bounds the runs that left and are remembered.
	maxDepartures = 1024
)

// Announcement is the body of an upstream's heartbeat.
type Announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// State is ready, starting or draining.
	State string `json:"state"`
	// Load is the upstream's own measure from 0 to 1. It is a hint.
	Load float64 `json:"load,omitempty"`
	// Instance names the upstream's present run. A later run under the same address has another name or a later Began.
	Instance string `json:"instance,omitempty"`
	// Began is the start of the run; a heartbeat of a run that began before the present one is out of date.
	Began time.Time `json:"began,omitzero"`
	// Sequence grows with each heartbeat of a run, so that a late one is known. Zero means that it is not counted.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Upstream is one announced upstream with its gate.
type Upstream struct {
	Service string
	Address netip.AddrPort
	Gate    *admitter.Gate
	// Pool carries requests to the upstream.
	Pool *exchanger.Pool
	// Instance names the upstream's present run, when it gave a name.
	Instance string

	slots    int
	state    schema.UpstreamState
	heard    time.Time
	began    time.Time
	sequence uint64
	// adopted tells that no heartbeat of the run has come yet.
	adopted bool
}

// Announcer keeps the upstreams beside this node. It is safe for concurrent use.
type Announcer struct {
	timer     *timer.Service
	assert    *asserter.Asserter
	onChange  func()
	gateOpts  []admitter.Option
	poolOpts  []exchanger.Option
	lifetime  time.Duration
	mu        sync.RWMutex
	stopping  bool
	byService map[string]*Upstream
	left      map[string]departure
}

// departure remembers a run that left, so that a late heartbeat does not bring it back.
type departure struct {
	began time.Time
	at    time.Time
}

// Option changes an Announcer under construction.
type Option func(*Announcer)

// WithOnChange sets a function that is called after an upstream came, changed or left.
func WithOnChange(f func()) Option {
	return func(a *Announcer) { a.onChange = f }
}

// WithGateOptions passes options to the gates.
func WithGateOptions(opts ...admitter.Option) Option {
	return func(a *Announcer) { a.gateOpts = opts }
}

// WithPoolOptions passes options to the pools of connections.
func WithPoolOptions(opts ...exchanger.Option) Option {
	return func(a *Announcer) { a.poolOpts = opts }
}

// WithHeartbeatTimeout sets how long an announcement holds without a heartbeat.
func WithHeartbeatTimeout(d time.Duration) Option {
	return func(a *Announcer) { a.lifetime = d }
}

// New returns an Announcer without upstreams.
func New(t *timer.Service, assert *asserter.Asserter, opts ...Option) *Announcer {
	a := &Announcer{
		timer: t, assert: assert, onChange: func() {}, byService: map[string]*Upstream{}, left: map[string]departure{},
		lifetime: HeartbeatTimeout,
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// ServeHTTP takes announcements and farewells from this host.
func (a *Announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !isOwnHost(r) {
		refuser.New(refuser.NotRun, refuser.Unauthorized, "only this host's upstreams announce themselves here").Write(w)
		return
	}
	var err error
	switch r.Method {
	case http.MethodPost:
		err = a.announce(r.Body)
	case http.MethodDelete:
		err = a.leave(r)
	default:
		w.Header().Set("Allow", "POST, DELETE")
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if err != nil {
		refuser.New(refuser.NotRun, refuser.BadRequest, err.Error()).Write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func isOwnHost(r *http.Request) bool {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(interface{ String() string })
	if remote.Addr().Unmap().IsLoopback() {
		return true
	}
	if !ok {
		return false
	}
	own, err := netip.ParseAddrPort(local.String())
	return err == nil && own.Addr().Unmap() == remote.Addr().Unmap()
}

func (a *Announcer) announce(body io.Reader) error {
	dec := json.NewDecoder(io.LimitReader(body, maxBody))
	dec.DisallowUnknownFields()
	var msg Announcement
	if err := dec.Decode(&msg); err != nil {
		return errors.Wrap(err, "read announcement")
	}
	return a.Announce(msg)
}

// Announce takes in one heartbeat.
func (a *Announcer) Announce(msg Announcement) error {
	addr, state, err := check(msg)
	if err != nil {
		return err
	}
	a.mu.Lock()
	up := a.byService[msg.Service]
	if a.isLate(msg, up) {
		a.mu.Unlock()
		return nil
	}
	fresh := up == nil || up.Address != addr || up.Instance != msg.Instance || (!up.adopted && !up.began.Equal(msg.Began))
	if fresh {
		if up != nil {
			up.Gate.Drain()
			up.Pool.Close()
		}
		up = a.newUpstream(msg, addr)
		a.byService[msg.Service] = up
	} else {
		up.began, up.adopted = msg.Began, false
	}
	changed := fresh || up.state != state || up.slots != msg.Slots
	up.state, up.slots, up.heard, up.sequence = state, msg.Slots, a.timer.Now(), msg.Sequence
	up.Gate.SetSlots(msg.Slots)
	up.Gate.SetReportedLoad(msg.Load)
	if state == schema.UpstreamState_UPSTREAM_STATE_READY && !a.stopping {
		up.Gate.Resume()
	} else {
		up.Gate.Drain()
	}
	a.mu.Unlock()
	if changed {
		a.onChange()
	}
	return nil
}

// Adopt takes in an upstream that answered a health check before its first heartbeat. It returns an error when the run is
// known to have left or to have been followed by another.
func (a *Announcer) Adopt(service string, addr netip.AddrPort, instance string, slots int) error {
	msg := Announcement{Service: service, Address: addr.String(), Slots: slots, State: "ready", Instance: instance}
	if _, _, err := check(msg); err != nil {
		return err
	}
	a.mu.Lock()
	if _, ok := a.left[instance]; ok || a.byService[service] != nil {
		a.mu.Unlock()
		return errors.Errorf("run %q has left, or its service has an upstream", instance)
	}
	up := a.newUpstream(msg, addr)
	up.state, up.slots, up.heard, up.adopted = schema.UpstreamState_UPSTREAM_STATE_READY, slots, a.timer.Now(), true
	if a.stopping {
		up.Gate.Drain()
	}
	a.byService[service] = up
	a.mu.Unlock()
	a.onChange()
	return nil
}

// isLate reports whether a heartbeat is older than what is known: of a run that left or was followed by another, or
// overtaken by a later heartbeat of its own run. A run that said that it leaves does not come back.
func (a *Announcer) isLate(msg Announcement, up *Upstream) bool {
	if gone, ok := a.left[msg.Instance]; ok && msg.Instance != "" && !msg.Began.After(gone.began) {
		return true
	}
	if up == nil || msg.Began.IsZero() {
		return false
	}
	if up.Instance == msg.Instance && up.began.Equal(msg.Began) {
		return msg.Sequence != 0 && msg.Sequence <= up.sequence
	}
	return msg.Began.Before(up.began)
}

func check(msg Announcement) (netip.AddrPort, schema.UpstreamState, error) {
	addr, err := netip.ParseAddrPort(msg.Address)
	if err != nil || addr.Port() == 0 {
		return addr, 0, errors.Errorf("bad address %q, want an IP address and a port", msg.Address)
	}
	if !resolver.IsName(msg.Service) {
		return addr, 0, errors.Errorf("bad service %q, want lower-case letters, digits and dashes", msg.Service)
	}
	if msg.Slots < 1 || msg.Slots > maxSlots {
		return addr, 0, errors.Errorf("bad slots %d, want 1 to %d", msg.Slots, maxSlots)
	}
	if msg.Load < 0 {
		return addr, 0, errors.Errorf("bad load %v, want at least 0", msg.Load)
	}
	switch strings.ToLower(msg.State) {
	case "ready":
		return addr, schema.UpstreamState_UPSTREAM_STATE_READY, nil
	case "starting":
		return addr, schema.UpstreamState_UPSTREAM_STATE_STARTING, nil
	case "draining":
		return addr, schema.UpstreamState_UPSTREAM_STATE_DRAINING, nil
	default:
		return addr, 0, errors.Errorf("bad state %q, want ready, starting or draining", msg.State)
	}
}

func (a *Announcer) newUpstream(msg Announcement, addr netip.AddrPort) *Upstream {
	return &Upstream{
		Service:  msg.Service,
		Address:  addr,
		Gate:     admitter.New(msg.Slots, a.timer, a.assert, a.gateOpts...),
		Pool:     exchanger.New(addr, a.timer, a.poolOpts...),
		Instance: msg.Instance,
		began:    msg.Began,
	}
}

// leave serves DELETE: the service and address are taken from the body, or the service from the query.
func (a *Announcer) leave(r *http.Request) error {
	msg := Announcement{Service: r.URL.Query().Get("service"), Address: r.URL.Query().Get("address")}
	if msg.Service == "" {
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&msg); err != nil {
			return errors.New("name the service in the query or in a JSON body")
		}
	}
	var addr netip.AddrPort
	if msg.Address != "" {
		var err error
		if addr, err = netip.ParseAddrPort(msg.Address); err != nil {
			return errors.Errorf("bad address %q, want an IP address and a port", msg.Address)
		}
	}
	a.Remove(msg.Service, addr)
	return nil
}

// Remove removes an upstream. The zero address fits any.
func (a *Announcer) Remove(service string, addr netip.AddrPort) {
	a.mu.Lock()
	up := a.byService[service]
	if up == nil || (addr.IsValid() && up.Address != addr) {
		a.mu.Unlock()
		return
	}
	a.remove(up)
	a.mu.Unlock()
	a.onChange()
}

// RemoveInstance removes the upstream of a run that began at a time, which may be zero, and keeps the run's late heartbeats
// from bringing it back, also at a node that has just started. A farewell of an earlier run of that name changes nothing.
// It reports whether the run was known.
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
		a.remove(up)
		found = true
	}
	if began.IsZero() {
		// Nothing is known of the run but that it began before now.
		began = now
	}
	if len(a.left) < maxDepartures {
		a.left[instance] = departure{began: began, at: now}
	}
	a.mu.Unlock()
	if found {
		a.onChange()
	}
	return found
}

func (a *Announcer) remove(up *Upstream) {
	up.Gate.Drain()
	up.Pool.Close()
	delete(a.byService, up.Service)
}

// Expire removes the upstreams whose heartbeat stopped.
func (a *Announcer) Expire() {
	a.mu.Lock()
	now := a.timer.Now()
	expired := 0
	for _, up := range a.byService {
		if now.Sub(up.heard) > a.lifetime {
			a.remove(up)
			expired++
		}
	}
	for instance, gone := range a.left {
		if now.Sub(gone.at) > departureMemory {
			delete(a.left, instance)
		}
	}
	a.mu.Unlock()
	if expired > 0 {
		a.onChange()
	}
}

// Stop drains all upstreams and those that announce themselves later.
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

// Upstream returns the upstream of a service, or nil.
func (a *Announcer) Upstream(service string) *Upstream {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.byService[service]
}

// Workers describes the upstreams for other nodes.
func (a *Announcer) Workers() []*schema.Worker {
	a.mu.RLock()
	defer a.mu.RUnlock()
	out := make([]*schema.Worker, 0, len(a.byService))
	for _, up := range a.byService {
		state := up.state
		if a.stopping {
			state = schema.UpstreamState_UPSTREAM_STATE_DRAINING
		}
		out = append(out, &schema.Worker{Service: up.Service, Slots: uint32(up.slots), State: state, Instance: up.Instance})
	}
	slices.SortFunc(out, func(x, y *schema.Worker) int { return strings.Compare(x.GetService(), y.GetService()) })
	return out
}
