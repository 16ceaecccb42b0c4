package admitter

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// callTree is a service whose requests make calls, one after the other, to a smaller service below it.
type callTree struct {
	rng      *rand.Rand
	mu       sync.Mutex
	above    *Gate
	below    *Gate
	good     int
	refused  int
	failed   int
	rootSize time.Duration
	callSize time.Duration
	calls    int
}

func (tr *callTree) draw() []byte {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return binary.LittleEndian.AppendUint32(nil, tr.rng.Uint32())
}

func (tr *callTree) count(n *int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	*n++
}

func (tr *callTree) runRoot() {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	ticket, d := tr.above.Admit(ctx, Request{
		Rank: NewRank(5, 5, tr.draw(), 1, 1), Deadline: start.Add(6 * time.Second), MaxWait: 375 * time.Millisecond,
	})
	if d != Admitted {
		tr.count(&tr.refused)
		return
	}
	time.Sleep(tr.rootSize)
	for range tr.calls {
		if !tr.runCall(ctx) {
			ticket.Done(Sample{Total: time.Since(start), Self: tr.rootSize})
			tr.count(&tr.failed)
			return
		}
	}
	ticket.Done(Sample{Total: time.Since(start), Self: tr.rootSize})
	if time.Since(start) < 1500*time.Millisecond {
		tr.count(&tr.good)
	}
}

func (tr *callTree) runCall(ctx context.Context) bool {
	ticket, d := tr.below.Admit(ctx, Request{
		Rank: InProgress, Deadline: time.Now().Add(700 * time.Millisecond), MaxWait: 75 * time.Millisecond,
	})
	if d != Admitted {
		return false
	}
	time.Sleep(tr.callSize)
	ticket.Done(Sample{Total: tr.callSize, Self: tr.callSize})
	return true
}

// Requests that were admitted above a full service finish, and those that it has no room for are refused above it.
func TestCallsOfAdmittedRequestsAreShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		static := []Option{WithStaticLimit(), WithUsableShare(0.95)}
		tr := &callTree{
			rng: rand.New(rand.NewPCG(1, 2)), rootSize: 130 * time.Millisecond, callSize: 22 * time.Millisecond, calls: 5,
			above: New(200, timer.New(), nil, static...), below: New(30, timer.New(), nil, static...),
		}
		capacity := 28 / (float64(tr.calls) * tr.callSize.Seconds())
		load := 1.5 * capacity
		var group sync.WaitGroup
		const length = 20 * time.Second
		sent := 0
		arrivals := rand.New(rand.NewPCG(3, 4))
		for start := time.Now(); time.Since(start) < length; sent++ {
			time.Sleep(time.Duration(arrivals.ExpFloat64() / load * float64(time.Second)))
			group.Go(tr.runRoot)
		}
		group.Wait()
		t.Logf("%d sent, %d good, %d refused, %d failed", sent, tr.good, tr.refused, tr.failed)
		if want := 0.85 * capacity * length.Seconds(); float64(tr.good) < want {
			t.Errorf("%d good, want %.0f of room for %.0f", tr.good, want, capacity*length.Seconds())
		}
		if tr.failed > sent/50 {
			t.Errorf("%d of %d requests failed after work was spent, want at most one in 50", tr.failed, sent)
		}
	})
}
