package retrier

import (
	"testing"
	"time"
)

// A service whose every call fails must not get more repeats than its share of the requests and the slack.
func TestRatioBoundsRepeats(t *testing.T) {
	tests := []struct {
		name    string
		success float64
		want    float64
	}{
		{"all fail", 0, 10},
		{"half fail", 0.5, 10 + 0.1*500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r Ratios
			a := Allowance{Share: 0.1, Burst: 10}
			repeats, owed := 0.0, 0.0
			for range 1000 {
				if owed += tt.success; owed >= 1 {
					owed--
					r.Of("service", a).RecordSuccess(a)
					r.Of("account", a).RecordSuccess(a)
					continue
				}
				if r.TakeBoth("account", "service", a) {
					repeats++
				}
			}
			if repeats > tt.want+1 || repeats < tt.want*0.8-1 {
				t.Errorf("%v repeats, want about %v and no more", repeats, tt.want)
			}
		})
	}
}

func TestPauseSpreadsReturns(t *testing.T) {
	tests := []struct {
		cause     Cause
		objective time.Duration
		known     time.Duration
		from, to  time.Duration
	}{
		{OneWorker, 1600 * time.Millisecond, 0, 200 * time.Millisecond, 400 * time.Millisecond},
		{Rate, 1600 * time.Millisecond, 0, 400 * time.Millisecond, 800 * time.Millisecond},
		{Rate, 100 * time.Millisecond, 0, leastPause, 2 * leastPause},
		{Rate, 1600 * time.Millisecond, 2 * time.Second, 2 * time.Second, 4 * time.Second},
		{Capacity, time.Minute, 0, mostPause, 2 * mostPause},
		{Recovery, 400 * time.Millisecond, 0, time.Second, 2 * time.Second},
		{Recovery, 400 * time.Millisecond, 2 * time.Second, 2 * time.Second, 4 * time.Second},
		{Capacity, 0, 0, usualObjective / slowShare, usualObjective / slowShare * 2},
	}
	for _, tt := range tests {
		if got := RetryAfter(tt.cause, tt.objective, tt.known, 0); got != tt.from {
			t.Errorf("cause %d: %s at first, want %s", tt.cause, got, tt.from)
		}
		if got := RetryAfter(tt.cause, tt.objective, tt.known, 0.999999); got > tt.to || got < tt.to*9/10 {
			t.Errorf("cause %d: %s at last, want %s", tt.cause, got, tt.to)
		}
	}
}
