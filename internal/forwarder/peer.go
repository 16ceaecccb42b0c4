package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
	"github.com/lavenderhub/lavenderhub/schema"
)

// ServePeer serves calls from other nodes to this node's own upstream.
func (f *Forwarder) ServePeer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == dialer.PingPath {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	f.active.Add(1)
	defer f.active.Add(-1)
	f.meters.hops.Inc(1)
	a, ref, p := f.runForPeer(r)
	p.write(w.Header())
	if ref != nil {
		f.refuse(w, ref)
		return
	}
	f.write(w, r, a)
}

// runForPeer checks a call from another node and runs it.
func (f *Forwarder) runForPeer(r *http.Request) (*answer, *refuser.Refusal, report) {
	none := report{hasSpent: true}
	view := f.Control.View()
	if view == nil {
		return nil, notReady(), none
	}
	token, err := authenticator.Verify(r.Header.Get(headerHop), view.TokenKey)
	if err != nil {
		return nil, refuser.New(refuser.NotRun, refuser.NotReady, err.Error()), none
	}
	c, ref := f.newFromPeer(r, token, view)
	if ref != nil {
		return nil, ref, none
	}
	up := f.Announcer.Upstream(token.GetService())
	if up == nil {
		return nil, refuser.New(refuser.NotRun, refuser.NoUpstream, "no upstream of the service is beside this node"), none
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	a, ref, p := f.runUpstream(ctx, c, up)
	if a == nil || a.isWhole() {
		cancel()
		return a, ref, p
	}
	a.more = &closingBody{ReadCloser: a.more, onClose: cancel}
	return a, ref, p
}

func (f *Forwarder) newFromPeer(r *http.Request, token *schema.HopToken, view *resolver.View) (*call, *refuser.Refusal) {
	if ref := f.checkInherited(token.GetAccount(), token.GetKeyId()); ref != nil {
		return nil, ref
	}
	service, target := splitTarget(r)
	if service != token.GetService() {
		return nil, refuser.New(refuser.NotRun, refuser.NotReady, "the request token is for another service")
	}
	body, ref := f.ReadBody(r.Body)
	if ref != nil {
		return nil, ref
	}
	// The entry decided by the route that it knows; here only its name matters.
	route := resolver.Route{Service: service, Name: token.GetRoute()}
	if token.GetHost() == "" {
		route = *view.Route(service, pathOf(target))
		route.Name = token.GetRoute()
	}
	return &call{
		id:         token.GetRequestId(),
		route:      &route,
		method:     r.Method,
		target:     target,
		header:     ForwardableHeaders(r.Header),
		body:       body,
		account:    token.GetAccount(),
		keyID:      token.GetKeyId(),
		rank:       admitter.Rank(token.GetRank()),
		deadline:   f.Timer.Now().Add(time.Duration(token.GetRemainingMicros()) * time.Microsecond),
		budget:     retrier.NewBudget(token.GetRetries()),
		idempotent: token.GetIdempotent(),
		depth:      token.GetDepth(),
		rerouted:   token.GetRerouted(),
		callerID:   token.GetCallerId(),
		origin:     token.GetOrigin(),
		host:       token.GetHost(),
		patience:   time.Duration(token.GetPatienceMicros()) * time.Microsecond,
		repeat:     token.GetRepeat(),
	}, nil
}
