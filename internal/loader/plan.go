// Package loader sends requests at a stated rate, whether answers come or not, and verifies every answer.
package loader

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Stream is the requests of one client account to one route.
type Stream struct {
	Account string
	Key     string
	// Rate is requests a second.
	Rate   float64
	Method string
	// Path begins with the service's name.
	Path string
	// Priority is sent with each request when it is not empty.
	Priority string
	// Once sends an Idempotency-Key with each request.
	Once bool
	// SurgeFactor multiplies the rate during the plan's surge.
	SurgeFactor float64
}

// Plan describes a load.
type Plan struct {
	Targets  []netip.AddrPort
	Streams  []Stream
	Duration time.Duration
	Seed     uint64
	// Timeout is the caller's own timeout for each request.
	Timeout time.Duration
	// Size is the length of the answers asked for, in bytes; zero leaves it to the upstream.
	Size int
	// Resends is how often a failed request is sent again, after ResendPause each time.
	Resends     int
	ResendPause time.Duration
	// SurgeStart and SurgeEnd bound the surge.
	SurgeStart time.Duration
	SurgeEnd   time.Duration
	// Direct tells that the targets are stand-in upstreams: paths are sent without the service's name.
	Direct bool
}

const (
	// maxInflight bounds the requests in progress.
	maxInflight = 20000
	// maxRate bounds the sum of all rates, in requests a second.
	maxRate = 200000
	// maxDuration bounds a load.
	maxDuration = time.Hour
)

// Check returns an error when a plan can't be carried out.
func (p *Plan) Check() error {
	if len(p.Targets) == 0 || len(p.Streams) == 0 {
		return errors.New("name at least one target and one stream")
	}
	for _, t := range p.Targets {
		if !t.Addr().IsLoopback() {
			return errors.Errorf("target %s is not on loopback", t)
		}
	}
	total := 0.0
	for _, s := range p.Streams {
		if s.Rate <= 0 {
			return errors.Errorf("stream %s %s: the rate must be positive", s.Account, s.Path)
		}
		total += s.Rate * max(1, s.SurgeFactor)
	}
	if total > maxRate {
		return errors.Errorf("the rates add up to %.0f a second, at most %d are sent", total, maxRate)
	}
	if p.Duration <= 0 || p.Duration > maxDuration {
		return errors.Errorf("the duration must lie between 0 and %s", maxDuration)
	}
	return nil
}
