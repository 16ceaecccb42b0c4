package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// returnCase lets a worker deregister, then kills the process of its node, and watches whether the worker is in use again after the
// restart, while its health check says falsely that it is healthy and stays.
func returnCase(root string, rec *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	f, err := newFleet(root, rec, []string{"alpha", "alpha", "alpha", "alpha", "alpha", "alpha", "alpha", "beta"})
	if err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	defer f.close()
	f.contracts = grownContracts
	if err := f.startAll(); err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	var workers []*worker
	for i, m := range f.nodes {
		w, err := f.startWorker(m, fmt.Sprintf("i-%d", i+1), 100*time.Millisecond)
		if err != nil {
			rec.line("%v", err)
			return cannotRun
		}
		w.keepBeating(ctx)
		workers = append(workers, w)
	}
	key := "key1key1key1key1key1"
	routes := []routeTerms{{name: "r-a", host: "alpha.example", prefix: "/a/", kind: wire["nonIdempotent"], service: "alpha", timeout: 4, aim: 1}}
	if f.put(ctx, configuration(1, 0, routes, []string{"alpha", "beta"}, []tenantTerms{{"tenant-1", key, "150", "150"}})) != 200 {
		return cannotRun
	}
	if err := f.awaitReady(ctx, f.nodes...); err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	time.Sleep(3 * time.Second)
	leaving := workers[0]
	leaving.stop()
	if !trouble {
		leaving.state.Store(wire["draining"])
	}
	status := f.say(leaving.machine, fmt.Sprintf(wire["deregisterPath"], leaving.id), fmt.Sprintf(wire["deregister"], leaving.born))
	acked := time.Now()
	rec.line("worker %s: deregisters, status %d", leaving.id, status)
	if status != http.StatusOK {
		return cannotRun
	}
	var clients sync.WaitGroup
	lost := make(chan int, clientsPerNode*len(f.nodes))
	for _, m := range perNode(f.nodes[1:]) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			n := 0
			for time.Since(acked) < 9*time.Second {
				id := newRequestID()
				a := f.send(m, http.MethodPost, "alpha.example", "/a/x", key, id, "an order", 3*time.Second)
				rec.line("client at %s: request %s: %v", m.name, id, a)
				if a.err != nil || a.status == http.StatusBadGateway {
					n++
				}
			}
			lost <- n
		}()
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		f.end(leaving.machine, syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		if err := f.start(leaving.machine); err != nil {
			rec.line("%v", err)
			return cannotRun
		}
		rec.line("the process of %s starts again", leaving.machine.name)
	}
	restarted := time.Now()
	time.Sleep(time.Until(acked.Add(6 * time.Second)))
	_ = leaving.server.Close()
	rec.line("worker %s: ends", leaving.id)
	clients.Wait()
	total := 0
	for range perNode(f.nodes[1:]) {
		total += <-lost
	}
	rec.line("requests that got no answer of a worker: %d", total)
	late := 0
	for _, r := range leaving.allRuns() {
		// The node is in touch again contactS after its restart.
		if r.at.Sub(acked) > 2*time.Second && r.at.Sub(restarted) > 3500*time.Millisecond {
			late++
		}
	}
	rec.line("requests that worker %s ran later than 2 s after the acknowledgement, sent on by machines in touch: %d", leaving.id, late)
	if late > 0 {
		return broken
	}
	return held
}
