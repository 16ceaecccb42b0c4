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

// ServePeer serves calls from other nodes to the local upstream.
func (f *Forwarder) ServePeer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == dialer.PingPath {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	f.active.Add(1)
	defer f.active.Add(-1)
	f.meters.hops.Inc(1)
	resp, ref, report := f.servePeerCall(w, r)
	report.write(w.Header())
	if ref != nil {
		f.refuse(w, ref)
		return
	}
	f.sendResponse(w, r, resp)
}

// IsHop reports whether a request of another node carries the token of a call to the local upstream.
func IsHop(r *http.Request) bool {
	return r.Header.Get(headerHop) != ""
}

// servePeerCall verifies the hop token of a call from another node and runs the call.
func (f *Forwarder) servePeerCall(w http.ResponseWriter, r *http.Request) (*response, *refuser.Refusal, hopReport) {
	emptyReport := hopReport{hasSpentRetries: true}
	view := f.Control.View()
	if view == nil {
		return nil, notReady(), emptyReport
	}
	token, err := authenticator.Verify(r.Header.Get(headerHop), view.TokenKey)
	if err != nil {
		return nil, refuser.New(refuser.NotRun, refuser.NotReady, err.Error()), emptyReport
	}
	c, ref := f.newPeerCall(w, r, token, view)
	if ref != nil {
		return nil, ref, emptyReport
	}
	up := f.Announcer.Upstream(token.GetService())
	if up == nil {
		return nil, refuser.New(refuser.NotRun, refuser.NoUpstream, "no upstream of the service is beside this node"), emptyReport
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	resp, ref, report := f.runUpstream(ctx, c, up)
	if resp == nil || resp.isComplete() {
		cancel()
		return resp, ref, report
	}
	resp.rest = &closingBody{ReadCloser: resp.rest, onClose: cancel}
	return resp, ref, report
}

func (f *Forwarder) newPeerCall(
	w http.ResponseWriter, r *http.Request, token *schema.HopToken, view *resolver.View,
) (*call, *refuser.Refusal) {
	if ref := f.checkKeyStillValid(token.GetAccount(), token.GetKeyId()); ref != nil {
		return nil, ref
	}
	service, target := splitTarget(r)
	if service != token.GetService() {
		return nil, refuser.New(refuser.NotRun, refuser.NotReady, "the request token is for another service")
	}
	body, ref := f.ReadBody(w, r)
	if ref != nil {
		return nil, ref
	}
	// The entry node has applied the settings of the route; for a route by host only the names are needed here.
	route := resolver.Route{Service: service, Name: token.GetRoute()}
	if token.GetHost() == "" {
		route = *view.Route(service, targetPath(target))
		route.Name = token.GetRoute()
	}
	return &call{
		id:               token.GetRequestId(),
		route:            &route,
		method:           r.Method,
		target:           target,
		header:           ForwardableHeaders(r.Header),
		body:             body,
		account:          token.GetAccount(),
		keyID:            token.GetKeyId(),
		rank:             admitter.Rank(token.GetRank()),
		deadline:         f.Timer.Now().Add(time.Duration(token.GetRemainingMicros()) * time.Microsecond),
		retryBudget:      retrier.NewBudget(token.GetRetries()),
		idempotent:       token.GetIdempotent(),
		depth:            token.GetDepth(),
		rerouted:         token.GetRerouted(),
		callerRequestID:  string(token.GetCallerId()),
		origin:           token.GetOrigin(),
		host:             token.GetHost(),
		maxWait:          time.Duration(token.GetPatienceMicros()) * time.Microsecond,
		retryProbability: token.GetRepeat(),
		ignoreSuspension: token.GetIgnoreSuspension(),
	}, nil
}
