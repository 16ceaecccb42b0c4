package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

const (
	// nestedFailureLifetime is how long a failed nested call can explain a failed response of the upstream.
	nestedFailureLifetime = 2 * time.Second
	// deadlineMargin is the difference at which two deadlines count as the same one: a nested call expires at its parent's
	// deadline, and the two ends are processed in any order.
	deadlineMargin = 50 * time.Millisecond
)

// nestedFailures counts the failed nested calls of the local upstream that name no parent request. Each explains one failed
// response of the upstream. It is safe for concurrent use.
type nestedFailures struct {
	mu sync.Mutex
	// failedAt holds the times of failures that have explained no response, in ascending order.
	failedAt []time.Time
	// running holds the calls in progress with their deadlines.
	running map[*nestedCall]struct{}
}

// nestedCall is a nested call in progress. Its deadline is zero if the upstream set none.
type nestedCall struct {
	deadline time.Time
}

// begin records the start of a nested call. End must be called with its result.
func (n *nestedFailures) begin(deadline time.Time) *nestedCall {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &nestedCall{deadline: deadline}
	if n.running == nil {
		n.running = map[*nestedCall]struct{}{}
	}
	n.running[c] = struct{}{}
	return c
}

// end records the result of a nested call.
func (n *nestedFailures) end(c *nestedCall, resp *response, ref *refuser.Refusal, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.running[c]; !ok {
		// The call already explained the response of its parent.
		return
	}
	delete(n.running, c)
	if !c.failed(resp, ref, now) {
		return
	}
	n.expire(now)
	n.failedAt = append(n.failedAt, now)
}

// failed reports whether a nested call's result can be the cause of a failed response. An upstream that has already failed a
// request abandons its other nested calls, so these are no cause unless the deadline ended them.
func (c *nestedCall) failed(resp *response, ref *refuser.Refusal, now time.Time) bool {
	if ref != nil && ref.Reason == refuser.CallerLeft {
		return c.isAtDeadline(now)
	}
	return ref != nil || resp.status >= 500
}

func (c *nestedCall) isAtDeadline(now time.Time) bool {
	return !c.deadline.IsZero() && c.deadline.Sub(now) <= deadlineMargin
}

func (n *nestedFailures) expire(now time.Time) {
	for len(n.failedAt) > 0 && now.Sub(n.failedAt[0]) > nestedFailureLifetime {
		n.failedAt = n.failedAt[1:]
	}
}

// explain reports whether a nested call explains one more failed response: it failed recently, or it is in progress at its
// deadline.
func (n *nestedFailures) explain(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.expire(now)
	if len(n.failedAt) > 0 {
		n.failedAt = n.failedAt[1:]
		return true
	}
	for c := range n.running {
		if c.isAtDeadline(now) {
			delete(n.running, c)
			return true
		}
	}
	return false
}

// serveRootOrNested serves a request that names no parent. One of the local upstream without a key is a nested call, whose
// failure explains a failure of the upstream.
func (f *Forwarder) serveRootOrNested(ctx context.Context, req *Request) (*response, *refuser.Refusal) {
	if !req.FromLocalUpstream || req.HasKey {
		return f.serveRoot(ctx, req)
	}
	deadline := time.Time{}
	if req.Timeout > 0 {
		deadline = f.Timer.Now().Add(req.Timeout)
	}
	c := f.nestedFailures.begin(deadline)
	resp, ref := f.serveRoot(ctx, req)
	f.nestedFailures.end(c, resp, ref, f.Timer.Now())
	return resp, ref
}
