package announcer

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// maxBeganAhead is how far the start of an instance may be ahead of this host's clock.
	maxBeganAhead = 24 * time.Hour
	// maxSequence is the greatest integer that every JSON number can hold exactly.
	maxSequence = 1 << 53
	// maxInstanceBytes bounds the length of an instance's identifier.
	maxInstanceBytes = 128
	// maxSlots bounds the slots that an upstream may announce.
	maxSlots = 100000
)

// Announcement is the body of an upstream's heartbeat.
type Announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// State is ready, starting or draining.
	State string `json:"state"`
	// Load is the upstream's own measure of its load, from 0 to 1. It is advisory.
	Load float64 `json:"load,omitempty"`
	// Instance identifies the running instance of the upstream. A later instance at the same address has another
	// identifier or a later Began.
	Instance string `json:"instance,omitempty"`
	// Began is the start time of the instance. Heartbeats of instances that began before the current one are ignored.
	Began time.Time `json:"began,omitzero"`
	// Sequence grows with each heartbeat of an instance, so that heartbeats that arrive out of order can be ignored.
	// Zero means that the heartbeats are not numbered.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdLeft is how much longer the upstream is cold. It is nil if the upstream does not tell. Only full configurations, which the
	// native protocol lacks, set the rate of cold upstreams.
	ColdLeft *time.Duration `json:"-"`
}

func validate(msg Announcement) (netip.AddrPort, schema.UpstreamState, error) {
	addr, err := netip.ParseAddrPort(msg.Address)
	if err != nil || addr.Port() == 0 {
		return addr, 0, errors.Errorf("bad address %q, want an IP address and a port", msg.Address)
	}
	if !resolver.IsName(msg.Service) {
		return addr, 0, errors.Errorf("bad service %q, want lower-case letters, digits and dashes", msg.Service)
	}
	if !isInstance(msg.Instance) {
		return addr, 0, errors.Errorf("bad instance %.20q, want at most %d letters, digits and . _ : ~ -", msg.Instance, maxInstanceBytes)
	}
	if msg.Slots < 1 || msg.Slots > maxSlots {
		return addr, 0, errors.Errorf("bad slots %d, want 1 to %d", msg.Slots, maxSlots)
	}
	if msg.Load < 0 {
		return addr, 0, errors.Errorf("bad load %v, want at least 0", msg.Load)
	}
	switch strings.ToLower(msg.State) {
	case "ready":
		return addr, schema.UpstreamState_UPSTREAM_STATE_READY, nil
	case "starting":
		return addr, schema.UpstreamState_UPSTREAM_STATE_STARTING, nil
	case "draining":
		return addr, schema.UpstreamState_UPSTREAM_STATE_DRAINING, nil
	default:
		return addr, 0, errors.Errorf("bad state %q, want ready, starting or draining", msg.State)
	}
}

// validateOrder checks the values that order the heartbeats. With one that is too large, all later heartbeats of the service's
// upstream would count as outdated.
func (a *Announcer) validateOrder(msg Announcement) error {
	switch {
	case msg.Sequence > maxSequence:
		return errors.Errorf("bad sequence %d, want at most %d", msg.Sequence, maxSequence)
	case !msg.Began.IsZero() && (msg.Began.Unix() < 0 || msg.Began.After(a.timer.Now().Add(maxBeganAhead))):
		return errors.Errorf("bad start time %v, want one since 1970 that is not in the future", msg.Began)
	}
	return nil
}

// isInstance reports whether an identifier consists of characters that need no escapes in a path or header. It may be empty.
func isInstance(id string) bool {
	for _, r := range id {
		isAlphanumeric := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
		if !isAlphanumeric && !strings.ContainsRune("._:~-", r) {
			return false
		}
	}
	return len(id) <= maxInstanceBytes
}
