package admitter

import (
	"context"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// A worker that declines part of its requests while it has slots free is faulty, not full: its limit must hold, or the
// service stays slow long after the fault has passed.
func TestStaticLimitOutlastsDeclines(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := timer.New(timer.WithNow(func() time.Time { return now }))
	g := New(30, clock, nil, WithUsableShare(0.9), WithStaticLimit())
	for range 2000 {
		ticket, d := g.Admit(context.Background(), Request{Rank: 1, Deadline: now.Add(time.Second)})
		if d != Admitted {
			t.Fatalf("decision %v with an idle upstream", d)
		}
		now = now.Add(5 * time.Millisecond)
		ticket.Done(Sample{Total: 5 * time.Millisecond, Self: 5 * time.Millisecond, Shed: true})
	}
	if got := g.limit.current(); got != 27 {
		t.Errorf("limit %d after declines, want 27", got)
	}
}
