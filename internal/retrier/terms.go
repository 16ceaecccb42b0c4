package retrier

import "time"

// RetryLimit bound the repeats that a service may get from the whole fleet in any window: a share of its requests and a slack.
type RetryLimit struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

const (
	// directShare is the part of the share that the callers of a service use themselves while no answer tells of repeats
	// from elsewhere.
	directShare = 0.75
	// targetShare is the part of the share up to which retries go on. The rest covers those on their way when the news of
	// others comes.
	targetShare = 0.65
	// defaultWindow is the window in which repeats are bounded where the settings give none.
	defaultWindow = 10 * time.Second
	// slackShare is the part of the slack that all nodes together save up.
	slackShare = 0.5
	// leastBurst lets a single node of a large fleet retry a few failures that come together.
	leastBurst = 3.0
)

// AllowanceOf returns a node's part of the terms: its callers earn retries by its own traffic, and the slack is shared
// by all nodes.
func AllowanceOf(t RetryLimit, nodes int) Allowance {
	return Allowance{Share: t.Share * directShare, Burst: max(leastBurst, t.Slack*slackShare/float64(max(1, nodes)))}
}

// TargetShare returns the share of repeats from which nothing is sent again.
func (t RetryLimit) TargetShare() float64 {
	return t.Share * targetShare
}

// DefaultRetryLimit hold where the settings give none.
func DefaultRetryLimit() RetryLimit {
	return RetryLimit{Share: successShare / targetShare, Slack: ratioBurst, Window: defaultWindow}
}
