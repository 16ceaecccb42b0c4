package forwarder

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/exporter"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
)

// newDownstreamLimiter returns a limiter that logs when a service becomes congested and when it is free again.
func (f *Forwarder) newDownstreamLimiter() *retrier.DownstreamLimiter {
	return retrier.NewDownstreamLimiter(
		retrier.WithShareReport(func(service string, share float64) {
			metrics.GetOrRegisterGaugeFloat64(exporter.Labeled("downstream.share", "service", service), f.Registry).Update(share)
		}),
		retrier.WithChangeReport(func(service string, share float64, congested bool) {
			event := "serviceFree"
			if congested {
				event = "serviceCongested"
			}
			f.Log.Info(event, zap.String("service", service), zap.Float64("share", share))
		}),
	)
}

// keepMinimum gives a call that belongs to the minimum of its service the rank for that.
func (f *Forwarder) keepMinimum(c *call) {
	if f.overrides.NoEntryShedding || c.fromLocalUpstream || c.rank == admitter.InProgress {
		return
	}
	if f.downstream.KeepsMinimum(c.routeName(), f.Timer.Now()) {
		c.rank = admitter.Minimum
		f.meters.downstreamMinimum.Inc(1)
	}
}

// refuseForDownstream refuses a call if a service to which the calls of its route lead has no capacity for it.
func (f *Forwarder) refuseForDownstream(c *call) *refuser.Refusal {
	if f.overrides.NoEntryShedding || c.fromLocalUpstream || c.rank == admitter.InProgress {
		return nil
	}
	ok, availableIn := f.downstream.Admit(c.routeName(), uint32(c.rank), c.route.ObjectiveLatency, f.Timer.Now())
	if ok {
		return nil
	}
	c.availableIn = availableIn
	f.meters.downstreamRefused.Inc(1)
	return refuseNotRun(refuser.Overloaded, "a service that the request depends on has no capacity")
}

// observeDownstream passes the result of a root call to the limiter. It reports whether a failure is due to the congestion of
// a service. Such a failure does not count as one of the called service.
func (f *Forwarder) observeDownstream(c *call, resp *response, ref *refuser.Refusal, now time.Time) bool {
	if ref != nil && (!ref.MayHaveRun() || !c.mayHaveRun || ref.Outcome == refuser.AlreadyRun || ref.Reason == refuser.CallerLeft) {
		return false
	}
	failed := ref != nil || isServerFailure(resp.status)
	if c.fromLocalUpstream {
		return failed && c.congestion.Current(now) > 0
	}
	objective := c.route.ObjectiveLatency
	affected := f.downstream.Observe(retrier.DownstreamResponse{
		Route: c.routeName(), Congestion: c.congestion, Failed: failed, Lost: ref != nil && !c.hasReport,
		Slow: objective > 0 && now.Sub(c.dispatchedAt).Seconds() > retrier.SlowShare*objective.Seconds(), Start: c.dispatchedAt,
	}, now)
	return failed && affected
}

// isServerFailure reports whether an upstream answers with this status when one of its own calls failed.
func isServerFailure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

func (c *call) routeName() retrier.RouteName {
	return retrier.RouteName{Service: c.route.Service, Name: c.route.Name}
}
