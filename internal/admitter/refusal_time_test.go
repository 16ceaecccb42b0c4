package admitter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// The hosts above end a call at its deadline and then don't know whether it has run.
func TestRefusalOfWaitingRequestComesTooLate(t *testing.T) {
	tests := []struct {
		name string
		rank Rank
		mode AdaptiveMode
		want Decision
	}{
		{"root request", NewRank(1, 1, []byte{0, 0, 0, 1}, 1, 1), AdaptiveAuto, DeadlineExceeded},
		{"call in progress", InProgress, AdaptiveAuto, Shed},
		{"call in progress without a bounded wait", InProgress, AdaptiveOff, DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(1, timer.New(), nil, WithStaticLimit(), WithAdaptiveMode(tt.mode))
				if _, d := g.Admit(t.Context(), Request{Deadline: time.Now().Add(time.Hour)}); d != Admitted {
					t.Fatalf("decision %v from an idle gate", d)
				}
				deadline := time.Now().Add(200 * time.Millisecond)
				_, d := g.Admit(t.Context(), Request{Rank: tt.rank, Deadline: deadline, MaxWait: 400 * time.Millisecond})
				if left := time.Until(deadline); d != tt.want || left < refusalTime {
					t.Errorf("decision %v with %s left, want %v with %s", d, left, tt.want, refusalTime)
				}
			})
		})
	}
}

// TestCallInProgressStartsTooLateToFinish guards against calls that run until their deadline and answer nobody.
func TestCallInProgressStartsTooLateToFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A bounded wait would end before the slot is free.
		g := New(1, timer.New(), nil, WithStaticLimit(), WithAdaptiveMode(AdaptiveOff))
		g.mean = 100 * time.Millisecond
		first, d := g.Admit(t.Context(), Request{Deadline: time.Now().Add(time.Hour)})
		if d != Admitted {
			t.Fatalf("decision %v from an idle gate", d)
		}
		deadline := time.Now().Add(200 * time.Millisecond)
		time.AfterFunc(110*time.Millisecond, func() { first.Done(Sample{Total: g.mean}) })
		if _, d := g.Admit(t.Context(), Request{Rank: InProgress, Deadline: deadline}); d != DeadlineExceeded {
			t.Errorf("decision %v with %s left of a mean time of %s, want %v", d, time.Until(deadline), g.mean, DeadlineExceeded)
		}
	})
}
