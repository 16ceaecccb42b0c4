// Package forwarder forwards requests from callers to the node of an upstream and through that node's gate to the upstream,
// and returns complete responses.
package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/aggregator"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/budgeter"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/internal/logger"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/reporter"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
	"github.com/lavenderhub/lavenderhub/internal/router"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// DefaultBodyLimit is the default limit on a request body in bytes.
	DefaultBodyLimit = 1 << 20
	// maxBufferedBody is the number of bytes of a response body that are buffered before the first byte is sent. A shorter body
	// is sent only when it is complete.
	maxBufferedBody = 64 << 10
	// maxStoredBody is the size in bytes of the largest response body that is stored with an idempotency key.
	maxStoredBody = 8 << 10
	// maxStoredHeaderBytes bounds the headers stored with such a response.
	maxStoredHeaderBytes = 2 << 10
)

// Control gives the forwarder access to the state that control hosts provide.
type Control struct {
	// View returns the newest view, or nil before the first one.
	View func() *resolver.View
	// IsFresh reports whether the node's freshness certificate is recent enough.
	IsFresh func() bool
	// CertificateAge returns the age of the newest freshness certificate.
	CertificateAge func() time.Duration
	Tokens         Tokens
	// Locate requests the workers of a service from the control hosts. It returns false when the service is unknown.
	Locate func(ctx context.Context, service string) bool
	// Claim reserves an idempotency key.
	Claim func(ctx context.Context, req *schema.ClaimRequest) (*schema.ClaimReply, error)
	// NodeCount returns the number of nodes in the fleet.
	NodeCount func() int
	// Settle records the outcome of a claimed request.
	Settle func(ctx context.Context, req *schema.SettleRequest) error
}

// Tokens gives the forwarder the tokens of client accounts.
type Tokens struct {
	// Draw takes one token.
	Draw func(ctx context.Context, req aggregator.Request) limiter.Decision
	// FleetDemand returns an account's demand over the whole fleet in requests per second.
	FleetDemand func(policy *resolver.AccountPolicy) float64
	// RestrictedFor returns how long a new owner of the tokens still restricts its grants.
	RestrictedFor func(policy *resolver.AccountPolicy) time.Duration
	// State returns a snapshot for logs.
	State func(policy *resolver.AccountPolicy) limiter.State
}

// Parts are the components that a Forwarder uses.
type Parts struct {
	Timer     *timer.Service
	Log       *zap.Logger
	Assert    *asserter.Asserter
	Registry  metrics.Registry
	Router    *router.Router
	Announcer *announcer.Announcer
	Pool      *dialer.Pool
	Recorder  *reporter.Recorder
	Control   Control
}

// Forwarder serves callers, upstreams and other nodes. It is safe for concurrent use.
type Forwarder struct {
	Parts
	bodyLimit       int64
	budget          *budgeter.Budget
	admissionLevels router.Levels
	retryRatios     retrier.Ratios
	throttles       retrier.Throttles
	clientRetries   *retrier.ClientRetries
	runningRequests runningTable
	active          atomic.Int64
	stopping        atomic.Bool
	stopEnd         atomic.Pointer[time.Time]
	// stopped ends when a stop ends, by a call of endStop.
	stopped           context.Context
	endStop           context.CancelCauseFunc
	meters            meters
	gateMeters        *gateMeters
	overrides         Overrides
	upstreamProtocol  UpstreamProtocol
	localService      string
	maxCertificateAge time.Duration
	decisions         *logger.DecisionLog
	// retryMeters counts retries that reach the local upstream. reportedRetryShares come with the responses to all calls,
	// nestedRetryShares with the responses to the local upstream's own calls.
	retryMeters         retrier.RetryMeters
	reportedRetryShares retrier.RetryShares
	nestedRetryShares   retrier.RetryShares
	retryLimit          retrier.RetryLimit
	// nestedCongestions come with the responses to the local upstream's own calls.
	nestedCongestions retrier.Congestions
	downstream        *retrier.DownstreamLimiter
	// hasRetryLimit is set when the settings give retryLimit.
	hasRetryLimit bool
	latencies     retrier.Latencies
	// upstreamLatencies holds the response times of the local upstream by route, and nestedFailures its failed nested calls.
	upstreamLatencies retrier.Latencies
	nestedFailures    nestedFailures
}

