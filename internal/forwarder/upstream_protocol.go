package forwarder

import (
	"net/http"
	"strconv"
	"time"
)

// Run describes a request to the upstream.
type Run struct {
	// Handle identifies the request in nested calls.
	Handle string
	// CallerID is the request id that the caller assigned.
	CallerID string
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Account is the client account, or empty on open routes.
	Account string
	// Origin is the service of the local upstream at the node where the call chain began.
	Origin string
	// Instance identifies the process of the upstream that the request is meant for.
	Instance string
}

// Verdict is the upstream's statement in a response on whether it ran the request.
type Verdict struct {
	// Declined is set when the upstream has not run the request and never will.
	Declined bool
	// OtherInstance is set when another upstream has taken over the address.
	OtherInstance bool
}

// Dialect defines how a node and its upstream exchange request metadata.
type Dialect struct {
	// Describe sets the headers that describe a request to the upstream.
	Describe func(h http.Header, info Run)
	// Judge reads from a response whether the upstream ran the request.
	Judge func(resp *http.Response) Verdict
	// TakesUnframed accepts responses that are delimited by the end of their connection.
	TakesUnframed bool
}

// WithDialect sets the protocol between the node and its upstream.
func WithDialect(p Dialect) Option {
	return func(f *Forwarder) { f.upstreamProtocol = p }
}

// WithService sets the service of the local upstream, which is the origin of the call chains that begin at this node.
func WithService(name string) Option {
	return func(f *Forwarder) { f.localService = name }
}

// defaultUpstreamProtocol returns the native protocol, which uses Lavenderhub headers.
func defaultUpstreamProtocol() Dialect {
	return Dialect{Describe: setUpstreamHeaders, Judge: func(*http.Response) Verdict { return Verdict{} }}
}

func setUpstreamHeaders(h http.Header, info Run) {
	h.Set(headerRequest, info.Handle)
	h.Set(headerDeadline, strconv.FormatInt(info.Remaining.Milliseconds(), 10))
	if info.Account != "" {
		h.Set(headerAccount, info.Account)
	}
}
