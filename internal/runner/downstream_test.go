package runner

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
)

// TestEntryAdmitsForFullServiceFurtherDown guards against a congestion that does not reach the entry nodes, and against
// refusals on fleets whose gates are told to report none.
func TestEntryAdmitsForFullServiceFurtherDown(t *testing.T) {
	tests := []struct {
		name string
		mode admitter.AdaptiveMode
		want bool
	}{
		{"adaptive", admitter.AdaptiveOn, true},
		{"upstreams without slowdown reports", admitter.AdaptiveAuto, true},
		{"off", admitter.AdaptiveOff, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := twoServiceFleet()
			cfg.Services[1].Workers = cfg.Services[1].Workers[:1]
			cfg.Services[1].Workers[0].Slots, cfg.Services[1].Workers[0].ServiceTime = 1, durationpb.New(200*time.Millisecond)
			f := startFleet(t, cfg, WithBaseline(Baseline{Gate: []admitter.Option{admitter.WithAdaptiveMode(tt.mode)}}))
			refused := func() (n int64) {
				for _, w := range f.Workers {
					n += metrics.GetOrRegisterCounter("downstream.refused", w.Registry).Count()
				}
				return n
			}
			// Reports end the load with the first refusal; without them it lasts for the whole time.
			limit := 2 * time.Second
			if tt.want {
				limit = 20 * time.Second
			}
			var callers sync.WaitGroup
			for range 30 {
				callers.Go(func() {
					for start := time.Now(); time.Since(start) < limit && refused() == 0; {
						_ = send(t.Context(), f.Workers[0], f.Keys[0].Key, http.MethodGet, "/front/a", "", "Lavenderhub-Timeout", "1s")
					}
				})
			}
			callers.Wait()
			if got := refused() > 0; got != tt.want {
				t.Errorf("%d requests refused for a service further down", refused())
			}
		})
	}
}
