package runner

import "github.com/lavenderhub/lavenderhub/internal/admitter"

// coldShareFactor is the factor by which a node may send more to a cold worker than its equal part of the cold rate. Not every node
// sends calls to every service, and the gate beside the worker refuses what is too much.
const coldShareFactor = 2

// coldLimit returns the bound on requests to a cold upstream of a service. The rate is zero without a configuration that sets it.
func (n *Node) coldLimit(service string) admitter.ColdLimit {
	view := n.syncer.View()
	if view == nil {
		return admitter.ColdLimit{}
	}
	return admitter.ColdLimit{
		Rate: view.ColdRate(service), Excess: n.Terms.GetColdExcess(), Slack: float64(n.Terms.GetColdSlack()),
	}
}

// coldShare returns how many calls per second this node may send to one cold worker of a service.
func (n *Node) coldShare(service string) float64 {
	view := n.syncer.View()
	if view == nil {
		return 0
	}
	return coldShareFactor * view.ColdRate(service) / float64(n.syncer.Nodes())
}
