// Package forwarder carries requests: from callers to the node beside an upstream, through that node's gate to the
// upstream, and the whole answer back.
package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/internal/logger"
	"github.com/lavenderhub/lavenderhub/internal/reporter"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
	"github.com/lavenderhub/lavenderhub/internal/router"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// DefaultBodyLimit is the largest request body in bytes unless settings say otherwise.
	DefaultBodyLimit = 1 << 20
	// heldBody is the largest answer that is held whole before its first byte is sent, in bytes.
	heldBody = 64 << 10
	// storedBody is the largest answer that is kept with an idempotency key, in bytes.
	storedBody = 8 << 10
	// storedHeaderBytes bounds the headers that are kept with it.
	storedHeaderBytes = 2 << 10
)

// Control is the forwarder's view of the control hosts.
type Control struct {
	// View returns the newest view, or nil before the first one.
	View func() *resolver.View
	// IsFresh reports whether the view is certified fresh.
	IsFresh func() bool
	// Staleness returns the age of the newest certificate.
	Staleness func() time.Duration
	// Bucket returns the tokens of a client account at this node.
	Bucket func(account string) *limiter.Bucket
	// Locate learns of a service's workers. It returns false when no such service is known.
	Locate func(ctx context.Context, service string) bool
	// Claim reserves an idempotency key.
	Claim func(ctx context.Context, req *schema.ClaimRequest) (*schema.ClaimReply, error)
	// NodeCount returns how many nodes the fleet has.
	NodeCount func() int
	// Settle records the outcome of a claimed request.
	Settle func(ctx context.Context, req *schema.SettleRequest) error
}

// Parts are what a Forwarder works with.
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
	bodyLimit int64
	levels    router.Levels
	ratios    retrier.Ratios
	throttles retrier.Throttles
	resends   *retrier.ClientRetries
	live      liveTable
	active    atomic.Int64
	stopping  atomic.Bool
	meters    meters
	controls  Overrides
	dialect   UpstreamProtocol
	service   string
	staleness time.Duration
	decisions *logger.DecisionLog
	// repeats is measured at the own upstream; reported comes with answers, and below with those to the own upstream's calls.
	repeats    retrier.RetryMeters
	reported   retrier.RetryShares
	below      retrier.RetryShares
	retryTerms retrier.RetryLimit
	// boundsRepeats tells that the settings give retryTerms.
	boundsRepeats bool
	latencies     retrier.Latencies
}

// Overrides switches decisions off, for baselines in measurements.
type Overrides struct {
	// NoEntryShedding sends calls on although every worker would shed them.
	NoEntryShedding bool
	// NoRetryBounds retries every failure up to the route's retries at each hop.
	NoRetryBounds bool
}

// Option changes a Forwarder under construction.
type Option func(*Forwarder)

// WithBodyLimit sets the largest request body in bytes.
func WithBodyLimit(n int64) Option {
	return func(f *Forwarder) { f.bodyLimit = n }
}

// WithMaxStaleness sets the oldest certificate under which keys are honoured.
func WithMaxStaleness(d time.Duration) Option {
	return func(f *Forwarder) { f.staleness = d }
}

// WithRetryLimit bounds the repeats that each service may get from the whole fleet.
func WithRetryLimit(t retrier.RetryLimit) Option {
	return func(f *Forwarder) { f.retryTerms, f.boundsRepeats = t, true }
}

// WithOverrides switches decisions off.
func WithOverrides(c Overrides) Option {
	return func(f *Forwarder) { f.controls = c }
}

// New returns a Forwarder.
func New(parts Parts, opts ...Option) *Forwarder {
	f := &Forwarder{
		Parts: parts, bodyLimit: DefaultBodyLimit, resends: retrier.NewClientRetries(), dialect: ownDialect(),
		staleness: resolver.MaxCertificateAge, retryTerms: retrier.DefaultRetryLimit(), decisions: logger.NewDecisionLog(parts.Log),
	}
	f.meters = newMeters(parts.Registry)
	parts.Registry.GetOrRegister("log.leftOut", metrics.NewFunctionalGauge(f.decisions.Dropped))
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int64 {
	return f.active.Load()
}

// Stop makes callers' connections close after their current request.
func (f *Forwarder) Stop() {
	f.stopping.Store(true)
}

// meters are the forwarder's metrics.
type meters struct {
	roots   metrics.Counter
	nested  metrics.Counter
	hops    metrics.Counter
	retries metrics.Counter
	reroute metrics.Counter
	added   metrics.Timer
	byName  metrics.Registry
}

func newMeters(r metrics.Registry) meters {
	return meters{
		roots:   metrics.GetOrRegisterCounter("requests.root", r),
		nested:  metrics.GetOrRegisterCounter("requests.nested", r),
		hops:    metrics.GetOrRegisterCounter("requests.hop", r),
		retries: metrics.GetOrRegisterCounter("retries", r),
		reroute: metrics.GetOrRegisterCounter("reroutes", r),
		added:   metrics.GetOrRegisterTimer("gate.upstreamTime", r),
		byName:  r,
	}
}

func (m *meters) refused(reason string) {
	metrics.GetOrRegisterCounter("refusals."+reason, m.byName).Inc(1)
}

// remaining returns the time until a deadline, never negative.
func (f *Forwarder) remaining(deadline time.Time) time.Duration {
	return max(0, deadline.Sub(f.Timer.Now()))
}
