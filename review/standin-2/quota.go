package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// quotaCase changes the quota of a tenant to a figure that stands for no limit, and watches whether processes of the control hosts
// end by themselves.
func quotaCase(root string, rec *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	f, err := newFleet(root, rec, []string{"alpha", "alpha", "beta", "beta"})
	if err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	for i, m := range f.nodes {
		w, err := f.startWorker(m, fmt.Sprintf("i-%d", i+1), 20*time.Millisecond)
		if err != nil {
			rec.line("%v", err)
			return cannotRun
		}
		w.keepBeating(ctx)
	}
	routes := []routeTerms{
		{name: "r-a", host: "alpha.example", prefix: "/a/", kind: wire["idempotent"], service: "alpha", timeout: 4, aim: 1},
		{name: "r-b", host: "beta.example", prefix: "/b/", kind: wire["idempotent"], service: "beta", timeout: 4, aim: 1},
	}
	services := []string{"alpha", "beta"}
	tenants := []tenantTerms{{"tenant-1", "key1key1key1key1key1", "150", "150"}, {"tenant-2", "key2key2key2key2key2", "150", "150"}}
	if f.put(ctx, configuration(1, 0, routes, services, tenants)) != 200 {
		return cannotRun
	}
	if err := f.awaitReady(ctx, f.nodes...); err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	time.Sleep(2 * time.Second)
	stop := time.Now().Add(75 * time.Second)
	var mu sync.Mutex
	type second struct{ sent, served int }
	seconds := map[int]*second{}
	begun := time.Now()
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			m, t := f.nodes[i%4], tenants[i/4]
			host, target := "alpha.example", "/a/x"
			if i%2 == 1 {
				host, target = "beta.example", "/b/x"
			}
			for time.Now().Before(stop) {
				at := int(time.Since(begun).Seconds())
				a := f.send(m, "GET", host, target, t.key, newRequestID(), "", 3*time.Second)
				mu.Lock()
				if seconds[at] == nil {
					seconds[at] = &second{}
				}
				seconds[at].sent++
				if a.err == nil && a.status == 200 {
					seconds[at].served++
				}
				mu.Unlock()
				// Clients come in groups: some seconds with many requests, some with few.
				pause := 20 * time.Millisecond
				if at%4 >= 2 {
					pause = 400 * time.Millisecond
				}
				time.Sleep(pause)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	version, quota := 2, "300"
	if trouble {
		quota = quotaFigure
	}
	tenants[0].rate, tenants[0].burst = quota, quota
	rec.line("operator: the quota of tenant-1 becomes %s", quota)
	rec.line("operator: status %d", f.put(ctx, configuration(version, version-1, routes, services, tenants)))
	clients.Wait()
	for i := range 75 {
		if s := seconds[i]; s != nil {
			rec.line("second %d of the clients: %d sent, %d served", i, s.sent, s.served)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := 0
	for name, n := range f.ends {
		rec.line("processes of %s that ended by themselves: %d", name, n)
		if n >= 3 {
			hosts++
		}
	}
	if hosts >= 2 {
		return broken
	}
	return held
}

// quotaFigure is the greatest integer that every JSON number can hold exactly.
const quotaFigure = "9007199254740991"
