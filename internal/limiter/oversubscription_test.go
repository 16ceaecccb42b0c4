package limiter

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestOversubscribedAccountPrefersImportantRequests guards against important requests that are refused while less
// important ones are admitted. An account sends four times its rate to sixteen nodes, and a fifth of its requests are
// important. The important requests fit into the rate and must be admitted; the others get the remaining tokens.
func TestOversubscribedAccountPrefersImportantRequests(t *testing.T) {
	const nodes, seconds, rate, factor = 16, 40, 60.0, 4.0
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{random: rand.New(rand.NewPCG(1, 2)), epoch: 1, rate: rate, burst: rate}
		f.owner = NewOwner(time.Now(), CarryoverNone, nil)
		f.owner.SetRate("x", rate, rate, time.Now())
		var mu sync.Mutex
		var wg sync.WaitGroup
		fleetNodes := startNodes(f, nodes, seconds, &mu, &wg)
		var sent, admitted [importanceLevels]atomic.Int64
		arrivals := rand.New(rand.NewPCG(3, 4))
		wg.Go(func() {
			for start := time.Now(); time.Since(start) < seconds*time.Second; {
				time.Sleep(time.Duration(arrivals.ExpFloat64() / (factor * rate) * float64(time.Second)))
				n, importance := fleetNodes[arrivals.IntN(nodes)], uint32(5)
				if arrivals.IntN(5) == 0 {
					importance = 7
				}
				warm := time.Since(start) > 5*time.Second
				wg.Go(func() {
					d := n.bucket.Take(t.Context(), importance, MaxGrantWait, MaxGrantWait)
					if !warm {
						return
					}
					sent[importance].Add(1)
					if d == Admitted {
						admitted[importance].Add(1)
					}
				})
			}
		})
		wg.Wait()
		important := float64(admitted[7].Load()) / float64(sent[7].Load())
		other := float64(admitted[5].Load()) / float64(sent[5].Load())
		all := float64(admitted[7].Load()+admitted[5].Load()) / (seconds - 5)
		if important < 0.8 || other > 0.2 || other < 0.01 || all < 0.85*rate {
			t.Errorf("admitted shares: important %.2f, others %.2f; %.1f requests per second at a rate of %.0f", important, other, all, rate)
		}
	})
}
