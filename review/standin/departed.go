package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["departed"] = runDeparted }

// runDeparted checks that a worker that said that it left gets no further work, although its node is restarted and one of its
// earlier heartbeats arrives late.
func runDeparted(layOut func(int, ...string) (*fleet, error), rec *record, trouble bool) (bool, error) {
	f, err := layOut(4, "front", "front", "back")
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var late []time.Time
	var goneAt, inTouch time.Time
	onRun := func(w *worker, r *http.Request, _ []byte) {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if w.id != "i-1" || goneAt.IsZero() || now.Before(goneAt.Add(drainS*time.Second)) {
			return
		}
		counts := !inTouch.IsZero() && now.After(inTouch)
		rec.add("worker i-1 runs %s, %.3f s after the acknowledgement of its departure; its node in touch: %v", r.Header.Get(names.RequestID),
			now.Sub(goneAt).Seconds(), counts)
		if counts {
			late = append(late, now)
		}
	}
	leaver, err := newWorker(f.nodes[0], "i-1")
	if err != nil {
		return false, err
	}
	defer leaver.close()
	leaver.onRun = onRun
	stayer, err := newWorker(f.nodes[1], "i-2")
	if err != nil {
		return false, err
	}
	defer stayer.close()
	other, err := newWorker(f.nodes[2], "i-3")
	if err != nil {
		return false, err
	}
	defer other.close()
	for _, w := range []*worker{leaver, stayer, other} {
		w.beatAlways()
	}
	o := newOperator(f)
	doc := configuration(1, 0, []string{"front", "back"}, []routeSpec{{"r-a", "/read/", "idempotent", "front"}})
	if _, ok := o.replace(doc, "r1", 15*time.Second); !ok {
		return false, errNoStart
	}
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	statuses := map[int]int{}
	// The clients are on the machine of another service, which is in touch all the time.
	clients.Go(func() { sendUntil(f.nodes[2], stop, statuses) })
	time.Sleep(time.Second)
	if trouble {
		if err := sendLate(leaver, rec, 2700*time.Millisecond); err != nil {
			return false, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	leaver.leaving.Store(true)
	status := leaver.post("/deregister", []byte(fmt.Sprintf(`{"born":%d}`, leaver.born)), leaver.machine.controlAddr())
	mu.Lock()
	goneAt = time.Now()
	mu.Unlock()
	rec.add("worker i-1 deregistered, status %d", status)
	if status != http.StatusOK {
		return false, errNoStart
	}
	time.Sleep(200 * time.Millisecond)
	f.nodes[0].kill()
	time.Sleep(restartPause)
	if err := f.nodes[0].start(); err != nil {
		return false, err
	}
	mu.Lock()
	inTouch = time.Now().Add(contactS * time.Second)
	mu.Unlock()
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.add("clients got %v; %d requests reached the worker too late", statuses, len(late))
	return len(late) > 0, nil
}

// sendLate sends a heartbeat of a worker through a proxy that delays it.
func sendLate(w *worker, rec *record, delay time.Duration) error {
	ln, err := net.Listen("tcp", w.machine.ip+":0")
	if err != nil {
		return err
	}
	body := w.beat()
	rec.add("worker i-1 sends heartbeat %d, state ready, which arrives %v later", w.seq.Load(), delay)
	go func() {
		defer func() { _ = ln.Close() }()
		in, err := ln.Accept()
		if err != nil {
			return
		}
		data := make([]byte, 64<<10)
		n, _ := in.Read(data)
		time.Sleep(delay)
		dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(w.machine.ip)}}
		out, err := dialer.Dial("tcp", w.machine.controlAddr())
		if err != nil {
			rec.add("the late heartbeat is lost: %v", err)
			return
		}
		_, _ = out.Write(data[:n])
		_ = out.SetReadDeadline(time.Now().Add(time.Second))
		n, _ = out.Read(data)
		rec.add("the late heartbeat arrives; the node answers %.15q", data[:n])
		_ = out.Close()
		_ = in.Close()
	}()
	go func() { w.post("/heartbeat", body, ln.Addr().String()) }()
	return nil
}

// sendUntil sends a request every 20 ms until stop is closed.
func sendUntil(m *machine, stop <-chan struct{}, statuses map[int]int) {
	var mu sync.Mutex
	var open sync.WaitGroup
	for {
		select {
		case <-stop:
			open.Wait()
			return
		case <-time.After(20 * time.Millisecond):
		}
		open.Go(func() {
			r := send(m, "GET", "/read/", io.NopCloser(http.NoBody))
			mu.Lock()
			defer mu.Unlock()
			statuses[r.status]++
		})
	}
}
