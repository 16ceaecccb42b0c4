package forwarder

import (
	"bytes"
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

// errSlow ends an attempt that takes longer than answers usually do.
var errSlow = errors.New("the worker did not answer in the usual time")

// attempt sends a call to one worker, which is this node's own upstream or another node's. A slow attempt is given up once
// another one is granted.
func (f *Forwarder) attempt(ctx context.Context, c *call, t *router.Target, grant func() bool) (*answer, *refuser.Refusal) {
	latency := f.latencies.Of(c.route.Service + " " + c.route.Name)
	outer := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	// The attempt's end and its timer race; the first of them decides.
	var decided atomic.Bool
	stop := func() {}
	if timeout := latency.Timeout(f.remaining(c.deadline)); grant != nil && timeout > 0 {
		stop = f.Timer.AfterFunc(timeout, func() {
			if !decided.Load() && grant() && decided.CompareAndSwap(false, true) {
				cancel(errSlow)
			}
		}).Stop
	}
	began := f.Timer.Now()
	a, ref := f.attemptOnce(ctx, c, t)
	stop()
	isSlow := !decided.CompareAndSwap(false, true)
	switch {
	case isSlow && a != nil && !a.isWhole():
		// The rest of the answer is cut off with the attempt.
		a.close()
		a, ref = nil, refuser.New(refuser.Unknown, refuser.SlowAttempt, errSlow.Error())
	case isSlow && ref != nil && outer.Err() == nil:
		ref = refuser.New(ref.Outcome, refuser.SlowAttempt, errSlow.Error())
	case a != nil:
		latency.Observe(f.Timer.Since(began))
	}
	if ref != nil {
		f.explainAttempt(c, t.Node, ref, f.Timer.Since(began))
	}
	if a == nil || a.isWhole() {
		cancel(nil)
		return a, ref
	}
	a.more = &closingBody{ReadCloser: a.more, onClose: func() { cancel(nil) }}
	return a, ref
}

// attemptOnce sends a call to one worker and notes what is learned of it.
func (f *Forwarder) attemptOnce(ctx context.Context, c *call, t *router.Target) (*answer, *refuser.Refusal) {
	t.Start()
	began := f.Timer.Now()
	var a *answer
	var ref *refuser.Refusal
	var p report
	silent := false
	if t.Local {
		a, ref, p = f.runHere(ctx, c)
	} else {
		a, ref, p, silent = f.hop(ctx, c, t)
	}
	now := f.Timer.Now()
	c.tried = append(c.tried, t.Node)
	f.levels.Record(c.route.Service, c.route.Name, t.Node, p.level, now)
	if p.hasRepeats {
		f.reported.Record(c.route.Service, p.repeats, now)
	}
	if p.hasRepeats && c.near {
		f.below.Record(c.route.Service, p.repeats, now)
	}
	t.Finish(router.Result{
		Latency:  now.Sub(began),
		Failed:   silent || isWorkerFault(ref),
		Refused:  ref != nil && ref.Outcome == refuser.NotRun,
		Declined: ref != nil && ref.Reason == refuser.Declined,
		Load:     p.load,
		HasLoad:  !silent,
	}, now)
	return a, ref
}

// isWorkerFault reports whether a refusal tells that the worker itself is broken.
func isWorkerFault(ref *refuser.Refusal) bool {
	if ref == nil || ref.Final {
		return false
	}
	return ref.Reason == refuser.UpstreamBroke || ref.Reason == refuser.NoUpstream
}

// runHere runs a call on this node's own upstream.
func (f *Forwarder) runHere(ctx context.Context, c *call) (*answer, *refuser.Refusal, report) {
	up := f.Announcer.Upstream(c.route.Service)
	if up == nil {
		return nil, refuser.New(refuser.NotRun, refuser.NoUpstream, "the upstream left"), report{}
	}
	loan := c.budget.Reserve()
	inner := *c
	inner.budget = loan.Budget()
	a, ref, p := f.runUpstream(ctx, &inner, up)
	c.ran = c.ran || inner.ran
	loan.Settle(inner.budget.Spent())
	return a, ref, p
}

// hop sends a call to another node. Silent tells that no answer came from it.
func (f *Forwarder) hop(ctx context.Context, c *call, t *router.Target) (a *answer, ref *refuser.Refusal, p report, silent bool) {
	peer := f.Pool.Peer(t.Address)
	if !c.idempotent || c.ran {
		if err := peer.Verify(ctx); err != nil {
			return nil, f.unreached(ctx), report{}, ctx.Err() == nil
		}
	}
	loan := c.budget.Reserve()
	ctx, connected := withConnected(ctx)
	req, err := f.hopRequest(ctx, c, t, peer.URL("/"), loan.Size())
	if err != nil {
		loan.Settle(0)
		return nil, refuser.New(refuser.NotRun, refuser.NotReady, err.Error()), report{}, false
	}
	resp, err := peer.RoundTrip(req)
	if err != nil {
		loan.Settle(lostCharge(connected.Load(), loan.Size()))
		if !connected.Load() {
			return nil, f.unreached(ctx), report{}, ctx.Err() == nil
		}
		c.ran = true
		ref = f.broken(ctx, err)
		return nil, ref, report{}, ref.Reason == refuser.UpstreamBroke
	}
	p = readReport(resp.Header)
	loan.Settle(spentOf(p, loan.Size()))
	if resp.Header.Get(refuser.HeaderOutcome) != "" {
		ref = refuser.Read(resp)
		ref.Final = p.final
		c.ran = c.ran || ref.IsRun()
		return nil, ref, p, false
	}
	c.ran = true
	a, err = readAnswer(resp, false)
	if err != nil {
		return nil, f.broken(ctx, err), p, true
	}
	a.report = p
	return a, nil, p, false
}

// withConnected returns a context that notes when a request got its connection: from then on bytes may be on the way.
func withConnected(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	return ctx, connected
}

// lostCharge charges a loan in full when the answer was lost, and nothing when nothing was sent.
func lostCharge(connected bool, size uint32) uint32 {
	if connected {
		return size
	}
	return 0
}

// spentOf charges a loan in full when the answer can't tell.
func spentOf(p report, size uint32) uint32 {
	if !p.hasSpent {
		return size
	}
	return p.spent
}

func (f *Forwarder) hopRequest(ctx context.Context, c *call, t *router.Target, base string, retries uint32) (*http.Request, error) {
	token, err := f.token(c, t, retries)
	if err != nil {
		return nil, err
	}
	var body io.Reader = http.NoBody
	if len(c.body) > 0 {
		body = bytes.NewReader(c.body)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, base, body)
	if err != nil {
		return nil, err
	}
	req.URL = urlOf(req.URL.Scheme, req.URL.Host, "/"+c.route.Service+c.target)
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

func (f *Forwarder) token(c *call, t *router.Target, retries uint32) (string, error) {
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
		CallerId:        c.callerID,
		Origin:          c.origin,
		Host:            c.host,
		Instance:        t.Instance(),
		PatienceMicros:  uint64(c.patience.Microseconds()),
		Repeat:          c.repeat,
	}, id, secret)
}

