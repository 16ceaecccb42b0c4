package announcer

import (
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
)

// WithColdLimits sets the function that returns the bound on requests to the cold upstreams of a service. Without it no upstream
// counts as cold.
func WithColdLimits(limit func(service string) admitter.ColdLimit) Option {
	return func(a *Announcer) { a.coldLimit = limit }
}

// gateOptions returns the options of the gate of a service's upstream.
func (a *Announcer) gateOptions(service string) []admitter.Option {
	if a.coldLimit == nil {
		return a.gateOpts
	}
	opts := make([]admitter.Option, 0, len(a.gateOpts)+1)
	opts = append(opts, a.gateOpts...)
	return append(opts, admitter.WithColdLimit(func() admitter.ColdLimit { return a.coldLimit(service) }))
}

// recordCold passes to the gate how much longer the upstream is cold. A heartbeat that does not tell it ends the assumption that a
// new upstream is cold, and otherwise keeps what is known. It reports whether other nodes must learn of a change.
func (up *Upstream) recordCold(msg Announcement) bool {
	wasCold := up.Gate.ColdLeft() > 0
	switch {
	case msg.ColdLeft != nil:
		up.Gate.SetCold(*msg.ColdLeft)
	case up.coldAssumed:
		up.Gate.SetCold(0)
	}
	up.coldAssumed = false
	return wasCold != (up.Gate.ColdLeft() > 0)
}

// AdoptCold records how much longer an adopted instance is cold, as the response to its health check tells. It has no effect once
// the instance has sent a heartbeat.
func (a *Announcer) AdoptCold(service, instance string, left time.Duration) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if up := a.byService[service]; up != nil && up.adopted && up.Instance == instance {
		up.Gate.SetCold(left)
	}
}
