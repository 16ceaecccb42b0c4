package forwarder

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/reporter"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
)

// ServeCaller serves callers' requests and the nested calls of this node's own upstream.
func (f *Forwarder) ServeCaller(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	if f.stopping.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	if handle := r.Header.Get(headerRequest); handle != "" {
		f.serveNested(w, r, handle)
		return
	}
	f.serveRoot(w, r)
}

// caller is what the entry learned of a root request.
type caller struct {
	key   string
	keyID string
	terms *resolver.Terms
}

// serveRoot serves a request that comes from outside.
func (f *Forwarder) serveRoot(w http.ResponseWriter, r *http.Request) {
	f.meters.roots.Inc(1)
	began := f.Timer.Now()
	service, target := splitTarget(r)
	view := f.Control.View()
	if view == nil {
		f.refuse(w, notReady())
		return
	}
	route, ref := f.route(r, view, service, target)
	if ref != nil {
		f.refuse(w, ref)
		return
	}
	who, ref := f.authenticate(r, view, route)
	if ref != nil {
		f.refuse(w, ref)
		return
	}
	c, ref := f.newRoot(r, who, route, target)
	if ref != nil {
		f.refuse(w, ref)
		return
	}
	c.deadline = began.Add(c.timeout)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	a, ref := f.admitRoot(ctx, r, who, &c.call)
	f.record(&c.call, a, ref, f.Timer.Since(began))
	if ref != nil {
		f.refuse(w, ref)
		return
	}
	f.write(w, r, a)
}

func notReady() *refuser.Refusal {
	return refuser.NewRetryable(refuser.NotRun, refuser.NotReady, "this node is not certified by a control host", retryAfterShed)
}

// splitTarget returns the service named by the first segment of the path, and the rest with its query.
func splitTarget(r *http.Request) (service, target string) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/")
	service, rest, _ := strings.Cut(path, "/")
	target = "/" + rest
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return service, target
}

// route finds the route of a request.
func (f *Forwarder) route(r *http.Request, view *resolver.View, service, target string) (*resolver.Route, *refuser.Refusal) {
	if !resolver.IsName(service) || !f.knows(r.Context(), service) {
		return nil, refuser.New(refuser.NotRun, refuser.UnknownService, "the first part of the path names no service")
	}
	path, _, _ := strings.Cut(target, "?")
	return view.Route(service, path), nil
}

func (f *Forwarder) knows(ctx context.Context, service string) bool {
	return f.Router.Has(service) || f.Control.Locate(ctx, service) || f.Announcer.Upstream(service) != nil
}

// authenticate finds the client account of a request by its key.
func (f *Forwarder) authenticate(r *http.Request, view *resolver.View, route *resolver.Route) (caller, *refuser.Refusal) {
	key, ok := authenticator.BearerOf(r.Header)
	if route.Open {
		return caller{key: key}, nil
	}
	if !f.Control.IsFresh() {
		return caller{}, notReady()
	}
	if !ok {
		return caller{}, refuser.New(refuser.NotRun, refuser.Unauthorized, "send one header Authorization: Bearer KEY")
	}
	entry, ok := view.Key(authenticator.DigestOf(key))
	if !ok || entry.Withdrawn {
		return caller{}, refuser.New(refuser.NotRun, refuser.Unauthorized, "the key is unknown or withdrawn")
	}
	terms := view.Terms(entry.Account)
	if terms == nil {
		return caller{}, refuser.New(refuser.NotRun, refuser.Unauthorized, "the key's client account is unknown")
	}
	f.Assert.Check(asserter.AccountOfKey, terms.Account == entry.Account, "")
	return caller{key: key, keyID: entry.ID, terms: terms}, nil
}

// rootCall is a call that starts here, with the time that it may take.
type rootCall struct {
	call
	timeout time.Duration
}

// newRoot checks a request's headers and body and builds its call.
func (f *Forwarder) newRoot(r *http.Request, who caller, route *resolver.Route, target string) (*rootCall, *refuser.Refusal) {
	c := &rootCall{call: call{
		id:     authenticator.NewRequestID(),
		route:  route,
		method: r.Method,
		target: target,
		keyID:  who.keyID,
		budget: retrier.NewBudget(route.Retries),
	}}
	c.idempotent = isIdempotent(r.Method, route)
	if ref := f.readRequest(r, &c.call, who.key); ref != nil {
		return nil, ref
	}
	timeout, err := timeoutOf(r.Header, route.Timeout)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	c.timeout = timeout
	priority := uint32(0)
	if who.terms != nil {
		c.account, priority = who.terms.Account, who.terms.Priority
	}
	if priority, err = priorityOf(r.Header, priority); err != nil {
		return nil, badRequest(err.Error())
	}
	demand, rate := 1.0, 1.0
	if who.terms != nil {
		demand, rate = f.Control.Bucket(c.account).FleetDemand(), who.terms.Rate
	}
	c.rank = admitter.NewRank(route.Importance, priority, c.id, demand, rate)
	return c, nil
}

func badRequest(message string) *refuser.Refusal {
	return refuser.New(refuser.NotRun, refuser.BadRequest, message)
}

