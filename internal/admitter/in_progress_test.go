package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// treeLoad is a load of trees, each of two groups of four calls one after the other, on a gate with 16 slots.
type treeLoad struct {
	name string
	// rates are the loads of half a second each, where 1 is the capacity. callLimit is the longest time of one call.
	rates     []float64
	callLimit time.Duration
	// minGain is the least ratio of trees completed in time at an adaptive gate and at another one.
	minGain float64
}

// play returns how many trees were sent, and how many were completed within a second.
func (l treeLoad) play(mode AdaptiveMode) (sent, good int) {
	const slots, groups, calls, callTime, target, limit = 16, 2, 4, 59 * time.Millisecond, time.Second, 3 * time.Second
	g := New(slots, timer.New(), nil, WithStaticLimit(), WithAdaptiveMode(mode))
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	call := func(parentDeadline time.Time) bool {
		deadline := time.Now().Add(l.callLimit)
		if parentDeadline.Before(deadline) {
			deadline = parentDeadline
		}
		ticket, d := g.Admit(context.Background(), Request{Rank: InProgress, Deadline: deadline})
		if d != Admitted {
			return false
		}
		mu.Lock()
		took := time.Duration((0.5 + random.Float64()) * float64(callTime))
		mu.Unlock()
		time.Sleep(took)
		ticket.Done(Sample{Total: took, Self: took})
		return !time.Now().After(deadline)
	}
	var trees sync.WaitGroup
	tree := func() {
		start := time.Now()
		var group sync.WaitGroup
		var done [groups]int
		for i := range groups {
			group.Go(func() {
				for done[i] < calls && call(start.Add(limit)) {
					done[i]++
				}
			})
		}
		group.Wait()
		if done == [groups]int{calls, calls} && time.Since(start) <= target {
			mu.Lock()
			good++
			mu.Unlock()
		}
	}
	arrivals := rand.New(rand.NewPCG(3, 4))
	for _, rate := range l.rates {
		perSecond := rate * slots / (groups * calls * callTime.Seconds())
		for start := time.Now(); time.Since(start) < time.Second/2; sent++ {
			time.Sleep(time.Duration(arrivals.ExpFloat64() / perSecond * float64(time.Second)))
			trees.Go(tree)
		}
	}
	trees.Wait()
	return sent, good
}

// TestTreesOfFullGate guards against a full gate at which all calls in progress start at their last moment, so that nearly
// all requests above end late or fail, and against requests that a bounded wait fails after a short burst.
func TestTreesOfFullGate(t *testing.T) {
	lasting := func(rate float64) []float64 {
		return []float64{0.7, 0.7, rate, rate, rate, rate, rate, rate, rate, rate, rate, rate, 0.7, 0.7, 0.7, 0.7}
	}
	const short, long = 700 * time.Millisecond, 3 * time.Second
	tests := []treeLoad{
		{"full use", lasting(0.9), short, 0.99},
		{"full use, long calls", lasting(0.9), long, 0.99},
		{"bursts", []float64{0.7, 1.6, 0.7, 0.7, 0.7, 1.6, 0.7, 0.7, 0.7}, short, 0.95},
		{"bursts, long calls", []float64{0.7, 1.6, 0.7, 0.7, 0.7, 1.6, 0.7, 0.7, 0.7}, long, 0.95},
		{"larger bursts", []float64{0.7, 2.2, 0.7, 0.7, 0.7, 2.2, 0.7, 0.7, 0.7}, short, 0.95},
		{"1.4 times the capacity", lasting(1.4), short, 1.3},
		{"1.4 times the capacity, long calls", lasting(1.4), long, 1.3},
		{"twice the capacity", lasting(2), short, 1.3},
		{"twice the capacity, long calls", lasting(2), long, 1.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent, before := tt.play(AdaptiveOff)
				_, good := tt.play(AdaptiveOn)
				t.Logf("%d sent, %d good without and %d with the bounded wait", sent, before, good)
				if float64(good) < tt.minGain*float64(before) {
					t.Errorf("%d good, want at least %v times %d", good, tt.minGain, before)
				}
			})
		})
	}
}
