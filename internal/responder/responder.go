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
	// heartbeat is the interval between announcements.
	heartbeat = 500 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = 400 * time.Millisecond
	// stopLimit bounds the wait for requests in progress.
	stopLimit = 10 * time.Second
	// connectionsPerSlot is the number of requests that an upstream takes in for each slot.
	connectionsPerSlot = 8
	// defaultSize is the length of an answer's body in bytes unless the request says otherwise.
	defaultSize = 512
	// maxSize bounds it.
	maxSize = 64 << 20
)

// Config describes a stand-in upstream.
type Config struct {
	Service string
	Slots   int
	// Connections is how many requests the upstream takes in; those beyond its slots wait. Zero means eight for each slot.
	Connections int
	// Time is how long a request takes in the upstream itself.
	Time time.Duration
	// Calls are the services that every request calls in turn.
	Calls []string
	// Node is the caller address of the node beside the upstream.
	Node netip.AddrPort
	// Runs counts the requests by method and id, when it is set. Several upstreams may share it.
	Runs *Runs
	// OnRequest sees every request, before it is worked on.
	OnRequest func(r *http.Request, body []byte)
	// Handle takes the place of the usual work.
	Handle http.HandlerFunc
}

// Responder is a running stand-in upstream.
type Responder struct {
	cfg    Config
	timer  *timer.Service
	tomb   tomb.Tomb
	server *dialer.Server
	slots  chan struct{}
	conns  chan struct{}
	client *http.Client
	state  atomic.Value
	factor atomic.Int64 // service time in percent
	broken atomic.Bool
	served atomic.Int64
}

// Start listens on loopback, serves, and announces itself to its node.
func Start(cfg Config, t *timer.Service) (*Responder, error) {
	if cfg.Connections == 0 {
		cfg.Connections = connectionsPerSlot * cfg.Slots
	}
	r := &Responder{
		cfg: cfg, timer: t, slots: make(chan struct{}, cfg.Slots), conns: make(chan struct{}, cfg.Connections), client: newClient(),
	}
	r.state.Store("ready")
	r.factor.Store(100)
	security, err := dialer.NewSecurity(nil, t, zap.NewNop())
	if err != nil {
		return nil, err
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	r.server, err = security.ListenAndServe(&r.tomb, addr, dialer.Callers, http.HandlerFunc(r.serve))
	if err != nil {
		return nil, err
	}
	r.tomb.Go(r.heartbeats)
	return r, nil
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// Addr returns the upstream's address.
func (r *Responder) Addr() netip.AddrPort {
	return r.server.Addr()
}

// SetState changes what the upstream announces: ready, starting or draining.
func (r *Responder) SetState(state string) {
	r.state.Store(state)
}

// SetSlowdown multiplies the service time by a number of percent.
func (r *Responder) SetSlowdown(percent int) {
	r.factor.Store(int64(percent))
}

// SetBroken makes every request fail with status 503 after its work.
func (r *Responder) SetBroken(on bool) {
	r.broken.Store(on)
}

// Served returns the number of requests that were worked on to the end.
func (r *Responder) Served() int64 {
	return r.served.Load()
}

// Stop drains: it announces the drain, waits for requests in progress and leaves.
func (r *Responder) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	r.SetState("draining")
	_ = r.announce(ctx)
	err := r.server.Shutdown(ctx)
	_ = r.call(ctx, http.MethodDelete)
	return r.end(err)
}

// Kill ends the upstream at once, without a farewell.
func (r *Responder) Kill() error {
	return r.end(r.server.Close())
}

func (r *Responder) end(err error) error {
	r.tomb.Kill(nil)
	if tombErr := r.tomb.Wait(); err == nil {
		err = tombErr
	}
	r.client.CloseIdleConnections()
	return err
}

func (r *Responder) heartbeats() error {
	ctx := r.tomb.Context(context.Background())
	tick := r.timer.Every(heartbeat)
	defer tick.Stop()
	for {
		// A node that does not answer is told again at the next heartbeat.
		_ = r.announce(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Responder) announce(ctx context.Context) error {
	return r.call(ctx, http.MethodPost)
}

func (r *Responder) call(ctx context.Context, method string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	data, err := json.Marshal(announcer.Announcement{
		Service: r.cfg.Service, Address: r.Addr().String(), Slots: r.cfg.Slots, State: r.state.Load().(string),
		Load: float64(len(r.slots)) / float64(r.cfg.Slots),
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.cfg.Node.String()+announcer.Path, bytes.NewReader(data))
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
	if r.cfg.Runs != nil {
		r.cfg.Runs.add(req.Method, id)
	}
	if r.cfg.Handle != nil {
		r.cfg.Handle(w, req)
		return
	}
	select {
	case r.conns <- struct{}{}:
		defer func() { <-r.conns }()
	default:
		// More requests at once than connections: the upstream sheds load itself.
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
	if r.broken.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.served.Add(1)
	r.answer(w, id, sizeOf(req))
}

func (r *Responder) work(req *http.Request) error {
	took := r.cfg.Time * time.Duration(r.factor.Load()) / 100
	if err := r.timer.Sleep(req.Context(), took); err != nil {
		return err
	}
	for _, service := range r.cfg.Calls {
		if err := r.callService(req, service); err != nil {
			return err
		}
	}
	return nil
}

// callService makes a nested call through the upstream's own node.
func (r *Responder) callService(req *http.Request, service string) error {
	url := "http://" + r.cfg.Node.String() + "/" + service + "/nested?" + req.URL.RawQuery
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
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || Checksum(data) != resp.Header.Get(HeaderChecksum) {
		return errors.Errorf("service %s answered %d", service, resp.StatusCode)
	}
	return nil
}

func sizeOf(req *http.Request) int {
	size, err := strconv.Atoi(req.URL.Query().Get("size"))
	if err != nil || size < 0 {
		return defaultSize
	}
	return min(size, maxSize)
}

func (r *Responder) answer(w http.ResponseWriter, id string, size int) {
	body := Payload(r.cfg.Service, id, size)
	w.Header().Set(HeaderChecksum, Checksum(body))
	w.Header().Set(HeaderLength, strconv.Itoa(len(body)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
