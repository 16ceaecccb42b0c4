// Package timer is the only source of time. Parts of the program subscribe to it for ticks and delays.
package timer

import (
	"context"
	"time"
)

// Service hands out the time, ticks and delays.
type Service struct {
	now func() time.Time
}

// Option changes a Service under construction.
type Option func(*Service)

// WithNow replaces the clock that Now reads.
func WithNow(now func() time.Time) Option {
	return func(s *Service) { s.now = now }
}

// New returns a Service on the system's clock.
func New(opts ...Option) *Service {
	s := &Service{now: time.Now}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Now returns the current time with its monotonic reading.
func (s *Service) Now() time.Time {
	return s.now()
}

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration {
	return s.now().Sub(t)
}

// Subscription delivers times on C until Stop is called.
type Subscription struct {
	// C delivers the time of each tick. A subscriber that is late misses ticks.
	C    <-chan time.Time
	stop func()
}

// Stop ends the subscription and frees what it holds.
func (s *Subscription) Stop() {
	s.stop()
}

// Every subscribes to a tick each interval, which must be positive.
func (s *Service) Every(interval time.Duration) *Subscription {
	t := time.NewTicker(interval)
	return &Subscription{C: t.C, stop: t.Stop}
}

// After subscribes to one tick after a delay.
func (s *Service) After(delay time.Duration) *Subscription {
	t := time.NewTimer(delay)
	return &Subscription{C: t.C, stop: func() { t.Stop() }}
}

// AfterFunc subscribes a function to one tick after a delay. Stop keeps it from running.
func (s *Service) AfterFunc(delay time.Duration, f func()) *Subscription {
	t := time.AfterFunc(delay, f)
	return &Subscription{stop: func() { t.Stop() }}
}

// Sleep waits for a delay. It returns the context's error when that ends first.
func (s *Service) Sleep(ctx context.Context, delay time.Duration) error {
	sub := s.After(delay)
	defer sub.Stop()
	select {
	case <-sub.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
