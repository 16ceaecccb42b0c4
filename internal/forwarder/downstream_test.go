package forwarder

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/exporter"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

func TestCongestionHeader(t *testing.T) {
	tests := []struct {
		header string
		want   congestionReport
	}{
		{"87,120,geofence", congestionReport{"geofence", 0.87, 120 * time.Millisecond}},
		{"100,0,a%2Cb%0A", congestionReport{"a,b\n", 1, 0}},
		{"", congestionReport{}},
		{"87,120", congestionReport{}},
		{"101,120,geofence", congestionReport{}},
		{"-1,120,geofence", congestionReport{}},
		{"87,-120,geofence", congestionReport{}},
		{"87,120,%zz", congestionReport{}},
		{"NaN,0,geofence", congestionReport{}},
	}
	for _, tt := range tests {
		h := http.Header{}
		if tt.header != "" {
			h.Set(headerCongestion, tt.header)
		}
		got := readReport(h).congestion
		if got != tt.want {
			t.Errorf("header %q: %+v, want %+v", tt.header, got, tt.want)
		}
		out := http.Header{}
		hopReport{congestion: got}.write(out)
		if again := readReport(out).congestion; again != got {
			t.Errorf("%+v is written as %q and read as %+v", got, out.Get(headerCongestion), again)
		}
		if got.value == 0 && len(out[headerCongestion]) > 0 {
			t.Errorf("header %q without congestion", out.Get(headerCongestion))
		}
	}
}

func newTestForwarder() *Forwarder {
	t := timer.New()
	return New(Parts{
		Timer: t, Log: zap.NewNop(), Registry: metrics.NewRegistry(), Announcer: announcer.New(t, asserter.New(nil)),
	})
}

func newTestCall(f *Forwarder) *call {
	return &call{
		route:       &resolver.Route{Service: "service", Name: "route", ObjectiveLatency: time.Second},
		retryBudget: retrier.NewBudget(0),
		// A call with an ID of its own is not taken for a retry of its caller.
		callerRequestID: "1",
		dispatchedAt:    f.Timer.Now(),
	}
}

// TestFailuresAreCountedOnce guards against failures that both the limiter for congested services and the throttle of the
// called service count, or that neither counts, and against refusals of calls of the local upstream.
func TestFailuresAreCountedOnce(t *testing.T) {
	tests := []struct {
		name       string
		congestion float64
		status     int
		// wantDownstream and wantThrottled report whether the two refuse further calls.
		wantDownstream, wantThrottled bool
	}{
		{"fails by congestion", 0.9, http.StatusGatewayTimeout, true, false},
		{"fails by congestion of a nested call", 0.9, http.StatusInternalServerError, true, false},
		{"fails without congestion", 0, http.StatusGatewayTimeout, false, true},
		{"succeeds with congestion", 0.9, http.StatusOK, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestForwarder()
			for range 100 {
				c := newTestCall(f)
				c.congestion = congestionReport{"deep", tt.congestion, 0}.congestion(f.Timer.Now())
				c.hasReport = true
				f.recordRootResult(c, &response{status: tt.status}, nil)
			}
			// The share is lowered at the end of its first interval.
			time.Sleep(250 * time.Millisecond)
			refused, throttled := 0, 0
			for range 200 {
				c := newTestCall(f)
				if ref := f.refuseForDownstream(c); ref != nil {
					refused++
					if ref.MayHaveRun() || ref.RetryAfter <= 0 || c.availableIn <= 0 {
						t.Fatalf("refusal %+v, to come back after %s", ref, c.availableIn)
					}
				}
				if f.checkRecentFailures(c) != nil {
					throttled++
				}
				for _, c := range []*call{{fromLocalUpstream: true}, {rank: admitter.InProgress}} {
					if f.refuseForDownstream(c) != nil {
						t.Fatal("a call in progress is refused")
					}
				}
			}
			if (refused > 0) != tt.wantDownstream || (throttled > 0) != tt.wantThrottled {
				t.Errorf("%d calls refused by the limiter and %d by the throttle", refused, throttled)
			}
			var out strings.Builder
			if err := exporter.Write(&out, f.Registry, asserter.New(nil)); err != nil {
				t.Fatal(err)
			}
			if got := strings.Contains(out.String(), `lavenderhub_downstream_share{service="deep"} 0.`); got != tt.wantDownstream {
				t.Errorf("metric of the share: %v, want %v", got, tt.wantDownstream)
			}
		})
	}
}

// TestDirectRequestsKeepMinimum guards against requests that reach a service directly and are all shed while calls of requests in progress
// fill it, and against a minimum of services that only their own requests fill.
func TestDirectRequestsKeepMinimum(t *testing.T) {
	tests := []struct {
		name string
		// filledBy is the service of the requests that are affected by the congestion of the called service.
		filledBy string
		want     bool
	}{
		{"calls of another service", "above", true},
		{"own requests", "service", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestForwarder()
			for range 100 {
				c := newTestCall(f)
				c.route = &resolver.Route{Service: tt.filledBy, Name: "other", ObjectiveLatency: time.Second}
				c.congestion = congestionReport{"service", 0.9, 0}.congestion(f.Timer.Now())
				c.hasReport = true
				f.recordRootResult(c, &response{status: http.StatusInternalServerError}, nil)
			}
			// The share is lowered at the end of its first interval.
			time.Sleep(250 * time.Millisecond)
			f.downstream.Admit(retrier.RouteName{Service: tt.filledBy, Name: "other"}, 0, time.Second, f.Timer.Now())
			kept := 0
			for range 200 {
				c := newTestCall(f)
				if f.keepMinimum(c); c.rank == admitter.Minimum {
					kept++
				}
			}
			if (kept > 0) != tt.want || kept > 100 {
				t.Errorf("%d of 200 requests belong to the minimum", kept)
			}
		})
	}
}
