package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// scheduleMargin is the time for a goroutine to be scheduled between the check of a certificate and the send.
const scheduleMargin = time.Second

// runUpstream passes a call through the gate to this node's own upstream.
func (f *Forwarder) runUpstream(ctx context.Context, c *call, up *announcer.Upstream) (*answer, *refuser.Refusal, report) {
	ticket, decision := up.Gate.Admit(ctx, admitter.Request{
		Rank: c.rank, Deadline: c.deadline, Rerouted: c.rerouted, MaxWait: c.patience,
	})
	if decision != admitter.Admitted {
		f.explainGate(c, up, decision)
		return nil, gateRefusal(decision), f.reportOf(up, c, nestedState{})
	}
	// The wait for a slot may have outlasted the certificate or the key.
	if ref := f.checkInherited(c.account, c.keyID); ref != nil {
		ticket.Cancel()
		return nil, ref, f.reportOf(up, c, nestedState{})
	}
	began := f.Timer.Now()
	live := &running{call: c, ctx: ctx}
	handle := f.live.add(live)
	finish := func(shed bool) nestedState {
		f.live.remove(handle)
		now := f.Timer.Now()
		state := live.state(now)
		total := now.Sub(began)
		ticket.Done(admitter.Sample{Total: total, Self: max(0, total-state.time), Shed: shed})
		f.meters.added.Update(total)
		return state
	}
	a, verdict, err := f.exchange(ctx, c, up, handle)
	if verdict.Declined {
		finish(!verdict.OtherInstance)
		return nil, declined(), f.reportOf(up, c, nestedState{})
	}
	if err != nil && !c.ran {
		finish(false)
		return nil, f.unreached(ctx), f.reportOf(up, c, nestedState{})
	}
	if err != nil {
		state := finish(false)
		ref := f.broken(ctx, err)
		if ref.Reason == refuser.UpstreamBroke {
			ref.Outcome = refuser.Failed
		}
		ref.Final = state.failed || state.shed
		return nil, ref, f.reportOf(up, c, state)
	}
	if a.isWhole() {
		state := finish(a.status == http.StatusServiceUnavailable)
		a.report = f.reportOf(up, c, state)
		a.report.shed = a.status >= 500 && state.shed
		a.report.final = a.report.shed || (a.status >= 500 && state.failed)
		return a, nil, a.report
	}
	a.report = f.reportOf(up, c, live.state(f.Timer.Now()))
	a.report.hasSpent = false
	a.more = &closingBody{ReadCloser: a.more, onClose: func() { finish(false) }}
	return a, nil, a.report
}

func gateRefusal(d admitter.Decision) *refuser.Refusal {
	switch d {
	case admitter.DeadlineExceeded:
		return refuser.New(refuser.NotRun, refuser.DeadlineExceeded, "the request can't finish by its deadline")
	case admitter.Draining:
		return sendAway(refuser.Draining, "the upstream takes no new work")
	case admitter.Canceled:
		return refuser.New(refuser.NotRun, refuser.CallerLeft, "the caller went away")
	default:
		return overloaded()
	}
}

func (f *Forwarder) reportOf(up *announcer.Upstream, c *call, nested nestedState) report {
	g, now := up.Gate.Report(), f.Timer.Now()
	return report{
		level: max(uint32(g.Level), nested.level), load: g.Load, spent: c.budget.Spent(), hasSpent: true,
		repeats: max(f.repeatsOf(up.Service).Share(now), f.below.Highest(now)), hasRepeats: true,
	}
}

// exchange sends the call to the upstream and reads its answer.
func (f *Forwarder) exchange(ctx context.Context, c *call, up *announcer.Upstream, handle string) (*answer, UpstreamVerdict, error) {
	req, err := f.upstreamRequest(ctx, c, up, handle)
	if err != nil {
		return nil, UpstreamVerdict{}, err
	}
	resp, x, err := up.Pool.Do(req, !c.idempotent)
	if x.Sent {
		f.repeatsOf(up.Service).Count(c.repeat, f.Timer.Now())
	}
	if err != nil {
		c.ran = x.Sent
		return nil, UpstreamVerdict{}, err
	}
	verdict := f.dialect.ReadVerdict(resp)
	if verdict.Declined {
		// The body of a declined request says nothing; reading it keeps the connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, heldBody))
		_ = resp.Body.Close()
		return nil, verdict, nil
	}
	c.ran = true
	a, err := readAnswer(resp, f.dialect.AllowUnframed)
	return a, verdict, err
}

// declined is the refusal for a request that the upstream itself did not take.
func declined() *refuser.Refusal {
	return sendAway(refuser.Declined, "the upstream did not take the request")
}

func (f *Forwarder) upstreamRequest(ctx context.Context, c *call, up *announcer.Upstream, handle string) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if len(c.body) > 0 {
		body = bytes.NewReader(c.body)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+up.Address.String()+"/", body)
	if err != nil {
		return nil, err
	}
	req.URL = urlOf(req.URL.Scheme, req.URL.Host, c.target)
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
	f.dialect.SetHeaders(req.Header, RequestInfo{
		Handle: handle, CallerRequestID: c.callerID, Remaining: f.remaining(c.deadline), Account: c.account, Origin: c.origin,
		Instance: up.Instance,
	})
	f.Assert.Check(asserter.FreshWhenKeyed, c.account == "" || f.Control.Staleness() <= f.staleness+scheduleMargin, "")
	f.Assert.Check(asserter.KeyStaysAtEntry, req.Header.Get("Authorization") == "", "")
	return req, nil
}

// closingBody runs a function when the body is closed.
type closingBody struct {
	io.ReadCloser
	onClose func()
	closed  bool
}

// Close closes the body once.
func (b *closingBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	b.onClose()
	return err
}
