package controller

import (
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

// The ready workers of an unresponsive node become suspect, are ready again after its next exchange, and are removed with the
// node.
func TestSuspectWorkers(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &leadership{nodes: map[string]*nodeState{}, services: map[string]*serviceState{}, holders: newHolders(nil, now)}
	req := &schema.SyncRequest{Node: "n", Incarnation: 1, Workers: []*schema.Worker{
		{Node: "n", Service: "a", State: schema.UpstreamState_UPSTREAM_STATE_READY},
		{Node: "n", Service: "b", State: schema.UpstreamState_UPSTREAM_STATE_DRAINING},
	}}
	states := func(service string) (out []schema.UpstreamState) {
		for _, w := range l.services[service].sortedWorkers() {
			out = append(out, w.GetState())
		}
		return out
	}
	l.updateNode(req, now)
	l.markSuspect(l.nodes["n"])
	if got := states("a"); len(got) != 1 || got[0] != schema.UpstreamState_UPSTREAM_STATE_SUSPECT || len(states("b")) != 0 {
		t.Errorf("node is suspect: workers %v and %v, want one suspect worker and none", got, states("b"))
	}
	if l.liveNodes() != 0 || req.GetWorkers()[0].GetState() != schema.UpstreamState_UPSTREAM_STATE_READY {
		t.Errorf("%d live nodes, want 0; state in the node's request %v, want ready", l.liveNodes(), req.GetWorkers()[0].GetState())
	}
	l.updateNode(req, now)
	if got := states("a"); len(got) != 1 || got[0] != schema.UpstreamState_UPSTREAM_STATE_READY || l.liveNodes() != 1 {
		t.Errorf("after the next exchange: workers %v and %d live nodes, want one ready worker and 1", got, l.liveNodes())
	}
	l.markSuspect(l.nodes["n"])
	l.removeNode("n")
	if len(states("a")) != 0 || l.liveNodes() != 0 || l.suspectNodes != 0 {
		t.Errorf("after the removal: workers %v, %d live nodes and %d suspect ones, want none", states("a"), l.liveNodes(), l.suspectNodes)
	}
}
