package limiter

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestScatteredDemandReachesRate guards against tokens that stay unused at one node while others refuse requests. The
// requests of an account arrive at random at sixteen nodes and exceed its rate by half.
func TestScatteredDemandReachesRate(t *testing.T) {
	const nodes, seconds, rate = 16, 60, 42.0
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{random: rand.New(rand.NewPCG(1, 2)), epoch: 1, rate: rate, burst: rate}
		f.owner = NewOwner(time.Now(), CarryoverNone, nil)
		f.owner.SetRate("x", rate, rate, time.Now())
		var admitted atomic.Int64
		var mu sync.Mutex
		var wg sync.WaitGroup
		fleetNodes := startNodes(f, nodes, seconds, &mu, &wg)
		arrivals := rand.New(rand.NewPCG(3, 4))
		wg.Go(func() {
			for start := time.Now(); time.Since(start) < seconds*time.Second; {
				time.Sleep(time.Duration(arrivals.ExpFloat64() / (1.5 * rate) * float64(time.Second)))
				n := fleetNodes[arrivals.IntN(nodes)]
				wg.Go(func() {
					if n.bucket.Take(t.Context(), 0, MaxGrantWait, MaxGrantWait) == Admitted {
						admitted.Add(1)
					}
				})
			}
		})
		wg.Wait()
		if got, want := float64(admitted.Load()), 0.93*rate*seconds; got < want || got > rate*(seconds+2) {
			t.Errorf("admitted %.0f requests, want at least %.0f of %.0f", got, want, rate*seconds)
		}
	})
}
