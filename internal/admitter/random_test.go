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

// event is a decision of a gate.
type event struct {
	at    time.Time
	class int
}

// TestRandomGate sends random requests through a gate whose slots, service time and state change. The gate asserts its
// own invariants; the test asserts that no less important request is admitted within a second after a more important
// one was shed, that nothing waits for good, and that the gate works again afterwards.
func TestRandomGate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			slots := 1 + random.IntN(30)
			assert := asserter.New(nil, asserter.WithOnBreak(func(i asserter.Invariant, s string) { t.Errorf("%s %s", i, s) }))
			g := New(slots, timer.New(), assert)
			var mu sync.Mutex
			var admitted, shed []event
			var group sync.WaitGroup
			run := func(rank Rank, took time.Duration, broken bool) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.Int64N(int64(2*time.Second))))
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
						time.Sleep(took)
						ticket.Done(Sample{Total: took, Self: took, Shed: broken})
					}
				})
			}
			for range 600 {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(40*time.Millisecond) / float64(slots)))
				id := []byte{byte(random.Int()), byte(random.Int()), 0, byte(random.Int())}
				rank := NewRank(uint32(random.IntN(3)), uint32(random.IntN(2)), id, 1, 1)
				run(rank, time.Duration(random.Int64N(int64(100*time.Millisecond))), random.IntN(50) == 0)
				switch random.IntN(300) {
				case 0:
					g.Drain()
				case 1, 2:
					g.Resume()
				case 3:
					g.SetSlots(1 + random.IntN(30))
				case 4:
					g.SetReportedLoad(2 * random.Float64())
				}
			}
			group.Wait()
			g.Resume()
			time.Sleep(10 * time.Second)
			if _, d := g.Admit(t.Context(), Request{Deadline: time.Now().Add(time.Second)}); d != Admitted {
				t.Errorf("an idle gate answers %d", d)
			}
			for _, s := range shed {
				for _, a := range admitted {
					if since := a.at.Sub(s.at); since > 0 && since < fenceTime && a.class < s.class {
						t.Fatalf("class %d was admitted %s after class %d was shed", a.class, since, s.class)
					}
				}
			}
		})
	})
}

// TestNothingServed lets a window pass in which requests were shed and none was answered.
func TestNothingServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(1, timer.New(), nil)
		ask := Request{Rank: floor(3), Deadline: time.Now().Add(time.Hour)}
		ticket, _ := g.Admit(t.Context(), ask)
		for range 5 {
			if _, d := g.Admit(t.Context(), ask); d != Shed {
				t.Fatalf("a full gate answers %d", d)
			}
		}
		ticket.Done(Sample{})
	})
}

// TestMaxMinShares cuts the ranks of accounts with different demand at one level, and expects what is left to be
// weighted max-min fair.
func TestMaxMinShares(t *testing.T) {
	accounts := []struct {
		demand float64
		rate   float64
	}{{600, 100}, {100, 100}, {40, 100}, {500, 500}}
	const draws = 20000
	random := rand.New(rand.NewPCG(1, 1))
	for _, threshold := range []float64{0.2, 0.5, 0.9} {
		cut := Rank(float64(classSize-1) * (1 - threshold/maxPosition))
		for _, a := range accounts {
			kept := 0
			for range draws {
				id := []byte{byte(random.Int()), byte(random.Int()), byte(random.Int()), byte(random.Int())}
				if NewRank(0, 0, id, a.demand, a.rate) >= cut {
					kept++
				}
			}
			got := a.demand * float64(kept) / draws
			want := min(a.demand, threshold*a.rate)
			if got < want*0.93 || got > want*1.07 {
				t.Errorf("threshold %v: demand %v of rate %v keeps %.1f, want %.1f", threshold, a.demand, a.rate, got, want)
			}
		}
	}
}
