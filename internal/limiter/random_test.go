package limiter

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// fleet simulates an owner and nodes. Exchanges are lost, delayed and duplicated, and each node's clock runs faster or
// slower than that of the synctest bubble.
type fleet struct {
	t       *rapid.T
	random  *rand.Rand
	owner   *Owner
	epoch   uint64
	start   time.Time
	nodes   []*limiterNode
	rate    float64
	burst   float64
	admits  []time.Time
	changed time.Time
	assert  *asserter.Asserter
	// reported holds the nodes that have sent a request to the owner in this epoch.
	reported map[Holder]bool
}

type limiterNode struct {
	holder Holder
	bucket *Bucket
	epoch  uint64
	drift  float64
	base   time.Time
	demand float64
}

func (f *fleet) addNode(i int) *limiterNode {
	n := &limiterNode{
		holder: Holder{Node: string(rune('a' + i)), Incarnation: f.random.Uint64()},
		drift:  1 + 0.04*(2*f.random.Float64()-1), base: time.Now(), demand: f.random.Float64() * f.rate,
	}
	clock := timer.New(timer.WithNow(func() time.Time {
		return n.base.Add(time.Duration(float64(time.Since(n.base)) * n.drift))
	}))
	n.bucket = NewBucket(clock, f.assert, func() {})
	return n
}

// grant is the owner's side of an exchange. It ends the carry-over once all nodes have reported.
func (f *fleet) grant(n *limiterNode, req GrantRequest) (Grant, bool) {
	if f.reported == nil {
		f.reported = map[Holder]bool{}
	}
	f.reported[n.holder] = true
	missing := slices.ContainsFunc(f.nodes, func(n *limiterNode) bool { return !f.reported[n.holder] })
	if !missing && len(f.nodes) > 0 {
		f.owner.EndCarryover(time.Now())
	}
	return f.owner.Grant(n.holder, req, time.Now())
}

// exchange is one exchange between a node and the owner. The request or the reply may be lost, and the request may
// arrive twice.
func (f *fleet) exchange(n *limiterNode) {
	req, ok := n.bucket.GrantRequest("x", n.epoch)
	if !ok {
		return
	}
	sent := n.bucket.timer.Now()
	epoch := n.epoch
	if f.random.IntN(10) == 0 {
		return
	}
	time.Sleep(time.Duration(f.random.Int64N(int64(20 * time.Millisecond))))
	if f.owner == nil {
		return
	}
	n.epoch = f.epoch
	if epoch != f.epoch {
		return
	}
	if f.random.IntN(10) == 0 {
		f.grant(n, req)
	}
	g, ok := f.grant(n, req)
	if !ok || f.random.IntN(10) == 0 {
		return
	}
	time.Sleep(time.Duration(f.random.Int64N(int64(20 * time.Millisecond))))
	n.bucket.AddGrant(g, epoch, sent)
}

// exchangeEvery makes exchanges without losses at an interval. The lock protects the owner.
func (f *fleet) exchangeEvery(n *limiterNode, interval time.Duration, count int, mu *sync.Mutex) {
	for range count {
		time.Sleep(interval)
		if req, ok := n.bucket.GrantRequest("x", 1); ok {
			sent := n.bucket.timer.Now()
			mu.Lock()
			g, _ := f.owner.Grant(n.holder, req, time.Now())
			mu.Unlock()
			n.bucket.AddGrant(g, 1, sent)
		}
	}
}

// spend takes tokens for a random number of requests without waiting.
func (f *fleet) spend(n *limiterNode, span time.Duration) {
	for left := f.random.IntN(2 + int(3*n.demand*span.Seconds())); left > 0; left-- {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.bucket.mu.Lock()
		waiting := len(n.bucket.waiters)
		n.bucket.mu.Unlock()
		if waiting == 0 && n.bucket.Take(ctx, uint32(f.random.IntN(3)), 0, 0) == Admitted {
			f.admits = append(f.admits, time.Now())
		}
	}
}

// takeOver starts a new epoch after a random period without an owner.
func (f *fleet) takeOver() {
	carryover := CarryoverSeveral
	if f.owner.CarryoverEnded(time.Now()) {
		carryover = CarryoverOne
	}
	f.owner = nil
	time.Sleep(time.Duration(f.random.Int64N(int64(3 * time.Second))))
	f.epoch++
	f.start, f.reported = time.Now(), nil
	f.owner = NewOwner(time.Now(), carryover, f.assert)
	f.owner.SetRate("x", f.rate, f.burst, time.Now())
}

