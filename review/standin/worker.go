package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	ackTimeout        = time.Second
)

// worker is an application worker beside a node.
type worker struct {
	machine  *machine
	id       string
	born     int64
	slots    int
	work     time.Duration
	draining atomic.Bool
	leaving  atomic.Bool
	seq      atomic.Int64
	runs     atomic.Int64
	server   *http.Server
	client   *http.Client
	stop     context.CancelFunc
	// onRun is called when the worker begins to work on a request.
	onRun func(w *worker, r *http.Request, body []byte)
	// reply writes the response, if set.
	reply http.HandlerFunc
}

// newWorker starts a worker that listens at its machine's address and sends heartbeats to its node.
func newWorker(m *machine, id string) (*worker, error) {
	w := &worker{machine: m, id: id, born: time.Now().UnixMilli(), slots: 132, work: 20 * time.Millisecond}
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(m.ip)}}
	w.client = &http.Client{Timeout: ackTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	ln, err := net.Listen("tcp", m.appAddr())
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(ln) }()
	return w, nil
}

// beatAlways sends heartbeats until the worker leaves.
func (w *worker) beatAlways() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go func() {
		for ctx.Err() == nil && !w.leaving.Load() {
			w.post("/heartbeat", w.beat(), w.machine.controlAddr())
			select {
			case <-time.After(heartbeatInterval):
			case <-ctx.Done():
			}
		}
	}()
}

// beat returns the next heartbeat.
func (w *worker) beat() []byte {
	state := "ready"
	if w.draining.Load() {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"address": w.machine.appAddr(), "born": w.born,
		"info":   map[string]any{"service": w.machine.service, "version": "v1", "zone": w.machine.zone, "slots": w.slots},
		"status": map[string]any{"state": state, "seq": w.seq.Add(1), names.ColdLeft: 0},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// post sends what the worker says of itself and returns the status, or 0 if no response came within a second.
func (w *worker) post(call string, body []byte, addr string) int {
	resp, err := w.client.Post("http://"+addr+"/instances/"+w.id+call, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	load := fmt.Sprintf("%d,0,%d", w.runs.Load(), w.slots)
	if r.URL.Path == "/health" {
		h.Set(names.Instance, w.id)
		h.Set(names.Load, load)
		if w.draining.Load() || w.leaving.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(names.RequestID)
	h.Set(names.RequestID, id)
	if want := r.Header.Get(names.ExpectInstance); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.runs.Add(1)
	defer w.runs.Add(-1)
	if w.onRun != nil {
		w.onRun(w, r, body)
	}
	h.Set(names.Stamp, w.id+"."+id)
	h.Set(names.Load, load)
	if w.reply != nil {
		w.reply(rw, r)
		return
	}
	time.Sleep(w.work)
	_, _ = rw.Write([]byte("done " + id))
}

func (w *worker) close() {
	if w.stop != nil {
		w.stop()
	}
	_ = w.server.Close()
}
