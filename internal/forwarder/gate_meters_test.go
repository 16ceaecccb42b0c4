package forwarder

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// An upstream that sends an invalid load with each response must not fill the log.
func TestInvalidLoadIsLoggedOnceAMinute(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	m := newGateMeters(metrics.NewRegistry(), zap.New(core))
	start := time.Unix(1000, 0)
	for _, service := range []string{"a", "b"} {
		for i := range 1300 {
			m.countInvalidLoad(&announcer.Upstream{Service: service}, errors.New("bad load"), start.Add(time.Duration(i)*100*time.Millisecond))
		}
	}
	if n := logs.FilterMessage("loadInvalid").Len(); n != 6 {
		t.Errorf("%d lines about two upstreams in 130 s, want 6", n)
	}
	if n := m.invalidLoads.Count(); n != 2600 {
		t.Errorf("%d invalid loads were counted, want 2600", n)
	}
}

// A change of the learned limit must show in the log, and only the change.
func TestLearnedLimitIsLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	m := newGateMeters(metrics.NewRegistry(), zap.New(core))
	up := &announcer.Upstream{Service: "a", Gate: admitter.New(100, timer.New(), nil)}
	for _, limit := range []int{95, 95, 89, 89, 95} {
		m.update(up, admitter.Report{Estimate: admitter.Estimate{Limit: limit, Learned: limit, Slowdown: 1}})
	}
	if n := logs.FilterMessage("gateLimitLearned").Len(); n != 2 {
		t.Errorf("%d lines about two changes of the limit", n)
	}
	if got := m.limit.Value(); got != 95 {
		t.Errorf("gate.limit is %d, want 95", got)
	}
}
