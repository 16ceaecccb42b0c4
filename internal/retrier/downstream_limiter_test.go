package retrier

import (
	"math/rand/v2"
	"testing"
	"time"
)

// affectedResponse is a response that was affected by a service named "deep".
func affectedResponse(route RouteName, now time.Time) DownstreamResponse {
	return DownstreamResponse{Route: route, Congestion: Congestion{Service: "deep", Value: 1, At: now}, Failed: true, Start: now}
}

// TestLowestRanksKeepMinimum guards against classes and accounts that get nothing because their ranks are the lowest, and
// against a minimum that comes on top of the share.
func TestLowestRanksKeepMinimum(t *testing.T) {
	const requests, share = 20000, 0.4
	random := rand.New(rand.NewPCG(1, 2))
	l, route, now := NewDownstreamLimiter(), RouteName{"a", "b"}, time.Unix(1000, 0)
	l.draw = random.Float64
	for range 3 {
		l.Observe(affectedResponse(route, now), now)
	}
	s := l.services[0]
	s.share, s.intervalStart = share, now.Add(time.Hour)
	var sent, admitted [2]int
	for range requests {
		class := min(1, random.IntN(5))
		sent[class]++
		if ok, wait := l.Admit(route, uint32(class), time.Second, now); ok {
			admitted[class]++
		} else if want := time.Duration(returnShare * (1 - share) * float64(time.Second)); wait != want {
			t.Fatalf("refused request should come back after %s, want %s", wait, want)
		}
	}
	low, all := float64(admitted[0])/float64(sent[0]), float64(admitted[0]+admitted[1])/requests
	if low < minMeanShare*share*0.9 || low > minMeanShare*share*1.2 {
		t.Errorf("admitted %.3f of the lowest class, want a quarter of %.2f", low, share)
	}
	if all < share-0.03 || all > share+0.03 {
		t.Errorf("admitted %.3f, want %.2f", all, share)
	}
}

// TestDependentRoutes guards against refusals of routes whose responses only carry congestion, and of routes that no longer
// depend on a congested service, and against a list of routes or services that grows.
func TestDependentRoutes(t *testing.T) {
	l, now := NewDownstreamLimiter(), time.Unix(1000, 0)
	l.draw = func() float64 { return 0.5 }
	dependent, shared := RouteName{"a", "dependent"}, RouteName{"a", "shared"}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		l.Observe(affectedResponse(dependent, now), now)
		r := affectedResponse(shared, now)
		r.Failed = false
		l.Observe(r, now)
	}
	if ok, _ := l.Admit(dependent, 0, time.Second, now); ok {
		t.Error("a request of a dependent route is admitted although all of them fail")
	}
	if ok, _ := l.Admit(shared, 0, time.Second, now); !ok {
		t.Error("a request of a route that only shares an upstream is refused")
	}
	for i := range 100 {
		r := affectedResponse(RouteName{"a", string(rune('a' + i))}, now)
		r.Congestion.Service = r.Route.Name
		l.Observe(r, now)
	}
	if n := len(l.services); n > maxCongestedServices {
		t.Errorf("%d congested services, want at most %d", n, maxCongestedServices)
	}
	now = now.Add(dependentLifetime + time.Second)
	for range 2 {
		if ok, _ := l.Admit(dependent, 0, time.Second, now); !ok {
			t.Error("a request is refused 10 s after the last affected response")
		}
		now = now.Add(time.Second)
	}
	if n := len(l.services); n > 0 {
		t.Errorf("%d congested services are kept 10 s after the last affected response", n)
	}
}

// TestLostResponsesCountWhileCongested guards against failures without a report that hide an overload, or that cause
// refusals on their own.
func TestLostResponsesCountWhileCongested(t *testing.T) {
	l, route, now := NewDownstreamLimiter(), RouteName{"a", "b"}, time.Unix(1000, 0)
	lost := func() DownstreamResponse {
		return DownstreamResponse{Route: route, Failed: true, Lost: true, Start: now}
	}
	l.Observe(lost(), now)
	if n := len(l.services); n > 0 {
		t.Fatalf("%d congested services after a failure without a report", n)
	}
	for range 3 {
		l.Observe(affectedResponse(route, now), now)
	}
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		l.Observe(lost(), now)
	}
	if share := l.services[0].share; share > 0.5 {
		t.Errorf("share %.2f after a second in which all requests failed", share)
	}
}

// TestCongestionsFade guards against a congestion that outlives its cause because nodes pass it on.
func TestCongestionsFade(t *testing.T) {
	var s Congestions
	now := time.Unix(1000, 0)
	s.Record(Congestion{Service: "deep", Value: 0.9, At: now}, now)
	s.Record(Congestion{Service: "deep", Value: 0.3, At: now}, now)
	s.Record(Congestion{Service: "other", Value: 0.5, At: now}, now)
	if c := s.Highest(now); c.Service != "deep" || c.Value != 0.9 {
		t.Errorf("highest congestion %+v", c)
	}
	var above Congestions
	later := now.Add(600 * time.Millisecond)
	above.Record(s.Highest(later), later)
	if got := above.Highest(later).Current(later); got < 0.35 || got > 0.37 {
		t.Errorf("congestion %.3f 0.6 s after it was measured, want 0.36", got)
	}
	if c := above.Highest(now.Add(congestionLifetime)); c.Value != 0 {
		t.Errorf("congestion %+v outlives its cause", c)
	}
}

// While a congestion lasts, callers that come back soon are refused again and load the entry nodes for nothing.
func TestRefusedRequestsReturnTooSoon(t *testing.T) {
	l, route, now := NewDownstreamLimiter(), RouteName{"a", "b"}, time.Unix(1000, 0)
	l.draw = func() float64 { return 0.3 }
	refuse := func() time.Duration {
		for range 20 {
			l.Observe(affectedResponse(route, now), now)
			now = now.Add(shareInterval / 10)
		}
		for range 200 {
			if ok, after := l.Admit(route, 1, time.Second, now); !ok {
				return after
			}
		}
		t.Fatal("no request was refused")
		return 0
	}
	if first := refuse(); first.Seconds() > returnShare {
		t.Errorf("at the beginning a request should come back after %v", first)
	}
	for range 6 {
		refuse()
	}
	if later := refuse(); later < time.Second {
		t.Errorf("after three seconds a request should come back after %v already", later)
	}
	for range 20 {
		refuse()
	}
	if last := refuse(); last != maxReturn {
		t.Errorf("a request should come back after %v, want %v", last, maxReturn)
	}
}

// Responses that are lost on the way, as to a host that is cut off, must not keep a service congested that reports no congestion.
func TestLostResponsesKeepServiceCongested(t *testing.T) {
	l, route, now := NewDownstreamLimiter(), RouteName{"a", "b"}, time.Unix(1000, 0)
	for range 20 {
		l.Observe(affectedResponse(route, now), now)
		now = now.Add(shareInterval / 10)
	}
	for range 50 {
		l.Observe(DownstreamResponse{Route: route, Failed: true, Lost: true, Start: now}, now)
		now = now.Add(congestionLifetime / 10)
	}
	if s := l.services[0]; now.Sub(s.affectedAt) < congestionLifetime {
		t.Errorf("lost responses count as affected %v after the last report", now.Sub(s.reported.At))
	}
}