// Overrides disables decisions to give baselines for experiments.
type Overrides struct {
	// NoEntryShedding dispatches calls even when every worker would shed them.
	NoEntryShedding bool
	// NoRetryBounds retries every failure up to the route's retries at each hop.
	NoRetryBounds bool
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithBodyLimit sets the limit on a request body in bytes.
func WithBodyLimit(n int64) Option {
	return func(f *Forwarder) { f.bodyLimit = n }
}

// WithBudget sets the budget of the bytes that are held for callers and upstreams.
func WithBudget(b *budgeter.Budget) Option {
	return func(f *Forwarder) { f.budget = b }
}

// WithMaxCertificateAge sets the maximum age of a freshness certificate under which keys are accepted.
func WithMaxCertificateAge(d time.Duration) Option {
	return func(f *Forwarder) { f.maxCertificateAge = d }
}

// WithRetryLimit bounds the retries that each service may receive from the whole fleet.
func WithRetryLimit(limit retrier.RetryLimit) Option {
	return func(f *Forwarder) { f.retryLimit, f.hasRetryLimit = limit, true }
}

// WithOverrides disables decisions.
func WithOverrides(o Overrides) Option {
	return func(f *Forwarder) { f.overrides = o }
}

// New returns a Forwarder.
func New(parts Parts, opts ...Option) *Forwarder {
	f := &Forwarder{
		Parts: parts, bodyLimit: DefaultBodyLimit, clientRetries: retrier.NewClientRetries(), upstreamProtocol: defaultUpstreamProtocol(),
		maxCertificateAge: resolver.DefaultMaxCertificateAge, retryLimit: retrier.DefaultRetryLimit(),
		decisions: logger.NewDecisionLog(parts.Log),
	}
	f.stopped, f.endStop = context.WithCancelCause(context.Background())
	f.meters = newMeters(parts.Registry)
	f.downstream = f.newDownstreamLimiter()
	f.gateMeters = newGateMeters(parts.Registry, parts.Log)
	parts.Registry.GetOrRegister("log.leftOut", metrics.NewFunctionalGauge(f.decisions.Dropped))
	f.registerBreakerGauge()
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int64 {
	return f.active.Load()
}

// Stop makes the node close callers' connections after their current request.
func (f *Forwarder) Stop() {
	f.stopping.Store(true)
}

// errStopEnds cancels the requests in progress at the end of a stop.
var errStopEnds = errors.New("the node's stop has ended")

// RefuseBeyond makes the node refuse requests that would be cut by the end of its stop, and answer those still without a
// response at that time.
func (f *Forwarder) RefuseBeyond(end time.Time) {
	f.stopEnd.Store(&end)
	f.Timer.AfterFunc(f.remaining(end), func() { f.endStop(errStopEnds) })
}

// outlastsStop reports whether a call may still be in progress when the node's stop ends: by its deadline, or for a call of the
// local upstream, on which a request in progress depends, by the usual time of its route.
func (f *Forwarder) outlastsStop(c *call) bool {
	end := f.stopEnd.Load()
	if end == nil || !c.deadline.After(*end) {
		return false
	}
	return !c.fromLocalUpstream || f.latencyOf(c).Usual() > f.remaining(*end)
}

// refuseOutlasting returns a refusal if the call may still be in progress when the node's stop ends.
func (f *Forwarder) refuseOutlasting(c *call) *refuser.Refusal {
	if !f.outlastsStop(c) {
		return nil
	}
	return refuseNotRun(refuser.Draining, "the node stops before the request's deadline")
}

func (f *Forwarder) latencyOf(c *call) *retrier.Latency {
	return f.latencies.Of(c.route.Service + " " + c.route.Name)
}

type meters struct {
	roots        metrics.Counter
	nested       metrics.Counter
	hops         metrics.Counter
	retries      metrics.Counter
	reroutes     metrics.Counter
	coldRefusals metrics.Counter
	upstreamTime metrics.Timer
	accounts     *accountMeters
	registry     metrics.Registry
	// downstreamRefused counts the calls refused because a service further down is congested.
	downstreamRefused metrics.Counter
	// downstreamMinimum counts the calls that belong to the minimum of a congested service.
	downstreamMinimum metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	return meters{
		roots:        metrics.GetOrRegisterCounter("requests.root", r),
		nested:       metrics.GetOrRegisterCounter("requests.nested", r),
		hops:         metrics.GetOrRegisterCounter("requests.hop", r),
		retries:      metrics.GetOrRegisterCounter("retries", r),
		reroutes:     metrics.GetOrRegisterCounter("reroutes", r),
		coldRefusals: metrics.GetOrRegisterCounter("gate.coldRefusals", r),
		upstreamTime: metrics.GetOrRegisterTimer("gate.upstreamTime", r),
		accounts:     &accountMeters{registry: r, byAccount: map[string]*accountMeter{}},
		registry:     r,

		downstreamRefused: metrics.GetOrRegisterCounter("downstream.refused", r),
		downstreamMinimum: metrics.GetOrRegisterCounter("downstream.minimum", r),
	}
}

func (m *meters) countRefusal(reason string) {
	metrics.GetOrRegisterCounter("refusals."+reason, m.registry).Inc(1)
}

// remaining returns the time until a deadline, at least zero.
func (f *Forwarder) remaining(deadline time.Time) time.Duration {
	return max(0, deadline.Sub(f.Timer.Now()))
}
