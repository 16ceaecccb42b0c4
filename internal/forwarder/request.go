package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// Request is a request of a caller or of the own upstream, as a face decoded it.
type Request struct {
	// CallerRequestID is the caller's own id of this request, unique for each time that it is sent. It may be empty.
	CallerRequestID string
	// Host routes the request by host and path. When it is empty, Service names the service.
	Host    string
	Service string
	Method  string
	// Target is the path with its query.
	Target string
	// Header is what travels on to the upstream.
	Header http.Header
	// Body reads the body.
	Body func() ([]byte, *refuser.Refusal)
	// Key is the caller's key; HasKey is false when none came.
	Key    string
	HasKey bool
	// Timeout is the longest time that the caller waits; zero means that of the route.
	Timeout time.Duration
	// Priority lowers the priority of the client account, when it is set.
	Priority *uint32
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	// Handle is what the own upstream presents with a nested call, or empty.
	Handle string
	// FromLocalUpstream tells that the request came from this host.
	FromLocalUpstream bool
}

// timeout returns the shorter of the caller's timeout and a limit.
func (r *Request) timeout(limit time.Duration) time.Duration {
	if r.Timeout > 0 {
		return min(r.Timeout, limit)
	}
	return limit
}

// priority returns the account's priority, lowered when the caller asks for it.
func (r *Request) priority(account uint32) uint32 {
	if r.Priority != nil {
		return min(account, *r.Priority)
	}
	return account
}

// Result is what became of a request: an upstream's answer, or the program's own refusal.
type Result struct {
	// Refusal is nil when an upstream answered.
	Refusal *refuser.Refusal
	answer  *answer
}

// Serve runs a request to its end. WriteAnswer or a refusal of the face must follow.
func (f *Forwarder) Serve(ctx context.Context, req *Request) Result {
	var r Result
	if req.Handle != "" {
		r.answer, r.Refusal = f.serveNested(ctx, req)
	} else {
		r.answer, r.Refusal = f.serveRoot(ctx, req)
	}
	if r.Refusal != nil {
		f.meters.refused(string(r.Refusal.Reason))
	}
	return r
}

// Begin counts a request in progress until the returned function is called.
func (f *Forwarder) Begin() (end func()) {
	f.active.Add(1)
	return func() { f.active.Add(-1) }
}

// IsStopping reports whether callers shall use other connections from now on.
func (f *Forwarder) IsStopping() bool {
	return f.stopping.Load()
}

// WriteResponse sends an upstream's answer. The request's context must not have ended.
func (f *Forwarder) WriteResponse(w http.ResponseWriter, r *http.Request, reply Result) {
	f.write(w, r, reply.answer)
}

// ReadBody reads a request's body up to the limit in force.
func (f *Forwarder) ReadBody(r io.Reader) ([]byte, *refuser.Refusal) {
	limit := f.bodyLimit
	if view := f.Control.View(); view != nil && view.Limits.GetMaxBodyBytes() > 0 {
		limit = int64(view.Limits.GetMaxBodyBytes())
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, badRequest("the body broke off")
	}
	if int64(len(body)) > limit {
		return nil, refuser.New(refuser.NotRun, refuser.BodyTooLarge, "the body is over the limit")
	}
	return body, nil
}
