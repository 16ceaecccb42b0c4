package router

import (
	"fmt"
	"testing"
	"time"
)

// TestOldLevelRefusesRequests guards against levels that outlive the overload: of workers that get no calls any more, or handed on
// from node to node, each of which takes them for new.
func TestOldLevelRefusesRequests(t *testing.T) {
	const level, below = 119 << 16, 104 << 16
	start := time.Unix(1000, 0)
	var l Levels
	for i := range 4 {
		l.Record("s", "r", fmt.Sprint("worker-", i), level, start)
	}
	l.Record("s", "r", "worker-0", 0, start.Add(2*time.Second))
	for range 100 {
		if got := l.Of("s", "r", start.Add(2500*time.Millisecond)); got != 0 {
			t.Fatalf("level %d of a worker without calls, while another one has room", got)
		}
	}
	// A chain of four nodes, each of which gets the level of the one before at the last moment.
	now, value := start, uint32(level)
	for hop := range 4 {
		var l Levels
		l.Record("s", "r", "w", value, now)
		now = now.Add(levelLifetime)
		value = l.Of("s", "r", now)
		if value > below && hop > 0 {
			t.Fatalf("level %d after %v", value, now.Sub(start))
		}
	}
	// Right after the hold time only few requests pass.
	l = Levels{}
	l.Record("s", "r", "w", level, start)
	if got := l.Of("s", "r", start.Add(levelHoldTime+2*levelStepTime)); got >= level || got < level-(1<<14) {
		t.Errorf("level %d of %d, want it a little lower", got, level)
	}
}
