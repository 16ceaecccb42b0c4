package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	at                         time.Time
	id, method, target, tenant string
	caller                     string
}

// worker is a sound worker beside a node.
type worker struct {
	fleet   *fleet
	machine *machine
	id      string
	born    int64
	slots   int
	work    time.Duration
	server  *http.Server
	// answer, if not nil, answers a request in place of the usual answer.
	answer func(w http.ResponseWriter, r *http.Request) bool

	seq   atomic.Int64
	state atomic.Value
	stop  context.CancelFunc
	mu    sync.Mutex
	runs  []run
}

// startWorker starts a worker at its address, without heartbeats.
func (f *fleet) startWorker(m *machine, id string, work time.Duration) (*worker, error) {
	ln, err := net.Listen("tcp", f.addr(m, appPort))
	if err != nil {
		return nil, err
	}
	w := &worker{fleet: f, machine: m, id: id, born: time.Now().UnixMilli(), slots: 50, work: work}
	w.state.Store(wire["ready"])
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(ln) }()
	return w, nil
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set(wire["load"], fmt.Sprintf("%d,0,%d", 1, w.slots))
	if r.URL.Path == wire["healthPath"] {
		h.Set(wire["instance"], w.id)
		if w.state.Load() != wire["ready"] {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(wire["requestId"])
	h.Set(wire["requestId"], id)
	if expected := r.Header.Get(wire["expectInstance"]); expected != "" && expected != w.id {
		w.fleet.record.line("worker %s: 421 to request %s, which expects %s", w.id, id, expected)
		h.Set(wire["instance"], w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{
		at: time.Now(), id: id, method: r.Method, target: r.RequestURI, tenant: r.Header.Get(wire["tenant"]), caller: r.Header.Get(wire["caller"]),
	})
	w.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	w.fleet.record.line("worker %s: runs request %s %s %s (%d bytes, tenant %q, caller %q)", w.id, id, r.Method, r.RequestURI, len(body),
		r.Header.Get(wire["tenant"]), r.Header.Get(wire["caller"]))
	if w.answer != nil && w.answer(rw, r) {
		return
	}
	time.Sleep(w.work)
	h.Set(wire["stamp"], w.id+"-"+id)
	_, _ = rw.Write([]byte("answer to " + id))
}

func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (w *worker) beat() bool {
	text := fmt.Sprintf(wire["heartbeat"], w.fleet.addr(w.machine, appPort), w.born, w.machine.service, w.machine.zone, w.slots,
		w.state.Load(), w.seq.Add(1))
	return w.fleet.say(w.machine, fmt.Sprintf(wire["heartbeatPath"], w.id), text) == http.StatusOK
}

// say sends a message to the node of a machine and returns the status.
func (f *fleet) say(m *machine, path, text string) int {
	resp, err := operatorClient.Post("http://"+f.addr(m, controlPort)+path, "application/json", bytes.NewBufferString(text))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// keepBeating sends heartbeats until the context ends.
func (w *worker) keepBeating(ctx context.Context) {
	ctx, w.stop = context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			w.beat()
			select {
			case <-time.After(1500 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
}

// drain reports that the worker is leaving until that is acknowledged, and returns the time of the acknowledgement.
func (w *worker) drain(ctx context.Context) (time.Time, bool) {
	w.state.Store(wire["draining"])
	for ctx.Err() == nil {
		if w.beat() {
			w.fleet.record.line("worker %s: its report that it is draining is acknowledged", w.id)
			return time.Now(), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, false
}
