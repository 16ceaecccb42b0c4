package limiter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// TestStaleReplyRefusesRequestWithinRate guards against requests of an account within its rate that are refused because the owner's
// reply to an earlier exchange, which did not ask for them, arrives meanwhile.
func TestStaleReplyRefusesRequestWithinRate(t *testing.T) {
	const maxWait, ownerWait = 125 * time.Millisecond, time.Second
	tests := []struct {
		name           string
		oversubscribed bool
		// grantAfter is when the reply to an exchange that asked for the token arrives.
		grantAfter time.Duration
		want       Decision
		latest     time.Duration
	}{
		{"late grant", false, 300 * time.Millisecond, Admitted, 300 * time.Millisecond},
		{"no grant", false, 0, OwnerUnresponsive, ownerWait + maxWait},
		{"account over its rate", true, 300 * time.Millisecond, OverRate, maxWait},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := NewBucket(timer.New(), nil, func() {})
				asked := time.Now()
				b.GrantRequest("x", 1)
				time.Sleep(10 * time.Millisecond)
				start := time.Now()
				time.AfterFunc(50*time.Millisecond, func() { b.AddGrant(Grant{Oversubscribed: tt.oversubscribed}, 1, asked) })
				if tt.grantAfter > 0 {
					time.AfterFunc(tt.grantAfter, func() { b.AddGrant(Grant{Tokens: 1, End: 1}, 1, start) })
				}
				got := b.Take(t.Context(), 0, maxWait, ownerWait)
				if waited := time.Since(start); got != tt.want || waited > tt.latest {
					t.Errorf("decision %v after %v, want %v after at most %v", got, waited, tt.want, tt.latest)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
