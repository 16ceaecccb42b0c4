package limiter

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// wideFleet simulates one client account whose requests arrive at random at many nodes. A node exchanges with the owner
// every exchangeInterval, and within wakeInterval when a request waits.
type wideFleet struct {
	nodes   int
	rate    float64
	seconds int
	// load returns the demand at a time since the start, as a multiple of the rate.
	load func(elapsed time.Duration) float64
}

const (
	wakeInterval = 20 * time.Millisecond
	wideSeeds    = 8
)

// tally counts the admitted requests of one simulation, by second, beside those that one central bucket would admit.
type tally struct {
	admitted []atomic.Int64
	central  []float64
}

// add adds the counts of another simulation.
func (c *tally) add(other *tally) {
	for i := range c.admitted {
		c.admitted[i].Add(other.admitted[i].Load())
		c.central[i] += other.central[i]
	}
}

// ratio returns the number of admitted requests in the given seconds relative to the central bucket's.
func (c *tally) ratio(from, to int) float64 {
	admitted, central := 0.0, 0.0
	for i := from; i < to; i++ {
		admitted += float64(c.admitted[i].Load())
		central += c.central[i]
	}
	return admitted / central
}

func newTally(seconds int) *tally {
	return &tally{admitted: make([]atomic.Int64, seconds), central: make([]float64, seconds)}
}

// simulateSeeds runs simulations with different arrivals and returns the sum of their counts.
func (w wideFleet) simulateSeeds(t *testing.T) *tally {
	sum := newTally(w.seconds)
	for seed := range uint64(wideSeeds) {
		synctest.Test(t, func(t *testing.T) { sum.add(w.simulate(t, seed)) })
	}
	return sum
}

func (w wideFleet) simulate(t *testing.T, seed uint64) *tally {
	count := newTally(w.seconds)
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), epoch: 1, rate: w.rate, burst: w.rate}
	f.owner = NewOwner(time.Now(), CarryoverNone, nil)
	f.owner.SetRate("x", w.rate, w.rate, time.Now())
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	end := start.Add(time.Duration(w.seconds) * time.Second)
	for i := range w.nodes {
		n := f.addNode(i)
		n.epoch, n.holder.Node = 1, fmt.Sprint(i)
		f.nodes = append(f.nodes, n)
	}
	for i, n := range f.nodes {
		wake := make(chan struct{}, 1)
		n.bucket.wake = func() {
			select {
			case wake <- struct{}{}:
			default:
			}
		}
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() { exchangeUntil(f, n, &mu, random, wake, end) })
	}
	arrivals := rand.New(rand.NewPCG(seed, 4))
	central := localRate{rate: w.rate, burst: w.rate, available: w.rate, refilledAt: start}
	wg.Go(func() {
		for {
			pause := arrivals.ExpFloat64() / (w.load(time.Since(start)) * w.rate)
			time.Sleep(time.Duration(pause * float64(time.Second)))
			if !time.Now().Before(end) {
				return
			}
			n, second := f.nodes[arrivals.IntN(w.nodes)], int(time.Since(start)/time.Second)
			if central.spend(time.Now()) {
				count.central[second]++
			}
			wg.Go(func() {
				if n.bucket.Take(t.Context(), 0, MaxGrantWait, MaxGrantWait) == Admitted {
					count.admitted[second].Add(1)
				}
			})
		}
	})
	wg.Wait()
	return count
}

// exchangeUntil exchanges with the owner until a time, each time after a wake-up or an interval.
func exchangeUntil(f *fleet, n *limiterNode, mu *sync.Mutex, random *rand.Rand, wake chan struct{}, end time.Time) {
	for time.Now().Before(end) {
		select {
		case <-time.After(exchangeInterval*9/10 + time.Duration(random.Int64N(int64(exchangeInterval/10)))):
		case <-wake:
			time.Sleep(time.Duration(random.Int64N(int64(wakeInterval))))
		}
		req, ok := n.bucket.GrantRequest("x", n.epoch)
		if !ok {
			continue
		}
		sent := n.bucket.timer.Now()
		time.Sleep(time.Millisecond)
		mu.Lock()
		g, _ := f.grant(n, req)
		mu.Unlock()
		time.Sleep(time.Millisecond)
		n.bucket.AddGrant(g, n.epoch, sent)
	}
}

// manyNodesTest is the load of an account whose requests arrive at random at many nodes.
type manyNodesTest struct {
	rate float64
	load float64
}

// run checks for small and large fleets that nearly all requests are admitted, also in the first seconds.
func (tt manyNodesTest) run(t *testing.T) {
	const seconds, want = 6, 0.97
	for _, nodes := range []int{16, 66} {
		t.Run(fmt.Sprintf("%d nodes, rate %v, load %v", nodes, tt.rate, tt.load), func(t *testing.T) {
			w := wideFleet{nodes: nodes, rate: tt.rate, seconds: seconds, load: func(time.Duration) float64 { return tt.load }}
			count := w.simulateSeeds(t)
			first, all := count.ratio(0, 2), count.ratio(0, seconds)
			if first < want || all < want {
				t.Errorf("admitted %.3f of the requests in the first two seconds and %.3f in all, want %v", first, all, want)
			}
		})
	}
}

// TestManyNodesAdmitWithinRate guards against requests of an account within its rate that are refused because their
// tokens lie unused at other nodes.
func TestManyNodesAdmitWithinRate(t *testing.T) {
	tests := []manyNodesTest{
		{rate: 7, load: 0.5},
		{rate: 15, load: 0.5},
		{rate: 15, load: 0.8},
	}
	for _, tt := range tests {
		tt.run(t)
	}
}

// TestSmallAccountNearItsRateIsRefused guards against the same for small accounts that use nearly all of their rate.
func TestSmallAccountNearItsRateIsRefused(t *testing.T) {
	tests := []manyNodesTest{
		{rate: 7, load: 0.8},
		{rate: 7, load: 0.9},
	}
	for _, tt := range tests {
		tt.run(t)
	}
}
