package forwarder

import (
	"context"
	"net/http"
	"slices"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
	"github.com/lavenderhub/lavenderhub/internal/router"
)

// maxReroutes is the maximum number of reroutes of a call at one hop.
const maxReroutes = 2

// dispatchState tracks the attempts that one hop made for a call.
type dispatchState struct {
	tried    []*router.Target
	retries  uint32
	reroutes int
	// suspensions is the number of refusals for a suspension.
	suspensions int
	// ignoreSuspension is set when the call is tried even at a suspended upstream.
	ignoreSuspension bool
}

// dispatch sends a call to a worker of its service and, while reroutes and retries are allowed, to further ones. Exactly
// one of the results is set. The response may have a retryable status when no further attempt is allowed.
func (f *Forwarder) dispatch(ctx context.Context, c *call) (*response, *refuser.Refusal) {
	// The stop may have begun while the call waited for a token or a claim.
	if ref := f.refuseOutlasting(c); ref != nil {
		return nil, ref
	}
	if ref := f.shedEarly(c); ref != nil {
		return nil, ref
	}
	var state dispatchState
	t := f.pickWorker(c, nil)
	if t == nil {
		return nil, noUpstream()
	}
	for {
		state.tried = append(state.tried, t)
		c.ignoreSuspension = state.ignoreSuspension || t.IsSuspended(f.Timer.Now())
		f.Assert.Check(asserter.RunsAtMostOnce, c.idempotent || !c.mayHaveRun, "")
		resp, ref := f.attempt(ctx, c, t, f.retryGrant(c, &state))
		if resp != nil && !resp.isRetryable() {
			f.recordSuccess(c, resp)
			return resp, nil
		}
		next := f.pickWorker(c, state.tried)
		if next == nil && ref != nil && ref.Reason == refuser.SlowAttempt {
			// The attempt was canceled in favor of another worker, but no other worker is left: pick among all workers.
			next = f.pickWorker(c, nil)
		}
		if next == nil && ref != nil && ref.Reason == refuser.Suspended {
			// No other worker is left: the call must be tried nevertheless.
			next, state.ignoreSuspension = t, true
		}
		if next == nil || !f.mayTryAnother(ctx, c, &state, resp, ref) {
			return resp, f.correctOutcome(c, ref)
		}
		if resp != nil {
			resp.close()
		}
		if state.retries > 0 {
			c.retryProbability = 1
		}
		t = next
	}
}

// shedEarly refuses a call whose rank is below the learned admission level of its route: the workers, or services deeper
// in the call chain, would shed it.
func (f *Forwarder) shedEarly(c *call) *refuser.Refusal {
	if f.overrides.NoEntryShedding {
		return nil
	}
	level := f.admissionLevels.Of(c.route.Service, c.route.Name, f.Timer.Now())
	if uint32(c.rank) >= level {
		return nil
	}
	return overloaded()
}

func overloaded() *refuser.Refusal {
	return refuseNotRun(refuser.Overloaded, "no capacity for a request of this priority")
}

func noUpstream() *refuser.Refusal {
	return refuseNotRun(refuser.NoUpstream, "no upstream of the service is ready")
}

func (f *Forwarder) pickWorker(c *call, tried []*router.Target) *router.Target {
	up := f.Announcer.Upstream(c.route.Service)
	return f.Router.PickFor(c.route.Service, tried, up != nil && up.Gate.HasRoom(), c.route.ObjectiveLatency, f.Timer.Now())
}

// correctOutcome turns NotRun into Unknown when an earlier attempt of the call may have run.
func (f *Forwarder) correctOutcome(c *call, ref *refuser.Refusal) *refuser.Refusal {
	if ref == nil {
		return nil
	}
	if c.mayHaveRun && ref.Outcome == refuser.NotRun {
		corrected := *ref
		corrected.Outcome = refuser.Unknown
		ref = &corrected
	}
	f.Assert.Check(asserter.NotRunIsTrue, ref.Outcome != refuser.NotRun || !c.mayHaveRun, "")
	return ref
}

// mayTryAnother reports whether a call may go to another worker after a refusal or a response with a retryable status.
// It counts the retry or reroute.
func (f *Forwarder) mayTryAnother(ctx context.Context, c *call, state *dispatchState, resp *response, ref *refuser.Refusal) bool {
	if ctx.Err() != nil {
		return false
	}
	if resp != nil {
		return f.mayRetry(c, state, resp.report.final)
	}
	if ref.Reason == refuser.Declined {
		return f.mayRetryDeclined(c, state)
	}
	if ref.Reason == refuser.SlowAttempt {
		// The attempt was canceled for this retry, which is already charged.
		state.retries++
		f.meters.retries.Inc(1)
		return true
	}
	if ref.Outcome == refuser.NotRun {
		return f.mayReroute(c, state, ref)
	}
	if ref.Reason == refuser.ConnectionLost {
		return f.mayRetryLostConnection(c, state)
	}
	return ref.Reason == refuser.UpstreamBroke && f.mayRetry(c, state, ref.Final)
}

