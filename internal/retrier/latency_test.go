package retrier

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestLatencyTimeout(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var l Latency
	if got := l.Timeout(time.Second); got != 0 {
		t.Errorf("timeout %s without samples, want none", got)
	}
	early := 0
	for i := range 2000 {
		took := time.Duration((20 + random.ExpFloat64()*20) * float64(time.Millisecond))
		if limit := l.Timeout(time.Second); i > 100 && took > limit {
			early++
		}
		l.Observe(took)
	}
	if early > 20 {
		t.Errorf("%d of 1,900 attempts would time out without need, want at most one in a hundred", early)
	}
	got := l.Timeout(time.Second)
	if got < minTimeout || got > 400*time.Millisecond {
		t.Errorf("timeout %s for responses of 40 ms", got)
	}
	if late := l.Timeout(got); late != 0 {
		t.Errorf("timeout %s although no second attempt fits", late)
	}
}
