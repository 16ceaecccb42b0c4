package router

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	modelSlots  = 24
	modelNodes  = 56
	modelTarget = 500 * time.Millisecond
	modelTime   = 140 * time.Millisecond
	// A slow period of a host lasts slowPeriod in each slowCycle, 15 % of the time.
	slowPeriod = 600 * time.Millisecond
	slowCycle  = 4 * time.Second
)

// speeds are the factors of the times at the upstreams of one service.
var speeds = []float64{0.5, 0.6, 0.7, 1, 1, 1.4, 1.5, 1.6, 1}

// modelLoad is the load of a service.
type modelLoad struct {
	// load is the share of what the upstreams can serve while no host is slow.
	load float64
	// steady is set if no host is ever slow.
	steady bool
	// shortShare is the share of requests that take a tenth of the time. Only half of the nodes send them.
	shortShare float64
}

// modelReports is what the upstreams report of their hosts.
type modelReports struct {
	// report returns what is reported for a slowdown. It is nil if nothing is reported.
	report func(slowdown float64) float64
	// onlyFirst is set if the other upstreams report the truth.
	onlyFirst bool
}

// modelService is a service whose upstreams differ in speed, slow down from 95 % of their slots, and are on hosts that are
// slow at times. Each of its nodes chooses by what it knows itself.
type modelService struct {
	mu      sync.Mutex
	rng     *rand.Rand
	start   time.Time
	running []int
	gates   []*admitter.Gate
	routers []*Router
	modelLoad
	modelReports

	sent, good, served, refused int
	latency                     time.Duration
}

func newModelService(mode admitter.AdaptiveMode, seed uint64) *modelService {
	s := &modelService{rng: rand.New(rand.NewPCG(seed, 2)), start: time.Now(), running: make([]int, len(speeds))}
	var workers []*schema.Worker
	for i := range speeds {
		s.gates = append(s.gates, admitter.New(modelSlots, timer.New(), nil, admitter.WithStaticLimit(), admitter.WithUsableShare(0.95),
			admitter.WithAdaptiveMode(mode)))
		workers = append(workers, worker(fmt.Sprint(i), string(rune('a'+i%3)), modelSlots))
	}
	for i := range modelNodes {
		r := New("entry"+fmt.Sprint(i), string(rune('a'+i%3)), "r", WithRandom(s.intN))
		r.SetWorkers("s", workers)
		s.routers = append(s.routers, r)
	}
	return s
}

func (s *modelService) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *modelService) slowdown(i int, at time.Duration) float64 {
	if !s.steady && (at+time.Duration(i)*slowCycle*4/9)%slowCycle < slowPeriod {
		return 2.5
	}
	return 1
}

// send sends a request from a node, to a second worker if the first refuses it.
func (s *modelService) send(node int, size float64) {
	start := time.Now()
	id := binary.LittleEndian.AppendUint32(nil, uint32(s.intN(1<<31)))
	var tried []*Target
	for range 2 {
		t := s.routers[node].Pick("s", tried, false, time.Now())
		tried = append(tried, t)
		t.Start()
		begun := time.Now()
		i, _ := strconv.Atoi(t.Node)
		g := s.gates[i]
		time.Sleep(1400 * time.Microsecond)
		ticket, d := g.Admit(context.Background(), admitter.Request{
			Rank: admitter.NewRank(1, 1, id, 1, 1), Deadline: start.Add(2 * time.Second), MaxWait: modelTarget / 4, Rerouted: len(tried) > 1,
		})
		if d == admitter.Admitted {
			s.run(i, size, ticket)
		}
		report := g.Report()
		time.Sleep(1400 * time.Microsecond)
		result := Result{Latency: time.Since(begun), Refused: d != admitter.Admitted, Load: report.Load, HasLoad: true}
		if report.HasExpected {
			result.Expected = report.Expected
		}
		t.Finish(result, time.Now())
		if d == admitter.Admitted {
			s.count(time.Since(start))
			return
		}
	}
	s.mu.Lock()
	s.refused++
	s.mu.Unlock()
}

func (s *modelService) count(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	s.latency += latency
	if latency <= modelTarget {
		s.good++
	}
}

