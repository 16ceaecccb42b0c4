package announcer

import "time"

const (
	// departureRetention is how long an instance that left is remembered. Heartbeats are delayed by a few seconds at most.
	departureRetention = time.Minute
	// maxDepartures bounds the instances that left and are remembered.
	maxDepartures = 1024
)

// departure records that an instance left, so that a late heartbeat does not register it again.
type departure struct {
	began  time.Time
	leftAt time.Time
}

// expiry records the last heartbeat of an instance whose heartbeats stopped, so that an earlier one that is late does not undo
// a state announced later, such as draining.
type expiry struct {
	began     time.Time
	sequence  uint64
	expiredAt time.Time
}

// isOutdated reports whether a heartbeat is older than the known state: it is from an instance that left or was replaced,
// or it arrived after a later heartbeat of its instance. An instance that has announced its departure does not return. A heartbeat
// without a start time or a sequence can't be ordered, and counts as older than one that has them.
func (a *Announcer) isOutdated(msg Announcement, up *Upstream) bool {
	if d, ok := a.departures[msg.Instance]; ok && msg.Instance != "" && !msg.Began.After(d.began) {
		return true
	}
	if e, ok := a.expiries[msg.Instance]; ok && isOlder(msg, e.began, e.sequence) {
		return true
	}
	switch {
	case up == nil:
		return false
	case up.Instance == msg.Instance:
		return isOlder(msg, up.began, up.sequence)
	default:
		return msg.Began.Before(up.began)
	}
}

// isOlder reports whether a heartbeat is not later than one of the same instance with the given start time and sequence. Heartbeats
// that are not numbered are never older than one another.
func isOlder(msg Announcement, began time.Time, sequence uint64) bool {
	if !msg.Began.Equal(began) {
		return msg.Began.Before(began)
	}
	return sequence != 0 && msg.Sequence <= sequence
}
