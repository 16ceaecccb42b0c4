package router

import (
	"testing"
	"time"
)

// Where gates report their expected times, a call must leave its failure domain only if its caller would notice otherwise: the
// bytes of calls between domains are expensive. Without reports the choice is as before.
func TestCallsStayInFailureDomain(t *testing.T) {
	const objective = 1500 * time.Millisecond
	tests := []struct {
		name                string
		near, far           time.Duration
		nearLoad, farLoad   float64
		reported            bool
		objective           time.Duration
		wantLeast, wantMost float64
	}{
		{"slower by less than a caller notices", 130 * time.Millisecond, 70 * time.Millisecond, 0.3, 0.3, true, objective, 0.9, 1},
		{"without reports", 130 * time.Millisecond, 70 * time.Millisecond, 0.3, 0.3, false, objective, 0, 0.2},
		{"without an objective", 130 * time.Millisecond, 70 * time.Millisecond, 0.3, 0.3, true, 0, 0, 0.2},
		{"much slower", 600 * time.Millisecond, 70 * time.Millisecond, 0.3, 0.3, true, objective, 0, 0.2},
		{"full", 200 * time.Millisecond, 200 * time.Millisecond, 1.6, 0.5, true, objective, 0, 0.2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := fourWorkers(1000)
			now := time.Unix(1000, 0)
			const calls = 2000
			near := 0
			for range calls {
				target := r.PickFor("s", nil, true, tt.objective, now)
				target.Start()
				now = now.Add(5 * time.Millisecond)
				res := Result{Latency: tt.far, Load: tt.farLoad, HasLoad: true}
				if target.Node == "na" {
					near++
					res.Latency, res.Load = tt.near, tt.nearLoad
				}
				if tt.reported {
					res.Expected = time.Duration(float64(res.Latency) * max(1, res.Load))
				}
				target.Finish(res, now)
			}
			if share := float64(near) / calls; share < tt.wantLeast || share > tt.wantMost {
				t.Errorf("%.2f of the calls stayed in the failure domain, want %.1f to %.1f", share, tt.wantLeast, tt.wantMost)
			}
		})
	}
}
