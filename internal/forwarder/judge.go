package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/breaker"
)

const (
	// busyLoad is the load of a gate from which a 503 counts as a lack of capacity.
	busyLoad = 0.5
	// unansweredFactor is the number of usual response times that a call must have had before its deadline, so that the
	// missing response counts as a failure.
	unansweredFactor = 2
	// maxLateness is the time after a call's deadline from which its missing response says nothing about the upstream: this
	// host was frozen, too, or lacks processor time.
	maxLateness = 500 * time.Millisecond
)

// judge tells the breaker of the local upstream what the result of one call says about the upstream.
type judge struct {
	forwarder *Forwarder
	call      *call
	upstream  *announcer.Upstream
	// enabled is false if the breaker does not take part.
	enabled bool
	permit  breaker.Permit
	ctx     context.Context
	running *runningRequest
	start   time.Time
}

// begin records the start of the call.
func (j *judge) begin(ctx context.Context, r *runningRequest, start time.Time) {
	j.ctx, j.running, j.start = ctx, r, start
}

// end judges a call by its result. A response that is not complete is judged when it ends.
func (j *judge) end(resp *response, v UpstreamVerdict, err error) {
	if !j.enabled {
		return
	}
	if resp != nil && !resp.isComplete() {
		resp.rest = &judgedBody{ReadCloser: resp.rest, judge: j, status: resp.status}
		return
	}
	status := 0
	if resp != nil {
		status = resp.status
	}
	j.record(j.resultOf(status, v, err))
}

func (j *judge) record(r breaker.Result) {
	f, now := j.forwarder, j.forwarder.Timer.Now()
	if r == breaker.Success {
		f.upstreamLatencies.Of(j.latencyName()).Observe(now.Sub(j.start))
	}
	f.recordBreakerChange(j.upstream, j.upstream.Breaker.Record(j.permit, r, now))
}

func (j *judge) latencyName() string {
	return j.call.route.Service + " " + j.call.route.Name
}

// resultOf classifies a call that ended with a response of the given status or with an error.
func (j *judge) resultOf(status int, v UpstreamVerdict, err error) breaker.Result {
	switch {
	case v.OtherInstance:
		return breaker.Neutral
	case v.Declined && j.upstream.Gate.HasRoom():
		return breaker.Declined
	case v.Declined:
		return breaker.Neutral
	case err == nil && status < http.StatusInternalServerError:
		return breaker.Success
	case err == nil && status == http.StatusServiceUnavailable && j.upstream.Gate.Report().Load >= busyLoad:
		return breaker.Neutral
	case err != nil && j.isAbandoned():
		return breaker.Neutral
	case j.isAtDeadline(status, err) && !j.hadTime():
		return breaker.Neutral
	case j.isExplained(j.isAtDeadline(status, err)):
		return breaker.Neutral
	default:
		return breaker.Failure
	}
}

// isAbandoned reports whether the call ended because its sender canceled it, or the stop of this node did. Near the deadline, the
// sender's cancellation and the deadline arrive in any order.
func (j *judge) isAbandoned() bool {
	if cause := context.Cause(j.ctx); cause == errStopEnds || cause == errSlowAttempt {
		return true
	}
	return j.ctx.Err() == context.Canceled && j.forwarder.remaining(j.call.deadline) > deadlineMargin
}

// isAtDeadline reports whether the call ended by its deadline: at this node, or with the upstream's own 504.
func (j *judge) isAtDeadline(status int, err error) bool {
	if err != nil {
		return j.ctx.Err() != nil
	}
	return status == http.StatusGatewayTimeout && j.forwarder.remaining(j.call.deadline) <= deadlineMargin
}

// hadTime reports whether the upstream usually answers such a call in much less than the time that it had.
func (j *judge) hadTime() bool {
	if j.forwarder.Timer.Since(j.call.deadline) > maxLateness {
		return false
	}
	usual := j.forwarder.upstreamLatencies.Of(j.latencyName()).Usual()
	return usual > 0 && j.call.deadline.Sub(j.start) >= unansweredFactor*usual
}

// isExplained reports whether a failed nested call explains the upstream's failure. At the deadline, so does one in progress.
func (j *judge) isExplained(atDeadline bool) bool {
	now := j.forwarder.Timer.Now()
	if nested := j.running.summary(now); nested.failed || nested.shed || (atDeadline && nested.active > 0) {
		return true
	}
	return j.forwarder.nestedFailures.explain(now)
}

// judgedBody judges a call when the body of its response ends.
type judgedBody struct {
	io.ReadCloser
	judge  *judge
	status int
	err    error
	closed bool
}

// Read implements io.Reader.
func (b *judgedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer. A body that its reader closes before the end says nothing about the upstream.
func (b *judgedBody) Close() error {
	if !b.closed {
		b.closed = true
		switch b.err {
		case nil:
			b.judge.record(breaker.Neutral)
		case io.EOF:
			b.judge.record(b.judge.resultOf(b.status, UpstreamVerdict{}, nil))
		default:
			b.judge.record(b.judge.resultOf(b.status, UpstreamVerdict{}, b.err))
		}
	}
	return b.ReadCloser.Close()
}
