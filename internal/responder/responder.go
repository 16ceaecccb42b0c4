package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const (
	// announceInterval is the interval between announcements.
	announceInterval = 500 * time.Millisecond
	// announceTimeout is the timeout of one announcement.
	announceTimeout = 400 * time.Millisecond
	// stopTimeout is the maximum time that Stop waits for requests in progress.
	stopTimeout = 10 * time.Second
	// requestsPerSlot is the default number of requests that an upstream accepts for each of its slots.
	requestsPerSlot = 8
	// defaultSize is the length of a response body in bytes unless the request specifies one.
	defaultSize = 512
	// maxSize is the maximum length of a response body in bytes.
	maxSize = 64 << 20
)

// Config describes a simulated upstream.
type Config struct {
	Service string
	Slots   int
	// MaxRequests is the number of requests that the upstream accepts at the same time; those beyond its slots wait. Zero
	// means eight for each slot.
	MaxRequests int
	// ServiceTime is the service time of a request in the upstream itself, without nested calls.
	ServiceTime time.Duration
	// Calls lists the services that every request calls one after another.
	Calls []string
	// NodeAddr is the caller address of the upstream's node.
	NodeAddr netip.AddrPort
	// Executions counts the requests that reach the upstream, also those that it sheds, unless it is nil. Several upstreams
	// may share it.
	Executions *Executions
	// OnRequest is called for every request before it is handled.
	OnRequest func(r *http.Request, body []byte)
	// Handler replaces the default handling of requests.
	Handler http.HandlerFunc
}

// Responder is a running simulated upstream.
type Responder struct {
	cfg                Config
	timer              *timer.Service
	tomb               tomb.Tomb
	server             *dialer.Server
	slots              chan struct{}
	admitted           chan struct{}
	client             *http.Client
	state              atomic.Value
	serviceTimePercent atomic.Int64 // actual service time, in percent of the configured one
	failing            atomic.Bool
	served             atomic.Int64
}

// Start starts an upstream that listens on loopback and announces itself to its node.
func Start(cfg Config, t *timer.Service) (*Responder, error) {
	if cfg.MaxRequests == 0 {
		cfg.MaxRequests = requestsPerSlot * cfg.Slots
	}
	r := &Responder{
		cfg: cfg, timer: t, slots: make(chan struct{}, cfg.Slots), admitted: make(chan struct{}, cfg.MaxRequests), client: newClient(),
	}
	r.state.Store("ready")
	r.serviceTimePercent.Store(100)
	security, err := dialer.NewSecurity(nil, t, zap.NewNop())
	if err != nil {
		return nil, err
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	r.server, err = security.ListenAndServe(&r.tomb, addr, dialer.Callers, http.HandlerFunc(r.serve))
	if err != nil {
		return nil, err
	}
	r.tomb.Go(r.announceLoop)
	return r, nil
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// Addr returns the address that the upstream listens on.
func (r *Responder) Addr() netip.AddrPort {
	return r.server.Addr()
}

// SetState sets the state that the upstream announces: ready, starting or draining.
func (r *Responder) SetState(state string) {
	r.state.Store(state)
}

// SetServiceTimePercent sets the service time in percent of the configured one.
func (r *Responder) SetServiceTimePercent(percent int) {
	r.serviceTimePercent.Store(int64(percent))
}

// SetFailing sets whether every request fails with status 503 after its service time and its nested calls.
func (r *Responder) SetFailing(failing bool) {
	r.failing.Store(failing)
}

// Served returns the number of requests that were handled successfully.
func (r *Responder) Served() int64 {
	return r.served.Load()
}

// Stop drains the upstream: it announces the draining state, waits for requests in progress, and withdraws the announcement.
func (r *Responder) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	r.SetState("draining")
	_ = r.announce(ctx)
	err := r.server.Shutdown(ctx)
	_ = r.sendAnnouncement(ctx, http.MethodDelete)
	return r.terminate(err)
}

// Kill stops the upstream immediately, without draining and without notice to its node.
func (r *Responder) Kill() error {
	return r.terminate(r.server.Close())
}

func (r *Responder) terminate(err error) error {
	r.tomb.Kill(nil)
	if tombErr := r.tomb.Wait(); err == nil {
		err = tombErr
	}
	r.client.CloseIdleConnections()
	return err
}

func (r *Responder) announceLoop() error {
	ctx := r.tomb.Context(context.Background())
	tick := r.timer.Every(announceInterval)
	defer tick.Stop()
	for {
		// A failed announcement is repeated after the next interval.
		_ = r.announce(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Responder) announce(ctx context.Context) error {
	return r.sendAnnouncement(ctx, http.MethodPost)
}

func (r *Responder) sendAnnouncement(ctx context.Context, method string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	data, err := json.Marshal(announcer.Announcement{
		Service: r.cfg.Service, Address: r.Addr().String(), Slots: r.cfg.Slots, State: r.state.Load().(string),
		Load: float64(len(r.slots)) / float64(r.cfg.Slots),
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.cfg.NodeAddr.String()+announcer.Path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (r *Responder) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.cfg.OnRequest != nil {
		r.cfg.OnRequest(req, body)
	}
	id := req.URL.Query().Get("id")
	// The echo lets the node use the connection for further requests.
	w.Header().Set("Lavenderhub-Request", req.Header.Get("Lavenderhub-Request"))
	if r.cfg.Executions != nil {
		r.cfg.Executions.add(req.Method, id)
	}
	if r.cfg.Handler != nil {
		r.cfg.Handler(w, req)
		return
	}
	select {
	case r.admitted <- struct{}{}:
		defer func() { <-r.admitted }()
	default:
		// Too many requests are in progress, so the upstream sheds this one itself.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-req.Context().Done():
		return
	}
	if err := r.work(req); err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	if r.failing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.served.Add(1)
	r.respond(w, id, responseSize(req))
}

func (r *Responder) work(req *http.Request) error {
	serviceTime := r.cfg.ServiceTime * time.Duration(r.serviceTimePercent.Load()) / 100
	if err := r.timer.Sleep(req.Context(), serviceTime); err != nil {
		return err
	}
	for _, service := range r.cfg.Calls {
		if err := r.callService(req, service); err != nil {
			return err
		}
	}
	return nil
}

// callService sends a nested call through the upstream's node and verifies the response.
func (r *Responder) callService(req *http.Request, service string) error {
	url := "http://" + r.cfg.NodeAddr.String() + "/" + service + "/nested?" + req.URL.RawQuery
	nested, err := http.NewRequestWithContext(req.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	nested.Header.Set("Lavenderhub-Request", req.Header.Get("Lavenderhub-Request"))
	resp, err := r.client.Do(nested)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || Checksum(body) != resp.Header.Get(HeaderChecksum) {
		return errors.Errorf("service %s answered %d", service, resp.StatusCode)
	}
	return nil
}

func responseSize(req *http.Request) int {
	size, err := strconv.Atoi(req.URL.Query().Get("size"))
	if err != nil || size < 0 {
		return defaultSize
	}
	return min(size, maxSize)
}

func (r *Responder) respond(w http.ResponseWriter, id string, size int) {
	body := Payload(r.cfg.Service, id, size)
	w.Header().Set(HeaderChecksum, Checksum(body))
	w.Header().Set(HeaderLength, strconv.Itoa(len(body)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
