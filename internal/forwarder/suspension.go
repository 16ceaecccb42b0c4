package forwarder

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/breaker"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/router"
)

// refuseSuspended refuses a call if the local upstream's breaker would decline it. The report carries the time for which the
// sender should avoid the upstream.
func (f *Forwarder) refuseSuspended(c *call, up *announcer.Upstream) (*refuser.Refusal, hopReport) {
	if !up.Gate.IsAdaptive() {
		return nil, hopReport{}
	}
	d := up.Breaker.SuspendedFor(f.Timer.Now(), c.idempotent, c.ignoreSuspension)
	if d == 0 {
		return nil, hopReport{}
	}
	return f.suspended(c, up, d)
}

// passBreaker asks the local upstream's breaker to admit a call that its gate has admitted. The judge must be given the call's
// result.
func (f *Forwarder) passBreaker(c *call, up *announcer.Upstream) (*judge, *refuser.Refusal, hopReport) {
	j := &judge{forwarder: f, call: c, upstream: up}
	if !up.Gate.IsAdaptive() {
		return j, nil, hopReport{}
	}
	a := up.Breaker.Admit(f.Timer.Now(), c.idempotent, c.ignoreSuspension)
	f.recordBreakerChange(up, a.Change)
	if a.SuspendedFor > 0 {
		ref, report := f.suspended(c, up, a.SuspendedFor)
		return nil, ref, report
	}
	j.permit, j.enabled = a.Permit, true
	return j, nil, hopReport{}
}

func (f *Forwarder) suspended(c *call, up *announcer.Upstream, d time.Duration) (*refuser.Refusal, hopReport) {
	report := f.newReport(up, c, nestedSummary{})
	report.suspendedFor = d
	return refuseNotRun(refuser.Suspended, "the upstream is suspended after failures"), report
}

// recordBreakerChange logs and counts a change of the state of an upstream's breaker.
func (f *Forwarder) recordBreakerChange(up *announcer.Upstream, change breaker.Change) {
	if !change.IsChange() {
		return
	}
	if change.To == breaker.Open {
		metrics.GetOrRegisterCounter("breaker.opened", f.Registry).Inc(1)
	}
	f.Log.Info("breakerChanged", zap.String("service", up.Service), zap.String("instance", up.Instance),
		zap.Stringer("from", change.From), zap.Stringer("to", change.To), zap.Duration("wait", change.Wait),
		zap.Bool("declines", change.ByDeclines))
}

// registerBreakerGauge registers the number of suspended local upstreams.
func (f *Forwarder) registerBreakerGauge() {
	f.Registry.GetOrRegister("breaker.suspended", metrics.NewFunctionalGauge(func() int64 { return int64(f.Announcer.Suspended()) }))
}

// rememberSuspension makes the router avoid a worker whose gate refused a call for its suspension.
func rememberSuspension(t *router.Target, ref *refuser.Refusal, report hopReport, now time.Time) {
	if ref != nil && ref.Reason == refuser.Suspended {
		t.Suspend(report.suspendedFor, now)
	}
}

// mayPassSuspension reports whether a call that a gate refused for a suspension may go to another worker. The last one runs the
// call even if it is suspended, too, since a faulty upstream still serves a part of its calls.
func (s *dispatchState) mayPassSuspension(c *call) bool {
	if c.ignoreSuspension {
		return false
	}
	s.suspensions++
	s.ignoreSuspension = s.ignoreSuspension || s.suspensions+s.reroutes >= maxReroutes
	return true
}
