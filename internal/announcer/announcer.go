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
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// Path is where upstreams announce themselves.
	Path = "/lavenderhub/v1/upstreams"
	// Lifetime is how long an announcement holds without a heartbeat.
	Lifetime = 2 * time.Second
	// maxSlots bounds the slots that an upstream may announce.
	maxSlots = 100000
	// maxBody bounds an announcement in bytes.
	maxBody = 4096
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
}

// Upstream is one announced upstream with its gate.
type Upstream struct {
	Service string
	Address netip.AddrPort
	Gate    *admitter.Gate
	// Client sends requests that may run again; OnceClient sends the others, on connections that were used lately.
	Client     http.RoundTripper
	OnceClient http.RoundTripper

	slots int
	state schema.UpstreamState
	heard time.Time
	close func()
}

// Announcer keeps the upstreams beside this node. It is safe for concurrent use.
type Announcer struct {
	timer     *timer.Service
	assert    *asserter.Asserter
	onChange  func()
	gateOpts  []admitter.Option
	mu        sync.RWMutex
	stopping  bool
	byService map[string]*Upstream
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

// New returns an Announcer without upstreams.
func New(t *timer.Service, assert *asserter.Asserter, opts ...Option) *Announcer {
	a := &Announcer{timer: t, assert: assert, onChange: func() {}, byService: map[string]*Upstream{}}
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
	fresh := up == nil || up.Address != addr
	if fresh {
		if up != nil {
			up.Gate.Drain()
			up.close()
		}
		up = a.newUpstream(msg, addr)
		a.byService[msg.Service] = up
	}
	changed := fresh || up.state != state || up.slots != msg.Slots
	up.state, up.slots, up.heard = state, msg.Slots, a.timer.Now()
	up.Gate.SetSlots(msg.Slots)
	up.Gate.SetHint(msg.Load)
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
	client := newClient(idleLong)
	once := newClient(idleShort)
	return &Upstream{
		Service:    msg.Service,
		Address:    addr,
		Gate:       admitter.New(msg.Slots, a.timer, a.assert, a.gateOpts...),
		Client:     client,
		OnceClient: once,
		close: func() {
			client.CloseIdleConnections()
			once.CloseIdleConnections()
		},
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
	a.Leave(msg.Service, addr)
	return nil
}

// Leave removes an upstream. The zero address fits any.
func (a *Announcer) Leave(service string, addr netip.AddrPort) {
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

func (a *Announcer) remove(up *Upstream) {
	up.Gate.Drain()
	up.close()
	delete(a.byService, up.Service)
}

// Expire removes the upstreams whose heartbeat stopped.
func (a *Announcer) Expire() {
	a.mu.Lock()
	now := a.timer.Now()
	expired := 0
	for _, up := range a.byService {
		if now.Sub(up.heard) > Lifetime {
			a.remove(up)
			expired++
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
		out = append(out, &schema.Worker{Service: up.Service, Slots: uint32(up.slots), State: state})
	}
	slices.SortFunc(out, func(x, y *schema.Worker) int { return strings.Compare(x.GetService(), y.GetService()) })
	return out
}
