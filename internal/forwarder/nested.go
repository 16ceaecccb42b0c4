package forwarder

import (
	"context"

	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// serveNested serves a call that the local upstream makes while it processes a request.
func (f *Forwarder) serveNested(ctx context.Context, req *Request) (*response, *refuser.Refusal) {
	f.meters.nested.Inc(1)
	parent, ok := f.runningRequests.find(req.Handle)
	if !ok {
		return nil, refuser.New(refuser.NotRun, refuser.Unauthorized, "the request token belongs to no request in progress")
	}
	c, ref := f.newNestedCall(ctx, req, parent.call)
	if ref != nil {
		return nil, ref
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	stop := context.AfterFunc(parent.ctx, cancel)
	release := func() {
		stop()
		cancel()
	}
	parent.beginNested(f.Timer.Now())
	resp, ref := f.dispatchOnce(ctx, req.IdempotencyKey, c)
	failed := isFailure(resp, ref)
	shed := (ref != nil && ref.Outcome == refuser.NotRun) || (resp != nil && resp.report.shed)
	parent.endNested(f.Timer.Now(), failed && !shed, shed, f.admissionLevels.Of(c.route.Service, c.route.Name, f.Timer.Now()))
	if resp == nil || resp.isComplete() {
		release()
		return resp, ref
	}
	resp.rest = &closingBody{ReadCloser: resp.rest, onClose: release}
	return resp, ref
}

// newNestedCall builds a call that inherits account, rank, deadline and retry budget from its parent request.
func (f *Forwarder) newNestedCall(ctx context.Context, req *Request, parent *call) (*call, *refuser.Refusal) {
	view := f.Control.View()
	if ref := f.checkKeyStillValid(parent.account, parent.keyID); ref != nil {
		return nil, ref
	}
	if parent.depth >= maxDepth {
		return nil, badRequest("the call chain is too deep")
	}
	route, ref := f.route(ctx, req, view)
	if ref != nil {
		return nil, ref
	}
	c := &call{
		id:                parent.id,
		callerRequestID:   req.CallerRequestID,
		origin:            parent.origin,
		host:              req.Host,
		route:             route,
		method:            req.Method,
		target:            req.Target,
		account:           parent.account,
		keyID:             parent.keyID,
		rank:              parent.rank,
		deadline:          parent.deadline,
		retryBudget:       parent.retryBudget,
		idempotent:        isIdempotent(req.Method, route),
		depth:             parent.depth + 1,
		fromLocalUpstream: true,
		retryProbability:  parent.retryProbability,
		maxWait:           route.ObjectiveLatency / slotWaitDivisor,
	}
	if ref := readHeadersAndBody(req, c, ""); ref != nil {
		return nil, ref
	}
	if deadline := f.Timer.Now().Add(req.timeout(f.remaining(parent.deadline))); deadline.Before(c.deadline) {
		c.deadline = deadline
	}
	return c, nil
}

// checkKeyStillValid checks that the key with which a call was authenticated has not been withdrawn since, and that the
// freshness certificate is still valid.
func (f *Forwarder) checkKeyStillValid(account, keyID string) *refuser.Refusal {
	if account == "" {
		return nil
	}
	if !f.Control.IsFresh() {
		return notReady()
	}
	if f.Control.View().IsWithdrawn(keyID) {
		return refuser.New(refuser.NotRun, refuser.Unauthorized, "the key was withdrawn")
	}
	return nil
}
