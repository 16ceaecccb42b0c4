package limiter

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestScatteredDemandReachesRate plays an account whose requests come at random to any of sixteen nodes, half as many
// again as its rate allows. What one node does not use must reach the others.
func TestScatteredDemandReachesRate(t *testing.T) {
	const nodes, seconds, rate = 16, 60, 42.0
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{random: rand.New(rand.NewPCG(1, 2)), epoch: 1, rate: rate, burst: rate}
		f.owner = NewOwner(time.Now(), CarryoverNone, nil)
		f.owner.SetRate("x", rate, rate, time.Now())
		var admitted atomic.Int64
		var mu sync.Mutex
		var group sync.WaitGroup
		list := startNodes(f, nodes, seconds, &mu, &group)
		arrivals := rand.New(rand.NewPCG(3, 4))
		group.Go(func() {
			for began := time.Now(); time.Since(began) < seconds*time.Second; {
				time.Sleep(time.Duration(arrivals.ExpFloat64() / (1.5 * rate) * float64(time.Second)))
				n := list[arrivals.IntN(nodes)]
				group.Go(func() {
					if n.bucket.Take(t.Context(), 0, MaxGrantWait, MaxGrantWait) == Admitted {
						admitted.Add(1)
					}
				})
			}
		})
		group.Wait()
		if got, want := float64(admitted.Load()), 0.93*rate*seconds; got < want || got > rate*(seconds+2) {
			t.Errorf("admitted %.0f, want %.0f of %.0f", got, want, rate*seconds)
		}
	})
}
