package router

import (
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

// A suspended worker that still gets calls costs each a reroute. If most workers were avoided, the others would be overloaded.
func TestPickAvoidsSuspendedWorkers(t *testing.T) {
	tests := []struct {
		name      string
		suspended []string
		// ejected fail five calls in a row.
		ejected []string
		after   time.Duration
		// avoided lists the workers that get no calls.
		avoided []string
	}{
		{name: "one", suspended: []string{"nb"}, avoided: []string{"nb"}},
		{name: "half", suspended: []string{"na", "nb"}},
		{name: "most", suspended: []string{"na", "nb", "nc"}},
		{name: "all", suspended: []string{"na", "nb", "nc", "nd"}},
		{name: "half, one of them ejected", suspended: []string{"na"}, ejected: []string{"nb"}, avoided: []string{"na", "nb"}},
		{name: "most, two of them ejected", suspended: []string{"na"}, ejected: []string{"nb", "nc"}},
		{name: "the time is over", suspended: []string{"nb"}, after: 400 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, now := fourWorkers(50), time.Unix(1000, 0)
			byNode := map[string]*Target{}
			for _, target := range r.targets("s") {
				byNode[target.Node] = target
			}
			for _, node := range tt.suspended {
				byNode[node].Suspend(400*time.Millisecond, now)
			}
			for _, node := range tt.ejected {
				for range ejectAfter {
					byNode[node].Start()
					byNode[node].Finish(Result{Failed: true}, now)
				}
			}
			now = now.Add(tt.after)
			counts := map[string]int{}
			for range 400 {
				// Uniform choice, so that every worker that is not avoided gets calls.
				candidates := r.candidates("s", nil, now)
				counts[candidates[r.random(len(candidates))].Node]++
			}
			want := 4 - len(tt.avoided)
			if len(counts) != want {
				t.Errorf("%d workers got calls, want %d: %v", len(counts), want, counts)
			}
			for _, node := range tt.avoided {
				if counts[node] > 0 {
					t.Errorf("%s got %d calls", node, counts[node])
				}
			}
		})
	}
}

// The suspension of an upstream must not outlive its instance, nor a wrong report keep a worker out of use.
func TestSuspensionEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New("entry", "a", "r")
	set := func(instance string) *Target {
		w := worker("na", "a", 10)
		w.Instance = instance
		r.SetWorkers("s", []*schema.Worker{w})
		return r.targets("s")[0]
	}
	set("first").Suspend(time.Second, now)
	if !set("first").IsSuspended(now) {
		t.Error("an update of the same instance ends the suspension")
	}
	if set("second").IsSuspended(now) {
		t.Error("the suspension outlives the instance")
	}
	target := set("second")
	target.Suspend(time.Hour, now)
	if target.IsSuspended(now.Add(maxSuspension)) {
		t.Errorf("a worker is suspended for over %v", maxSuspension)
	}
}
