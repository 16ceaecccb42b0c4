package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

func reportNode(l *leadership, i int, state schema.UpstreamState, now time.Time) *schema.SyncReply {
	reply := &schema.SyncReply{}
	name := fmt.Sprintf("node-%d", i)
	worker := &schema.Worker{Node: name, Service: "a", State: state, PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256)}
	l.exchangeState(&schema.SyncRequest{Node: name, Incarnation: 1, Workers: []*schema.Worker{worker}}, reply, now)
	return reply
}

func aggregatorsOf(order []int, start time.Time) *leadership {
	l := newTestLeadership(start, 0)
	l.start = start
	for _, i := range order {
		reportNode(l, i, schema.UpstreamState_UPSTREAM_STATE_READY, start)
	}
	l.refreshAggregators(start.Add(membershipGatherTime))
	return l
}

func numbers(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestNewLeaderMovesTokens guards against a change of leader that gives the accounts other aggregators: the tokens that the old
// ones hold would be missing.
func TestNewLeaderMovesTokens(t *testing.T) {
	start := time.Unix(1000, 0)
	order := numbers(186)
	first := aggregatorsOf(order, start)
	slices.Reverse(order)
	second := aggregatorsOf(order, start)
	if a, b := first.aggregators.current, second.aggregators.current; !slices.Equal(a.GetAddresses(), b.GetAddresses()) ||
		a.GetFingerprint() != b.GetFingerprint() || len(a.GetAddresses()) != 186/nodesPerAggregator {
		t.Errorf("aggregators %v and %v", a, b)
	}
	l := newTestLeadership(start, 0)
	l.start = start
	for _, i := range order[:100] {
		reply := reportNode(l, i, schema.UpstreamState_UPSTREAM_STATE_READY, start)
		l.refreshAggregators(start.Add(time.Second))
		if reply.GetAggregators() != nil {
			t.Fatal("a new leader names aggregators before all nodes had time to report")
		}
	}
}

// TestLeavingNodeMovesFewTokens guards against a change of all aggregators when one node leaves.
func TestLeavingNodeMovesFewTokens(t *testing.T) {
	start := time.Unix(1000, 0)
	l := aggregatorsOf(numbers(186), start)
	before := l.aggregators.current
	now := start.Add(time.Minute)
	leaving := -1
	for i := range 186 {
		if slices.Contains(before.GetAddresses(), fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256)) {
			leaving = i
			break
		}
	}
	reportNode(l, leaving, schema.UpstreamState_UPSTREAM_STATE_DRAINING, now)
	l.refreshAggregators(now)
	after := l.aggregators.current
	changed := 0
	for _, addr := range after.GetAddresses() {
		if !slices.Contains(before.GetAddresses(), addr) {
			changed++
		}
	}
	if changed > 1 || slices.Contains(after.GetAddresses(), fmt.Sprintf("10.0.%d.%d:7000", leaving/256, leaving%256)) {
		t.Errorf("%d new aggregators after one of %d began to drain: %v", changed, len(before.GetAddresses()), after)
	}
}

// TestSmallFleetDrawsDirectly guards against a detour where the leader can serve all exchanges itself.
func TestSmallFleetDrawsDirectly(t *testing.T) {
	if a := aggregatorsOf(numbers(minAggregatedNodes-1), time.Unix(1000, 0)).aggregators.current; len(a.GetAddresses()) != 0 {
		t.Errorf("aggregators %v of %d nodes", a, minAggregatedNodes-1)
	}
}
