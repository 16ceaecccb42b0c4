package controller

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderhub/lavenderhub/internal/ranker"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// minAggregatedNodes is the number of nodes from which on some of them draw the tokens of small client accounts for all. The
	// leader bears the exchanges of a smaller fleet, and a node that draws its own tokens depends on no other node.
	minAggregatedNodes = 32
	// nodesPerAggregator is the number of nodes for each aggregator, and maxAggregators bounds their list, which each node gets
	// after a change.
	nodesPerAggregator = 8
	maxAggregators     = 256
	// aggregatorsInterval is the minimum time between two changes of the aggregators.
	aggregatorsInterval = 500 * time.Millisecond
)

// aggregators is the leader's choice of the nodes that draw the tokens of small client accounts.
type aggregators struct {
	current *schema.Aggregators
	// stale is set when nodes or workers have changed since the choice.
	stale    bool
	chosenAt time.Time
}

// refreshAggregators chooses the aggregators anew if nodes have changed: those with a ready worker that rank first. The choice
// depends on the nodes only, so that the next leader makes the same one.
func (l *leadership) refreshAggregators(now time.Time) {
	a := &l.aggregators
	if !a.stale || !l.isMembershipComplete(now) || now.Sub(a.chosenAt) < aggregatorsInterval {
		return
	}
	a.stale, a.chosenAt = false, now
	var ready []netip.AddrPort
	for _, n := range l.nodes {
		if addr, ok := n.readyAddress(); ok {
			ready = append(ready, addr)
		}
	}
	a.current = newAggregators(ready)
}

// readyAddress returns the address at which other nodes reach a node that has a ready worker.
func (n *nodeState) readyAddress() (netip.AddrPort, bool) {
	for _, w := range n.workers {
		if w.GetState() == schema.UpstreamState_UPSTREAM_STATE_READY {
			addr, err := netip.ParseAddrPort(w.GetPeerAddress())
			return addr, err == nil
		}
	}
	return netip.AddrPort{}, false
}

func newAggregators(nodes []netip.AddrPort) *schema.Aggregators {
	out := &schema.Aggregators{}
	if len(nodes) < minAggregatedNodes {
		return out
	}
	digest := xxhash.New()
	for _, addr := range ranker.Rank("aggregators", nodes, min(maxAggregators, len(nodes)/nodesPerAggregator)) {
		out.Addresses = append(out.Addresses, addr.String())
		// Writing to the digest never fails.
		_, _ = digest.WriteString(addr.String() + " ")
	}
	out.Fingerprint = digest.Sum64()
	return out
}

// addAggregators adds the aggregators to the reply if the node has others.
func (l *leadership) addAggregators(req *schema.SyncRequest, reply *schema.SyncReply) {
	if a := l.aggregators.current; a != nil && a.GetFingerprint() != req.GetAggregatorsFingerprint() {
		reply.Aggregators = a
	}
}
