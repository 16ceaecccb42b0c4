package announcer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// An upstream that was found by a health check is the one that its next heartbeat speaks of, unless that names another run.
func TestAdopt(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:1000")
	beat := func(instance string, born int64, state string) Announcement {
		return Announcement{
			Service: "s", Address: addr.String(), Slots: 8, State: state, Instance: instance, Began: time.UnixMilli(born), Sequence: 1,
		}
	}
	tests := []struct {
		name string
		then func(a *Announcer) error
		// kept tells that the gate of the adopted run stays in use.
		kept bool
		// ready tells that the service has an upstream that takes work.
		ready bool
	}{
		{"its heartbeat", func(a *Announcer) error { return a.Announce(beat("i-1", 5, "ready")) }, true, true},
		{"its notice of leaving", func(a *Announcer) error { return a.Announce(beat("i-1", 5, "draining")) }, true, false},
		{"heartbeat of another run", func(a *Announcer) error { return a.Announce(beat("i-2", 5, "ready")) }, false, true},
		{"farewell", func(a *Announcer) error { a.RemoveInstance("i-1", time.Time{}); return nil }, false, false},
		{"silence", func(*Announcer) error { return nil }, false, false},
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
			if tt.name == "silence" {
				now = now.Add(HeartbeatTimeout + 1)
				a.Expire()
			}
			up := a.Upstream("s")
			if kept := up != nil && up.Gate == gate; kept != tt.kept {
				t.Errorf("the gate is kept: %t, want %t", kept, tt.kept)
			}
			if ready := up != nil && up.Gate.HasRoom(); ready != tt.ready {
				t.Errorf("takes work: %t, want %t", ready, tt.ready)
			}
		})
	}
}

// A run that left, or a service that has an upstream, is not adopted.
func TestAdoptRefused(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:1000")
	a := New(timer.New(), nil)
	a.RemoveInstance("i-1", time.Time{})
	if a.Adopt("s", addr, "i-1", 8) == nil {
		t.Error("a run that left was adopted")
	}
	if err := a.Adopt("s", addr, "i-2", 8); err != nil {
		t.Fatal(err)
	}
	if a.Adopt("s", addr, "i-3", 8) == nil {
		t.Error("a second upstream of a service was adopted")
	}
}
