package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// event is a gate's decision about a request.
type event struct {
	at    time.Time
	class int
}

// TestRandomGate sends random requests through a gate whose slots, service time and state change. The gate asserts its
// own invariants. The test asserts that no less important request is admitted within a second after a more important
// one was shed, that no request waits forever, and that the gate admits requests again afterwards.
func TestRandomGate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			slots := 1 + rng.IntN(30)
			assert := asserter.New(nil, asserter.WithOnBreak(func(i asserter.Invariant, s string) { t.Errorf("%s %s", i, s) }))
			var opts []Option
			if seed%2 == 1 {
				opts = []Option{WithStaticLimit(), WithAdaptiveMode(AdaptiveOn)}
			}
			g := New(slots, timer.New(), assert, opts...)
			var mu sync.Mutex
			var admitted, shed []event
			var group sync.WaitGroup
			run := func(rank Rank, duration time.Duration, isShed bool) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.Int64N(int64(2*time.Second))))
				group.Go(func() {
					defer cancel()
					deadline, _ := ctx.Deadline()
					ticket, d := g.Admit(ctx, Request{Rank: rank, Deadline: deadline})
					mu.Lock()
					switch d {
					case Admitted:
						admitted = append(admitted, event{time.Now(), rank.class()})
					case Shed:
						shed = append(shed, event{time.Now(), rank.class()})
					}
					mu.Unlock()
					if d == Admitted {
						time.Sleep(duration)
						ticket.Done(Sample{Total: duration, Self: duration, Shed: isShed})
					}
				})
			}
			for range 600 {
				time.Sleep(time.Duration(rng.ExpFloat64() * float64(40*time.Millisecond) / float64(slots)))
				id := []byte{byte(rng.Int()), byte(rng.Int()), 0, byte(rng.Int())}
				rank := NewRank(uint32(rng.IntN(3)), uint32(rng.IntN(2)), id, 1, 1)
				run(rank, time.Duration(rng.Int64N(int64(100*time.Millisecond))), rng.IntN(50) == 0)
				switch rng.IntN(300) {
				case 0:
					g.Drain()
				case 1, 2:
					g.Resume()
				case 3:
					g.SetSlots(1 + rng.IntN(30))
				case 4:
					g.SetReportedLoad(2 * rng.Float64())
				case 5, 6, 7, 8:
					g.RecordLoad(LoadReport{Slowdown: 100 * rng.Float64(), HasSlowdown: true})
				}
			}
			group.Wait()
			g.Resume()
			time.Sleep(10 * time.Second)
			if _, d := g.Admit(t.Context(), Request{Deadline: time.Now().Add(time.Second)}); d != Admitted {
				t.Errorf("decision %d from an idle gate, want Admitted", d)
			}
			for _, s := range shed {
				for _, a := range admitted {
					if after := a.at.Sub(s.at); after > 0 && after < shedFloorTime && a.class < s.class {
						t.Fatalf("class %d was admitted %s after class %d was shed", a.class, after, s.class)
					}
				}
			}
		})
	})
}

// TestNothingServed ends a window in which requests were shed and none finished.
func TestNothingServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(1, timer.New(), nil)
		req := Request{Rank: lowestRank(3), Deadline: time.Now().Add(time.Hour)}
		ticket, _ := g.Admit(t.Context(), req)
		for range 5 {
			if _, d := g.Admit(t.Context(), req); d != Shed {
				t.Fatalf("decision %d from a full gate, want Shed", d)
			}
		}
		ticket.Done(Sample{})
	})
}

// TestMaxMinShares applies one admission level to the requests of accounts with different demand, and expects the
// admitted requests to be weighted max-min fair.
func TestMaxMinShares(t *testing.T) {
	accounts := []struct {
		demand float64
		rate   float64
	}{{600, 100}, {100, 100}, {40, 100}, {500, 500}}
	const draws = 20000
	rng := rand.New(rand.NewPCG(1, 1))
	for _, threshold := range []float64{0.2, 0.5, 0.9} {
		minRank := Rank(float64(classSize-1) * (1 - threshold/maxPosition))
		for _, a := range accounts {
			admittedCount := 0
			for range draws {
				id := []byte{byte(rng.Int()), byte(rng.Int()), byte(rng.Int()), byte(rng.Int())}
				if NewRank(0, 0, id, a.demand, a.rate) >= minRank {
					admittedCount++
				}
			}
			got := a.demand * float64(admittedCount) / draws
			want := min(a.demand, threshold*a.rate)
			if got < want*0.93 || got > want*1.07 {
				t.Errorf("threshold %v: demand %v at rate %v: admitted %.1f, want %.1f", threshold, a.demand, a.rate, got, want)
			}
		}
	}
}