// run runs a request, which is as slow at each time as its host, and 1.3 times as slow if it finds 95 % of the slots in use.
func (s *modelService) run(i int, size float64, ticket admitter.Ticket) {
	begun := time.Now()
	s.mu.Lock()
	s.running[i]++
	left := modelTime.Seconds() * size * speeds[i] * (0.7 + 0.6*s.rng.Float64())
	if float64(s.running[i]) >= 0.95*modelSlots {
		left *= 1.3
	}
	s.mu.Unlock()
	const step = 5 * time.Millisecond
	total := time.Duration(0)
	for ; left > 0; total += step {
		left -= step.Seconds() / s.slowdown(i, begun.Add(total).Sub(s.start))
	}
	time.Sleep(total)
	s.mu.Lock()
	s.running[i]--
	report := admitter.LoadReport{Running: s.running[i], Slots: modelSlots, HasSlowdown: s.report != nil}
	if s.report != nil {
		report.Slowdown = s.slowdown(i, time.Since(s.start))
		if !s.onlyFirst || i == 0 {
			report.Slowdown = s.report(report.Slowdown)
		}
	}
	s.mu.Unlock()
	s.gates[i].RecordLoad(report)
	ticket.Done(admitter.Sample{Total: time.Since(begun), Self: time.Since(begun)})
}

// serve sends requests for the given time and waits for their ends.
func (s *modelService) serve(length time.Duration) {
	capacity := 0.0
	for _, speed := range speeds {
		capacity += modelSlots * 0.95 / (modelTime.Seconds() * speed)
	}
	capacity /= 1 - 0.9*s.shortShare
	arrivals := rand.New(rand.NewPCG(s.rng.Uint64(), 4))
	var group sync.WaitGroup
	for time.Since(s.start) < length {
		time.Sleep(time.Duration(arrivals.ExpFloat64() / (s.load * capacity) * float64(time.Second)))
		node, size := arrivals.IntN(len(s.routers)), 1.0
		if arrivals.Float64() < s.shortShare {
			node, size = node/2*2, 0.1
		}
		s.sent++
		group.Go(func() { s.send(node, size) })
	}
	group.Wait()
}

// countGood returns the number of responses within the target latency.
func countGood(t *testing.T, mode admitter.AdaptiveMode, load modelLoad, reports modelReports) (good int) {
	synctest.Test(t, func(t *testing.T) {
		s := newModelService(mode, 1)
		s.modelLoad, s.modelReports = load, reports
		s.serve(8 * time.Second)
		good = s.good
		t.Logf("mode %d: %d sent, %d good, %d served in %.0f ms, %d refused", mode, s.sent, s.good, s.served,
			1000*s.latency.Seconds()/float64(max(1, s.served)), s.refused)
	})
	return good
}

// Callers must get at least as many responses within the target latency with the gates' estimates as without them, however the
// upstreams report.
func TestEstimatesHelpCallers(t *testing.T) {
	truth := modelReports{report: func(x float64) float64 { return x }}
	slow := modelReports{report: func(float64) float64 { return 100 }}
	oneSlow := modelReports{report: slow.report, onlyFirst: true}
	inverse := modelReports{report: func(x float64) float64 { return 1 / x }}
	none := modelReports{}
	const usual, full, over = 0.6, 0.9, 1.2
	tests := []struct {
		name    string
		load    modelLoad
		reports modelReports
		// gain is the wanted ratio of good responses. Where nothing is to be gained, it allows for the variation between runs.
		gain float64
	}{
		{"speeds only", modelLoad{load: 0.7, steady: true}, none, 0.998},
		{"speeds only, full", modelLoad{load: 1, steady: true}, none, 1.04},
		{"slow hosts", modelLoad{load: usual}, truth, 0.998},
		{"slow hosts, full", modelLoad{load: full}, truth, 1.04},
		{"slow hosts, overloaded", modelLoad{load: over}, truth, 1.02},
		{"no reports", modelLoad{load: usual}, none, 0.998},
		{"no reports, full", modelLoad{load: full}, none, 1.04},
		{"always reported as slow", modelLoad{load: usual}, slow, 0.998},
		{"one always reported as slow, full", modelLoad{load: full}, oneSlow, 1.04},
		{"inverse reports", modelLoad{load: usual}, inverse, 0.998},
		{"inverse reports, full", modelLoad{load: full}, inverse, 1.04},
		{"short and long requests", modelLoad{load: usual, shortShare: 0.8}, truth, 0.998},
	}
	// Without estimates, reports change nothing.
	without := map[modelLoad]int{}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if without[tt.load] == 0 {
				without[tt.load] = countGood(t, admitter.AdaptiveOff, tt.load, none)
			}
			ratio := float64(countGood(t, admitter.AdaptiveOn, tt.load, tt.reports)) / float64(without[tt.load])
			t.Logf("%.3f times as many good responses", ratio)
			if ratio < tt.gain {
				t.Errorf("%.3f times as many good responses, want %.3f", ratio, tt.gain)
			}
		})
	}
}

