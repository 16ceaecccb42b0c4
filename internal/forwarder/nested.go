package forwarder

import (
	"context"
	"net/http"

	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// serveNested serves a call that this node's own upstream makes while it works on a request.
func (f *Forwarder) serveNested(w http.ResponseWriter, r *http.Request, handle string) {
	f.meters.nested.Inc(1)
	parent, ok := f.live.find(handle)
	if !ok {
		f.refuse(w, refuser.New(refuser.NotRun, refuser.Unauthorized, "the request token belongs to no request in progress"))
		return
	}
	c, ref := f.newNested(r, parent.call)
	if ref != nil {
		f.refuse(w, ref)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	stop := context.AfterFunc(parent.ctx, cancel)
	defer stop()
	parent.begin(f.Timer.Now())
	a, ref := f.dispatchOnce(ctx, r.Header.Get(headerClaim), c)
	failed := isFailure(a, ref)
	shed := (ref != nil && ref.Outcome == refuser.NotRun) || (a != nil && a.report.shed)
	parent.end(f.Timer.Now(), failed && !shed, shed, f.levels.Of(c.route.Service, c.route.Name, f.Timer.Now()))
	if ref != nil {
		f.refuse(w, ref)
		return
	}
	f.write(w, r, a)
}

// newNested builds a call that inherits account, rank, deadline and retry budget from the request above it.
func (f *Forwarder) newNested(r *http.Request, parent *call) (*call, *refuser.Refusal) {
	view := f.Control.View()
	if ref := f.checkInherited(parent.account, parent.keyID); ref != nil {
		return nil, ref
	}
	if parent.depth >= maxDepth {
		return nil, badRequest("the call chain is too deep")
	}
	service, target := splitTarget(r)
	route, ref := f.route(r, view, service, target)
	if ref != nil {
		return nil, ref
	}
	c := &call{
		id:         parent.id,
		route:      route,
		method:     r.Method,
		target:     target,
		account:    parent.account,
		keyID:      parent.keyID,
		rank:       parent.rank,
		deadline:   parent.deadline,
		budget:     parent.budget,
		idempotent: isIdempotent(r.Method, route),
		depth:      parent.depth + 1,
	}
	if ref := f.readRequest(r, c, ""); ref != nil {
		return nil, ref
	}
	timeout, err := timeoutOf(r.Header, f.remaining(parent.deadline))
	if err != nil {
		return nil, badRequest(err.Error())
	}
	if own := f.Timer.Now().Add(timeout); own.Before(c.deadline) {
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
