package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// A reported slowdown must change the expected time at once if it has explained measured times before, and must not if it has
// not, whatever is reported.
func TestExpectedTimeFollowsTrueReports(t *testing.T) {
	tests := []struct {
		name     string
		reported func(at time.Duration) float64
		// want is the ratio of the expected times just after and just before a period of slowness begins.
		low, high float64
	}{
		{"true", pulses, 2.1, 2.8},
		{"none", constant(1), 0.9, 1.1},
		{"without relation", func(at time.Duration) float64 { return pulses(at / 3) }, 0.85, 1.25},
		{"inverse", func(at time.Duration) float64 { return 1 / pulses(at) }, 0.9, 1.1},
		{"enormous", func(at time.Duration) float64 { return 40 * pulses(at) }, 0.9, 2.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			var e expectedTime
			var s slowdowns
			start := time.Unix(1000, 0)
			var before time.Duration
			for at := time.Duration(0); at < 34*time.Second; at += 5 * time.Millisecond {
				now := start.Add(at)
				s.record(tt.reported(at), now)
				total := time.Duration(float64(60*time.Millisecond) * pulses(at) * (0.5 + rng.Float64()))
				mean, _ := s.average(now.Add(-total), now)
				e.record(total, mean, now)
				before = e.at(s.current)
			}
			for range 20 {
				s.record(tt.reported(34*time.Second), start.Add(34*time.Second))
			}
			ratio := e.at(s.current).Seconds() / before.Seconds()
			if ratio < tt.low || ratio > tt.high {
				t.Errorf("expected time changed by %.2f, want %.2f to %.2f", ratio, tt.low, tt.high)
			}
		})
	}
}

// The mean must follow a lasting change within a second, also without reports.
func TestExpectedTimeFollowsCompletions(t *testing.T) {
	var e expectedTime
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < 5*time.Second; at += 10 * time.Millisecond {
		total := 50 * time.Millisecond
		if at >= 4*time.Second {
			total *= 5
		}
		e.record(total, 1, start.Add(at))
	}
	if got := e.at(1); got < 220*time.Millisecond || got > 250*time.Millisecond {
		t.Errorf("expected time is %s a second after it rose from 50 to 250 ms", got)
	}
}

// An upstream that fails some requests at once must not look fast, and one that fails them late must not look as fast as its
// successes.
func TestFailuresDoNotLowerExpectedTime(t *testing.T) {
	tests := []struct {
		name      string
		failure   time.Duration
		low, high time.Duration
	}{
		{"at once", time.Millisecond, 95 * time.Millisecond, 105 * time.Millisecond},
		{"late", time.Second, 300 * time.Millisecond, 700 * time.Millisecond},
	}
	for _, tt := range tests {
		now := time.Unix(1000, 0)
		clock := timer.New(timer.WithNow(func() time.Time { return now }))
		g := New(30, clock, nil, WithStaticLimit(), WithAdaptiveMode(AdaptiveOn))
		for i := range 400 {
			ticket, d := g.Admit(t.Context(), Request{Rank: 1, Deadline: now.Add(10 * time.Second)})
			if d != Admitted {
				t.Fatalf("%s: decision %d", tt.name, d)
			}
			s := Sample{Total: 100 * time.Millisecond, Failed: i%3 == 0}
			if s.Failed {
				s.Total = tt.failure
			}
			now = now.Add(10 * time.Millisecond)
			ticket.Done(s)
		}
		if got := g.Report().Expected; got < tt.low || got > tt.high {
			t.Errorf("%s: expected time %s, want %s to %s", tt.name, got, tt.low, tt.high)
		}
	}
}
