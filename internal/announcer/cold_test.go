package announcer

import (
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// TestColdUpstream guards against an upstream that is used at full rate before it has told that it is cold, and against one that
// stays cold because a heartbeat lacks the figure.
func TestColdUpstream(t *testing.T) {
	duration := func(d time.Duration) *time.Duration { return &d }
	heartbeat := func(sequence uint64, left *time.Duration) Announcement {
		return Announcement{
			Service: "s", Address: testAddress.String(), Slots: 8, State: "ready", Instance: "i-1", Began: time.UnixMilli(5), Sequence: sequence,
			ColdLeft: left,
		}
	}
	restarted := heartbeat(1, nil)
	restarted.Instance, restarted.Began = "i-2", time.UnixMilli(6)
	adopt := func(a *Announcer) error { return a.Adopt("s", testAddress, "i-1", 8) }
	announce := func(msg Announcement) func(*Announcer) error {
		return func(a *Announcer) error { return a.Announce(msg) }
	}
	tests := []struct {
		name  string
		rate  float64
		steps []func(*Announcer) error
		want  time.Duration
	}{
		{"adopted, not told yet", 11, []func(*Announcer) error{adopt}, admitter.MaxCold},
		{"adopted, service without a cold rate", 0, []func(*Announcer) error{adopt}, 0},
		{"adopted, told by the health check", 11, []func(*Announcer) error{adopt, func(a *Announcer) error {
			a.AdoptCold("s", "i-1", 2*time.Second)
			return nil
		}}, 2 * time.Second},
		{"health check after a heartbeat", 11, []func(*Announcer) error{announce(heartbeat(1, duration(0))), func(a *Announcer) error {
			a.AdoptCold("s", "i-1", 2*time.Second)
			return nil
		}}, 0},
		{"adopted, then a heartbeat", 11, []func(*Announcer) error{adopt, announce(heartbeat(1, duration(0)))}, 0},
		{"heartbeat without the figure", 11, []func(*Announcer) error{announce(heartbeat(1, nil))}, 0},
		{"cold heartbeat", 11, []func(*Announcer) error{announce(heartbeat(1, duration(3*time.Second)))}, 3 * time.Second},
		{"cold heartbeat, then one without the figure", 11, []func(*Announcer) error{
			announce(heartbeat(1, duration(3*time.Second))), announce(heartbeat(2, nil)),
		}, 3 * time.Second},
		{"cold again", 11, []func(*Announcer) error{
			announce(heartbeat(1, duration(0))), announce(heartbeat(2, duration(4*time.Second))),
		}, 4 * time.Second},
		{"late heartbeat", 11, []func(*Announcer) error{
			announce(heartbeat(2, duration(4*time.Second))), announce(heartbeat(1, duration(0))),
		}, 4 * time.Second},
		{"replaced", 11, []func(*Announcer) error{announce(heartbeat(2, duration(4*time.Second))), announce(restarted)}, 0},
		{"huge figure", 11, []func(*Announcer) error{announce(heartbeat(1, duration(1000*time.Hour)))}, admitter.MaxCold},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			a := New(timer.New(timer.WithNow(func() time.Time { return now })), nil,
				WithColdLimits(func(string) admitter.ColdLimit { return admitter.ColdLimit{Rate: tt.rate, Excess: 1.5, Slack: 8} }))
			for _, step := range tt.steps {
				if err := step(a); err != nil {
					t.Fatal(err)
				}
			}
			if got := a.Upstream("s").Gate.ColdLeft(); got != tt.want || a.Workers()[0].GetCold() != (tt.want > 0) {
				t.Errorf("cold for %v, worker %v; want %v", got, a.Workers()[0], tt.want)
			}
		})
	}
}

// TestEvacuatedUpstream guards against upstreams of an evacuated domain that a heartbeat brings back into service.
func TestEvacuatedUpstream(t *testing.T) {
	msg := Announcement{Service: "s", Address: testAddress.String(), Slots: 8, State: "ready", Instance: "i-1"}
	draining := msg
	draining.State = "draining"
	tests := []struct {
		name string
		do   func(a *Announcer) error
		want bool
	}{
		{"heartbeat", func(a *Announcer) error { return a.Announce(msg) }, false},
		{"new instance", func(a *Announcer) error {
			other := msg
			other.Instance = "i-2"
			return a.Announce(other)
		}, false},
		{"restored", func(a *Announcer) error { a.SetEvacuated(false); return nil }, true},
		{"restored while it drains", func(a *Announcer) error {
			err := a.Announce(draining)
			a.SetEvacuated(false)
			return err
		}, false},
		{"restored during a stop", func(a *Announcer) error { a.Stop(); a.SetEvacuated(false); return nil }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := New(timer.New(), nil)
			if err := a.Announce(msg); err != nil {
				t.Fatal(err)
			}
			a.SetEvacuated(true)
			if a.Upstream("s").Gate.HasRoom() {
				t.Error("the gate accepts requests during the evacuation")
			}
			if err := tt.do(a); err != nil {
				t.Fatal(err)
			}
			if got := a.Upstream("s").Gate.HasRoom(); got != tt.want {
				t.Errorf("the gate accepts requests: %v, want %v", got, tt.want)
			}
		})
	}
}
