// Package loader sends requests at a given rate, independent of the responses, and verifies every response.
package loader

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Stream describes the requests of one client account to one route.
type Stream struct {
	Account string
	Key     string
	// Rate is in requests per second.
	Rate   float64
	Method string
	// Path begins with the name of the service.
	Path string
	// Priority is sent in the Lavenderhub-Priority header unless it is empty.
	Priority string
	// UseIdempotencyKey adds an Idempotency-Key header to each request.
	UseIdempotencyKey bool
	// SurgeFactor multiplies the rate during the surge of the plan. Zero leaves the rate as it is.
	SurgeFactor float64
}

// Plan describes a load.
type Plan struct {
	Targets  []netip.AddrPort
	Streams  []Stream
	Duration time.Duration
	Seed     uint64
	// Timeout is the caller's timeout for each attempt, and is sent in the Lavenderhub-Timeout header. Zero means one hour,
	// without the header.
	Timeout time.Duration
	// ResponseSize is the requested response size in bytes; zero uses the default of the simulated upstream.
	ResponseSize int
	// ClientRetries is the maximum number of client retries of a failed request.
	ClientRetries int
	// ClientRetryDelay is the delay before each client retry.
	ClientRetryDelay time.Duration
	// SurgeStart and SurgeEnd are the start and the end of the surge, relative to the start of the load.
	SurgeStart time.Duration
	SurgeEnd   time.Duration
	// Direct means that the targets are simulated upstreams instead of nodes. Paths are then sent without the service name.
	Direct bool
}

const (
	// maxInflight is the maximum number of requests in progress. Requests beyond it are skipped.
	maxInflight = 20000
	// maxRate is the maximum sum of all rates, in requests per second.
	maxRate = 200000
	// maxDuration is the maximum duration of a load, and the timeout of an attempt when the plan has none.
	maxDuration = time.Hour
)

// Validate returns an error when the plan is invalid or exceeds a limit.
func (p *Plan) Validate() error {
	if len(p.Targets) == 0 || len(p.Streams) == 0 {
		return errors.New("at least one target and one stream are required")
	}
	for _, t := range p.Targets {
		if !t.Addr().IsLoopback() {
			return errors.Errorf("target %s is not a loopback address", t)
		}
	}
	totalRate := 0.0
	for _, s := range p.Streams {
		if s.Rate <= 0 {
			return errors.Errorf("stream %s %s: the rate must be positive", s.Account, s.Path)
		}
		totalRate += s.Rate * max(1, s.SurgeFactor)
	}
	if totalRate > maxRate {
		return errors.Errorf("the rates add up to %.0f requests per second, above the maximum of %d", totalRate, maxRate)
	}
	if p.Duration <= 0 || p.Duration > maxDuration {
		return errors.Errorf("the duration must be positive and at most %s", maxDuration)
	}
	return nil
}
