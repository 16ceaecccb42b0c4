package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// scheduleMargin allows for scheduling delays between the check of a freshness certificate and the send.
const scheduleMargin = time.Second

// runUpstream passes a call through the gate to the local upstream.
func (f *Forwarder) runUpstream(ctx context.Context, c *call, up *announcer.Upstream) (*response, *refuser.Refusal, hopReport) {
	if ref, report := f.refuseSuspended(c, up); ref != nil {
		return nil, ref, report
	}
	ticket, decision := up.Gate.Admit(ctx, admitter.Request{
		Rank: c.rank, Deadline: c.deadline, Rerouted: c.rerouted, MaxWait: c.maxWait,
	})
	if decision == admitter.Cold {
		f.meters.coldRefusals.Inc(1)
	}
	if decision != admitter.Admitted {
		f.logGateRefusal(c, up, decision)
		return nil, gateRefusal(decision), f.newReport(up, c, nestedSummary{})
	}
	// The freshness certificate may have expired, or the key been withdrawn, during the wait for a slot.
	if ref := f.checkKeyStillValid(c.account, c.keyID); ref != nil {
		ticket.Cancel()
		return nil, ref, f.newReport(up, c, nestedSummary{})
	}
	// The breaker may have opened during the wait for a slot.
	judge, ref, report := f.passBreaker(c, up)
	if ref != nil {
		ticket.Cancel()
		return nil, ref, report
	}
	start := f.Timer.Now()
	running := &runningRequest{call: c, ctx: ctx}
	handle := f.runningRequests.add(running)
	failed := true
	finish := func(shed bool) nestedSummary {
		f.runningRequests.remove(handle)
		now := f.Timer.Now()
		nested := running.summary(now)
		total := now.Sub(start)
		ticket.Done(admitter.Sample{Total: total, Self: max(0, total-nested.time), Shed: shed, Failed: failed})
		f.meters.upstreamTime.Update(total)
		return nested
	}
	judge.begin(ctx, running, start)
	resp, verdict, err := f.exchange(ctx, c, up, handle)
	judge.end(resp, verdict, err)
	if verdict.Declined {
		finish(!verdict.OtherInstance)
		return nil, declinedRefusal(), f.newReport(up, c, nestedSummary{})
	}
	if err != nil && !c.mayHaveRun {
		finish(false)
		return nil, f.unreachable(ctx), f.newReport(up, c, nestedSummary{})
	}
	if err != nil {
		nested := finish(false)
		f.logBrokenResponse(c, up, err)
		ref := f.brokenResponse(ctx, err)
		if ref.Reason == refuser.UpstreamBroke && !isInvalidResponse(err) {
			ref.Outcome = refuser.Failed
		}
		report := f.newReport(up, c, nested)
		report.shed = nested.shed
		report.final = nested.failed || nested.shed
		ref.Final = report.final
		return nil, ref, report
	}
	failed = resp.status >= http.StatusInternalServerError
	if resp.isComplete() {
		nested := finish(resp.status == http.StatusServiceUnavailable)
		resp.report = f.newReport(up, c, nested)
		resp.report.shed = resp.status >= 500 && nested.shed
		resp.report.final = resp.report.shed || (resp.status >= 500 && nested.failed)
		return resp, nil, resp.report
	}
	resp.report = f.newReport(up, c, running.summary(f.Timer.Now()))
	resp.report.hasSpentRetries = false
	resp.rest = &closingBody{ReadCloser: resp.rest, onClose: func() { finish(false) }}
	return resp, nil, resp.report
}

func gateRefusal(d admitter.Decision) *refuser.Refusal {
	switch d {
	case admitter.DeadlineExceeded:
		return refuser.New(refuser.NotRun, refuser.DeadlineExceeded, "the request can't finish by its deadline")
	case admitter.Draining:
		return refuseNotRun(refuser.Draining, "the upstream takes no new work")
	case admitter.Cold:
		return refuseNotRun(refuser.Overloaded, "the upstream has just started and takes few requests")
	case admitter.Canceled:
		return refuser.New(refuser.NotRun, refuser.CallerLeft, "the caller went away")
	default:
		return overloaded()
	}
}

func (f *Forwarder) newReport(up *announcer.Upstream, c *call, nested nestedSummary) hopReport {
	gate, now := up.Gate.Report(), f.Timer.Now()
	f.gateMeters.update(up, gate)
	return hopReport{
		level: max(uint32(gate.Level), nested.level), load: gate.Load, expected: expectedTime(gate.Estimate),
		spentRetries: c.retryBudget.Spent(), hasSpentRetries: true,
		retryShare: max(f.retryMeterOf(up.Service).Share(now), f.nestedRetryShares.Highest(now)), hasRetryShare: true,
		congestion: f.newCongestionReport(up, gate, now),
		coldLeft:   gate.ColdLeft,
	}
}

// exchange sends the call to the upstream and reads its response.
func (f *Forwarder) exchange(ctx context.Context, c *call, up *announcer.Upstream, handle string) (*response, UpstreamVerdict, error) {
	req, err := f.newUpstreamRequest(ctx, c, up, handle)
	if err != nil {
		return nil, UpstreamVerdict{}, err
	}
	httpResp, result, err := up.Pool.Do(req, !c.idempotent)
	if result.Sent {
		f.retryMeterOf(up.Service).Count(c.retryProbability, f.Timer.Now())
	}
	if err != nil {
		c.mayHaveRun = result.Sent
		return nil, UpstreamVerdict{}, err
	}
	switch load, ok, err := f.upstreamProtocol.ReadLoad(httpResp.Header); {
	case ok:
		up.Gate.RecordLoad(load)
	case err != nil:
		f.gateMeters.countInvalidLoad(up, err, f.Timer.Now())
	}
	verdict := f.upstreamProtocol.ReadVerdict(httpResp)
	if verdict.Declined {
		// The body is not needed; reading it allows the connection to be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(httpResp.Body, maxBufferedBody))
		_ = httpResp.Body.Close()
		return nil, verdict, nil
	}
	c.mayHaveRun = true
	resp, err := readResponse(httpResp, f.upstreamProtocol.AllowUnframed)
	return resp, verdict, err
}

// declinedRefusal returns the refusal for a request that the upstream itself declined.
func declinedRefusal() *refuser.Refusal {
	return refuseNotRun(refuser.Declined, "the upstream did not take the request")
}

func (f *Forwarder) newUpstreamRequest(ctx context.Context, c *call, up *announcer.Upstream, handle string) (*http.Request, error) {
	req, err := newBodyRequest(ctx, c.method, "http://"+up.Address.String()+"/", c.body)
	if err != nil {
		return nil, err
	}
	req.URL = requestURL(req.URL.Scheme, req.URL.Host, c.target)
	if c.host != "" {
		req.Host = c.host
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		req.Header.Set("User-Agent", "")
	}
	f.upstreamProtocol.SetHeaders(req.Header, RequestInfo{
		Handle: handle, CallerRequestID: c.callerRequestID, Remaining: f.remaining(c.deadline), Account: c.account, Origin: c.origin,
		Instance: up.Instance,
	})
	f.Assert.Check(asserter.FreshWhenKeyed, c.account == "" || f.Control.CertificateAge() <= f.maxCertificateAge+scheduleMargin, "")
	f.Assert.Check(asserter.KeyStaysAtEntry, req.Header.Get("Authorization") == "", "")
	return req, nil
}

// closingBody calls a function when the body is closed for the first time.
type closingBody struct {
	io.ReadCloser
	onClose func()
	closed  bool
}

// Close closes the body. Further calls have no effect.
func (b *closingBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	b.onClose()
	return err
}