// readRequest takes in headers and body, without the caller's key.
func (f *Forwarder) readRequest(r *http.Request, c *call, key string) *refuser.Refusal {
	if countHeaders(r.Header) > maxHeaders {
		return badRequest("too many headers")
	}
	if holdsKey(c.target, key) {
		return badRequest("the key belongs in the Authorization header only, not in the URL")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, f.bodyLimit+1))
	if err != nil {
		return badRequest("the body broke off")
	}
	if int64(len(body)) > f.bodyLimit {
		return refuser.New(refuser.NotRun, refuser.BodyTooLarge, "the body is over the limit")
	}
	if holdsKey(string(body), key) {
		return badRequest("the key belongs in the Authorization header only, not in the body")
	}
	c.body = body
	c.header = withoutKey(passOn(r.Header), key)
	return nil
}

// admitRoot holds a root call to its account's terms and sends it on.
func (f *Forwarder) admitRoot(ctx context.Context, r *http.Request, who caller, c *call) (*answer, *refuser.Refusal) {
	if ref := f.shedEarly(c); ref != nil {
		return nil, ref
	}
	if ref := endOf(ctx, refuser.NotRun); ref != nil {
		return nil, ref
	}
	if ref := f.checkFailing(c); ref != nil {
		return nil, ref
	}
	if who.terms != nil {
		if ref := f.takeToken(ctx, who.terms, c); ref != nil {
			return nil, ref
		}
		// The wait for a token may have outlasted the certificate or the key.
		if ref := f.checkInherited(c.account, c.keyID); ref != nil {
			return nil, ref
		}
	}
	a, ref := f.dispatchOnce(ctx, r.Header.Get(headerClaim), c)
	f.Assert.Check(asserter.RetriesBounded, c.budget.Spent() <= c.route.Retries, "")
	f.noteEnd(c, a, ref)
	return a, ref
}

// noteEnd remembers what a root call that ran says of its service.
func (f *Forwarder) noteEnd(c *call, a *answer, ref *refuser.Refusal) {
	if ref != nil && (!ref.IsRun() || ref.Reason == refuser.CallerLeft) {
		return
	}
	if a != nil && a.report.shed {
		// Levels, not failures, tell of a lack of capacity.
		return
	}
	now := f.Timer.Now()
	failed := isFailure(a, ref)
	f.throttles.Of(c.route.Service).Count(!failed, now)
	if failed {
		f.resends.Remember(c.digest(), now)
	}
}

// checkFailing holds back what most likely fails: requests to a service that fails most of them, and callers' own
// resends of requests that ran and failed, which count against the ratios of retries.
func (f *Forwarder) checkFailing(c *call) *refuser.Refusal {
	now := f.Timer.Now()
	if f.controls.NoRetryBounds {
		return nil
	}
	if !f.throttles.Of(c.route.Service).Admit(uint32(c.rank), now) {
		return refuser.NewRetryable(refuser.NotRun, refuser.UpstreamFailing, "the service fails most requests", resendPause)
	}
	if !f.resends.IsResend(c.digest(), now) {
		return nil
	}
	if f.ratios.TakeBoth("account/"+c.account, "service/"+c.route.Service) {
		return nil
	}
	return refuser.NewRetryable(refuser.NotRun, refuser.RetryBudgetSpent, "too many requests are sent again after failures", resendPause)
}

// resendPause is how long a caller whose resends are too many is asked to wait.
const resendPause = 2 * time.Second

// isFailure reports whether a request ran and gave no whole answer of use.
func isFailure(a *answer, ref *refuser.Refusal) bool {
	if ref != nil {
		return ref.IsRun() && ref.Outcome != refuser.AlreadyRun
	}
	return a.isRetryable()
}

func (f *Forwarder) takeToken(ctx context.Context, terms *resolver.Terms, c *call) *refuser.Refusal {
	bucket := f.Control.Bucket(terms.Account)
	switch bucket.Take(ctx, f.remaining(c.deadline)/2) {
	case limiter.Admitted:
		return nil
	case limiter.Canceled:
		return endOf(ctx, refuser.NotRun)
	case limiter.NoAnswer:
		return notReady()
	default:
		if ref := endOf(ctx, refuser.NotRun); ref != nil {
			return ref
		}
		return refuser.NewRetryable(refuser.NotRun, refuser.RateLimited, "the client account is over its rate", retryAfterShed)
	}
}

// record counts a root call for the burn report.
func (f *Forwarder) record(c *call, a *answer, ref *refuser.Refusal, took time.Duration) {
	f.Recorder.Record(c.route.Service, c.account, c.route.Objective, f.classOf(c, a, ref, took))
}

func (f *Forwarder) classOf(c *call, a *answer, ref *refuser.Refusal, took time.Duration) reporter.Class {
	switch {
	case ref == nil && a.report.shed:
		return reporter.Shed
	case ref == nil && a.status >= 500:
		return reporter.Failed
	case ref == nil && took > c.route.ObjectiveLatency:
		return reporter.Late
	case ref == nil:
		return reporter.Good
	case ref.Reason == refuser.CallerLeft || ref.Reason == refuser.BadRequest:
		return reporter.Ignored
	case ref.Reason == refuser.RateLimited && f.isWithinRate(c.account):
		return reporter.RefusedWithinRate
	case ref.Reason == refuser.RateLimited:
		return reporter.OverRate
	case ref.Outcome == refuser.NotRun:
		return reporter.Shed
	case ref.Outcome == refuser.AlreadyRun:
		return reporter.Good
	default:
		return reporter.Failed
	}
}

// isWithinRate reports whether an account's demand over the fleet lies within its rate.
func (f *Forwarder) isWithinRate(account string) bool {
	terms := f.Control.View().Terms(account)
	return terms != nil && f.Control.Bucket(account).FleetDemand() <= terms.Rate
}
