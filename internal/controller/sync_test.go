package controller

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/schema"
)

func newTestLeadership(now time.Time, accounts int, recorded ...string) *leadership {
	l := &leadership{
		nodes: map[string]*nodeState{}, services: map[string]*serviceState{}, holders: newHolders(recorded, now),
		owner: limiter.NewOwner(now, limiter.CarryoverNone, nil),
	}
	for i := range accounts {
		l.owner.SetRate(fmt.Sprintf("account-%d", i), 25, 25, now)
	}
	return l
}

// An exchange ahead of the interval has no workers, and takes none away.
func TestExchangeAheadKeepsWorkers(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newTestLeadership(now, 0)
	ready := []*schema.Worker{{Node: "n", Service: "a", State: schema.UpstreamState_UPSTREAM_STATE_READY}}
	l.exchangeState(&schema.SyncRequest{Node: "n", Incarnation: 1, Workers: ready}, &schema.SyncReply{}, now)
	later := now.Add(time.Second)
	l.exchangeState(&schema.SyncRequest{Node: "n", Incarnation: 1, Partial: true, Ahead: true}, &schema.SyncReply{}, later)
	if n := l.nodes["n"]; len(l.services["a"].workers) != 1 || !n.lastContact.Equal(later) {
		t.Errorf("%d workers, last contact %v, want 1 and %v", len(l.services["a"].workers), n.lastContact, later)
	}
	l.exchangeState(&schema.SyncRequest{Node: "n", Incarnation: 2, Partial: true, Ahead: true}, &schema.SyncReply{}, later)
	if l.nodes["n"].incarnation != 1 {
		t.Error("an exchange without workers began a new incarnation")
	}
}

// A partial report must not end the carry-over: the node may hold tokens of the accounts that it left out.
func TestPartialReportIsNoReportOfHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newTestLeadership(now, 1, "n")
	req := &schema.SyncRequest{Node: "n", Incarnation: 1, Partial: true}
	l.updateNode(req, now)
	for _, step := range []struct {
		partial, allowed, reported bool
	}{{true, false, false}, {false, true, true}, {true, true, false}} {
		req.Partial = step.partial
		allowed, reported := l.recordDemands(req)
		if allowed != step.allowed || reported != step.reported {
			t.Errorf("partial %t: next may be partial %t, all reported %t, want %t and %t",
				step.partial, allowed, reported, step.allowed, step.reported)
		}
	}
}

// Only some services of a fleet report slowdowns of their hosts. The gates of the others must learn of it, or they report no
// congestion and never suspend a faulty upstream.
func TestSharedHostsReachAllNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newTestLeadership(now, 0)
	exchange := func(node string, shared bool) bool {
		reply := &schema.SyncReply{}
		l.exchangeState(&schema.SyncRequest{Node: node, Incarnation: 1, SharedHost: shared}, reply, now)
		return reply.GetSharedHosts()
	}
	if exchange("a", false) {
		t.Error("shared hosts without a report")
	}
	if !exchange("b", true) || !exchange("a", false) {
		t.Error("the report of one node did not reach both")
	}
}

// BenchmarkExchange measures the leader's work on one exchange, from the bytes of the request to those of the reply.
func BenchmarkExchange(b *testing.B) {
	const accounts = 140
	for _, nodes := range []int{57, 186, 300, 1900} {
		for _, demands := range []int{1, 20, accounts} {
			b.Run(fmt.Sprintf("nodes=%d/demands=%d", nodes, demands), func(b *testing.B) {
				now := time.Unix(1000, 0)
				l := newTestLeadership(now, accounts)
				for i := range nodes {
					l.grantDemands(newTestRequest(i, accounts), &schema.SyncReply{}, now)
				}
				data, err := proto.Marshal(newTestRequest(0, demands))
				if err != nil {
					b.Fatal(err)
				}
				var out []byte
				for b.Loop() {
					req, reply := &schema.SyncRequest{}, &schema.SyncReply{}
					if err := proto.Unmarshal(data, req); err != nil {
						b.Fatal(err)
					}
					l.grantDemands(req, reply, now)
					if out, err = proto.Marshal(reply); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(data)), "request-B")
				b.ReportMetric(float64(len(out)), "reply-B")
			})
		}
	}
}

// newTestRequest returns a request with a few marks in each demand.
func newTestRequest(node, demands int) *schema.SyncRequest {
	req := &schema.SyncRequest{Node: fmt.Sprintf("node-%d", node), Incarnation: 1, Epoch: 1}
	for i := range demands {
		req.Demands = append(req.Demands, &schema.Demand{
			Account: fmt.Sprintf("account-%d", i), Rate: 0.4, Want: 1, Settled: 0.5, Lease: &schema.Lease{},
			Marks: []*schema.SettledMark{{AgeMicros: 90000, Settled: 0.3}, {AgeMicros: 9000, Settled: 0.5}},
		})
	}
	return req
}
