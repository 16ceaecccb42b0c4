package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
)

// stalenessLimit is the oldest certificate under which keyed work may reach an upstream: the bound of the nodes, and
// time for a goroutine to be scheduled between the check and the send.
const stalenessLimit = resolver.StalenessBound + time.Second

// runUpstream passes a call through the gate to this node's own upstream.
func (f *Forwarder) runUpstream(ctx context.Context, c *call, up *announcer.Upstream) (*answer, *refuser.Refusal, report) {
	ticket, decision := up.Gate.Admit(ctx, admitter.Ask{Rank: c.rank, Deadline: c.deadline, Rerouted: c.rerouted})
	if decision != admitter.Admitted {
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
	a, err := f.exchange(ctx, c, up, handle)
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
	case admitter.Late:
		return refuser.New(refuser.NotRun, refuser.DeadlineExceeded, "the request can't finish by its deadline")
	case admitter.Draining:
		return refuser.New(refuser.NotRun, refuser.Draining, "the upstream takes no new work")
	case admitter.Canceled:
		return refuser.New(refuser.NotRun, refuser.CallerLeft, "the caller went away")
	default:
		return overloaded()
	}
}

func (f *Forwarder) reportOf(up *announcer.Upstream, c *call, nested nestedState) report {
	g := up.Gate.Report()
	return report{level: max(uint32(g.Level), nested.level), load: g.Load, spent: c.budget.Spent(), hasSpent: true}
}

// exchange sends the call to the upstream and reads its answer.
func (f *Forwarder) exchange(ctx context.Context, c *call, up *announcer.Upstream, handle string) (*answer, error) {
	ctx, connected := withConnected(ctx)
	req, err := f.upstreamRequest(ctx, c, up, handle)
	if err != nil {
		return nil, err
	}
	client := up.Client
	if !c.idempotent {
		client = up.OnceClient
	}
	resp, err := client.RoundTrip(req)
	c.ran = connected.Load()
	if err != nil {
		return nil, err
	}
	return readAnswer(resp)
}

func (f *Forwarder) upstreamRequest(ctx context.Context, c *call, up *announcer.Upstream, handle string) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if len(c.body) > 0 {
		body = bytes.NewReader(c.body)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+up.Address.String()+c.target, body)
	if err != nil {
		return nil, err
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	if !c.idempotent {
		protectFromReplay(req)
	}
	req.Header.Set(headerRequest, handle)
	req.Header.Set(headerDeadline, strconv.FormatInt(f.remaining(c.deadline).Milliseconds(), 10))
	if c.account != "" {
		req.Header.Set(headerAccount, c.account)
	}
	f.Assert.Check(asserter.FreshWhenKeyed, c.account == "" || f.Control.Staleness() <= stalenessLimit, "")
	f.Assert.Check(asserter.KeyStaysAtEntry, req.Header.Get("Authorization") == "", "")
	return req, nil
}

// protectFromReplay keeps net/http from sending a request twice by itself: it does so for requests that carry an
// Idempotency-Key when a kept connection breaks. It looks the header up by its canonical name only.
func protectFromReplay(req *http.Request) {
	for _, name := range []string{headerClaim, "X-Idempotency-Key"} {
		if values, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[lowerName(name)] = values
		}
	}
	req.GetBody = nil
}

func lowerName(name string) string {
	return string(bytes.ToLower([]byte(name)))
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
