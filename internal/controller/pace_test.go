package controller

import (
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/replicator"
	"github.com/lavenderhub/lavenderhub/schema"
)

// An overloaded leader asks for fewer exchanges, and again for all of them once it is in time.
func TestLateLeaderSpacesExchanges(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &Controller{pace: newPace(), leading: &leadership{nodes: map[string]*nodeState{}}}
	for i := range 60 {
		c.leading.nodes[string(rune('a'+i))] = &nodeState{}
	}
	run := func(gap, span time.Duration) (exchangeRate float64, interval time.Duration) {
		for until := now.Add(span); now.Before(until); {
			now = now.Add(gap)
			c.pace.recordTick(now)
		}
		reply := &schema.SyncReply{}
		c.setPace(reply)
		return reply.GetExchangeRate(), time.Duration(reply.GetIntervalMicros()) * time.Microsecond
	}
	steps := []struct {
		name     string
		gap      time.Duration
		span     time.Duration
		rate     float64
		interval time.Duration
	}{
		{"in time", tickInterval, time.Second, maxExchangeRate, minInterval},
		{"late", tickInterval + 2*replicator.HeartbeatInterval, 2 * time.Second, overloadedExchangeRate, maxInterval},
		{"in time again", tickInterval, 6 * time.Second, maxExchangeRate, minInterval},
	}
	for _, tt := range steps {
		if rate, interval := run(tt.gap, tt.span); rate != tt.rate || interval != tt.interval {
			t.Errorf("%s: at most %v exchanges/s, interval %v, want %v and %v", tt.name, rate, interval, tt.rate, tt.interval)
		}
	}
}
