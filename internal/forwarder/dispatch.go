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

// maxReroutes bounds how often a call that was not run goes to another worker, at one hop.
const maxReroutes = 2

// attempts counts what one hop has done for a call.
type attempts struct {
	tried    []*router.Target
	retries  uint32
	reroutes int
}

// dispatch sends a call to a worker of its service, and to others while that is allowed. Exactly one of the results
// is set.
func (f *Forwarder) dispatch(ctx context.Context, c *call) (*answer, *refuser.Refusal) {
	if ref := f.shedEarly(c); ref != nil {
		return nil, ref
	}
	var done attempts
	t := f.pick(c, nil)
	if t == nil {
		return nil, noUpstream()
	}
	for {
		done.tried = append(done.tried, t)
		f.Assert.Check(asserter.RunsAtMostOnce, c.idempotent || !c.ran, "")
		a, ref := f.attempt(ctx, c, t, f.repeatOf(c, &done))
		if a != nil && !a.isRetryable() {
			f.succeed(c, a)
			return a, nil
		}
		next := f.pick(c, done.tried)
		if next == nil && ref != nil && ref.Reason == refuser.SlowAttempt {
			// The other workers left since the attempt was given up for one of them.
			next = f.pick(c, nil)
		}
		if next == nil || !f.mayGoOn(ctx, c, &done, a, ref) {
			return a, f.settleOutcome(c, ref)
		}
		if a != nil {
			a.close()
		}
		if done.retries > 0 {
			c.repeat = 1
		}
		t = next
	}
}

// shedEarly refuses a call that every worker would shed, here or deeper in the graph.
func (f *Forwarder) shedEarly(c *call) *refuser.Refusal {
	if f.controls.NoEntryShedding {
		return nil
	}
	level := f.levels.Of(c.route.Service, c.route.Name, f.Timer.Now())
	if uint32(c.rank) >= level {
		return nil
	}
	return overloaded()
}

func overloaded() *refuser.Refusal {
	return sendAway(refuser.Overloaded, "no capacity for a request of this priority")
}

func noUpstream() *refuser.Refusal {
	return sendAway(refuser.NoUpstream, "no upstream of the service is ready")
}

func (f *Forwarder) pick(c *call, tried []*router.Target) *router.Target {
	up := f.Announcer.Upstream(c.route.Service)
	return f.Router.Pick(c.route.Service, tried, up != nil && up.Gate.HasRoom(), f.Timer.Now())
}

// settleOutcome makes a refusal true for the call as a whole: an earlier attempt may have run.
func (f *Forwarder) settleOutcome(c *call, ref *refuser.Refusal) *refuser.Refusal {
	if ref == nil {
		return nil
	}
	if c.ran && ref.Outcome == refuser.NotRun {
		fixed := *ref
		fixed.Outcome = refuser.Unknown
		ref = &fixed
	}
	f.Assert.Check(asserter.NotRunIsTrue, ref.Outcome != refuser.NotRun || !c.ran, "")
	return ref
}

// mayGoOn decides whether a call goes to another worker after a refusal, or after an answer that asks for a retry.
func (f *Forwarder) mayGoOn(ctx context.Context, c *call, done *attempts, a *answer, ref *refuser.Refusal) bool {
	if ctx.Err() != nil {
		return false
	}
	if a != nil {
		return f.mayRetry(c, done, a.report.final)
	}
	if ref.Reason == refuser.Declined {
		return f.mayAskAnother(c, done)
	}
	if ref.Reason == refuser.SlowAttempt {
		// It was given up for this retry.
		done.retries++
		f.meters.retries.Inc(1)
		return true
	}
	if ref.Outcome == refuser.NotRun {
		return f.mayReroute(c, done, ref)
	}
	if ref.Reason == refuser.ConnectionLost {
		return f.mayResume(c, done)
	}
	return ref.Reason == refuser.UpstreamBroke && f.mayRetry(c, done, ref.Final)
}