// When all nodes know the same fresh figures, they must not all send to the same worker: it would be overloaded before the
// next report.
func TestFreshEstimatesCauseNoHerd(t *testing.T) {
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	const nodes, count = 300, 12
	var workers []*schema.Worker
	for i := range count {
		workers = append(workers, worker(fmt.Sprint(i), "a", modelSlots))
	}
	calls := map[string]int{}
	for range nodes {
		r := New("entry", "a", "r", WithRandom(rng.IntN))
		r.SetWorkers("s", workers)
		for _, target := range r.targets("s") {
			expected := 100 * time.Millisecond
			if target.Node == "0" {
				expected /= 4
			}
			target.Start()
			target.Finish(Result{Latency: expected, Expected: expected, Load: 0.3, HasLoad: true}, now)
		}
		calls[r.Pick("s", nil, false, now).Node]++
	}
	if calls["0"] < nodes/5 || calls["0"] > nodes*2/5 {
		t.Errorf("%d of %d nodes chose the worker with the best report, want about one in four: %v", calls["0"], nodes, calls)
	}
}

// A node that sends many calls before the next report must not send all of them to the worker with the best report.
func TestCallsSinceEstimateCount(t *testing.T) {
	now := time.Unix(1000, 0)
	r := fourWorkers(20)
	for _, target := range r.targets("s") {
		target.Domain = "a"
		expected := 100 * time.Millisecond
		if target.Node == "na" {
			expected /= 2
		}
		target.Start()
		target.Finish(Result{Latency: expected, Expected: expected, HasLoad: true}, now)
	}
	calls := map[string]int{}
	for range 50 {
		target := r.Pick("s", nil, false, now)
		target.Start()
		calls[target.Node]++
	}
	if calls["na"] < 15 || calls["na"] > 25 {
		t.Errorf("%d of 50 calls went to a worker with 20 slots that is twice as fast: %v", calls["na"], calls)
	}
}

// An estimate must be used while it is fresh only, and the means of this node's calls otherwise, in the same scale.
func TestEstimateExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	r := fourWorkers(20)
	targets := r.targets("s")
	for range 200 {
		for _, target := range targets {
			// This node's calls take a tenth of the mean that the gates report over all calls.
			target.Start()
			target.Finish(Result{Latency: 10 * time.Millisecond, Expected: 100 * time.Millisecond, HasLoad: true}, now)
		}
	}
	targets[0].Start()
	targets[0].Finish(Result{Refused: true, Expected: 300 * time.Millisecond, HasLoad: true}, now)
	if got := targets[0].cost(now) / targets[1].cost(now); got < 2.9 || got > 3.1 {
		t.Errorf("cost is %.2f times that of the others, want 3", got)
	}
	if got := targets[1].cost(now); got < 0.009 || got > 0.011 {
		t.Errorf("cost is %.4f, want the 10 ms that this node measures", got)
	}
	later := now.Add(estimateLifetime)
	if got := targets[0].cost(later) / targets[1].cost(later); got < 0.99 || got > 1.01 {
		t.Errorf("cost is %.2f times that of the others when the estimates have expired, want 1", got)
	}
}
