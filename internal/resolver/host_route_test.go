package resolver

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/lavenderhub/lavenderhub/schema"
)

// TestWeightsOutOfProportion guards against requests that are not distributed by weight, because the sum of large weights overflows or
// a product with small ones is rounded.
func TestWeightsOutOfProportion(t *testing.T) {
	const samples, smallest = 4000, math.SmallestNonzeroFloat64
	tests := []struct {
		name    string
		weights []float64
		// first is the share of the first service.
		first float64
	}{
		{"ordinary", []float64{90, 10}, 0.9},
		{"sum overflows", []float64{math.MaxFloat64, math.MaxFloat64}, 0.5},
		{"one of three is small", []float64{1e308, 1e308, 1}, 0.5},
		{"smallest", []float64{smallest, smallest}, 0.5},
		{"smallest in proportion", []float64{smallest * 3, smallest}, 0.75},
		{"smallest beside the largest", []float64{smallest, math.MaxFloat64}, 0},
		{"zero", []float64{0, 1e308, 1e308}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &schema.HostRoute{Name: "r"}
			for i, w := range tt.weights {
				p.Shares = append(p.Shares, &schema.Share{Service: string(rune('a' + i)), Weight: w})
			}
			r := newHostRoute(p)
			random := rand.New(rand.NewPCG(1, 1))
			n := 0
			for range samples {
				if r.Choose(random.Float64()).Service == "a" {
					n++
				}
			}
			if got := float64(n) / samples; math.Abs(got-tt.first) > 0.03 {
				t.Errorf("the first service gets %.3f of the requests, want %.3f", got, tt.first)
			}
			if got := r.Choose(0).Service; tt.weights[0] == 0 && got == "a" {
				t.Error("a service without weight gets a request")
			}
		})
	}
}
