package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestTotalsMatchHolders guards against totals that differ from the sum over the holders after leases, demands and grants
// have expired in any order.
func TestTotalsMatchHolders(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		o := NewOwner(now, CarryoverOne, nil)
		o.SetRate("x", 100, 100, now)
		p := o.pools["x"]
		sequences := map[string]uint64{}
		for range 2000 {
			now = now.Add(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
			node := fmt.Sprint(random.IntN(40))
			req := GrantRequest{
				Account: "x", Demand: random.Float64() * 10, Want: random.Float64() * 5, Waiting: random.IntN(3),
				Importance: uint32(random.IntN(4)), Carryover: float64(random.IntN(2)),
				Lease: Lease{Rate: random.Float64(), Capacity: 1, Sequence: sequences[node]},
			}
			if random.IntN(50) == 0 {
				o.Release(Holder{Node: node}, req, now)
				continue
			}
			g, _ := o.Grant(Holder{Node: node}, req, now)
			sequences[node] = g.Lease.Sequence
			var want totals
			for _, h := range p.holders {
				want.add(h.contributionAt(now), 1)
			}
			if !sameTotals(&p.totals, &want) {
				t.Fatalf("seed %d: totals %+v, want %+v", seed, p.totals, want)
			}
		}
		p.refill(now.Add(time.Minute))
		if len(p.holders) != 0 || !sameTotals(&p.totals, &totals{}) {
			t.Fatalf("seed %d: %d holders and totals %+v remain after a minute", seed, len(p.holders), p.totals)
		}
	}
}

func sameTotals(a, b *totals) bool {
	near := func(x, y float64) bool { return math.Abs(x-y) < tolerance }
	return near(a.lease.Rate, b.lease.Rate) && near(a.lease.Capacity, b.lease.Capacity) && near(a.demand, b.demand) &&
		near(a.carryover, b.carryover) && a.waiting == b.waiting
}

// TestExchangeCostGrowsWithHolders guards against an exchange whose cost grows with the number of nodes that hold tokens: the
// control leader would starve in a large fleet.
func TestExchangeCostGrowsWithHolders(t *testing.T) {
	const maxRatio = 2.0
	small, large := exchangeCost(57), exchangeCost(1900)
	if ratio := float64(large) / float64(small); ratio > maxRatio {
		t.Errorf("an exchange takes %v with 57 holders and %v with 1900, ratio %.1f, want at most %v", small, large, ratio, maxRatio)
	}
}

// exchangeCost returns the time of an exchange of one account that the given number of nodes hold: the lowest mean of several
// rounds, since other processes may delay some of them.
func exchangeCost(holders int) time.Duration {
	const rounds, exchanges = 15, 2000
	now := time.Unix(1000, 0)
	o := NewOwner(now, CarryoverNone, nil)
	o.SetRate("x", 1000, 1000, now)
	for i := range holders {
		o.Grant(Holder{Node: fmt.Sprint(i)}, GrantRequest{Account: "x", Demand: 0.5, Want: 1}, now)
	}
	lowest := time.Duration(math.MaxInt64)
	for range rounds {
		start := time.Now()
		for range exchanges {
			now = now.Add(time.Microsecond)
			o.Grant(Holder{Node: "0"}, GrantRequest{Account: "x", Demand: 0.5, Want: 1}, now)
		}
		lowest = min(lowest, time.Since(start)/exchanges)
	}
	return lowest
}