// setRate checks the admissions so far and changes the rate and burst.
func (f *fleet) setRate(rate, burst float64) {
	f.checkWindows()
	f.admits = nil
	f.rate, f.burst = rate, burst
	if f.owner != nil {
		f.owner.SetRate("x", rate, burst, time.Now())
	}
	f.changed = time.Now()
}

// checkWindows asserts that no window since the last change of rate and burst admitted more than burst + rate·T. It
// ignores admissions within the lifetime of grants after the change, since these may spend grants of a higher rate or
// burst.
func (f *fleet) checkWindows() {
	from := f.changed.Add(ownerLifetime)
	var times []time.Time
	for _, at := range f.admits {
		if at.After(from) {
			times = append(times, at)
		}
	}
	// Compute the largest excess over rate·T of any window that starts and ends with an admission.
	lowest := 0.0
	for i, at := range times {
		refill := f.rate * at.Sub(times[0]).Seconds()
		lowest = min(lowest, float64(i)-refill)
		if excess := float64(i+1) - refill - lowest; excess > f.burst+tolerance*float64(len(times)+1) {
			f.t.Fatalf("a window admitted %v over rate·T with a burst of %v, rate %v", excess, f.burst, f.rate)
		}
	}
}

func TestRandomFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(*testing.T) {
			f := &fleet{t: rt, random: rand.New(rand.NewPCG(seed, 2)), start: time.Now(), epoch: 1}
			f.assert = asserter.New(nil, asserter.WithOnBreak(func(i asserter.Invariant, s string) { rt.Fatalf("%s %s", i, s) }))
			f.rate, f.burst = 1+f.random.Float64()*50, 1+float64(f.random.IntN(100))
			f.owner = NewOwner(time.Now(), CarryoverNone, f.assert)
			f.owner.SetRate("x", f.rate, f.burst, time.Now())
			f.changed = time.Now().Add(-ownerLifetime)
			for i := range 4 {
				f.nodes = append(f.nodes, f.addNode(i))
			}
			for range 400 {
				span := time.Duration(f.random.Int64N(int64(400 * time.Millisecond)))
				time.Sleep(span)
				i := f.random.IntN(len(f.nodes))
				f.spend(f.nodes[i], span)
				f.exchange(f.nodes[i])
				f.spend(f.nodes[i], span)
				switch f.random.IntN(80) {
				case 0:
					f.takeOver()
				case 1:
					f.nodes[i] = f.addNode(i)
				case 2:
					f.setRate(1+f.random.Float64()*50, 1+float64(f.random.IntN(100)))
				}
			}
			f.checkWindows()
		})
	})
}

// TestRateIsReached guards against a limiter that admits less than the rate: four nodes whose demand exceeds an
// account's rate must use up the rate, also with a burst that covers only a fraction of a second.
func TestRateIsReached(t *testing.T) {
	tests := []struct {
		name  string
		rate  float64
		burst float64
	}{
		{name: "burst of one second", rate: 100, burst: 100},
		{name: "burst of a fifth of a second", rate: 100, burst: 20},
		{name: "slow", rate: 5, burst: 5},
	}
	const seconds = 60
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{random: rand.New(rand.NewPCG(1, 2)), epoch: 1, rate: tt.rate, burst: tt.burst}
				f.owner = NewOwner(time.Now(), CarryoverNone, nil)
				f.owner.SetRate("x", tt.rate, tt.burst, time.Now())
				var admitted atomic.Int64
				var mu sync.Mutex
				var wg sync.WaitGroup
				for i := range 4 {
					n := f.addNode(i)
					n.epoch = 1
					wg.Go(func() {
						for range int(seconds * tt.rate / 4 * 1.5) {
							time.Sleep(time.Duration(float64(time.Second) / (tt.rate / 4 * 1.5)))
							wg.Go(func() {
								if n.bucket.Take(t.Context(), 0, MaxGrantWait, MaxGrantWait) == Admitted {
									admitted.Add(1)
								}
							})
						}
					})
					wg.Go(func() { f.exchangeEvery(n, 50*time.Millisecond, int(seconds/0.05), &mu) })
				}
				wg.Wait()
				want := tt.rate * seconds
				got := float64(admitted.Load())
				if got < 0.97*want || got > want+tt.burst+tt.rate*MaxGrantWait.Seconds() {
					t.Fatalf("admitted %.0f requests, want about %.0f", got, want)
				}
			})
		})
	}
}
