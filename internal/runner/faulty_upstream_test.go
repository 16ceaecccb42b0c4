package runner

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/responder"
	"github.com/lavenderhub/lavenderhub/schema"
)

// TestFaultyUpstreamFailsCalls has one of four upstreams answer 500 to all requests although it is announced as ready. The
// callers of all nodes must soon get successes, without retries beyond the budget, and the upstream must be used again once it
// has recovered. When all upstreams fail, their breakers must not make nodes refuse calls.
func TestFaultyUpstreamFailsCalls(t *testing.T) {
	cfg := twoServiceFleet()
	cfg.Services = []*schema.FleetService{
		{Name: "front", Workers: []*schema.FleetWorker{
			workerSettings("d1", 50, time.Millisecond), workerSettings("d1", 50, time.Millisecond),
			workerSettings("d2", 50, time.Millisecond), workerSettings("d2", 50, time.Millisecond),
		}},
		// These nodes have no upstream of the service, so that all of their calls go to other nodes.
		{Name: "entry", Workers: []*schema.FleetWorker{
			workerSettings("d3", 50, time.Millisecond), workerSettings("d3", 50, time.Millisecond),
		}},
	}
	f := startFleet(t, cfg, WithBaseline(Baseline{Gate: []admitter.Option{admitter.WithAdaptiveMode(admitter.AdaptiveOn)}}))
	upstreams := f.Workers[:4]
	var failing [4]atomic.Bool
	var served [4]atomic.Int64
	for i, w := range upstreams {
		if err := w.Responder.Stop(); err != nil {
			t.Fatal(err)
		}
		w.responderConfig.Handler = func(w http.ResponseWriter, r *http.Request) {
			if failing[i].Load() {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			served[i].Add(1)
			_, _ = w.Write(responder.Payload("front", r.URL.Query().Get("id"), 512))
		}
		if err := f.StartResponder(w); err != nil {
			t.Fatal(err)
		}
	}
	const faulty = 2
	// sendFromAllNodes sends calls at all nodes, half of them not idempotent, and returns the number of failures. No caller may
	// get the refusal of a suspended upstream.
	sendFromAllNodes := func(calls int) int {
		var failed atomic.Int64
		var group sync.WaitGroup
		for i, w := range f.Workers {
			group.Go(func() {
				for n := range calls {
					method := []string{http.MethodGet, http.MethodPost}[n%2]
					r := send(t.Context(), w, f.Keys[i%2].Key, method, fmt.Sprintf("/front/a?id=%d", n), "")
					if r.status != http.StatusOK {
						failed.Add(1)
					}
					if reason := r.header.Get("Lavenderhub-Reason"); reason == "suspended" {
						t.Errorf("a call was refused as %s", reason)
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
		group.Wait()
		return int(failed.Load())
	}
	counter := func(name string) int64 { return metrics.GetOrRegisterCounter(name, f.Registry).Count() }
	waitUntil(t, "the upstream that will fail serves calls", func() bool {
		sendFromAllNodes(2)
		return served[faulty].Load() > 0
	})
	retriesBefore := counter("retries")
	failing[faulty].Store(true)
	waitUntil(t, "the breaker opens", func() bool {
		sendFromAllNodes(2)
		return counter("breaker.opened") > 0
	})
	const calls = 100
	failed := sendFromAllNodes(calls)
	t.Logf("failed %d of %d, retries %d, reroutes %d, refusals %d, opened %d", failed, calls*len(f.Workers),
		counter("retries")-retriesBefore, counter("reroutes"), counter("refusals.suspended"), counter("breaker.opened"))
	if failed > calls*len(f.Workers)/20 {
		t.Errorf("%d of %d calls failed after the breaker had opened", failed, calls*len(f.Workers))
	}
	if retries := counter("retries") - retriesBefore; retries > calls*int64(len(f.Workers))/5 {
		t.Errorf("%d retries for %d calls", retries, calls*len(f.Workers))
	}
	failing[faulty].Store(false)
	servedBefore := served[faulty].Load()
	waitUntil(t, "the breaker closes", func() bool {
		sendFromAllNodes(2)
		return served[faulty].Load() > servedBefore && upstreams[faulty].announcer.Suspended() == 0
	})
	for i := range failing {
		failing[i].Store(true)
	}
	waitUntil(t, "the breakers of most upstreams open", func() bool {
		sendFromAllNodes(2)
		suspended := 0
		for _, w := range upstreams {
			suspended += w.announcer.Suspended()
		}
		return suspended > len(upstreams)/2
	})
	sendFromAllNodes(calls / 2)
	for i := range failing {
		failing[i].Store(false)
	}
	waitUntil(t, "all breakers close", func() bool {
		sendFromAllNodes(2)
		return !slices.ContainsFunc(upstreams, func(w *FleetWorker) bool { return w.announcer.Suspended() > 0 })
	})
}