// mayRetryLostConnection reports whether an idempotent call may be retried after its connection became unresponsive while
// the worker is healthy. Only the root call's retry budget bounds such retries, not the retry ratios, since the retries
// harm no upstream.
func (f *Forwarder) mayRetryLostConnection(c *call, state *dispatchState) bool {
	if !c.idempotent || !c.retryBudget.Take() {
		return false
	}
	state.retries++
	f.meters.retries.Inc(1)
	return true
}

// mayRetryDeclined reports whether a call that an upstream declined may go to another worker. It counts as a retry,
// because the upstreams of the service receive the call again.
func (f *Forwarder) mayRetryDeclined(c *call, state *dispatchState) bool {
	if !f.takeRetry(c) || !c.retryBudget.Take() {
		return false
	}
	state.retries++
	f.meters.retries.Inc(1)
	return true
}

// retryGrant returns a function that takes a retry while an attempt is still in progress, and reports whether one was
// available. It returns nil if the settings give no retry limit, or the call is not idempotent or has no other worker.
func (f *Forwarder) retryGrant(c *call, state *dispatchState) func() bool {
	if !f.hasRetryLimit || !c.idempotent || f.pickWorker(c, state.tried) == nil {
		return nil
	}
	// A timer calls the function concurrently with dispatch, which continues to append to the list.
	tried := slices.Clone(state.tried)
	return func() bool {
		return c.retryBudget.Left() > 0 && f.pickWorker(c, tried) != nil && f.takeRetry(c) && c.retryBudget.Take()
	}
}

// takeRetry takes a retry from the ratios of the client account and the service. It returns false when a ratio is used
// up, or when the reported retry share of the service, or of one that it calls, has reached its target.
func (f *Forwarder) takeRetry(c *call) bool {
	if f.reportedRetryShares.Of(c.route.Service, f.Timer.Now()) >= f.retryLimit.TargetShare() {
		return false
	}
	service, allowance := "service/"+c.route.Service, f.retryAllowance()
	if c.account == "" {
		return f.retryRatios.Take(service, allowance)
	}
	return f.retryRatios.TakeBoth("account/"+c.account, service, allowance)
}

// retryAllowance returns this node's retry allowance for an account or a service.
func (f *Forwarder) retryAllowance() retrier.Allowance {
	allowance := retrier.DefaultAllowance()
	if f.hasRetryLimit {
		allowance = retrier.AllowanceOf(f.retryLimit, f.Control.NodeCount())
	}
	return allowance
}

// mayReroute reports whether a call that no upstream has seen may go to another worker.
func (f *Forwarder) mayReroute(c *call, state *dispatchState, ref *refuser.Refusal) bool {
	limit := maxReroutes
	switch ref.Reason {
	case refuser.Draining, refuser.NotReady, refuser.NoUpstream:
	case refuser.Overloaded, refuser.OutOfMemory:
		limit = 1
	case refuser.Suspended:
		if !state.mayPassSuspension(c) {
			return false
		}
		f.meters.reroutes.Inc(1)
		return true
	default:
		return false
	}
	if ref.Final || state.reroutes >= limit {
		return false
	}
	state.reroutes++
	c.rerouted = true
	f.meters.reroutes.Inc(1)
	return true
}

// mayRetry reports whether a call that may have run can be retried. Only the hop directly above the failure retries,
// within the root call's retry budget and the ratios of retries to successes.
func (f *Forwarder) mayRetry(c *call, state *dispatchState, final bool) bool {
	if !c.idempotent {
		return false
	}
	if f.overrides.NoRetryBounds {
		state.retries++
		return state.retries <= c.route.Retries
	}
	if final || !f.takeRetry(c) || !c.retryBudget.Take() {
		return false
	}
	state.retries++
	f.meters.retries.Inc(1)
	return true
}

// recordSuccess credits the retry ratios of the account and the service.
func (f *Forwarder) recordSuccess(c *call, resp *response) {
	if resp.status >= http.StatusInternalServerError {
		return
	}
	allowance := f.retryAllowance()
	f.retryRatios.Of("account/"+c.account, allowance).RecordSuccess(allowance)
	f.retryRatios.Of("service/"+c.route.Service, allowance).RecordSuccess(allowance)
}

// retryMeterOf returns the meter of retries that reach the local upstream of a service.
func (f *Forwarder) retryMeterOf(service string) *retrier.RetryMeter {
	return f.retryMeters.Of(service, f.retryLimit.Window)
}
