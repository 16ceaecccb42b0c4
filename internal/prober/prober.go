// Package prober finds an upstream that is already running when its node starts, and confirms heartbeats that may be older
// than the start. Only a health check of the upstream shows that it is running.
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
	// maxChecks bounds the health checks after a start and after each heartbeat that waits for a confirmation, since they
	// occupy slots of the upstream. The next heartbeat is due before the last of them.
	maxChecks = 5
	// maxWait bounds the wait for the settings that contain the path of the health check.
	maxWait = 10 * time.Second
)

// Health is the result of a health check of a healthy upstream.
type Health struct {
	Instance string
	// Slots is zero if the response does not tell the number of slots.
	Slots int
	// ColdLeft is how much longer the upstream is cold. It is nil if the response does not tell.
	ColdLeft *time.Duration
}

// Parts are the dependencies and settings of a Prober.
type Parts struct {
	Timer     *timer.Service
	Log       *zap.Logger
	Announcer *announcer.Announcer
	// Service and Address are those of the local upstream.
	Service string
	Address netip.AddrPort
	// HealthPath returns the path of the health check, which is empty if the service has none. It returns false while the
	// settings that contain the path are not known.
	HealthPath func() (string, bool)
	// ReadHealth decodes the response to a health check. It returns false when the upstream is not healthy.
	ReadHealth func(*http.Response) (Health, bool)
}

// Prober makes the health checks of one upstream.
type Prober struct {
	Parts
	wake chan struct{}
}

// New returns a Prober with the given dependencies and settings.
func New(p Parts) *Prober {
	return &Prober{Parts: p, wake: make(chan struct{}, 1)}
}

// Wake makes Run look for a heartbeat that waits for a confirmation.
func (p *Prober) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run searches for the upstream, and then confirms heartbeats until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	p.search(ctx)
	for {
		select {
		case <-p.wake:
			p.search(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// search makes health checks until the upstream is known from one of them or from its own heartbeat and no heartbeat waits
// for a confirmation, or until it reaches the limits on checks and time.
func (p *Prober) search(ctx context.Context) {
	began := p.Timer.Now()
	for checks := 0; checks < maxChecks; {
		msg, waiting := p.Announcer.Unconfirmed(p.Service)
		if !waiting && (p.Announcer.Upstream(p.Service) != nil || p.Timer.Since(began) >= maxWait) {
			return
		}
		switch path, known := p.HealthPath(); {
		case known && path == "" && waiting:
			p.Announcer.Confirm(msg)
		case path != "":
			checks++
			p.probe(ctx, path, msg)
		}
		if p.Timer.Sleep(ctx, checkInterval) != nil {
			// The context has ended, since the process is stopping.
			return
		}
	}
	if msg, waiting := p.Announcer.Unconfirmed(p.Service); waiting {
		p.Announcer.Reject(msg)
		p.Log.Warn("heartbeatNotConfirmed", zap.String("service", p.Service), zap.String("instance", msg.Instance))
	}
}

// probe makes one health check. It registers the instance that answers: by its heartbeat if msg is from the same instance,
// and otherwise by the answer.
func (p *Prober) probe(ctx context.Context, path string, msg announcer.Announcement) {
	addr := p.Address
	if announced, err := netip.ParseAddrPort(msg.Address); err == nil {
		addr = announced
	}
	health, err := p.check(ctx, addr, path)
	if err == nil && health.Instance == msg.Instance {
		p.Announcer.Confirm(msg)
		p.Log.Info("heartbeatConfirmed", zap.String("service", p.Service), zap.String("instance", msg.Instance))
		return
	}
	if err == nil {
		p.Announcer.Reject(msg)
		err = p.Announcer.Adopt(p.Service, addr, health.Instance, health.Slots)
	}
	if err != nil {
		p.Log.Info("upstreamNotFound", zap.String("service", p.Service), zap.Stringer("address", addr), zap.Error(err))
		return
	}
	p.Log.Info("upstreamFound", zap.String("service", p.Service), zap.Stringer("address", addr),
		zap.String("instance", health.Instance), zap.Int("slots", health.Slots))
	if health.ColdLeft != nil {
		p.Announcer.AdoptCold(p.Service, health.Instance, *health.ColdLeft)
	}
}

func (p *Prober) check(ctx context.Context, addr netip.AddrPort, path string) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, checkInterval)
	defer cancel()
	pool := exchanger.New(addr, p.Timer)
	defer pool.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, http.NoBody)
	if err != nil {
		return Health{}, errors.Wrap(err, "build health check")
	}
	resp, _, err := pool.Do(req, true)
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
