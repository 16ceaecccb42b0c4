package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainCase lets a worker report that it is draining, and then another writer send a heartbeat of the same id that lacks a field.
func drainCase(root string, rec *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	f, err := newFleet(root, rec, []string{"alpha", "alpha", "beta"})
	if err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	var workers []*worker
	for i, m := range f.nodes {
		w, err := f.startWorker(m, fmt.Sprintf("i-%d", i+1), 150*time.Millisecond)
		if err != nil {
			rec.line("%v", err)
			return cannotRun
		}
		w.keepBeating(ctx)
		workers = append(workers, w)
	}
	routes := []routeTerms{{name: "r-a", host: "alpha.example", prefix: "/a/", kind: wire["nonIdempotent"], service: "alpha", timeout: 4, aim: 1}}
	if f.put(ctx, configuration(1, 0, routes, []string{"alpha", "beta"}, []tenantTerms{{"tenant-1", "key1key1key1key1key1", "150", "150"}})) != 200 {
		return cannotRun
	}
	if err := f.awaitReady(ctx, f.nodes...); err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	time.Sleep(3 * time.Second)
	leaving := workers[0]
	acked, ok := leaving.drain(ctx)
	if !ok {
		return cannotRun
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		text := fmt.Sprintf(wire["heartbeatWithoutZone"], f.addr(leaving.machine, appPort), leaving.born, leaving.machine.service, "", leaving.slots,
			wire["ready"], leaving.seq.Load()+100)
		rec.line("another writer: status %d to a heartbeat without a zone: %s", f.say(leaving.machine, fmt.Sprintf(wire["heartbeatPath"], leaving.id), text), text)
	}
	var clients sync.WaitGroup
	lost := make(chan int, clientsPerNode*len(f.nodes))
	for _, m := range perNode(f.nodes) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			n := 0
			for time.Since(acked) < 6*time.Second {
				id := newRequestID()
				a := f.send(m, http.MethodPost, "alpha.example", "/a/x", "key1key1key1key1key1", id, "an order", 3*time.Second)
				rec.line("client at %s: request %s: %v", m.name, id, a)
				if a.err != nil || a.status == http.StatusBadGateway {
					n++
				}
			}
			lost <- n
		}()
	}
	time.Sleep(time.Until(acked.Add(4 * time.Second)))
	// The worker has served for longer than it must and ends.
	leaving.stop()
	f.say(leaving.machine, fmt.Sprintf(wire["deregisterPath"], leaving.id), fmt.Sprintf(wire["deregister"], leaving.born))
	_ = leaving.server.Close()
	rec.line("worker %s: ends", leaving.id)
	clients.Wait()
	total := 0
	for range perNode(f.nodes) {
		total += <-lost
	}
	rec.line("requests that got no answer of a worker: %d", total)
	late := 0
	for _, r := range leaving.allRuns() {
		if r.at.Sub(acked) > 2*time.Second {
			late++
		}
	}
	rec.line("requests that worker %s ran later than 2 s after the acknowledgement: %d", leaving.id, late)
	if late > 0 {
		return broken
	}
	return held
}
