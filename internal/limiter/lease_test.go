package limiter

import (
	"testing"
	"time"
)

// TestLoweredRateEndsEarlierLeases guards against leases of an earlier owner that outlive a reduction of the rate,
// because the new owner renewed them unchanged (found by TestRandomFleet with -rapid.checks=1500 -rapid.seed=14).
func TestLoweredRateEndsEarlierLeases(t *testing.T) {
	now := time.Unix(1000, 0)
	o := NewOwner(now, CarryoverOne, nil)
	o.SetRate("x", 100, 100, now)
	lease := Lease{Rate: 40, Capacity: 20, Sequence: 3}
	req := GrantRequest{Account: "x", Demand: 40, Lease: lease}
	g, _ := o.Grant(Holder{Node: "a", Incarnation: 1}, req, now)
	if g.Lease.Rate != lease.Rate {
		t.Fatalf("lease of %v during the carry-over, want %v", g.Lease.Rate, lease.Rate)
	}
	o.SetRate("x", 10, 10, now)
	req.Lease = g.Lease
	if g, _ = o.Grant(Holder{Node: "a", Incarnation: 1}, req, now.Add(time.Millisecond)); g.Lease.Rate != 0 {
		t.Errorf("lease of %v after the rate was lowered to 10, want 0", g.Lease.Rate)
	}
}
