package forwarder

import (
	"context"

	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// serveNested serves a call that this node's own upstream makes while it works on a request.
func (f *Forwarder) serveNested(ctx context.Context, req *Request) (*answer, *refuser.Refusal) {
	f.meters.nested.Inc(1)
	parent, ok := f.live.find(req.Handle)
	if !ok {
		return nil, refuser.New(refuser.NotRun, refuser.Unauthorized, "the request token belongs to no request in progress")
	}
	c, ref := f.newNested(ctx, req, parent.call)
	if ref != nil {
		return nil, ref
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	stop := context.AfterFunc(parent.ctx, cancel)
	end := func() {
		stop()
		cancel()
	}
	parent.begin(f.Timer.Now())
	a, ref := f.dispatchOnce(ctx, req.IdempotencyKey, c)
	failed := isFailure(a, ref)
	shed := (ref != nil && ref.Outcome == refuser.NotRun) || (a != nil && a.report.shed)
	parent.end(f.Timer.Now(), failed && !shed, shed, f.levels.Of(c.route.Service, c.route.Name, f.Timer.Now()))
	if a == nil || a.isWhole() {
		end()
		return a, ref
	}
	a.more = &closingBody{ReadCloser: a.more, onClose: end}
	return a, ref
}

// newNested builds a call that inherits account, rank, deadline and retry budget from the request above it.
func (f *Forwarder) newNested(ctx context.Context, req *Request, parent *call) (*call, *refuser.Refusal) {
	view := f.Control.View()
	if ref := f.checkInherited(parent.account, parent.keyID); ref != nil {
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
		id:         parent.id,
		callerID:   req.CallerRequestID,
		origin:     parent.origin,
		host:       req.Host,
		route:      route,
		method:     req.Method,
		target:     req.Target,
		account:    parent.account,
		keyID:      parent.keyID,
		rank:       parent.rank,
		deadline:   parent.deadline,
		budget:     parent.budget,
		idempotent: isIdempotent(req.Method, route),
		depth:      parent.depth + 1,
		near:       true,
		repeat:     parent.repeat,
		patience:   route.ObjectiveLatency / slotPatienceShare,
	}
	if ref := readRequest(req, c, ""); ref != nil {
		return nil, ref
	}
	if own := f.Timer.Now().Add(req.timeout(f.remaining(parent.deadline))); own.Before(c.deadline) {
		c.deadline = own
	}
	return c, nil
}

// checkInherited checks the key of a request that another hop let in.
func (f *Forwarder) checkInherited(account, keyID string) *refuser.Refusal {
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
