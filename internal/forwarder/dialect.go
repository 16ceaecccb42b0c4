package forwarder

import (
	"net/http"
	"strconv"
	"time"
)

// RequestInfo is what an upstream is told of a request.
type RequestInfo struct {
	// Handle names the request in nested calls.
	Handle string
	// CallerRequestID is the caller's own id of the request.
	CallerRequestID string
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Account is the client account, or empty on open routes.
	Account string
	// Origin is the service beside which the request began.
	Origin string
	// Instance is the run of the upstream that is meant.
	Instance string
}

// UpstreamVerdict is what an answer says of its request besides the answer itself.
type UpstreamVerdict struct {
	// Declined tells that the upstream has not run the request and never will.
	Declined bool
	// OtherInstance tells that another upstream has taken over the address.
	OtherInstance bool
}

// UpstreamProtocol is the form of the messages between a node and its upstream.
type UpstreamProtocol struct {
	// SetHeaders sets the headers that tell the upstream about a request.
	SetHeaders func(h http.Header, run RequestInfo)
	// ReadVerdict reads what an answer says of its request.
	ReadVerdict func(resp *http.Response) UpstreamVerdict
	// AllowUnframed allows answers that end with their connection.
	AllowUnframed bool
}

// WithUpstreamProtocol sets the form of the messages to the upstream.
func WithUpstreamProtocol(d UpstreamProtocol) Option {
	return func(f *Forwarder) { f.dialect = d }
}

// WithLocalService names the service of the own upstream, beside which requests begin.
func WithLocalService(name string) Option {
	return func(f *Forwarder) { f.service = name }
}

// ownDialect is the product's own form.
func ownDialect() UpstreamProtocol {
	return UpstreamProtocol{SetHeaders: describe, ReadVerdict: func(*http.Response) UpstreamVerdict { return UpstreamVerdict{} }}
}

func describe(h http.Header, run RequestInfo) {
	h.Set(headerRequest, run.Handle)
	h.Set(headerDeadline, strconv.FormatInt(run.Remaining.Milliseconds(), 10))
	if run.Account != "" {
		h.Set(headerAccount, run.Account)
	}
}
