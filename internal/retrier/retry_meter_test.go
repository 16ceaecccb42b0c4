package retrier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Dimensions of the simulated chain. Each level has chainNodes nodes, and each request at the last but one level makes
// chainFanOut calls to the last one. chainRate is the number of root requests per second.
const (
	chainLevels = 4
	chainNodes  = 4
	chainFanOut = 5
	chainRate   = 200
)

// chainNode is the retry state of one node.
type chainNode struct {
	meter    RetryMeter
	reported RetryShares
	nested   RetryShares
	ratio    Ratio
}

// chain simulates a chain of services whose nested calls do not identify the request that made them.
type chain struct {
	random       *rand.Rand
	limit        RetryLimit
	nodes        [chainLevels + 1][chainNodes]chainNode
	failureRates [chainLevels + 1]float64
	now          time.Time
	// initial and retries count the initial requests and the retries that reach each level in each second.
	initial, retries [chainLevels + 1][]int
}

// call sends one request from a node of the level above, retries it if allowed, and reports whether it succeeded.
// IsRetry reports whether the request is a retry; probability is the nodes' estimate of that.
func (c *chain) call(level, from int, isRetry bool, probability float64) bool {
	caller := &c.nodes[level-1][from]
	if c.attempt(level, caller, isRetry, probability) {
		caller.ratio.RecordSuccess(c.allowance())
		return true
	}
	if caller.reported.Of(fmt.Sprint(level), c.now) >= c.limit.TargetShare() || !caller.ratio.take(c.allowance()) {
		return false
	}
	return c.attempt(level, caller, true, 1)
}

func (c *chain) attempt(level int, caller *chainNode, isRetry bool, probability float64) bool {
	at := c.random.IntN(chainNodes)
	n := &c.nodes[level][at]
	n.meter.Count(probability, c.now)
	second := len(c.initial[level]) - 1
	if isRetry {
		c.retries[level][second]++
	} else {
		c.initial[level][second]++
	}
	ok := true
	if level < chainLevels {
		calls := 1
		if level == chainLevels-1 {
			calls = chainFanOut
		}
		for range calls {
			ok = ok && c.call(level+1, at, isRetry, n.meter.Probability(c.now))
		}
	}
	ok = ok && c.random.Float64() >= c.failureRates[level]
	share := max(n.meter.Share(c.now), n.nested.Highest(c.now))
	caller.reported.Record(fmt.Sprint(level), share, c.now)
	if level > 1 {
		caller.nested.Record(fmt.Sprint(level), share, c.now)
	}
	return ok
}

func (c *chain) allowance() Allowance {
	return AllowanceOf(c.limit, chainLevels*chainNodes)
}

// run sends root requests for the given number of seconds and returns the share of them that failed.
func (c *chain) run(seconds int) float64 {
	failed := 0
	for range seconds {
		for level := range c.initial {
			c.initial[level], c.retries[level] = append(c.initial[level], 0), append(c.retries[level], 0)
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

// Retries compensate for failures at any level of a chain as far as the retry limit allows. In no window does a service
// get more retries than the limit, even if every level fails at the same time and no request is marked as a retry.
func TestRetriesOfChain(t *testing.T) {
	limit := RetryLimit{Share: 0.2, Slack: 49}
	const seconds, window = 40, 10
	tests := []struct {
		name         string
		failureRates [chainLevels + 1]float64
		// maxFailed is the largest share of root requests that may fail.
		maxFailed float64
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
			c := &chain{random: rand.New(rand.NewPCG(1, 2)), limit: limit, failureRates: tt.failureRates, now: time.Unix(1000, 0)}
			for level := range c.nodes {
				for i := range c.nodes[level] {
					c.nodes[level][i].meter.span = window * time.Second / meterSpans
					c.nodes[level][i].ratio.tokens = c.allowance().Burst
				}
			}
			// The first ten seconds have no failures.
			c.failureRates = [chainLevels + 1]float64{}
			c.run(window)
			c.failureRates = tt.failureRates
			if failed := c.run(seconds); failed > tt.maxFailed {
				t.Errorf("%.3f of the requests failed, want at most %.3f", failed, tt.maxFailed)
			}
			for level := 1; level <= chainLevels; level++ {
				for from := 0; from+window <= len(c.initial[level]); from++ {
					initial, retries := 0, 0
					for i := from; i < from+window; i++ {
						initial, retries = initial+c.initial[level][i], retries+c.retries[level][i]
					}
					if maxRetries := limit.Share*float64(initial) + limit.Slack; float64(retries) > maxRetries {
						t.Fatalf("level %d, from second %d: %d retries of %d requests, want at most %.0f", level, from, retries, initial, maxRetries)
					}
				}
			}
		})
	}
}

// A window of zero, which the settings allow, must not disable the meter.
func TestRetryMeterWithoutWindow(t *testing.T) {
	r := NewRetryMeter(0)
	now := time.Unix(1000, 0)
	r.Count(1, now)
	if share := r.Share(now); share <= 0 {
		t.Errorf("share %v after a retry, want more than zero", share)
	}
}
