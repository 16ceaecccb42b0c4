package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// A long request among many short and more important ones gets a slot if its own maximum wait is long enough. The default
// maximum wait, twice the mean time of the short requests, ends before a slot becomes free.
func TestLongRequestWaitsForItsMaxWait(t *testing.T) {
	tests := []struct {
		maxWait time.Duration
		want    Decision
	}{
		{0, Shed},
		{250 * time.Millisecond, Admitted},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			g := New(1, timer.New(), nil, WithStaticLimit())
			deadline := time.Now().Add(4 * time.Second)
			for range 100 {
				ticket, _ := g.Admit(t.Context(), Request{Rank: 1 << 20, Deadline: deadline})
				time.Sleep(20 * time.Millisecond)
				ticket.Done(Sample{Total: 20 * time.Millisecond})
			}
			running, d := g.Admit(t.Context(), Request{Rank: 1 << 20, Deadline: deadline})
			if d != Admitted {
				t.Fatalf("decision %v", d)
			}
			decisions := make(chan Decision, 1)
			waiting := timer.New().AfterFunc(0, func() {
				_, d := g.Admit(context.Background(), Request{Rank: 1, Deadline: deadline, MaxWait: tt.maxWait})
				decisions <- d
			})
			defer waiting.Stop()
			time.Sleep(150 * time.Millisecond)
			running.Done(Sample{Total: 150 * time.Millisecond})
			if got := <-decisions; got != tt.want {
				t.Errorf("maximum wait %s: decision %v, want %v", tt.maxWait, got, tt.want)
			}
		})
	}
}
