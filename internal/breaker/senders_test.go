package breaker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/breaker"
	"github.com/lavenderhub/lavenderhub/internal/router"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	upstreamCount = 5
	senderCount   = 20
	// callSpacing makes each sender send five calls a second, and so one to each upstream.
	callSpacing = time.Second / (5 * senderCount)
	// reroutes is the number of reroutes of a call in package forwarder.
	reroutes = 2
)

// service is a service with the senders that call it, and the calls in progress.
type service struct {
	random   *rand.Rand
	now      time.Time
	senders  []*router.Router
	breakers map[string]*breaker.Breaker
	// errorRate returns the share of calls that an upstream fails.
	errorRate func(upstream string) float64
	// callTime is the time that each call takes.
	callTime time.Duration
	running  []runningCall
	// withBreakers is false for the behavior without breakers.
	withBreakers bool
}

type runningCall struct {
	endsAt time.Time
	end    func()
}

func newService(withBreakers bool) *service {
	s := &service{
		random: rand.New(rand.NewPCG(5, 6)), now: time.Unix(1000, 0), breakers: map[string]*breaker.Breaker{},
		callTime: 100 * time.Millisecond, withBreakers: withBreakers,
	}
	var workers []*schema.Worker
	for i := range upstreamCount {
		name := fmt.Sprintf("u%d", i)
		s.breakers[name] = breaker.New()
		workers = append(workers, &schema.Worker{
			Node: name, FailureDomain: "d", Region: "r", PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1000+i), Slots: 50,
			State: schema.UpstreamState_UPSTREAM_STATE_READY,
		})
	}
	for i := range senderCount {
		r := router.New(fmt.Sprintf("s%d", i), "d", "r", router.WithRandom(s.random.IntN))
		r.SetWorkers("x", workers)
		s.senders = append(s.senders, r)
	}
	return s
}

// counts counts the calls that reached an upstream.
type counts struct {
	calls, failed, refused int
	// toFaulty counts the calls to upstreams that fail some, sent the attempts with those that were refused.
	toFaulty, sent int
}

// run sends calls for the given time.
func (s *service) run(d time.Duration) counts {
	var c counts
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(callSpacing) {
		for len(s.running) > 0 && !s.running[0].endsAt.After(s.now) {
			s.running[0].end()
			s.running = s.running[1:]
		}
		s.send(s.senders[s.random.IntN(senderCount)], s.random.IntN(2) == 0, &c)
	}
	return c
}

// send sends a call to one upstream and, if its breaker refuses it, to further ones.
func (s *service) send(r *router.Router, idempotent bool, c *counts) {
	c.calls++
	var tried []*router.Target
	for attempt := range reroutes + 1 {
		t := r.Pick("x", tried, false, s.now)
		tried = append(tried, t)
		c.sent++
		ignore := t.IsSuspended(s.now) || attempt == reroutes
		var a breaker.Admission
		if s.withBreakers {
			a = s.breakers[t.Node].Admit(s.now, idempotent, ignore)
		}
		t.Start()
		if a.SuspendedFor > 0 {
			t.Suspend(a.SuspendedFor, s.now)
			t.Finish(router.Result{Refused: true, HasLoad: true}, s.now)
			continue
		}
		rate := s.errorRate(t.Node)
		result := breaker.Success
		if s.random.Float64() < rate {
			result = breaker.Failure
			c.failed++
		}
		if rate > 0.1 {
			c.toFaulty++
		}
		s.running = append(s.running, runningCall{s.now.Add(s.callTime), func() {
			// The upstream's error is a complete response, which the sender does not count as its failure.
			t.Finish(router.Result{Latency: s.callTime, HasLoad: true}, s.now)
			if s.withBreakers {
				s.breakers[t.Node].Record(a.Permit, result, s.now)
			}
		}})
		return
	}
	c.refused++
}

// One of five upstreams fails for six seconds. Callers get its errors for most of that time without breakers.
func TestCallersOfFaultyUpstream(t *testing.T) {
	const usual = 0.004
	for _, rate := range []float64{0.32, 1} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			var failed [2]float64
			for i, withBreakers := range []bool{false, true} {
				s := newService(withBreakers)
				s.errorRate = func(string) float64 { return usual }
				s.run(10 * time.Second)
				s.errorRate = func(upstream string) float64 {
					if upstream == "u2" {
						return rate
					}
					return usual
				}
				first, rest := s.run(time.Second), s.run(5*time.Second)
				failed[i] = float64(rest.failed) / float64(rest.calls)
				s.errorRate = func(string) float64 { return usual }
				s.run(4 * time.Second)
				after := s.run(4 * time.Second)
				t.Logf("breakers %v: failed %d of %d, then %d of %d with %d sent, %d to the faulty one; after %d of %d",
					withBreakers, first.failed, first.calls, rest.failed, rest.calls, rest.sent, rest.toFaulty, after.failed, after.calls)
				if first.refused+rest.refused+after.refused > 0 {
					t.Error("a call ended with a refusal")
				}
				if !withBreakers {
					continue
				}
				if failed[1] > failed[0]/3 {
					t.Errorf("%.3f of the calls failed, without breakers %.3f", failed[1], failed[0])
				}
				if rest.sent > rest.calls*5/4 {
					t.Errorf("%d attempts for %d calls", rest.sent, rest.calls)
				}
				if after.sent > after.calls {
					t.Errorf("%d calls were rerouted after the fault", after.sent-after.calls)
				}
			}
		})
	}
}

// When most or all upstreams fail, every call must still be tried: a part of them succeeds, and the others may be worse.
func TestAllUpstreamsFaulty(t *testing.T) {
	for faulty := 3; faulty <= upstreamCount; faulty++ {
		t.Run(fmt.Sprint(faulty), func(t *testing.T) {
			s := newService(true)
			s.errorRate = func(upstream string) float64 {
				if upstream < fmt.Sprintf("u%d", faulty) {
					return 0.6
				}
				return 0
			}
			s.run(2 * time.Second)
			c := s.run(6 * time.Second)
			t.Logf("failed %d of %d with %d sent", c.failed, c.calls, c.sent)
			if c.refused > 0 {
				t.Errorf("%d calls ended with a refusal", c.refused)
			}
			if share := float64(c.failed) / float64(c.calls); share > 0.6*1.1 {
				t.Errorf("%.2f of the calls failed", share)
			}
			s.errorRate = func(string) float64 { return 0 }
			s.run(4 * time.Second)
			if c := s.run(2 * time.Second); c.sent > c.calls {
				t.Errorf("%d calls were rerouted after the fault", c.sent-c.calls)
			}
		})
	}
}
