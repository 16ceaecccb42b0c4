package evacuator

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// TestApply guards against gates that refuse requests too late, against gates that refuse calls that others had no time to send
// elsewhere, and against gates that refuse requests after the end of an evacuation.
func TestApply(t *testing.T) {
	own, other := map[string]bool{"a": true}, map[string]bool{"b": true}
	type step struct {
		after   time.Duration
		domains map[string]bool
		// age is the time since the node knew its previous set to be the newest. A negative age means that it had none.
		age time.Duration
	}
	tests := []struct {
		name  string
		steps []step
		// refusing lists whether the gates refuse requests 10 ms after the last step, and 1.99 s and 2.01 s after it.
		refusing [3]bool
	}{
		{"other domain", []step{{0, other, 0}}, [3]bool{false, false, false}},
		{"own domain", []step{{0, own, 0}}, [3]bool{false, false, true}},
		{"own domain, learned late", []step{{0, own, time.Second}}, [3]bool{false, true, true}},
		{"own domain, learned after the delay", []step{{0, own, 3 * time.Second}}, [3]bool{true, true, true}},
		{"after a start", []step{{0, own, -1}}, [3]bool{true, true, true}},
		{"restored", []step{{0, own, -1}, {time.Second, nil, 0}}, [3]bool{false, false, false}},
		{"restored before it is in force", []step{{0, own, 0}, {time.Second, nil, 0}}, [3]bool{false, false, false}},
		{"evacuated again", []step{{0, own, 0}, {time.Second, nil, 0}, {time.Second / 2, own, 0}}, [3]bool{false, false, true}},
		{"other domain afterwards", []step{{0, own, -1}, {0, map[string]bool{"a": true, "b": true}, 0}}, [3]bool{true, true, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var refusing atomic.Bool
				var routed map[string]bool
				e := New(Parts{
					Timer: timer.New(), Log: zap.NewNop(), Registry: metrics.NewRegistry(), Domain: "a", Limit: 5 * time.Second,
					Route: func(domains map[string]bool) { routed = domains }, Refuse: refusing.Store,
				})
				defer e.Stop()
				for _, s := range tt.steps {
					time.Sleep(s.after)
					last := time.Now().Add(-s.age)
					if s.age < 0 {
						last = time.Time{}
					}
					e.Apply(s.domains, last)
					if len(routed) != len(s.domains) {
						t.Errorf("calls are kept from %v, want %v", routed, s.domains)
					}
				}
				for i, wait := range []time.Duration{10 * time.Millisecond, 1980 * time.Millisecond, 20 * time.Millisecond} {
					time.Sleep(wait)
					synctest.Wait()
					if refusing.Load() != tt.refusing[i] {
						t.Errorf("check %d: refusing %v, want %v", i, refusing.Load(), tt.refusing[i])
					}
				}
			})
		})
	}
}
