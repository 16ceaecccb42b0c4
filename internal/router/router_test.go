package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

func worker(node, domain string, slots uint32) *schema.Worker {
	return &schema.Worker{
		Node: node, FailureDomain: domain, Region: "r", PeerAddress: "127.0.0.1:1000", Slots: slots,
		State: schema.UpstreamState_UPSTREAM_STATE_READY,
	}
}

// fourWorkers returns a router beside no worker of the service, whose own failure domain is a.
func fourWorkers(slots uint32) *Router {
	random := rand.New(rand.NewPCG(1, 2))
	r := New("entry", "a", "r", WithRandom(random.IntN))
	var list []*schema.Worker
	for _, domain := range []string{"a", "b", "c", "d"} {
		list = append(list, worker("n"+domain, domain, slots))
	}
	r.SetWorkers("s", list)
	return r
}

// play sends calls one after the other to workers of given latencies, in milliseconds, and counts where they go.
func play(r *Router, latency map[string]int, calls int) map[string]int {
	now := time.Unix(1000, 0)
	counts := map[string]int{}
	for range calls {
		t := r.Pick("s", nil, true, now)
		t.Start()
		now = now.Add(5 * time.Millisecond)
		t.Finish(Result{Latency: time.Duration(latency[t.Node]) * time.Millisecond, HasLoad: true}, now)
		counts[t.Node]++
	}
	return counts
}

// A worker of the own failure domain serves the calls while it costs callers nothing; one that is half as fast as the
// others does not.
func TestPickBySpeed(t *testing.T) {
	tests := []struct {
		name    string
		latency map[string]int
		near    func(share float64) bool
		want    string
	}{
		{"even", map[string]int{"na": 100, "nb": 100, "nc": 100, "nd": 100}, func(s float64) bool { return s > 0.9 }, "over 0.9"},
		{"a little slower", map[string]int{"na": 115, "nb": 100, "nc": 100, "nd": 100}, func(s float64) bool { return s > 0.9 }, "over 0.9"},
		{"half as fast", map[string]int{"na": 200, "nb": 100, "nc": 100, "nd": 100}, func(s float64) bool { return s < 0.2 }, "under 0.2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			counts := play(fourWorkers(50), tt.latency, 4000)
			if share := float64(counts["na"]) / 4000; !tt.near(share) {
				t.Errorf("the near worker got %.2f of the calls, want %s: %v", share, tt.want, counts)
			}
		})
	}
}

// A worker that was slow gets its share back within seconds after it has recovered.
func TestSlowWorkerComesBack(t *testing.T) {
	r := fourWorkers(50)
	play(r, map[string]int{"na": 1000, "nb": 100, "nc": 100, "nd": 100}, 1000)
	now := time.Unix(1000, 0).Add(20 * time.Second)
	counts := map[string]int{}
	for range 1000 {
		target := r.Pick("s", nil, true, now)
		target.Start()
		now = now.Add(5 * time.Millisecond)
		target.Finish(Result{Latency: 100 * time.Millisecond, HasLoad: true}, now)
		counts[target.Node]++
	}
	if counts["na"] < 500 {
		t.Errorf("the near worker got %d of 1,000 calls: %v", counts["na"], counts)
	}
}

func TestPickBounds(t *testing.T) {
	r := fourWorkers(50)
	now := time.Unix(1000, 0)
	var tried []*Target
	for range 4 {
		target := r.Pick("s", tried, false, now)
		if target == nil {
			t.Fatal("no worker although one was not tried")
		}
		tried = append(tried, target)
	}
	if target := r.Pick("s", tried, false, now); target != nil {
		t.Errorf("%s was tried before", target.Node)
	}
	if r.Pick("unknown", nil, true, now) != nil {
		t.Error("a worker of an unknown service")
	}
	r.SetWorkers("s", []*schema.Worker{worker("na", "a", 10)})
	for i := range 3 {
		if target := r.Pick("s", nil, false, now); target == nil || target.Node != "na" {
			t.Fatal(fmt.Sprint("pick ", i, " after the others left"))
		}
	}
}

// Three of four workers slow down by twelve times: while the fourth has room, calls go to the others only to learn whether
// they have recovered.
func TestPickAvoidsSlowWorkers(t *testing.T) {
	const calls = 4000
	for _, fast := range []string{"na", "nb", "nc", "nd"} {
		latency := map[string]int{"na": 480, "nb": 480, "nc": 480, "nd": 480}
		latency[fast] = 40
		counts := play(fourWorkers(20), latency, calls)
		if slow := calls - counts[fast]; slow > calls/20 {
			t.Errorf("%d of %d calls went to slow workers, want at most one in twenty: %v", slow, calls, counts)
		}
	}
}

// Workers of nodes that went silent serve calls only while no other worker is ready.
func TestPickSuspectsLast(t *testing.T) {
	now := time.Unix(1000, 0)
	r := fourWorkers(20)
	set := func(states ...schema.UpstreamState) {
		var list []*schema.Worker
		for i, state := range states {
			w := worker(fmt.Sprintf("n%c", 'a'+i), string(rune('a'+i)), 20)
			w.State = state
			list = append(list, w)
		}
		r.SetWorkers("s", list)
	}
	const ready, suspect = schema.UpstreamState_UPSTREAM_STATE_READY, schema.UpstreamState_UPSTREAM_STATE_SUSPECT
	set(suspect, suspect, ready)
	for range 50 {
		if got := r.Pick("s", nil, true, now); got == nil || got.Node != "nc" {
			t.Fatalf("picked %v beside a ready worker", got)
		}
	}
	set(suspect, schema.UpstreamState_UPSTREAM_STATE_DRAINING)
	if got := r.Pick("s", nil, true, now); got == nil || got.Node != "na" {
		t.Errorf("picked %v, want the worker of the silent node", got)
	}
}

// The near worker breaks off four of ten answers, as fast as it serves the others: most calls go elsewhere, and come back
// once it is well.
func TestPickAvoidsFaultyWorker(t *testing.T) {
	r := fourWorkers(20)
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1000, 0)
	share := func(faults float64, result Result) float64 {
		const calls = 4000
		near := 0
		for range calls {
			target := r.Pick("s", nil, true, now)
			target.Start()
			now = now.Add(5 * time.Millisecond)
			res := Result{Latency: 40 * time.Millisecond, HasLoad: true}
			if target.Node == "na" {
				near++
				if random.Float64() < faults {
					res = result
				}
			}
			target.Finish(res, now)
		}
		return float64(near) / calls
	}
	if got := share(0.4, Result{Failed: true, HasLoad: true}); got > 0.2 {
		t.Errorf("%.2f of the calls went to the worker that breaks answers off, want 0.2 at most", got)
	}
	if got := share(0, Result{}); got < 0.7 {
		t.Errorf("%.2f of the calls went to the near worker once it was well, want 0.7 at least", got)
	}
	if got := share(0.4, Result{Refused: true, Declined: true, HasLoad: true}); got > 0.2 {
		t.Errorf("%.2f of the calls went to the worker that declines them, want 0.2 at most", got)
	}
}
