package limiter

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestScarceTokensGoToTheImportant plays an account that sends four times its rate to sixteen nodes, a fifth of it
// important. The important requests fit into the rate and must get through; the others get what is left.
func TestScarceTokensGoToTheImportant(t *testing.T) {
	const nodes, seconds, rate, factor = 16, 40, 60.0, 4.0
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{random: rand.New(rand.NewPCG(1, 2)), epoch: 1, rate: rate, burst: rate}
		f.owner = NewOwner(time.Now(), CarryoverNone, nil)
		f.owner.SetRate("x", rate, rate, time.Now())
		var mu sync.Mutex
		var group sync.WaitGroup
		list := startNodes(f, nodes, seconds, &mu, &group)
		var asked, admitted [importances]atomic.Int64
		arrivals := rand.New(rand.NewPCG(3, 4))
		group.Go(func() {
			for began := time.Now(); time.Since(began) < seconds*time.Second; {
				time.Sleep(time.Duration(arrivals.ExpFloat64() / (factor * rate) * float64(time.Second)))
				n, importance := list[arrivals.IntN(nodes)], uint32(5)
				if arrivals.IntN(5) == 0 {
					importance = 7
				}
				settled := time.Since(began) > 5*time.Second
				group.Go(func() {
					d := n.bucket.Take(t.Context(), importance, MaxGrantWait, MaxGrantWait)
					if !settled {
						return
					}
					asked[importance].Add(1)
					if d == Admitted {
						admitted[importance].Add(1)
					}
				})
			}
		})
		group.Wait()
		important := float64(admitted[7].Load()) / float64(asked[7].Load())
		other := float64(admitted[5].Load()) / float64(asked[5].Load())
		all := float64(admitted[7].Load()+admitted[5].Load()) / (seconds - 5)
		if important < 0.8 || other > 0.2 || other < 0.01 || all < 0.85*rate {
			t.Errorf("important %.2f, others %.2f, %.1f a second of %.0f", important, other, all, rate)
		}
	})
}
