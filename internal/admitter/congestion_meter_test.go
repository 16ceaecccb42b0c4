package admitter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// TestCongestionOfFullGate guards against a full gate that reports no congestion, a report that outlives its cause, and
// reports of gates that are told to send none.
func TestCongestionOfFullGate(t *testing.T) {
	tests := []struct {
		name string
		mode AdaptiveMode
		held time.Duration
		want float64
	}{
		// A wait counts from 250 ms on, and the gate ends it after 300 ms.
		{"long wait", AdaptiveOn, 280 * time.Millisecond, 0.5},
		{"short wait", AdaptiveOn, 200 * time.Millisecond, 0},
		{"not finished by the deadline", AdaptiveOn, 2 * time.Second, 1},
		{"upstream without slowdown reports", AdaptiveAuto, 280 * time.Millisecond, 0.5},
		{"off", AdaptiveOff, 280 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(1, timer.New(), nil, WithStaticLimit(), WithAdaptiveMode(tt.mode))
				ticket, _ := g.Admit(t.Context(), Request{Rank: InProgress, Deadline: time.Now().Add(time.Minute)})
				time.AfterFunc(tt.held, func() { ticket.Done(Sample{Total: tt.held}) })
				next, d := g.Admit(t.Context(), Request{Rank: InProgress, Deadline: time.Now().Add(time.Second)})
				if d == Admitted {
					next.Done(Sample{})
					last, _ := g.Admit(t.Context(), Request{Rank: InProgress, Deadline: time.Now().Add(time.Second)})
					last.Done(Sample{})
				}
				if got := g.Report().Congestion; got != tt.want {
					t.Errorf("congestion %v, want %v", got, tt.want)
				}
				time.Sleep(congestionSpans * congestionSpan)
				if got := g.Report().Congestion; got != 0 {
					t.Errorf("congestion %v 0.2 s after the last call, want none", got)
				}
			})
		})
	}
}
