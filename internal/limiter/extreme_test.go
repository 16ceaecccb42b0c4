package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
)

// validFigure draws a rate or a burst from the whole range that a configuration may hold, evenly over the orders of magnitude.
func validFigure(t *rapid.T, name string) float64 {
	special := []float64{
		0, math.SmallestNonzeroFloat64, 1, 150, 1e10, 1 << 33, 1e12, 1e13, 1e15, 1<<53 - 1, 1 << 53, 9.2e18, 1e300, 1e308,
		math.MaxFloat64,
	}
	if rapid.Bool().Draw(t, name+"IsSpecial") {
		return rapid.SampledFrom(special).Draw(t, name)
	}
	return math.Float64frombits(rapid.Uint64Range(0, math.Float64bits(math.MaxFloat64)).Draw(t, name))
}

// TestRandomExtremeQuota guards against a control host that ends itself because sums of tokens are rounded, or overflow, under a
// quota that is large, small or lowered, and against a large quota that refuses requests.
func TestRandomExtremeQuota(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		figures := make([]float64, 10)
		for i := range figures {
			figures[i] = validFigure(rt, "figure")
		}
		broken := ""
		synctest.Test(t, func(*testing.T) {
			f := &fleet{t: rt, random: rand.New(rand.NewPCG(seed, 3)), start: time.Now(), epoch: 1}
			f.assert = asserter.New(nil, asserter.WithOnBreak(func(i asserter.Invariant, s string) { broken = fmt.Sprint(i, " ", s) }))
			f.owner = NewOwner(time.Now(), CarryoverNone, f.assert)
			next := func() {
				f.rate, f.burst = figures[f.random.IntN(len(figures))], figures[f.random.IntN(len(figures))]
				f.owner.SetRate("x", f.rate, f.burst, time.Now())
			}
			next()
			for i := range 4 {
				n := f.addNode(i)
				n.demand = 20 * f.random.Float64()
				f.nodes = append(f.nodes, n)
			}
			for range 300 {
				if broken != "" {
					return
				}
				span := time.Duration(f.random.Int64N(int64(400 * time.Millisecond)))
				time.Sleep(span)
				n := f.nodes[f.random.IntN(len(f.nodes))]
				f.spend(n, span)
				f.exchange(n)
				f.spend(n, span)
				switch f.random.IntN(60) {
				case 0:
					f.takeOver()
				case 1, 2, 3:
					next()
				}
			}
		})
		if broken != "" {
			rt.Fatal(broken)
		}
	})
}

// TestLargeQuotaRefusesRequests guards against a quota beyond all demand under which requests are refused, because rounding loses
// tokens or a rate overflows.
func TestLargeQuotaRefusesRequests(t *testing.T) {
	tests := []struct {
		name  string
		rate  float64
		burst float64
		// raised is set if the quota was small before. Its bucket then fills from there.
		raised bool
	}{
		{"both at the greatest exact number", 1<<53 - 1, 1<<53 - 1, false},
		{"raised to the greatest exact number", 1<<53 - 1, 1<<53 - 1, true},
		{"only the burst is large", 1, 1<<53 - 1, false},
		{"only the rate is large", 1 << 53, 100, true},
		{"a rate that overflows within seconds", 1e308, 100, true},
		{"greatest number", math.MaxFloat64, math.MaxFloat64, true},
	}
	const (
		perNode  = 300
		interval = 50 * time.Millisecond
	)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{random: rand.New(rand.NewPCG(1, 2)), epoch: 1, rate: 20, burst: tt.burst}
				f.assert = asserter.New(nil, asserter.WithOnBreak(func(i asserter.Invariant, s string) { t.Errorf("%s %s", i, s) }))
				f.owner = NewOwner(time.Now(), CarryoverNone, f.assert)
				if tt.raised {
					f.owner.SetRate("x", 100, 100, time.Now())
				}
				f.owner.SetRate("x", tt.rate, tt.burst, time.Now())
				var refused atomic.Int64
				var mu sync.Mutex
				var group sync.WaitGroup
				for i := range 4 {
					n := f.addNode(i)
					n.epoch = 1
					group.Go(func() {
						for range perNode {
							time.Sleep(interval)
							group.Go(func() {
								if n.bucket.Take(t.Context(), 0, MaxGrantWait, MaxGrantWait) != Admitted {
									refused.Add(1)
								}
							})
						}
					})
					group.Go(func() { f.exchangeEvery(n, interval, perNode+10, &mu) })
				}
				group.Wait()
				if n := refused.Load(); n > 0 {
					t.Errorf("%d of %d requests were refused", n, 4*perNode)
				}
			})
		})
	}
}
