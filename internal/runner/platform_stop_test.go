package runner

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/internal/aggregator"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
)

// TestStoppingNodeCutsLateRequest sends requests to a node that stops while its upstream is still at work.
func TestStoppingNodeCutsLateRequest(t *testing.T) {
	f := startServingPlatformFleet(t)
	f.setTimeouts(4 * time.Second)
	node := f.nodes[0].node
	node.cfg.StopLimit = durationpb.New(leaveNoticeTime + 1500*time.Millisecond)
	var group sync.WaitGroup
	group.Go(func() { f.send(0, http.MethodGet, "/zero/unresponsive", "key-a", "long", "") })
	waitUntil(t, "the upstream is at work", func() bool { return f.workers[0].runCount("long") == 1 })
	group.Go(func() { _ = node.Stop() })
	waitUntil(t, "the upstream drains", func() bool {
		return f.send(1, http.MethodGet, "/zero/x", "key-a", "drained", "").status == http.StatusServiceUnavailable
	})
	short := f.send(0, http.MethodPost, "/one/x", "key-a", "short", "", "X-Deadline-Ms", "600")
	if short.status != http.StatusOK {
		t.Errorf("a request that ends before the node's stop: %d %v %s, want 200", short.status, short.err, short.body)
	}
	late := f.send(0, http.MethodPost, "/one/unresponsive", "key-a", "late", "")
	if ran := f.workers[1].runCount("late"); late.status != http.StatusServiceUnavailable || ran != 0 || late.header.Get("Retry-After") == "" {
		t.Errorf("a request that outlasts the node's stop: %d %v %s, ran %d times; want 503 with a Retry-After, not run",
			late.status, late.err, late.body, ran)
	}
	group.Wait()
}

// setTimeouts sets the timeout of all routes, and waits until it is in force at all nodes.
func (f *platformFleet) setTimeouts(d time.Duration) {
	f.configure(`"timeoutS":1.5`, fmt.Sprintf(`"timeoutS":%v`, d.Seconds()))
	for _, node := range f.nodes {
		waitUntil(f.t, "the timeouts are in force", func() bool {
			return node.node.syncer.View().HostRoute("a.example", "/zero/x").Choose(0).Timeout == d
		})
	}
}

// stopSoon starts the stop of a node whose upstream is at work, and returns once the node refuses requests that would outlast it. It
// returns the time at which requests in progress are answered. Calls of other nodes may still be in progress at the end.
func (f *platformFleet) stopSoon(group *sync.WaitGroup, otherNodesCalls int64) time.Time {
	const limit = leaveNoticeTime + 1500*time.Millisecond
	node := f.nodes[0].node
	node.cfg.StopLimit = durationpb.New(limit)
	end := time.Now().Add(limit - sendMargin)
	group.Go(func() {
		// The servers may take longer to close than the stop's limit, which cuts nothing.
		_ = node.Stop()
		if n := node.forwarder.Active(); n > otherNodesCalls {
			f.t.Errorf("%d requests are in progress at the end of the stop, want at most %d", n, otherNodesCalls)
		}
	})
	waitUntil(f.t, "the upstream drains", func() bool {
		return f.send(1, http.MethodGet, "/zero/x", "key-a", "drained", "").status == http.StatusServiceUnavailable
	})
	return end
}

// TestStopEndsRequestsWithoutAnswer guards against a planned stop at whose end requests in progress are cut without an answer,
// among them requests that may not be repeated.
func TestStopEndsRequestsWithoutAnswer(t *testing.T) {
	f := startServingPlatformFleet(t)
	f.setTimeouts(8 * time.Second)
	targets := []string{"/zero/unresponsive", "/one/unresponsive", "/one/open/unresponsive"}
	got := make([]response, len(targets))
	var group sync.WaitGroup
	for i, target := range targets {
		group.Go(func() {
			got[i] = f.send(0, http.MethodPost, target, "key-a", fmt.Sprintf("long-%d", i), "order", "X-Deadline-Ms", "8000")
		})
	}
	waitUntil(t, "the upstreams are at work", func() bool {
		return f.workers[0].runCount("long-0") == 1 && f.workers[1].runCount("long-1") == 1 && f.workers[1].runCount("long-2") == 1
	})
	f.stopSoon(&group, 0)
	group.Wait()
	for i, r := range got {
		if r.err != nil || r.status != http.StatusGatewayTimeout {
			t.Errorf("%s: status %d, error %v; want 504", targets[i], r.status, r.err)
		}
	}
}