// mayResume allows another attempt for an idempotent call whose connection went silent while its worker is well. The
// root call's budget bounds it; the ratios do not, since no upstream is the worse for it.
func (f *Forwarder) mayResume(c *call, done *attempts) bool {
	if !c.idempotent || !c.budget.Take() {
		return false
	}
	done.retries++
	f.meters.retries.Inc(1)
	return true
}

// mayAskAnother allows another worker for a call that an upstream declined to run. It counts as a retry: the upstreams
// of the service see the call once more.
func (f *Forwarder) mayAskAnother(c *call, done *attempts) bool {
	if !f.takeRetry(c) || !c.budget.Take() {
		return false
	}
	done.retries++
	f.meters.retries.Inc(1)
	return true
}

// repeatOf returns what grants a retry while an attempt is still open, or nil for calls that may not run again or have no
// other worker.
func (f *Forwarder) repeatOf(c *call, done *attempts) func() bool {
	if !f.boundsRepeats || !c.idempotent || f.pick(c, done.tried) == nil {
		return nil
	}
	// The grant is asked for by a timer, beside the dispatch that goes on with the list.
	tried := slices.Clone(done.tried)
	return func() bool {
		return c.budget.Left() > 0 && f.pick(c, tried) != nil && f.takeRetry(c) && c.budget.Take()
	}
}

// takeRetry holds the retries of a client account and of a service to their ratios, and stops them while the service, or
// one that it calls, gets as many repeats as it may.
func (f *Forwarder) takeRetry(c *call) bool {
	if f.reported.Of(c.route.Service, f.Timer.Now()) >= f.retryTerms.TargetShare() {
		return false
	}
	service, allowed := "service/"+c.route.Service, f.allowance()
	if c.account == "" {
		return f.ratios.Take(service, allowed)
	}
	return f.ratios.TakeBoth("account/"+c.account, service, allowed)
}

// allowance returns how many retries a name may have at this node.
func (f *Forwarder) allowance() retrier.Allowance {
	a := retrier.DefaultAllowance()
	if f.boundsRepeats {
		a = retrier.AllowanceOf(f.retryTerms, f.Control.NodeCount())
	}
	return a
}

// mayReroute allows another worker for a call that no upstream has seen.
func (f *Forwarder) mayReroute(c *call, done *attempts, ref *refuser.Refusal) bool {
	limit := maxReroutes
	switch ref.Reason {
	case refuser.Draining, refuser.NotReady, refuser.NoUpstream:
	case refuser.Overloaded:
		limit = 1
	default:
		return false
	}
	if ref.Final || done.reroutes >= limit {
		return false
	}
	done.reroutes++
	c.rerouted = true
	f.meters.reroute.Inc(1)
	return true
}

// mayRetry allows another attempt for a call that may have run: only here, right above the failure, within the root
// call's budget and within the ratios to successes.
func (f *Forwarder) mayRetry(c *call, done *attempts, final bool) bool {
	if !c.idempotent {
		return false
	}
	if f.controls.NoRetryBounds {
		done.retries++
		return done.retries <= c.route.Retries
	}
	if final || !f.takeRetry(c) || !c.budget.Take() {
		return false
	}
	done.retries++
	f.meters.retries.Inc(1)
	return true
}

// succeed earns retries for the account and the service.
func (f *Forwarder) succeed(c *call, a *answer) {
	if a.status >= http.StatusInternalServerError {
		return
	}
	allowed := f.allowance()
	f.ratios.Of("account/"+c.account, allowed).RecordSuccess(allowed)
	f.ratios.Of("service/"+c.route.Service, allowed).RecordSuccess(allowed)
}

// repeatsOf returns the measure of the repeats that reach the own upstream of a service.
func (f *Forwarder) repeatsOf(service string) *retrier.RetryMeter {
	return f.repeats.Of(service, f.retryTerms.Window)
}
