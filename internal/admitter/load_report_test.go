package admitter

import (
	"testing"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// New behaviour must not reach fleets whose upstreams report no slowdown, and must reach all gates of the others.
func TestIsAdaptive(t *testing.T) {
	tests := []struct {
		name   string
		mode   AdaptiveMode
		shared bool
		report LoadReport
		want   bool
	}{
		{"no report", AdaptiveAuto, false, LoadReport{}, false},
		{"report without a slowdown", AdaptiveAuto, false, LoadReport{Slots: 30}, false},
		{"slowdown", AdaptiveAuto, false, LoadReport{Slots: 30, Slowdown: 1, HasSlowdown: true}, true},
		{"slowdown at another node", AdaptiveAuto, true, LoadReport{}, true},
		{"on", AdaptiveOn, false, LoadReport{}, true},
		{"off", AdaptiveOff, true, LoadReport{Slots: 30, Slowdown: 1, HasSlowdown: true}, false},
	}
	for _, tt := range tests {
		g := New(10, timer.New(), nil, WithAdaptiveMode(tt.mode), WithSharedHosts(func() bool { return tt.shared }))
		g.RecordLoad(tt.report)
		if got := g.IsAdaptive(); got != tt.want {
			t.Errorf("%s: adaptive %t, want %t", tt.name, got, tt.want)
		}
	}
}
