package retrier

import (
	"testing"
	"time"
)

// A service whose every call fails must not get more retries than its share of the successes and the burst.
func TestRatioBoundsRetries(t *testing.T) {
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
			retries, pendingSuccess := 0.0, 0.0
			for range 1000 {
				if pendingSuccess += tt.success; pendingSuccess >= 1 {
					pendingSuccess--
					r.Of("service", a).RecordSuccess(a)
					r.Of("account", a).RecordSuccess(a)
					continue
				}
				if r.TakeBoth("account", "service", a) {
					retries++
				}
			}
			if retries > tt.want+1 || retries < tt.want*0.8-1 {
				t.Errorf("%v retries, want about %v and no more", retries, tt.want)
			}
		})
	}
}

func TestRetryAfterSpreadsRetries(t *testing.T) {
	tests := []struct {
		cause       Cause
		objective   time.Duration
		availableIn time.Duration
		from, to    time.Duration
	}{
		{OneWorker, 1600 * time.Millisecond, 0, 200 * time.Millisecond, 400 * time.Millisecond},
		{Rate, 1600 * time.Millisecond, 0, 400 * time.Millisecond, 800 * time.Millisecond},
		{Rate, 100 * time.Millisecond, 0, minRetryAfter, 2 * minRetryAfter},
		{Rate, 1600 * time.Millisecond, 2 * time.Second, 2 * time.Second, 4 * time.Second},
		{Capacity, time.Minute, 0, maxRetryAfter, 2 * maxRetryAfter},
		{Recovery, 400 * time.Millisecond, 0, time.Second, 2 * time.Second},
		{Recovery, 400 * time.Millisecond, 2 * time.Second, 2 * time.Second, 4 * time.Second},
		{Capacity, 0, 0, defaultObjective / defaultDivisor, defaultObjective / defaultDivisor * 2},
	}
	for _, tt := range tests {
		if got := RetryAfter(tt.cause, tt.objective, tt.availableIn, 0); got != tt.from {
			t.Errorf("cause %d: earliest retry after %s, want %s", tt.cause, got, tt.from)
		}
		if got := RetryAfter(tt.cause, tt.objective, tt.availableIn, 0.999999); got > tt.to || got < tt.to*9/10 {
			t.Errorf("cause %d: latest retry after %s, want %s", tt.cause, got, tt.to)
		}
	}
}
