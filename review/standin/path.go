package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["path"] = runPath }

// runPath checks that workers get the path that the client sent, also one that begins with two slashes.
func runPath(layOut func(int, ...string) (*fleet, error), rec *record, trouble bool) (bool, error) {
	f, err := layOut(4, "front", "front", "back")
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	sent := map[string]string{}
	changed := 0
	for i, m := range f.nodes {
		w, err := newWorker(m, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return false, err
		}
		defer w.close()
		w.onRun = func(w *worker, r *http.Request, _ []byte) {
			mu.Lock()
			defer mu.Unlock()
			id := r.Header.Get(names.RequestID)
			rec.add("worker %s runs %s with %s", w.id, id, r.RequestURI)
			if r.RequestURI != sent[id] {
				changed++
			}
		}
		w.beatAlways()
	}
	o := newOperator(f)
	doc := configuration(1, 0, []string{"front", "back"}, []routeSpec{{"r-a", "/", "idempotent", "front"}})
	if _, ok := o.replace(doc, "r1", 15*time.Second); !ok {
		return false, errNoStart
	}
	time.Sleep(8 * time.Second)
	served := 0
	for n := range 30 {
		target := fmt.Sprintf("/words/%%E0%%A6%%95%%20%d?lang=bn%%2Den", n)
		if trouble {
			target = "/" + target
		}
		id := fmt.Sprintf("q%06d", nextRequest.Add(1))
		mu.Lock()
		sent[id] = target
		mu.Unlock()
		status := sendTarget(f.nodes[n%len(f.nodes)], id, target)
		rec.add("client sent %s with %s, answered %d", id, target, status)
		if status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		return false, errNoStart
	}
	rec.add("%d of 30 requests served, %d run with another path", served, changed)
	return changed > 0, nil
}

// sendTarget sends a request with the exact target and returns the status, or 0.
func sendTarget(m *machine, id, target string) int {
	conn, err := net.DialTimeout("tcp", m.outboundAddr(), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\nAuthorization: Bearer %s\r\n\r\n", target, requestHost, names.RequestID, id,
		names.Deadline, key)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