// unreached is the refusal for a worker to which no connection could be made.
func (f *Forwarder) unreached(ctx context.Context) *refuser.Refusal {
	if ref := endOf(ctx, refuser.NotRun); ref != nil {
		return ref
	}
	return refuser.New(refuser.NotRun, refuser.NoUpstream, "the worker can't be reached")
}

// broken is the refusal for an answer that did not come or broke off.
func (f *Forwarder) broken(ctx context.Context, err error) *refuser.Refusal {
	if ref := endOf(ctx, refuser.Unknown); ref != nil {
		return ref
	}
	if errors.Is(err, dialer.ErrReplaced) {
		return refuser.New(refuser.Unknown, refuser.ConnectionLost, "the connection to the worker went silent")
	}
	return refuser.New(refuser.Unknown, refuser.UpstreamBroke, "the answer broke off: "+reasonOf(err))
}

// reasonOf keeps addresses of the system's own processes out of answers to callers.
func reasonOf(err error) string {
	switch err {
	case errTooShort, errNoLength, io.ErrUnexpectedEOF:
		return err.Error()
	default:
		return "connection lost"
	}
}

// endOf returns the refusal for a context that ended, or nil.
func endOf(ctx context.Context, outcome refuser.Outcome) *refuser.Refusal {
	switch ctx.Err() {
	case nil:
		return nil
	case context.DeadlineExceeded:
		return refuser.New(outcome, refuser.DeadlineExceeded, "the deadline passed")
	default:
		return refuser.New(outcome, refuser.CallerLeft, "the caller went away")
	}
}
