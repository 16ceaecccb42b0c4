package announcer

import (
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// TestLateHeartbeatAfterRestartIsBelieved guards against requests to an upstream that left before its node was restarted.
func TestLateHeartbeatAfterRestartIsBelieved(t *testing.T) {
	heartbeat := func(instance string, beganMillis int64, seq uint64, state string) Announcement {
		return Announcement{
			Service: "s", Address: "127.0.0.1:1000", Slots: 8, State: state, Instance: instance, Began: time.UnixMilli(beganMillis),
			Sequence: seq,
		}
	}
	late := heartbeat("i-1", 5, 7, "ready")
	tests := []struct {
		name   string
		uptime time.Duration
		then   func(a *Announcer)
		// ready is the instance that accepts work in the end, if any.
		ready string
		// asked is set if a confirmation was asked for.
		asked bool
	}{
		{"not confirmed", 0, func(*Announcer) {}, "", true},
		{"confirmed", 0, func(a *Announcer) { a.Confirm(late) }, "i-1", true},
		{"rejected", 0, func(a *Announcer) { a.Reject(late); a.Confirm(late) }, "", true},
		{"left before the confirmation", 0, func(a *Announcer) { a.RemoveInstance("i-1", late.Began); a.Confirm(late) }, "", true},
		{"drained before the confirmation", 0, func(a *Announcer) {
			_ = a.Announce(heartbeat("i-1", 5, 8, "draining"))
			a.Confirm(late)
		}, "", true},
		{"later heartbeat confirmed", 0, func(a *Announcer) {
			next := heartbeat("i-1", 5, 8, "ready")
			_ = a.Announce(next)
			a.Confirm(next)
		}, "i-1", true},
		{"another instance found by a health check", 0, func(a *Announcer) {
			_ = a.Adopt("s", testAddress, "i-2", 8)
			_ = a.Announce(heartbeat("i-1", 5, 8, "ready"))
			_ = a.Announce(heartbeat("i-1", 5, 9, "draining"))
		}, "i-2", true},
		{"the same instance found by a health check", 0, func(a *Announcer) {
			_ = a.Adopt("s", testAddress, "i-1", 8)
			_ = a.Announce(heartbeat("i-1", 5, 8, "ready"))
		}, "i-1", true},
		{"node up for longer than a heartbeat is late", departureRetention, func(*Announcer) {}, "i-1", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			asked := false
			a := New(timer.New(timer.WithNow(func() time.Time { return now })), nil, WithConfirmation(func() { asked = true }))
			now = now.Add(tt.uptime)
			if err := a.Announce(late); err != nil {
				t.Fatal(err)
			}
			tt.then(a)
			ready := ""
			if up := a.Upstream("s"); up != nil && up.Gate.HasRoom() {
				ready = up.Instance
			}
			if ready != tt.ready || asked != tt.asked {
				t.Errorf("%q accepts work, confirmation asked for: %t; want %q, %t", ready, asked, tt.ready, tt.asked)
			}
		})
	}
}
