package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/router"
	"github.com/lavenderhub/lavenderhub/schema"
)

// errSlowAttempt cancels an attempt that exceeds the usual response time of its route.
var errSlowAttempt = errors.New("the worker did not answer in the usual time")

// attempt sends a call to one worker: the local upstream or another node. An attempt that exceeds its timeout is canceled
// once grantRetry permits another one.
func (f *Forwarder) attempt(ctx context.Context, c *call, t *router.Target, grantRetry func() bool) (*response, *refuser.Refusal) {
	latency := f.latencyOf(c)
	parentCtx := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	// The end of the attempt races with its timer; the first to set decided wins.
	var decided atomic.Bool
	stop := func() {}
	if timeout := latency.Timeout(f.remaining(c.deadline)); grantRetry != nil && timeout > 0 {
		stop = f.Timer.AfterFunc(timeout, func() {
			if !decided.Load() && grantRetry() && decided.CompareAndSwap(false, true) {
				cancel(errSlowAttempt)
			}
		}).Stop
	}
	start := f.Timer.Now()
	resp, ref := f.sendToWorker(ctx, c, t)
	stop()
	timedOut := !decided.CompareAndSwap(false, true)
	switch {
	case timedOut && resp != nil && !resp.isComplete():
		// Canceling the attempt truncates the rest of the response.
		resp.close()
		resp, ref = nil, refuser.New(refuser.Unknown, refuser.SlowAttempt, errSlowAttempt.Error())
	case timedOut && ref != nil && parentCtx.Err() == nil:
		ref = refuser.New(ref.Outcome, refuser.SlowAttempt, errSlowAttempt.Error())
	case resp != nil:
		latency.Observe(f.Timer.Since(start))
	}
	if ref != nil {
		f.logFailedAttempt(c, t.Node, ref, f.Timer.Since(start))
	}
	if resp == nil || resp.isComplete() {
		cancel(nil)
		return resp, ref
	}
	resp.rest = &closingBody{ReadCloser: resp.rest, onClose: func() { cancel(nil) }}
	return resp, ref
}

// sendToWorker sends a call to one worker and records the worker's admission level, retry share, latency and load.
func (f *Forwarder) sendToWorker(ctx context.Context, c *call, t *router.Target) (*response, *refuser.Refusal) {
	t.Start()
	start := f.Timer.Now()
	t.RecordSend(start)
	var resp *response
	var ref *refuser.Refusal
	var report hopReport
	unresponsive := false
	if t.Local {
		resp, ref, report = f.runLocal(ctx, c)
	} else {
		resp, ref, report, unresponsive = f.sendToPeer(ctx, c, t)
	}
	now := f.Timer.Now()
	c.triedNodes = append(c.triedNodes, t.Node)
	f.admissionLevels.Record(c.route.Service, c.route.Name, t.Node, report.level, now)
	if report.hasRetryShare {
		f.reportedRetryShares.Record(c.route.Service, report.retryShare, now)
	}
	if report.hasRetryShare {
		t.RecordCold(report.coldLeft, now)
	}
	if report.hasRetryShare && c.fromLocalUpstream {
		f.nestedRetryShares.Record(c.route.Service, report.retryShare, now)
	}
	rememberSuspension(t, ref, report, now)
	c.congestion, c.hasReport = report.congestion.congestion(now), report.hasRetryShare
	if c.fromLocalUpstream {
		f.nestedCongestions.Record(c.congestion, now)
	}
	t.Finish(router.Result{
		Latency:  now.Sub(start),
		Failed:   unresponsive || isWorkerFault(ref),
		Refused:  ref != nil && ref.Outcome == refuser.NotRun,
		Declined: ref != nil && ref.Reason == refuser.Declined,
		Load:     report.load,
		HasLoad:  !unresponsive,
		Expected: report.expected,
	}, now)
	return resp, ref
}

// isWorkerFault reports whether a refusal indicates that the worker itself is broken.
func isWorkerFault(ref *refuser.Refusal) bool {
	if ref == nil || ref.Final {
		return false
	}
	return ref.Reason == refuser.UpstreamBroke || ref.Reason == refuser.NoUpstream
}

// runLocal runs a call on the local upstream.
func (f *Forwarder) runLocal(ctx context.Context, c *call) (*response, *refuser.Refusal, hopReport) {
	up := f.Announcer.Upstream(c.route.Service)
	if up == nil {
		return nil, refuser.New(refuser.NotRun, refuser.NoUpstream, "the upstream left"), hopReport{}
	}
	reservation := c.retryBudget.Reserve()
	localCall := *c
	localCall.retryBudget = reservation.Budget()
	resp, ref, report := f.runUpstream(ctx, &localCall, up)
	c.mayHaveRun = c.mayHaveRun || localCall.mayHaveRun
	reservation.Settle(localCall.retryBudget.Spent())
	return resp, ref, report
}

