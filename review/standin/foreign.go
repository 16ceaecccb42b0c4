package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

func init() { cases["foreign"] = runForeign }

// runForeign checks that a worker that said that it drains gets no further work, although another writer sends heartbeats for it that
// lack fields.
func runForeign(layOut func(int, ...string) (*fleet, error), rec *record, trouble bool) (bool, error) {
	f, err := layOut(4, "front", "front", "back")
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var drainedAt time.Time
	late := 0
	var workers []*worker
	for i, m := range f.nodes {
		w, err := newWorker(m, []string{"i-1", "i-2", "i-3"}[i])
		if err != nil {
			return false, err
		}
		defer w.close()
		w.beatAlways()
		workers = append(workers, w)
	}
	leaver := workers[0]
	leaver.onRun = func(w *worker, r *http.Request, _ []byte) {
		mu.Lock()
		defer mu.Unlock()
		if drainedAt.IsZero() || time.Since(drainedAt) < drainS*time.Second {
			return
		}
		late++
		rec.add("worker %s runs %s, %.3f s after the acknowledgement that it drains", w.id, r.Header.Get(names.RequestID), time.Since(drainedAt).Seconds())
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
	clients.Go(func() { sendUntil(f.nodes[2], stop, statuses) })
	time.Sleep(time.Second)
	leaver.draining.Store(true)
	status := leaver.post("/heartbeat", leaver.beat(), leaver.machine.controlAddr())
	mu.Lock()
	drainedAt = time.Now()
	mu.Unlock()
	rec.add("worker i-1 reports that it drains, status %d", status)
	if status != http.StatusOK {
		return false, errNoStart
	}
	time.Sleep((drainS*1000 + 200) * time.Millisecond)
	for range 4 {
		if trouble {
			rec.add("another writer sends a heartbeat without fields for i-1, status %d",
				leaver.post("/heartbeat", foreignBeat(leaver), leaver.machine.controlAddr()))
		}
		time.Sleep(time.Second)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.add("clients got %v; %d requests reached the worker too late", statuses, late)
	return late > 0, nil
}

// foreignBeat returns a heartbeat that lacks the start time of the worker, its sequence number, zone and version.
func foreignBeat(w *worker) []byte {
	data, err := json.Marshal(map[string]any{
		"address": w.machine.appAddr(), "info": map[string]any{"service": w.machine.service, "slots": w.slots},
		"status": map[string]any{"state": "ready"},
	})
	if err != nil {
		panic(err)
	}
	return data
}
