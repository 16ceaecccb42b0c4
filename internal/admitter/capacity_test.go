package admitter

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// behaviour is how an upstream's times depend on its load and its host.
type behaviour struct {
	slots int
	base  time.Duration
	// slowFrom is the share of the slots from which requests take 1.3 times as long, or zero.
	slowFrom func(at time.Duration) float64
	// slowdown is that of the host, reported what the upstream reports of it.
	slowdown func(at time.Duration) float64
	reported func(at time.Duration) float64
	// nestedRate is the number of nested calls per second that the service below serves, or zero without nested calls.
	nestedRate float64
}

// modelUpstream gives the times of requests at an upstream.
type modelUpstream struct {
	behaviour

	mu         sync.Mutex
	rng        *rand.Rand
	start      time.Time
	running    int
	nestedFree time.Time
	done       int
	sum        time.Duration
}

func constant(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

// pulses returns 2.5 for half a second in every 3.4 s, and 1 otherwise.
func pulses(at time.Duration) float64 {
	if at%(3400*time.Millisecond) < 500*time.Millisecond {
		return 2.5
	}
	return 1
}

func (u *modelUpstream) run(g *Gate, ticket Ticket) {
	u.mu.Lock()
	begun := time.Now()
	at := begun.Sub(u.start)
	u.running++
	factor := u.slowdown(at) * (0.7 + 0.6*u.rng.Float64())
	if from := u.slowFrom(at); from > 0 && float64(u.running) > from*float64(u.slots) {
		factor *= 1.3
	}
	self := time.Duration(float64(u.base) * factor)
	nested := time.Duration(0)
	if u.nestedRate > 0 {
		if u.nestedFree.Before(begun) {
			u.nestedFree = begun
		}
		u.nestedFree = u.nestedFree.Add(time.Duration(float64(time.Second) / u.nestedRate))
		nested = u.nestedFree.Sub(begun)
	}
	u.mu.Unlock()
	time.Sleep(self + nested)
	u.mu.Lock()
	u.running--
	u.done++
	u.sum += time.Since(begun)
	report := LoadReport{Running: u.running, Slots: u.slots, Slowdown: u.reported(time.Since(u.start)), HasSlowdown: true}
	u.mu.Unlock()
	g.RecordLoad(report)
	// The nested time is not known.
	ticket.Done(Sample{Total: time.Since(begun), Self: time.Since(begun)})
}

// saturate keeps more requests waiting than the gate admits, and returns the number served in the given time, and the gate.
func saturate(t *testing.T, u *modelUpstream, mode AdaptiveMode, length time.Duration) (done int, g *Gate) {
	synctest.Test(t, func(t *testing.T) {
		u.rng, u.start = rand.New(rand.NewPCG(5, 6)), time.Now()
		g = New(u.slots, timer.New(), nil, WithStaticLimit(), WithAdaptiveMode(mode))
		var group sync.WaitGroup
		for range u.slots * 5 / 4 {
			group.Go(func() {
				for time.Since(u.start) < length {
					ticket, d := g.Admit(t.Context(), Request{Rank: InProgress, Deadline: time.Now().Add(time.Minute)})
					if d == Admitted {
						u.run(g, ticket)
					}
				}
			})
		}
		group.Wait()
	})
	return u.done, g
}

// An upstream that slows down before it is full serves more requests with a lower limit. One that is evenly slower, or that
// waits for a slow service below, must keep its limit.
func TestCapacityUnderSaturation(t *testing.T) {
	one := constant(1)
	tests := []struct {
		name     string
		upstream behaviour
		// gain is the wanted ratio of throughput with and without what is learned.
		gain float64
		// low and high bound the learned limit.
		low, high int
	}{
		{"slower from 95 %", behaviour{slowFrom: constant(0.95), slowdown: one, reported: one}, 1.12, 85, 95},
		{"slower from 90 %", behaviour{slowFrom: constant(0.90), slowdown: one, reported: one}, 1.06, 81, 90},
		{"never slower", behaviour{slowFrom: constant(0), slowdown: one, reported: one}, 0.99, 100, 100},
		{"evenly slower", behaviour{slowFrom: constant(0), slowdown: constant(3), reported: constant(3)}, 0.99, 100, 100},
		{"slow for half a second", behaviour{slowFrom: constant(0), slowdown: pulses, reported: pulses}, 0.99, 100, 100},
		{"slow for half a second, not reported", behaviour{slowFrom: constant(0), slowdown: pulses, reported: one}, 0.99, 94, 100},
		{"slow for half a second and from 95 %", behaviour{slowFrom: constant(0.95), slowdown: pulses, reported: pulses}, 1.1, 85, 95},
		{"wrongly reported as slow", behaviour{slowFrom: constant(0), slowdown: one, reported: pulses}, 0.99, 100, 100},
		{"slow service below", behaviour{slowFrom: constant(0), slowdown: one, reported: one, nestedRate: 200}, 0.99, 100, 100},
		{"slow from 95 % at first", behaviour{slowFrom: func(at time.Duration) float64 {
			if at < 12*time.Second {
				return 0.95
			}
			return 0
		}, slowdown: one, reported: one}, 1, 100, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const length = 40 * time.Second
			var done [2]int
			var g *Gate
			for i, mode := range []AdaptiveMode{AdaptiveOff, AdaptiveOn} {
				u := modelUpstream{behaviour: tt.upstream}
				u.slots, u.base = 100, 200*time.Millisecond
				done[i], g = saturate(t, &u, mode, length)
			}
			limit := g.learned.capacity.bound
			t.Logf("%d served without, %d with; limit %d", done[0], done[1], limit)
			if ratio := float64(done[1]) / float64(done[0]); ratio < tt.gain {
				t.Errorf("%.3f times as many requests were served, want %.3f", ratio, tt.gain)
			}
			if limit < tt.low || limit > tt.high {
				t.Errorf("limit %d, want %d to %d", limit, tt.low, tt.high)
			}
		})
	}
}