// TestStoppingNodePassesOnLateNestedCall guards against calls of the local upstream that are passed on shortly before the end of a
// stop, and cut by it at their upstream.
func TestStoppingNodePassesOnLateNestedCall(t *testing.T) {
	f := startServingPlatformFleet(t)
	f.setTimeouts(8 * time.Second)
	nested := func(id string) response {
		return f.send(0, http.MethodGet, "/one/open/slow", "", id, "", "X-Deadline-Ms", "8000")
	}
	var calls sync.WaitGroup
	for i := range 24 {
		calls.Go(func() { nested(fmt.Sprintf("usual-%d", i)) })
	}
	calls.Wait()
	var group sync.WaitGroup
	group.Go(func() { f.send(0, http.MethodGet, "/zero/unresponsive", "key-a", "long", "", "X-Deadline-Ms", "8000") })
	waitUntil(t, "the upstream is at work", func() bool { return f.workers[0].runCount("long") == 1 })
	end := f.stopSoon(&group, 0)
	time.Sleep(time.Until(end.Add(-slowResponse / 2)))
	late := nested("late")
	if ran := f.workers[1].runCount("late"); late.status != http.StatusServiceUnavailable || ran != 0 {
		t.Errorf("status %d, error %v, ran %d times; want 503, not run", late.status, late.err, ran)
	}
	group.Wait()
}

// TestStoppingNodePassesOnRequestAfterWait guards against requests that wait for a token or a claim while the stop begins, are passed
// on after it and cut at its end.
func TestStoppingNodePassesOnRequestAfterWait(t *testing.T) {
	f := startServingPlatformFleet(t)
	f.setTimeouts(4 * time.Second)
	node := f.nodes[0].node
	node.forwarder.Control.Tokens.Draw = func(context.Context, aggregator.Request) limiter.Decision {
		node.forwarder.RefuseBeyond(time.Now().Add(time.Second))
		return limiter.Admitted
	}
	got := f.send(0, http.MethodPost, "/one/x", "key-a", "waited", "order")
	if ran := f.workers[1].runCount("waited"); got.status != http.StatusServiceUnavailable || ran != 0 || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, error %v, ran %d times; want 503 with a Retry-After, not run", got.status, got.err, ran)
	}
}

// TestStopOfUpstreamsNodeLeavesCallerWithoutAnswer guards against callers of other nodes that get no answer, or whose request runs
// again, because the node beside the upstream ends its stop while the upstream is at work.
func TestStopOfUpstreamsNodeLeavesCallerWithoutAnswer(t *testing.T) {
	f := startServingPlatformFleet(t)
	f.setTimeouts(8 * time.Second)
	methods := []string{http.MethodPost, http.MethodGet}
	got := make([]response, len(methods))
	var group sync.WaitGroup
	for i, method := range methods {
		group.Go(func() {
			got[i] = f.send(1, method, "/zero/unresponsive", "key-a", "elsewhere-"+method, "", "X-Deadline-Ms", "8000")
		})
	}
	waitUntil(t, "the upstream is at work", func() bool {
		return f.workers[0].runCount("elsewhere-POST") == 1 && f.workers[0].runCount("elsewhere-GET") == 1
	})
	f.stopSoon(&group, int64(len(methods)))
	group.Wait()
	for i, r := range got {
		if r.err != nil || r.status != http.StatusBadGateway {
			t.Errorf("%s: status %d, error %v; want 502", methods[i], r.status, r.err)
		}
		if ran := f.workers[0].runCount("elsewhere-" + methods[i]); ran != 1 {
			t.Errorf("%s ran %d times", methods[i], ran)
		}
	}
}
