package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

// TestPickEvacuated guards against calls to workers of an evacuated failure domain.
func TestPickEvacuated(t *testing.T) {
	tests := []struct {
		name    string
		domains []string
		want    string
	}{
		{"near domain", []string{"a"}, "bcd"},
		{"all but one", []string{"a", "b", "d"}, "c"},
		{"all", []string{"a", "b", "c", "d"}, ""},
		{"restored", nil, "abcd"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := fourWorkers(10)
			r.SetEvacuated(map[string]bool{"a": true, "b": true})
			domains := map[string]bool{}
			for _, d := range tt.domains {
				domains[d] = true
			}
			r.SetEvacuated(domains)
			if n := r.ReadyWorkers("s"); n != len(tt.want) {
				t.Errorf("%d workers ready, want %d", n, len(tt.want))
			}
			for range 200 {
				var tried []*Target
				for target := r.Pick("s", nil, true, time.Unix(1000, 0)); target != nil; target = r.Pick("s", tried, true, time.Unix(1000, 0)) {
					if domains[target.Domain] {
						t.Fatalf("a call goes to the evacuated domain %s", target.Domain)
					}
					tried = append(tried, target)
				}
				if (len(tried) == 0) != (tt.want == "") {
					t.Fatalf("%d workers, want some of %q", len(tried), tt.want)
				}
			}
		})
	}
}

// TestEvacuatedDomainsOfLargeService guards against a node that finds no worker of a service in the domains left, because all of the
// workers that it had chosen are in evacuated ones.
func TestEvacuatedDomainsOfLargeService(t *testing.T) {
	tests := []struct {
		domains []string
		// want is the number of workers that get calls.
		want int
	}{
		{nil, subsetSize},
		{[]string{"a"}, subsetSize},
		{[]string{"a", "b"}, 18},
		{[]string{"b", "c"}, 18},
		{[]string{"a", "b", "c"}, 0},
		{nil, subsetSize},
	}
	r := New("entry", "a", "r")
	var workers []*schema.Worker
	for _, domain := range []string{"a", "b", "c"} {
		for i := range 18 {
			workers = append(workers, worker(fmt.Sprintf("n%s%d", domain, i), domain, 10))
		}
	}
	r.SetWorkers("s", workers)
	for _, tt := range tests {
		domains := map[string]bool{}
		for _, d := range tt.domains {
			domains[d] = true
		}
		r.SetEvacuated(domains)
		if n := r.ReadyWorkers("s"); n != tt.want || !r.HasWorkers("s") {
			t.Errorf("%v evacuated: %d workers, known: %v; want %d, true", tt.domains, n, r.HasWorkers("s"), tt.want)
		}
		r.SetWorkers("s", workers)
		if n := r.ReadyWorkers("s"); n != tt.want {
			t.Errorf("%v evacuated: %d workers after a change of the membership, want %d", tt.domains, n, tt.want)
		}
	}
}

// TestColdShare guards against senders that overload a cold worker together, and against a cold worker that gets no calls at all.
func TestColdShare(t *testing.T) {
	cold := func(target *Target, now time.Time) { target.RecordCold(time.Hour, now) }
	announced := func(target *Target, _ time.Time) { target.cold.announce(true) }
	tests := []struct {
		name   string
		share  float64
		record func(*Target, time.Time)
		// cold lists the workers that are cold.
		cold []string
		// least and most bound the number of calls to worker a in ten seconds, out of 2,000.
		least, most int
	}{
		{"told by a response", 0.5, cold, []string{"na"}, 4, 6},
		{"told by its node", 0.5, announced, []string{"na"}, 4, 6},
		{"warm again", 0.5, func(target *Target, now time.Time) { cold(target, now); target.RecordCold(0, now) }, []string{"na"}, 1000, 2000},
		{"service without a cold rate", 0, cold, []string{"na"}, 1000, 2000},
		{"all are cold", 0.5, cold, []string{"na", "nb", "nc", "nd"}, 100, 2000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := fourWorkers(1000)
			r.coldShare = func(string) float64 { return tt.share }
			now := time.Unix(1000, 0)
			for _, target := range r.targets("s") {
				for _, name := range tt.cold {
					if target.Node == name {
						tt.record(target, now)
					}
				}
			}
			calls := 0
			for range 2000 {
				target := r.Pick("s", nil, true, now)
				target.Start()
				target.RecordSend(now)
				now = now.Add(5 * time.Millisecond)
				target.Finish(Result{Latency: 100 * time.Millisecond}, now)
				if target.Node == "na" {
					calls++
				}
			}
			if calls < tt.least || calls > tt.most {
				t.Errorf("%d calls to the worker, want %d to %d", calls, tt.least, tt.most)
			}
		})
	}
}

// TestColdTimeEnds checks that a false report does not hold calls back for more than a minute.
func TestColdTimeEnds(t *testing.T) {
	r, now := fourWorkers(10), time.Unix(1000, 0)
	target := r.targets("s")[0]
	target.RecordCold(time.Hour, now)
	target.RecordSend(now.Add(59 * time.Second))
	if !target.cold.isHeldBack(0.1, now.Add(59*time.Second)) || target.cold.isHeldBack(0.1, now.Add(maxColdTime)) {
		t.Error("want the worker held back for a minute")
	}
}
