package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// firstStartCase kills the process of one control host while the system starts for the first time, and watches whether the first
// configuration is ever accepted.
func firstStartCase(root string, rec *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 70*time.Second)
	defer cancel()
	f, err := newFleet(root, rec, []string{"alpha", "alpha"})
	if err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	defer f.close()
	first, others := f.control[0], append(append([]*machine{}, f.control[1:]...), f.nodes...)
	if err := f.start(first); err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	rec.line("the process of %s starts", first.name)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		f.end(first, syscall.SIGKILL)
	}
	time.Sleep(50 * time.Millisecond)
	for _, m := range others {
		if err := f.start(m); err != nil {
			rec.line("%v", err)
			return cannotRun
		}
	}
	rec.line("the processes of the other machines start")
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := f.start(first); err != nil {
			rec.line("%v", err)
			return cannotRun
		}
		rec.line("the process of %s starts again", first.name)
	}
	routes := []routeTerms{{name: "r-a", host: "alpha.example", prefix: "/a/", kind: wire["idempotent"], service: "alpha", timeout: 4, aim: 1}}
	key := "key1key1key1key1key1"
	for i, m := range f.nodes {
		w, err := f.startWorker(m, fmt.Sprintf("i-%d", i+1), 10*time.Millisecond)
		if err != nil {
			rec.line("%v", err)
			return cannotRun
		}
		w.keepBeating(ctx)
	}
	put, cancelPut := context.WithTimeout(ctx, 50*time.Second)
	defer cancelPut()
	var operator sync.WaitGroup
	operator.Add(1)
	go func() {
		defer operator.Done()
		status := f.put(put, configuration(1, 0, routes, []string{"alpha"}, []tenantTerms{{"tenant-1", key, "150", "150"}}))
		rec.line("first configuration: status %d", status)
	}()
	// Traffic starts 8 s after the machines.
	time.Sleep(8 * time.Second)
	sent, served := 0, 0
	for put.Err() == nil && served < 20 {
		id := newRequestID()
		a := f.send(f.nodes[sent%2], "GET", "alpha.example", "/a/x", key, id, "", 3*time.Second)
		rec.line("client at %s: request %s: %v", f.nodes[sent%2].name, id, a)
		sent++
		if a.err == nil && a.status == 200 {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	operator.Wait()
	rec.line("requests: %d sent, %d served", sent, served)
	if served == 0 {
		return broken
	}
	return held
}
