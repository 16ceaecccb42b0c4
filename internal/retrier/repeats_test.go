package retrier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Sizes of the simulated chain: each level has some nodes, and a run at the last but one calls the last five times.
const (
	chainLevels = 4
	chainNodes  = 4
	chainFan    = 5
	chainRate   = 200
)

// chainNode is the retry state of one node.
type chainNode struct {
	repeats  RetryMeter
	reported RetryShares
	below    RetryShares
	ratio    Ratio
}

// chain is a chain of services whose calls do not name the request above them.
type chain struct {
	random *rand.Rand
	terms  RetryLimit
	nodes  [chainLevels + 1][chainNodes]chainNode
	fails  [chainLevels + 1]float64
	now    time.Time
	// firsts and again count what reaches each level in each second.
	firsts, again [chainLevels + 1][]int
}

// call sends one request from a node of the level above, and reports whether it is answered well. IsRepeat is the truth,
// chance what the nodes believe.
func (c *chain) call(level, from int, isRepeat bool, chance float64) bool {
	caller := &c.nodes[level-1][from]
	if c.attempt(level, caller, isRepeat, chance) {
		caller.ratio.RecordSuccess(c.allowance())
		return true
	}
	if caller.reported.Of(fmt.Sprint(level), c.now) >= c.terms.TargetShare() || !caller.ratio.take(c.allowance()) {
		return false
	}
	return c.attempt(level, caller, true, 1)
}

func (c *chain) attempt(level int, caller *chainNode, isRepeat bool, chance float64) bool {
	at := c.random.IntN(chainNodes)
	n := &c.nodes[level][at]
	n.repeats.Count(chance, c.now)
	second := len(c.firsts[level]) - 1
	if isRepeat {
		c.again[level][second]++
	} else {
		c.firsts[level][second]++
	}
	ok := true
	if level < chainLevels {
		calls := 1
		if level == chainLevels-1 {
			calls = chainFan
		}
		for range calls {
			ok = ok && c.call(level+1, at, isRepeat, n.repeats.Probability(c.now))
		}
	}
	ok = ok && c.random.Float64() >= c.fails[level]
	share := max(n.repeats.Share(c.now), n.below.Highest(c.now))
	caller.reported.Record(fmt.Sprint(level), share, c.now)
	if level > 1 {
		caller.below.Record(fmt.Sprint(level), share, c.now)
	}
	return ok
}

func (c *chain) allowance() Allowance {
	return AllowanceOf(c.terms, chainLevels*chainNodes)
}

// play sends root requests for some seconds and returns the share of them that failed.
func (c *chain) play(seconds int) float64 {
	failed := 0
	for range seconds {
		for level := range c.firsts {
			c.firsts[level], c.again[level] = append(c.firsts[level], 0), append(c.again[level], 0)
		}
		for range chainRate {
			c.now = c.now.Add(time.Second / chainRate)
			if !c.call(1, c.random.IntN(chainNodes), false, 0) {
				failed++
			}
		}
	}
	return float64(failed) / float64(seconds*chainRate)
}

// Failures at any level of a chain are made good by repeats while the terms allow, and in no window does a service get more
// repeats than the terms: also not when every level fails at once, and nothing tells which run was a repeat.
func TestRepeatsOfChain(t *testing.T) {
	terms := RetryLimit{Share: 0.2, Slack: 49}
	const seconds, window = 40, 10
	tests := []struct {
		name  string
		fails [chainLevels + 1]float64
		// most is the largest share of root requests that may fail.
		most float64
	}{
		{"none", [chainLevels + 1]float64{}, 0},
		{"first level, one in ten", [chainLevels + 1]float64{1: 0.1}, 0.03},
		{"third level, one in ten", [chainLevels + 1]float64{3: 0.1}, 0.03},
		{"last level, one in thirty", [chainLevels + 1]float64{4: 1.0 / 30}, 0.03},
		{"first level, a third", [chainLevels + 1]float64{1: 1.0 / 3}, 1},
		{"third level, a third", [chainLevels + 1]float64{3: 1.0 / 3}, 1},
		{"last level, a third", [chainLevels + 1]float64{4: 1.0 / 3}, 1},
		{"every level, a third", [chainLevels + 1]float64{0, 1.0 / 3, 1.0 / 3, 1.0 / 3, 1.0 / 3}, 1},
		{"every level, all", [chainLevels + 1]float64{0, 1, 1, 1, 1}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &chain{random: rand.New(rand.NewPCG(1, 2)), terms: terms, fails: tt.fails, now: time.Unix(1000, 0)}
			for level := range c.nodes {
				for i := range c.nodes[level] {
					c.nodes[level][i].repeats.span = window * time.Second / repeatsSpans
					c.nodes[level][i].ratio.saved = c.allowance().Burst
				}
			}
			// Ten calm seconds come first.
			c.fails = [chainLevels + 1]float64{}
			c.play(window)
			c.fails = tt.fails
			if failed := c.play(seconds); failed > tt.most {
				t.Errorf("%.3f of the requests failed, want at most %.3f", failed, tt.most)
			}
			for level := 1; level <= chainLevels; level++ {
				for from := 0; from+window <= len(c.firsts[level]); from++ {
					firsts, again := 0, 0
					for i := from; i < from+window; i++ {
						firsts, again = firsts+c.firsts[level][i], again+c.again[level][i]
					}
					if limit := terms.Share*float64(firsts) + terms.Slack; float64(again) > limit {
						t.Fatalf("level %d, from second %d: %d repeats of %d requests, want at most %.0f", level, from, again, firsts, limit)
					}
				}
			}
		})
	}
}

// A window of nothing, as settings may give, still counts.
func TestRepeatsWithoutWindow(t *testing.T) {
	r := NewRetryMeter(0)
	now := time.Unix(1000, 0)
	r.Count(1, now)
	if share := r.Share(now); share <= 0 {
		t.Errorf("share %v after a repeat", share)
	}
}
