package limiter

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// TestFloodOfAccountWaitsInVain guards against a flood of an account over its rate whose requests all wait for a token before they are
// refused: thousands of them held the memory of their connections. The tokens must all be used, the important requests first.
func TestFloodOfAccountWaitsInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, flood, seconds, important = 20.0, 1000, 10, 10
		now := time.Now()
		o := NewOwner(now, CarryoverNone, nil)
		o.SetRate("x", rate, rate, now)
		wake := make(chan struct{}, 1)
		b := NewBucket(timer.New(), nil, func() {
			select {
			case wake <- struct{}{}:
			default:
			}
		})
		end := now.Add(seconds * time.Second)
		var group sync.WaitGroup
		group.Go(func() {
			for time.Now().Before(end) {
				select {
				case <-time.After(exchangeInterval):
				case <-wake:
					time.Sleep(20 * time.Millisecond)
				}
				if req, ok := b.GrantRequest("x", 1); ok {
					g, _ := o.Grant(Holder{Node: "n"}, req, time.Now())
					b.AddGrant(g, 1, time.Now())
				}
			}
		})
		var waiting, most, admitted, urgent, sentUrgent atomic.Int64
		for i := 0; time.Now().Before(end); i++ {
			time.Sleep(time.Second / flood)
			group.Go(func() {
				for n := waiting.Add(1); ; {
					m := most.Load()
					if n <= m || most.CompareAndSwap(m, n) {
						break
					}
				}
				defer waiting.Add(-1)
				importance := uint32(1)
				if i%(flood/important) == 0 {
					importance = 3
					sentUrgent.Add(1)
				}
				if b.Take(t.Context(), importance, MaxGrantWait, MaxGrantWait) != Admitted {
					return
				}
				admitted.Add(1)
				if importance == 3 {
					urgent.Add(1)
				}
			})
		}
		group.Wait()
		if n := most.Load(); n > 40 {
			t.Errorf("%d requests wait at a time for %v tokens a second, want at most 40", n, rate)
		}
		if got, want := float64(admitted.Load()), 0.95*rate*seconds; got < want {
			t.Errorf("admitted %.0f, want at least %.0f", got, want)
		}
		if got, want := urgent.Load(), sentUrgent.Load()*9/10; got < want {
			t.Errorf("%d of %d important requests admitted, want %d", got, sentUrgent.Load(), want)
		}
	})
}
