// Package prober finds an upstream that is already running when its node starts. Until the upstream's next heartbeat,
// only a health check can find it.
package prober

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/exchanger"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const (
	// checkInterval is the time between two health checks, and the timeout of each. A health check stays on this host and
	// at most waits for a slot of the upstream.
	checkInterval = 200 * time.Millisecond
	// maxChecks bounds the health checks of one start, since they occupy slots of the upstream. The next heartbeat is
	// due before the last of them.
	maxChecks = 5
	// maxWait bounds the wait for the settings that contain the path of the health check.
	maxWait = 10 * time.Second
)

// Health is the result of a health check of a healthy upstream.
type Health struct {
	Instance string
	Slots    int
}

// Parts are the dependencies and settings of a Prober.
type Parts struct {
	Timer     *timer.Service
	Log       *zap.Logger
	Announcer *announcer.Announcer
	// Service and Address are those of the local upstream.
	Service string
	Address netip.AddrPort
	// HealthPath returns the path of the health check, or an empty string while it is not known.
	HealthPath func() string
	// ReadHealth decodes the response to a health check. It returns false when the upstream is not healthy.
	ReadHealth func(*http.Response) (Health, bool)
}

// Prober searches for one upstream.
type Prober struct {
	Parts
	pool *exchanger.Pool
}

// New returns a Prober with the given dependencies and settings.
func New(p Parts) *Prober {
	return &Prober{Parts: p, pool: exchanger.New(p.Address, p.Timer)}
}

// Run makes health checks until the upstream is known from one of them or from its own heartbeat, or until it reaches
// the limits on checks and time.
func (p *Prober) Run(ctx context.Context) error {
	began := p.Timer.Now()
	for checks := 0; checks < maxChecks && p.Timer.Since(began) < maxWait; {
		if p.Announcer.Upstream(p.Service) != nil {
			return nil
		}
		if path := p.HealthPath(); path != "" {
			checks++
			if p.probe(ctx, path) {
				return nil
			}
		}
		if p.Timer.Sleep(ctx, checkInterval) != nil {
			// The context has ended, since the process is stopping.
			return nil
		}
	}
	return nil
}

// probe makes one health check and reports whether it found the upstream and registered it.
func (p *Prober) probe(ctx context.Context, path string) bool {
	health, err := p.check(ctx, path)
	if err == nil {
		err = p.Announcer.Adopt(p.Service, p.Address, health.Instance, health.Slots)
	}
	if err != nil {
		p.Log.Info("upstreamNotFound", zap.String("service", p.Service), zap.Stringer("address", p.Address), zap.Error(err))
		return false
	}
	p.Log.Info("upstreamFound", zap.String("service", p.Service), zap.Stringer("address", p.Address),
		zap.String("instance", health.Instance), zap.Int("slots", health.Slots))
	return true
}

func (p *Prober) check(ctx context.Context, path string) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, checkInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address.String()+path, http.NoBody)
	if err != nil {
		return Health{}, errors.Wrap(err, "build health check")
	}
	resp, _, err := p.pool.Do(req, true)
	if err != nil {
		return Health{}, errors.Wrap(err, "health check")
	}
	// Only the headers are needed. Closing the body unread also closes the connection.
	defer func() { _ = resp.Body.Close() }()
	health, ok := p.ReadHealth(resp)
	if !ok {
		return Health{}, errors.Errorf("health check answered with status %d", resp.StatusCode)
	}
	return health, nil
}
