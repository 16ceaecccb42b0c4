package runner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// waitingRead returns a request of the platform to which an upstream responds after a time.
func waitingRead(id string, wait, deadline time.Duration) string {
	return fmt.Sprintf("GET /one/open/wait-%d HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n",
		wait.Milliseconds(), id, deadline.Milliseconds())
}

// pipelinedResults sends the requests on one connection and returns the responses. Each is the body of a 200, or what came instead.
func pipelinedResults(t *testing.T, addr netip.AddrPort, requests []string) []string {
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Error(err)
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, strings.Join(requests, ""))
	var results []string
	br := bufio.NewReader(c)
	for range requests {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return append(results, err.Error())
		}
		body, err := io.ReadAll(resp.Body)
		switch {
		case err != nil:
			return append(results, err.Error())
		case resp.StatusCode != http.StatusOK:
			results = append(results, fmt.Sprint(resp.StatusCode, " ", string(body)))
		default:
			results = append(results, string(body))
		}
	}
	return results
}

// TestStopCutsPipelinedRequests guards against a stopping node that cuts requests at which upstreams are at work, because the response
// to a request before them on their connection closes it.
func TestStopCutsPipelinedRequests(t *testing.T) {
	// The first response comes after the node has begun to close its servers, the second one later still.
	const first, second = leaveNoticeTime + 300*time.Millisecond, leaveNoticeTime + 600*time.Millisecond
	check := func(t *testing.T, n *Node, results [][]string, want int) {
		t.Helper()
		for i, got := range results {
			if len(got) != want || strings.Join(got, "") != strings.Repeat("hello", want) {
				t.Errorf("connection %d: got %q, want %d responses", i, got, want)
			}
		}
		if cut := n.callerServer.CutRequests(); cut != 0 {
			t.Errorf("%d requests are counted as cut", cut)
		}
	}
	t.Run("platform", func(t *testing.T) {
		f := startServingPlatformFleet(t)
		f.setTimeouts(5 * time.Second)
		results := make([][]string, 4)
		var group sync.WaitGroup
		for i := range results {
			group.Go(func() {
				request := func(wait time.Duration) string {
					return waitingRead(fmt.Sprintf("piped-%d-%d", i, wait.Milliseconds()), wait, 5*time.Second)
				}
				results[i] = pipelinedResults(t, f.nodes[0].node.CallerAddr(), []string{request(first), request(second)})
			})
		}
		for i := range results {
			waitUntil(t, "the upstream is at work", func() bool {
				return f.workers[1].runCount(fmt.Sprintf("piped-%d-%d", i, first.Milliseconds())) == 1 &&
					f.workers[1].runCount(fmt.Sprintf("piped-%d-%d", i, second.Milliseconds())) == 1
			})
		}
		_ = f.nodes[0].node.Stop()
		group.Wait()
		check(t, f.nodes[0].node, results, 2)
	})
	t.Run("native", func(t *testing.T) {
		f := startFleet(t, twoServiceFleet())
		var running atomic.Int64
		replaceResponder(t, f, "back", func(w http.ResponseWriter, r *http.Request) {
			if wait, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil {
				running.Add(1)
				defer running.Add(-1)
				time.Sleep(wait)
			}
			_, _ = io.WriteString(w, "hello")
		}, nil)
		node := f.Workers[0].Node
		// More requests than these may be over the capacity that the gate has learned.
		results := make([][]string, 1)
		var group sync.WaitGroup
		for i := range results {
			group.Go(func() {
				request := func(wait time.Duration) string {
					return fmt.Sprintf("GET /back/x?wait=%v HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nLavenderhub-Timeout: 5s\r\n\r\n",
						wait, f.Keys[0].Key)
				}
				results[i] = pipelinedResults(t, node.CallerAddr(), []string{request(first), request(second)})
			})
		}
		waitUntil(t, "the upstream is at work", func() bool { return running.Load() == int64(2*len(results)) })
		_ = node.Stop()
		group.Wait()
		check(t, node, results, 2)
	})
}

// TestStopOfUpstreamsNodeCutsPipelinedRequests guards against pipelined requests that are cut when the node beside their upstream
// stops.
func TestStopOfUpstreamsNodeCutsPipelinedRequests(t *testing.T) {
	const first, second = leaveNoticeTime + 300*time.Millisecond, leaveNoticeTime + 600*time.Millisecond
	f := startServingPlatformFleet(t)
	f.setTimeouts(5 * time.Second)
	var got []string
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		defer cancel()
		request := func(wait time.Duration) string {
			return waitingRead(fmt.Sprint("far-", wait.Milliseconds()), wait, 5*time.Second)
		}
		got = pipelinedResults(t, f.nodes[0].node.CallerAddr(), []string{request(first), request(second)})
	})
	waitUntil(t, "the upstream is at work", func() bool {
		return ctx.Err() != nil || f.workers[1].runCount(fmt.Sprint("far-", second.Milliseconds())) == 1
	})
	_ = f.nodes[1].node.Stop()
	group.Wait()
	if strings.Join(got, "|") != "hello|hello" {
		t.Errorf("got %q, want two responses", got)
	}
}

// TestEvacuationCutsPipelinedRequests guards against pipelined requests that are cut when the failure domain of their upstream is
// evacuated, at the upstream's node and at another one.
func TestEvacuationCutsPipelinedRequests(t *testing.T) {
	// By the first response the gates of the domain refuse requests.
	const first, second = 3 * time.Second, 3500 * time.Millisecond
	f := startDomainFleet(t,
		`"service":"svc1","timeoutS":1.5,"targetLatencyS":1,"priority":1,"maxAttempts":2,"public":true`,
		`"service":"svc1","timeoutS":8,"targetLatencyS":1,"priority":1,"maxAttempts":2,"public":true`)
	nodes := []int{1, 2}
	results := make([][]string, len(nodes))
	id := func(node int, wait time.Duration) string {
		return fmt.Sprintf("evacuated-%d-%d", node, wait.Milliseconds())
	}
	var group sync.WaitGroup
	for i, node := range nodes {
		group.Go(func() {
			request := func(wait time.Duration) string {
				return waitingRead(id(node, wait), wait, 8*time.Second)
			}
			results[i] = pipelinedResults(t, f.nodes[node].node.CallerAddr(), []string{request(first), request(second)})
		})
	}
	waitUntil(t, "the upstream is at work", func() bool {
		for _, node := range nodes {
			if f.workers[2].runCount(id(node, first))+f.workers[2].runCount(id(node, second)) < 2 {
				return false
			}
		}
		return true
	})
	f.evacuation(0, "za", "start", http.StatusOK)
	group.Wait()
	for i, got := range results {
		if strings.Join(got, "|") != "hello|hello" {
			t.Errorf("node %d: got %q, want two responses", nodes[i], got)
		}
	}
}
