package admitter

import (
	"context"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// TestColdBound guards against an upstream that crashes because it gets more requests than it takes while it is cold. It checks the
// number of admissions in any second, for callers that send many times that number.
func TestColdBound(t *testing.T) {
	fleet := ColdLimit{Rate: 11, Excess: 1.5, Slack: 8}
	tests := []struct {
		name  string
		limit ColdLimit
		// interval is the time between two arrivals.
		interval time.Duration
		rank     Rank
		rerouted bool
		// warmFirst is set if the upstream was warm before.
		warmFirst bool
		// bound is the greatest number of requests in any second, and least the smallest number in eight seconds.
		bound, least int
	}{
		{"overload", fleet, time.Millisecond, 1 << 20, false, false, 24, 80},
		{"overload of rerouted calls", fleet, time.Millisecond, 1 << 20, true, false, 24, 80},
		{"nested calls", fleet, 2 * time.Millisecond, InProgress, true, false, 24, 80},
		{"cold again", fleet, time.Millisecond, 1 << 20, false, true, 24, 80},
		{"about the rate", fleet, 80 * time.Millisecond, 1 << 20, false, false, 24, 75},
		{"no excess and no slack", ColdLimit{Rate: 11, Excess: 1}, time.Millisecond, 1 << 20, false, false, 11, 50},
		{"no settings", ColdLimit{Rate: 11}, time.Millisecond, 1 << 20, false, false, 11, 50},
		{"slack only", ColdLimit{Rate: 1, Excess: 1, Slack: 3}, time.Millisecond, 1 << 20, false, false, 4, 4},
		{"largest rate", ColdLimit{Rate: math.MaxFloat64, Excess: 1.5, Slack: 8}, time.Millisecond, 1 << 20, false, false, 1001, 7999},
		{"large rate without excess", ColdLimit{Rate: 1.7e308}, time.Millisecond, 1 << 20, false, false, 1001, 7999},
		{"large rate, cold again", ColdLimit{Rate: 1.7e308, Excess: 1.5}, time.Millisecond, 1 << 20, false, true, 1001, 7999},
		{"smallest rate", ColdLimit{Rate: math.SmallestNonzeroFloat64, Excess: 1}, time.Millisecond, 1 << 20, false, false, 1, 0},
		{"bound below one request", ColdLimit{Rate: 0.5, Excess: 1}, time.Millisecond, 1 << 20, false, false, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(100, timer.New(), nil, WithStaticLimit(), WithColdLimit(func() ColdLimit { return tt.limit }))
				if tt.warmFirst {
					g.SetCold(0)
					time.Sleep(time.Second)
				}
				g.SetCold(20 * time.Second)
				admitted := admitAll(t, g, 8*time.Second, tt.interval, Request{Rank: tt.rank, Rerouted: tt.rerouted})
				if len(admitted) < tt.least {
					t.Errorf("%d requests in 8 s, want at least %d", len(admitted), tt.least)
				}
				if most := mostInAnySecond(admitted); most > tt.bound {
					t.Errorf("%d requests in one second, want at most %d", most, tt.bound)
				}
			})
		})
	}
}

// admitAll sends requests of 20 ms at a constant interval, and returns the times of those admitted.
func admitAll(t *testing.T, g *Gate, d, interval time.Duration, req Request) []time.Time {
	var mu sync.Mutex
	var admitted []time.Time
	var group sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		group.Go(func() {
			req := req
			req.Deadline = time.Now().Add(2 * time.Second)
			ticket, decision := g.Admit(t.Context(), req)
			if decision != Admitted {
				return
			}
			mu.Lock()
			admitted = append(admitted, time.Now())
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			ticket.Done(Sample{Total: 20 * time.Millisecond, Self: 20 * time.Millisecond})
		})
	}
	group.Wait()
	slices.SortFunc(admitted, time.Time.Compare)
	return admitted
}

func mostInAnySecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdTime guards against a false or missing report that keeps an upstream out of service for good, and against an upstream
// that gets its full load before it has told whether it is cold.
func TestColdTime(t *testing.T) {
	limit := func() ColdLimit { return ColdLimit{Rate: 11, Excess: 1.5, Slack: 8} }
	set := func(d time.Duration) func(*Gate) { return func(g *Gate) { g.SetCold(d) } }
	tests := []struct {
		name   string
		option Option
		then   func(*Gate)
		want   time.Duration
	}{
		{"not told yet", WithColdLimit(limit), func(*Gate) {}, MaxCold},
		{"told", WithColdLimit(limit), set(3 * time.Second), 3 * time.Second},
		{"warm", WithColdLimit(limit), set(0), 0},
		{"negative", WithColdLimit(limit), set(-time.Hour), 0},
		{"huge", WithColdLimit(limit), set(1 << 62), MaxCold},
		{"service without a cold rate", WithColdLimit(func() ColdLimit { return ColdLimit{Excess: 1.5, Slack: 8} }), set(time.Second), 0},
		{"no bound", func(*Gate) {}, set(time.Second), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(10, timer.New(), nil, WithStaticLimit(), tt.option)
				tt.then(g)
				if got := g.ColdLeft(); got != tt.want {
					t.Errorf("cold for %v, want %v", got, tt.want)
				}
				time.Sleep(MaxCold)
				if got := g.ColdLeft(); got != 0 {
					t.Errorf("cold for %v after the longest time", got)
				}
			})
		})
	}
}

// TestColdRefusal guards against calls that wait in vain at a cold upstream, and against a level that refuses calls to the warm
// upstreams of the service.
func TestColdRefusal(t *testing.T) {
	tests := []struct {
		name string
		req  Request
		// want is the decision on a call that comes when the tokens are used up, after the given wait.
		want Decision
		wait time.Duration
	}{
		{"first upstream", Request{Rank: 1 << 20, MaxWait: 200 * time.Millisecond}, Admitted, 91 * time.Millisecond},
		{"nested call refused elsewhere", Request{Rank: InProgress, Rerouted: true}, Admitted, 91 * time.Millisecond},
		{"short of time", Request{Rank: InProgress, Rerouted: true, Deadline: time.Unix(1, 0)}, Cold, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limit := func() ColdLimit { return ColdLimit{Rate: 11, Excess: 1.5, Slack: 8} }
				g := New(100, timer.New(), nil, WithStaticLimit(), WithColdLimit(limit))
				time.Sleep(5 * time.Second)
				for range 3 {
					if _, d := g.Admit(t.Context(), Request{Rank: 1 << 20, Deadline: time.Now().Add(time.Second)}); d != Admitted {
						t.Fatalf("decision %v", d)
					}
				}
				start, req := time.Now(), tt.req
				left := 4 * time.Second
				if !req.Deadline.IsZero() {
					left = 60 * time.Millisecond
				}
				req.Deadline = start.Add(left)
				if _, d := g.Admit(context.Background(), req); d != tt.want || time.Since(start).Round(time.Millisecond) != tt.wait {
					t.Errorf("decision %v after %v, want %v after %v", d, time.Since(start), tt.want, tt.wait)
				}
				refused := 0
				for range 200 {
					if _, d := g.Admit(t.Context(), Request{Rank: 1, Deadline: start.Add(10 * time.Second), MaxWait: time.Millisecond}); d == Cold {
						refused++
					}
				}
				if r := g.Report(); refused == 0 || r.Level != 0 {
					t.Errorf("%d calls refused, level %d; want some and 0", refused, r.Level)
				}
			})
		})
	}
}

// TestWarmUpstreamAdmitsWaitingCalls checks that calls that wait at a cold upstream start as soon as it reports to be warm.
func TestWarmUpstreamAdmitsWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(100, timer.New(), nil, WithStaticLimit(), WithColdLimit(func() ColdLimit { return ColdLimit{Rate: 1, Excess: 1, Slack: 1} }))
		g.SetCold(0)
		g.SetCold(time.Minute)
		decisions := make(chan Decision, 1)
		var group sync.WaitGroup
		group.Go(func() {
			_, d := g.Admit(t.Context(), Request{Rank: InProgress, Rerouted: true, Deadline: time.Now().Add(10 * time.Second)})
			decisions <- d
		})
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		g.SetCold(0)
		if d := <-decisions; d != Admitted || time.Since(start) > 0 {
			t.Errorf("decision %v after %v, want it admitted at once", d, time.Since(start))
		}
		group.Wait()
	})
}
