package admitter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// TestMinimumWaitsBehindCallsInProgress guards against requests of a minimum that a level sheds or that calls in progress keep out.
func TestMinimumWaitsBehindCallsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert := asserter.New(nil, asserter.WithOnBreak(func(i asserter.Invariant, s string) { t.Errorf("%s %s", i, s) }))
		g := New(1, timer.New(), assert, WithStaticLimit())
		deadline := time.Now().Add(time.Second)
		running, d := g.Admit(t.Context(), Request{Rank: InProgress, Deadline: deadline})
		if d != Admitted {
			t.Fatalf("decision %v from an idle gate", d)
		}
		g.level.value = lowestRank(classCount)
		decisions := make(chan Rank, 2)
		for _, rank := range []Rank{InProgress, Minimum} {
			timer.New().AfterFunc(0, func() {
				if ticket, d := g.Admit(t.Context(), Request{Rank: rank, Deadline: deadline, MaxWait: maxQueueTime}); d == Admitted {
					decisions <- rank
					ticket.Done(Sample{})
				}
			})
			time.Sleep(time.Millisecond)
		}
		running.Done(Sample{})
		synctest.Wait()
		close(decisions)
		var got []Rank
		for rank := range decisions {
			got = append(got, rank)
		}
		if len(got) != 2 || got[0] != Minimum {
			t.Errorf("admitted %d, want the minimum and then the call in progress", got)
		}
	})
}
