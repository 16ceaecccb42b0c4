package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/exchanger"
)

// RequestInfo describes a request to the upstream.
type RequestInfo struct {
	// Handle identifies the request in nested calls.
	Handle string
	// CallerRequestID is the request ID that the caller assigned.
	CallerRequestID string
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Account is the client account, or empty on open routes.
	Account string
	// Origin is the service of the local upstream at the node where the call chain began.
	Origin string
	// Instance is the ID of the upstream instance that the request is meant for.
	Instance string
}

// UpstreamVerdict is the upstream's statement in a response on whether it ran the request.
type UpstreamVerdict struct {
	// Declined is set when the upstream has not run the request and never will.
	Declined bool
	// OtherInstance is set when another upstream has taken over the address.
	OtherInstance bool
}

// UpstreamProtocol defines how a node and its upstream exchange request metadata.
type UpstreamProtocol struct {
	// SetHeaders sets the headers that describe a request to the upstream.
	SetHeaders func(h http.Header, info RequestInfo)
	// ReadVerdict reads from a response whether the upstream ran the request.
	ReadVerdict func(resp *http.Response) UpstreamVerdict
	// ReadLoad reads from a response what the upstream reports about its load. It returns false if there is no valid report,
	// and an error if there is an invalid one.
	ReadLoad func(h http.Header) (admitter.LoadReport, bool, error)
	// AllowUnframed accepts responses that are delimited by the end of their connection.
	AllowUnframed bool
}

// WithUpstreamProtocol sets the protocol between the node and its upstream.
func WithUpstreamProtocol(p UpstreamProtocol) Option {
	return func(f *Forwarder) { f.upstreamProtocol = p }
}

// WithLocalService sets the service of the local upstream, which is the origin of the call chains that begin at this node.
func WithLocalService(name string) Option {
	return func(f *Forwarder) { f.localService = name }
}

// defaultUpstreamProtocol returns the native protocol, which uses Lavenderhub headers.
func defaultUpstreamProtocol() UpstreamProtocol {
	return UpstreamProtocol{
		SetHeaders:  setUpstreamHeaders,
		ReadVerdict: func(*http.Response) UpstreamVerdict { return UpstreamVerdict{} },
		ReadLoad:    func(http.Header) (admitter.LoadReport, bool, error) { return admitter.LoadReport{}, false, nil },
	}
}

// MatchRequest tells whether a response of an upstream with the native protocol echoes the handle of its request.
func MatchRequest(req *http.Request, resp *http.Response) exchanger.Match {
	switch resp.Header.Get(headerRequest) {
	case "":
		return exchanger.Unnamed
	case req.Header.Get(headerRequest):
		return exchanger.Own
	default:
		return exchanger.Other
	}
}

func setUpstreamHeaders(h http.Header, info RequestInfo) {
	h.Set(headerRequest, info.Handle)
	h.Set(headerDeadline, strconv.FormatInt(info.Remaining.Milliseconds(), 10))
	if info.Account != "" {
		h.Set(headerAccount, info.Account)
	}
}
