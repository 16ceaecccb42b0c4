package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// Request is a request from a caller or the local upstream, as decoded by a protocol adapter.
type Request struct {
	// CallerRequestID is the ID that the caller assigned to this attempt, unique for each client retry. It may be empty.
	CallerRequestID string
	// Host is set for requests that are routed by host and path. When it is empty, Service gives the service.
	Host    string
	Service string
	Method  string
	// Target is the path with its query.
	Target string
	// Header holds the headers to forward to the upstream.
	Header http.Header
	// Body reads the request body.
	Body func() (*Body, *refuser.Refusal)
	// Key is the caller's key. HasKey is false when the request has no valid Authorization header.
	Key    string
	HasKey bool
	// Timeout is the caller's timeout; zero means the route's.
	Timeout time.Duration
	// Priority, if set, can lower the priority of the client account.
	Priority *uint32
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	// Handle identifies the parent request of a nested call, or is empty.
	Handle string
	// FromLocalUpstream is set when the request came from this host.
	FromLocalUpstream bool
}

// timeout returns the shorter of the caller's timeout and a limit.
func (r *Request) timeout(limit time.Duration) time.Duration {
	if r.Timeout > 0 {
		return min(r.Timeout, limit)
	}
	return limit
}

// priority returns the account's priority, or the caller's if that is lower.
func (r *Request) priority(account uint32) uint32 {
	if r.Priority != nil {
		return min(account, *r.Priority)
	}
	return account
}

// Result is the result of a request: an upstream's response or a refusal.
type Result struct {
	// Refusal is nil when there is an upstream's response.
	Refusal  *refuser.Refusal
	response *response
}

// Serve runs a request to its end. The protocol adapter must then call WriteResponse or write the refusal.
func (f *Forwarder) Serve(ctx context.Context, req *Request) Result {
	var r Result
	if req.Handle != "" {
		r.response, r.Refusal = f.serveNested(ctx, req)
	} else {
		r.response, r.Refusal = f.serveRootOrNested(ctx, req)
	}
	if r.Refusal != nil {
		f.meters.countRefusal(string(r.Refusal.Reason))
	}
	return r
}

// Begin counts a request as in progress until the returned function is called.
func (f *Forwarder) Begin() (end func()) {
	f.active.Add(1)
	return func() { f.active.Add(-1) }
}

// IsStopping reports whether the node is stopping, so that callers' connections should be closed.
func (f *Forwarder) IsStopping() bool {
	return f.stopping.Load()
}

// WriteResponse sends an upstream's response. The request's context must not have ended.
func (f *Forwarder) WriteResponse(w http.ResponseWriter, r *http.Request, result Result) {
	f.sendResponse(w, r, result.response)
}
