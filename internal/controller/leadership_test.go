package controller

import (
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

// The workers of a node that goes silent become suspect, are ready again when it is heard, and are lost with it.
func TestSuspectWorkers(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &leadership{nodes: map[string]*nodeState{}, services: map[string]*serviceState{}, holders: newHolders(nil, now)}
	req := &schema.SyncRequest{Node: "n", Incarnation: 1, Workers: []*schema.Worker{
		{Node: "n", Service: "a", State: schema.UpstreamState_UPSTREAM_STATE_READY},
		{Node: "n", Service: "b", State: schema.UpstreamState_UPSTREAM_STATE_DRAINING},
	}}
	states := func(service string) (out []schema.UpstreamState) {
		for _, w := range l.services[service].list() {
			out = append(out, w.GetState())
		}
		return out
	}
	l.noteNode(req, now)
	l.suspect(l.nodes["n"])
	if got := states("a"); len(got) != 1 || got[0] != schema.UpstreamState_UPSTREAM_STATE_SUSPECT || len(states("b")) != 0 {
		t.Errorf("after silence: %v and %v, want one suspect worker and none", got, states("b"))
	}
	if l.live() != 0 || req.GetWorkers()[0].GetState() != schema.UpstreamState_UPSTREAM_STATE_READY {
		t.Errorf("%d live nodes, and the node's own message says %v", l.live(), req.GetWorkers()[0].GetState())
	}
	l.noteNode(req, now)
	if got := states("a"); len(got) != 1 || got[0] != schema.UpstreamState_UPSTREAM_STATE_READY || l.live() != 1 {
		t.Errorf("after it was heard: %v, %d live nodes", got, l.live())
	}
	l.suspect(l.nodes["n"])
	l.removeNode("n")
	if len(states("a")) != 0 || l.live() != 0 || l.silent != 0 {
		t.Errorf("after its loss: %v, %d live, %d silent", states("a"), l.live(), l.silent)
	}
}
