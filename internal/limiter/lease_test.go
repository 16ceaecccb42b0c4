package limiter

import (
	"testing"
	"time"
)

// Terms that are lowered while an earlier owner's leases last must end those leases: renewed, they would outlive the change
// (found by TestRandomFleet with -rapid.checks=1500 -rapid.seed=14).
func TestLoweredTermsEndCarriedLeases(t *testing.T) {
	now := time.Unix(1000, 0)
	o := NewOwner(now, CarryoverOne, nil)
	o.SetRate("x", 100, 100, now)
	held := Lease{Rate: 40, Capacity: 20, Sequence: 3}
	ask := GrantRequest{Account: "x", Demand: 40, Lease: held}
	g, _ := o.Grant(Holder{Node: "a", Incarnation: 1}, ask, now)
	if g.Lease.Rate != held.Rate {
		t.Fatalf("lease of %v in the carry, want %v", g.Lease.Rate, held.Rate)
	}
	o.SetRate("x", 10, 10, now)
	ask.Lease = g.Lease
	if g, _ = o.Grant(Holder{Node: "a", Incarnation: 1}, ask, now.Add(time.Millisecond)); g.Lease.Rate != 0 {
		t.Errorf("lease of %v after the terms were lowered to 10", g.Lease.Rate)
	}
}
