// Package prober looks for an upstream that already runs when its node starts: until the upstream's next heartbeat only a
// health check tells of it.
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
	// pause is the time between two looks, and bounds one health check: it is local and waits for a slot at most.
	pause = 200 * time.Millisecond
	// maxChecks bounds the health checks of one start. They take slots; by then the next heartbeat must have come.
	maxChecks = 5
	// maxWait bounds the wait for the settings that name the path of the health check.
	maxWait = 10 * time.Second
)

// Health is what a health check tells of an upstream that is well.
type Health struct {
	Instance string
	Slots    int
}

// Parts are what a Prober works with.
type Parts struct {
	Timer     *timer.Service
	Log       *zap.Logger
	Announcer *announcer.Announcer
	// Service and Address are those of the own upstream.
	Service string
	Address netip.AddrPort
	// HealthPath returns the path of the health check, or nothing while it is not known.
	HealthPath func() string
	// ReadHealth decodes the answer of a health check. It returns false when the upstream is not well.
	ReadHealth func(*http.Response) (Health, bool)
}

// Prober looks for one upstream.
type Prober struct {
	Parts
	pool *exchanger.Pool
}

// New returns a Prober.
func New(p Parts) *Prober {
	return &Prober{Parts: p, pool: exchanger.New(p.Address, p.Timer)}
}

// Run looks until the upstream is known, by its answer or by its own heartbeat.
func (p *Prober) Run(ctx context.Context) error {
	began := p.Timer.Now()
	for checks := 0; checks < maxChecks && p.Timer.Since(began) < maxWait; {
		if p.Announcer.Upstream(p.Service) != nil {
			return nil
		}
		if path := p.HealthPath(); path != "" {
			checks++
			if p.look(ctx, path) {
				return nil
			}
		}
		if p.Timer.Sleep(ctx, pause) != nil {
			// The process stops.
			return nil
		}
	}
	return nil
}

// look makes one health check and reports whether it found the upstream.
func (p *Prober) look(ctx context.Context, path string) bool {
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
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address.String()+path, http.NoBody)
	if err != nil {
		return Health{}, errors.Wrap(err, "build health check")
	}
	resp, _, err := p.pool.Do(req, true)
	if err != nil {
		return Health{}, errors.Wrap(err, "health check")
	}
	// The headers tell all; closing the body unread gives the connection up.
	defer func() { _ = resp.Body.Close() }()
	health, ok := p.ReadHealth(resp)
	if !ok {
		return Health{}, errors.Errorf("health check answered with status %d", resp.StatusCode)
	}
	return health, nil
}
