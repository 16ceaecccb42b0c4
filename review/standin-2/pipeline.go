package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// pipelineCase stops the node of clients that each sent two idempotent requests on one connection, and counts the requests that a
// worker ran and that got no complete answer.
func pipelineCase(root string, rec *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	f, err := newFleet(root, rec, []string{"alpha", "beta", "beta"})
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
	for i, m := range f.nodes {
		w, err := f.startWorker(m, fmt.Sprintf("i-%d", i+1), 0)
		if err != nil {
			rec.line("%v", err)
			return cannotRun
		}
		w.answer = func(_ http.ResponseWriter, r *http.Request) bool {
			// The target tells how long the work takes.
			ms := 0
			_, _ = fmt.Sscanf(r.URL.Path, "/b/%d", &ms)
			select {
			case <-time.After(time.Duration(ms) * time.Millisecond):
			case <-r.Context().Done():
				f.record.line("worker %s: request %s is broken off", w.id, r.Header.Get(wire["requestId"]))
				return true
			}
			return false
		}
		w.keepBeating(ctx)
	}
	routes := []routeTerms{{name: "r-b", host: "beta.example", prefix: "/b/", kind: wire["idempotent"], service: "beta", timeout: 6, aim: 5}}
	key := "key1key1key1key1key1"
	if f.put(ctx, configuration(1, 0, routes, []string{"alpha", "beta"}, []tenantTerms{{"tenant-1", key, "150", "150"}})) != 200 {
		return cannotRun
	}
	if err := f.awaitReady(ctx, f.nodes...); err != nil {
		rec.line("%v", err)
		return cannotRun
	}
	time.Sleep(3 * time.Second)
	const clients = 6
	lost := make(chan int, clients)
	for range clients {
		ids := []string{newRequestID(), newRequestID()}
		go func() { lost <- f.sendPair(f.nodes[0], key, ids, []int{3800, 4100}) }()
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		f.end(f.nodes[0], syscall.SIGTERM)
		rec.line("the process of %s has ended", f.nodes[0].name)
	}
	total := 0
	for range clients {
		total += <-lost
	}
	rec.line("requests that were passed on to a worker and got no complete answer: %d of %d", total, 2*clients)
	if total > 0 {
		return broken
	}
	return held
}

// sendPair sends two requests on one connection and returns how many of them got no complete answer.
func (f *fleet) sendPair(m *machine, key string, ids []string, work []int) int {
	start := time.Now()
	c, err := net.DialTimeout("tcp", f.addr(m, outboundPort), time.Second)
	if err != nil {
		f.record.line("client: %v", err)
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(start.Add(6 * time.Second))
	var b strings.Builder
	for i, id := range ids {
		fmt.Fprintf(&b, "GET /b/%d HTTP/1.1\r\nHost: beta.example\r\n%s: %s\r\n%s: 6000\r\nAuthorization: Bearer %s\r\n\r\n", work[i],
			wire["requestId"], id, wire["deadline"], key)
	}
	if _, err := c.Write([]byte(b.String())); err != nil {
		f.record.line("client: %v", err)
		return 0
	}
	f.record.line("client: sends requests %v on one connection", ids)
	r := bufio.NewReader(c)
	for i, id := range ids {
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			f.record.line("client: request %s: no answer: %v", id, err)
			return len(ids) - i
		}
		f.record.line("client: request %s: %d, stamp %q, connection closes: %v", id, resp.StatusCode, resp.Header.Get(wire["stamp"]), resp.Close)
	}
	return 0
}
