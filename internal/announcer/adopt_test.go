package announcer

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

var testAddress = netip.MustParseAddrPort("127.0.0.1:1000")

// TestAdopt checks that the next heartbeat after a health check updates the adopted upstream, unless the heartbeat names
// another instance.
func TestAdopt(t *testing.T) {
	addr := testAddress
	heartbeat := func(instance string, beganMillis int64, state string) Announcement {
		return Announcement{
			Service: "s", Address: addr.String(), Slots: 8, State: state, Instance: instance, Began: time.UnixMilli(beganMillis), Sequence: 1,
		}
	}
	tests := []struct {
		name string
		then func(a *Announcer) error
		// sameGate is set if the gate of the adopted instance stays in use.
		sameGate bool
		// ready is set if the service has an upstream that accepts work.
		ready bool
	}{
		{"heartbeat", func(a *Announcer) error { return a.Announce(heartbeat("i-1", 5, "ready")) }, true, true},
		{"draining heartbeat", func(a *Announcer) error { return a.Announce(heartbeat("i-1", 5, "draining")) }, true, false},
		{"heartbeat of another instance", func(a *Announcer) error { return a.Announce(heartbeat("i-2", 5, "ready")) }, false, true},
		{"departure notice", func(a *Announcer) error { a.RemoveInstance("i-1", time.Time{}); return nil }, false, false},
		{"no heartbeat", func(*Announcer) error { return nil }, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			a := New(timer.New(timer.WithNow(func() time.Time { return now })), nil)
			if err := a.Adopt("s", addr, "i-1", 8); err != nil {
				t.Fatal(err)
			}
			gate := a.Upstream("s").Gate
			if err := tt.then(a); err != nil {
				t.Fatal(err)
			}
			if tt.name == "no heartbeat" {
				now = now.Add(HeartbeatTimeout + 1)
				a.Expire()
			}
			up := a.Upstream("s")
			if sameGate := up != nil && up.Gate == gate; sameGate != tt.sameGate {
				t.Errorf("adopted gate is in use: %t, want %t", sameGate, tt.sameGate)
			}
			if ready := up != nil && up.Gate.HasRoom(); ready != tt.ready {
				t.Errorf("upstream accepts work: %t, want %t", ready, tt.ready)
			}
		})
	}
}

// TestAdoptRefused checks that Adopt refuses an instance that left, has no slots or can't be reported, and a second upstream of a service.
func TestAdoptRefused(t *testing.T) {
	addr := testAddress
	a := New(timer.New(), nil)
	a.RemoveInstance("i-1", time.Time{})
	if a.Adopt("s", addr, "i-1", 8) == nil {
		t.Error("an instance that left was adopted")
	}
	if a.Adopt("s", addr, "i-2", 0) == nil {
		t.Error("an instance without slots was adopted")
	}
	for _, instance := range []string{"i-\xff", "i 2", "i/2", "i\x00", strings.Repeat("i", maxInstanceBytes+1)} {
		if a.Adopt("s", addr, instance, 8) == nil {
			t.Errorf("instance %.20q was adopted", instance)
		}
	}
	if err := a.Adopt("s", addr, "i-2", 8); err != nil {
		t.Fatal(err)
	}
	if a.Adopt("s", addr, "i-3", 8) == nil {
		t.Error("a second upstream of a service was adopted")
	}
}