// sendToPeer sends a call to another node. unresponsive reports whether the node is counted as having failed to send a
// complete response.
func (f *Forwarder) sendToPeer(
	ctx context.Context, c *call, t *router.Target,
) (resp *response, ref *refuser.Refusal, report hopReport, unresponsive bool) {
	peer := f.Pool.Peer(t.Address)
	if !c.idempotent || c.mayHaveRun {
		if err := peer.Verify(ctx); err != nil {
			return nil, f.unreachable(ctx), hopReport{}, ctx.Err() == nil
		}
	}
	reservation := c.retryBudget.Reserve()
	ctx, connected := traceConnected(ctx)
	req, err := f.newPeerRequest(ctx, c, t, peer.URL("/"), reservation.Size())
	if err != nil {
		reservation.Settle(0)
		return nil, refuser.New(refuser.NotRun, refuser.NotReady, err.Error()), hopReport{}, false
	}
	httpResp, err := peer.RoundTrip(req)
	if err != nil {
		reservation.Settle(chargeOnError(connected.Load(), reservation.Size()))
		if !connected.Load() {
			return nil, f.unreachable(ctx), hopReport{}, ctx.Err() == nil
		}
		c.mayHaveRun = true
		ref = f.brokenResponse(ctx, err)
		return nil, ref, hopReport{}, ref.Reason == refuser.UpstreamBroke
	}
	report = readReport(httpResp.Header)
	reservation.Settle(reportedCharge(report, reservation.Size()))
	if httpResp.Header.Get(refuser.HeaderOutcome) != "" {
		ref = refuser.Read(httpResp)
		ref.Final = report.final
		c.mayHaveRun = c.mayHaveRun || ref.MayHaveRun()
		return nil, ref, report, false
	}
	c.mayHaveRun = true
	resp, err = readResponse(httpResp, false)
	if err != nil {
		return nil, f.brokenResponse(ctx, err), report, true
	}
	resp.report = report
	return resp, nil, report, false
}

// traceConnected returns a context with a flag that is set when the request is assigned a connection; from then on, bytes
// may have been sent.
func traceConnected(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	return ctx, connected
}

// chargeOnError returns the retries to charge when no response came: the full reservation once the request may have been
// sent, none before.
func chargeOnError(connected bool, size uint32) uint32 {
	if connected {
		return size
	}
	return 0
}

// reportedCharge returns the retries that the response reports as spent, or the full reservation if it reports none.
func reportedCharge(report hopReport, size uint32) uint32 {
	if !report.hasSpentRetries {
		return size
	}
	return report.spentRetries
}

func (f *Forwarder) newPeerRequest(ctx context.Context, c *call, t *router.Target, base string, retries uint32) (*http.Request, error) {
	token, err := f.signHopToken(c, t, retries)
	if err != nil {
		return nil, err
	}
	req, err := newBodyRequest(ctx, c.method, base, c.body)
	if err != nil {
		return nil, err
	}
	req.URL = requestURL(req.URL.Scheme, req.URL.Host, "/"+c.route.Service+c.target)
	for name, values := range c.header {
		req.Header[name] = values
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
	req.Header.Set(headerHop, token)
	f.Assert.Check(asserter.KeyStaysAtEntry, req.Header.Get("Authorization") == "", "")
	return req, nil
}

func (f *Forwarder) signHopToken(c *call, t *router.Target, retries uint32) (string, error) {
	id, secret := f.Control.View().NewestTokenKey()
	return authenticator.Sign(&schema.HopToken{
		RequestId:       c.id,
		Account:         c.account,
		KeyId:           c.keyID,
		Rank:            uint32(c.rank),
		RemainingMicros: uint64(f.remaining(c.deadline).Microseconds()),
		Retries:         retries,
		Depth:           c.depth,
		Idempotent:      c.idempotent,
		Service:         c.route.Service,
		Route:           c.route.Name,
		Rerouted:        c.rerouted,
		CallerId:        []byte(c.callerRequestID),
		Origin:          c.origin,
		Host:            c.host,
		Instance:        t.Instance(),
		PatienceMicros:  uint64(c.maxWait.Microseconds()),
		Repeat:          c.retryProbability,

		IgnoreSuspension: c.ignoreSuspension,
	}, id, secret)
}

// unreachable returns the refusal for a worker to which no connection could be established.
func (f *Forwarder) unreachable(ctx context.Context) *refuser.Refusal {
	if ref := contextRefusal(ctx, refuser.NotRun); ref != nil {
		return ref
	}
	return refuser.New(refuser.NotRun, refuser.NoUpstream, "the worker can't be reached")
}

// brokenResponse returns the refusal for a response that is missing or incomplete.
func (f *Forwarder) brokenResponse(ctx context.Context, err error) *refuser.Refusal {
	if ref := contextRefusal(ctx, refuser.Unknown); ref != nil {
		return ref
	}
	if errors.Is(err, dialer.ErrReplaced) {
		return refuser.New(refuser.Unknown, refuser.ConnectionLost, "the connection to the worker went silent")
	}
	return refuser.New(refuser.Unknown, refuser.UpstreamBroke, "the answer broke off: "+errorText(err))
}

// errorText returns an error's text for callers. It hides network errors, which contain internal addresses.
func errorText(err error) string {
	if invalid := (interface{ Summary() string })(nil); errors.As(err, &invalid) {
		return invalid.Summary()
	}
	switch err {
	case errTruncated, errUnframed, io.ErrUnexpectedEOF:
		return err.Error()
	default:
		return "connection lost"
	}
}

// contextRefusal returns the refusal for a context that has ended, or nil.
func contextRefusal(ctx context.Context, outcome refuser.Outcome) *refuser.Refusal {
	if context.Cause(ctx) == errStopEnds {
		return refuser.New(outcome, refuser.DeadlineExceeded, errStopEnds.Error())
	}
	switch ctx.Err() {
	case nil:
		return nil
	case context.DeadlineExceeded:
		return refuser.New(outcome, refuser.DeadlineExceeded, "the deadline passed")
	default:
		return refuser.New(outcome, refuser.CallerLeft, "the caller went away")
	}
}
