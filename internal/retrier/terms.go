package retrier

// Terms bound the repeats that a service may get from the whole fleet in any window: a share of its requests and a slack.
type Terms struct {
	Share float64
	Slack float64
}

const (
	// directShare is the part of the share that the callers of a service use themselves. The rest is left to repeats that
	// come from retries further up.
	directShare = 0.5
	// slackShare is the part of the slack that all nodes together save up.
	slackShare = 0.5
	// leastBurst lets a single node of a large fleet retry at all.
	leastBurst = 1.0
)

// AllowanceOf returns a node's part of the terms: its callers earn retries by its own traffic, and the slack is shared
// by all nodes.
func AllowanceOf(t Terms, nodes int) Allowance {
	return Allowance{Share: t.Share * directShare, Burst: max(leastBurst, t.Slack*slackShare/float64(max(1, nodes)))}
}
