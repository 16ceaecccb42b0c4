package retrier

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestThrottleRefusesAllRequestsOfOneRank guards against requests of equal rank that are all refused once more than half fail.
func TestThrottleRefusesAllRequestsOfOneRank(t *testing.T) {
	const requests, successShare = 4000, 0.35
	random := rand.New(rand.NewPCG(1, 2))
	throttle := NewThrottle()
	throttle.draw = random.Float64
	now, admitted := time.Now(), 0
	for range requests {
		now = now.Add(time.Millisecond)
		if throttle.Admit(7, now) {
			admitted++
			throttle.Count(random.Float64() < successShare, now)
		}
	}
	if share := float64(admitted) / requests; share < throttleFactor*successShare-0.1 {
		t.Errorf("admitted %.2f of the requests, want about %.2f", share, throttleFactor*successShare)
	}
}
