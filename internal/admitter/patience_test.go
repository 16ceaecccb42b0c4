package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// A long request among many short and more important ones gets a slot in one of the gaps, if it may wait for as long as its
// own answer allows; two times of the short ones are over too soon.
func TestPatienceOutlastsShortRequests(t *testing.T) {
	tests := []struct {
		patience time.Duration
		want     Decision
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
			busy, d := g.Admit(t.Context(), Request{Rank: 1 << 20, Deadline: deadline})
			if d != Admitted {
				t.Fatalf("decision %v", d)
			}
			ended := make(chan Decision, 1)
			asked := timer.New().AfterFunc(0, func() {
				_, d := g.Admit(context.Background(), Request{Rank: 1, Deadline: deadline, MaxWait: tt.patience})
				ended <- d
			})
			defer asked.Stop()
			time.Sleep(150 * time.Millisecond)
			busy.Done(Sample{Total: 150 * time.Millisecond})
			if got := <-ended; got != tt.want {
				t.Errorf("patience %s: decision %v, want %v", tt.patience, got, tt.want)
			}
		})
	}
}
