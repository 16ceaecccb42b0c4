package budgeter

import (
	"sync"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// clock is a settable time.
type clock struct{ now time.Time }

func newBudget(limit int64) (*Budget, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	return New(timer.New(timer.WithNow(func() time.Time { return c.now })), limit), c
}

func accept() bool { return true }

// A holding without progress must make room, the slowest first, and single bytes must not count as progress.
func TestSlowestIsDropped(t *testing.T) {
	b, c := newBudget(100 << 10)
	stalled, trickling, fast := b.Open(accept), b.Open(accept), b.Open(accept)
	for _, h := range []*Holding{stalled, trickling, fast} {
		if !h.Take(30 << 10) {
			t.Fatal("refused within the limit")
		}
	}
	c.now = c.now.Add(100 * time.Millisecond)
	trickling.Progress(progressSize)
	for range 10 {
		c.now = c.now.Add(100 * time.Millisecond)
		trickling.Progress(1)
		fast.Progress(progressSize)
	}
	next := b.Open(accept)
	if !next.Take(20<<10) || stalled.Keep() || !fast.Take(1) {
		t.Error("the stalled holding did not make room")
	}
	if !next.Take(20<<10) || trickling.Take(1) {
		t.Error("the trickling holding did not make room")
	}
	if next.Take(60 << 10) {
		t.Error("room was made by a holding with progress")
	}
	if b.Dropped() != 2 || b.Refused() != 1 || b.Used() != 70<<10+1 {
		t.Errorf("dropped %d, refused %d, used %d", b.Dropped(), b.Refused(), b.Used())
	}
}

// A request that is complete must not be dropped, nor one whose owner can't give up.
func TestCompleteIsKept(t *testing.T) {
	b, c := newBudget(100)
	whole, busy := b.Open(accept), b.Open(func() bool { return false })
	whole.Take(60)
	busy.Take(30)
	if !whole.Keep() {
		t.Error("dropped")
	}
	c.now = c.now.Add(time.Hour)
	late := b.Open(accept)
	if late.Take(20) || b.Dropped() != 0 {
		t.Error("a complete request made room")
	}
	late.Charge(20)
	for _, h := range []*Holding{whole, busy, late} {
		h.Close()
		h.Close()
	}
	if b.Used() != 0 {
		t.Errorf("%d bytes are charged to nothing", b.Used())
	}
}

// Charges must balance when holdings are dropped while their owners take further bytes.
func TestChargesBalance(t *testing.T) {
	b := New(timer.New(), 1<<20)
	stalled := b.Open(accept)
	stalled.progressAt.Store(int64(-2 * time.Hour))
	stalled.Take(900 << 10)
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 300 {
				h := b.Open(accept)
				h.progressAt.Store(int64(-time.Hour))
				for h.Take(64<<10) && h.size.Load() < 200<<10 {
					h.Progress(1)
				}
				h.Close()
			}
		})
	}
	group.Wait()
	if b.Used() != 0 || b.Dropped() == 0 {
		t.Errorf("used %d, dropped %d", b.Used(), b.Dropped())
	}
}
