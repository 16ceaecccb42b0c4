package retrier

import "time"

// RetryLimit bounds the retries that a service may get from the whole fleet in any window: a share of its initial
// requests plus a fixed slack.
type RetryLimit struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

const (
	// directShare is the fraction of the share that the callers of a service use while no response reports retries from
	// elsewhere.
	directShare = 0.75
	// targetShare is the fraction of the share up to which callers retry. The rest covers retries in transit when callers
	// learn of the retries of others.
	targetShare = 0.65
	// defaultWindow is the window in which retries are bounded if the settings give none.
	defaultWindow = 10 * time.Second
	// slackShare is the fraction of the slack that all nodes together may accumulate.
	slackShare = 0.5
	// minBurst lets a single node of a large fleet retry a few failures that occur together.
	minBurst = 3.0
)

// AllowanceOf returns one node's part of a retry limit. A node earns retries from its own traffic, and all nodes share
// the slack.
func AllowanceOf(l RetryLimit, nodes int) Allowance {
	return Allowance{Share: l.Share * directShare, Burst: max(minBurst, l.Slack*slackShare/float64(max(1, nodes)))}
}

// TargetShare returns the share of retries at which callers stop retrying.
func (l RetryLimit) TargetShare() float64 {
	return l.Share * targetShare
}

// DefaultRetryLimit returns the retry limit that is used if the settings give none.
func DefaultRetryLimit() RetryLimit {
	return RetryLimit{Share: defaultShare / targetShare, Slack: defaultBurst, Window: defaultWindow}
}
