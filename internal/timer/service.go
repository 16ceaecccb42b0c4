// Package timer provides the current time, tickers and delays. It is the program's only source of time.
package timer

import (
	"context"
	"time"
)

// Service provides the current time, tickers and delays.
type Service struct {
	now func() time.Time
}

// Option configures a Service.
type Option func(*Service)

// WithNow sets the function that returns the current time. It does not affect tickers and delays.
func WithNow(now func() time.Time) Option {
	return func(s *Service) { s.now = now }
}

// New returns a Service that uses the system clock.
func New(opts ...Option) *Service {
	s := &Service{now: time.Now}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Now returns the current time, which by default includes a monotonic clock reading.
func (s *Service) Now() time.Time {
	return s.now()
}

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration {
	return s.now().Sub(t)
}

// Subscription is a ticker or a delay. It lasts until Stop is called.
type Subscription struct {
	// C delivers the time of each tick. Ticks are dropped for a slow receiver. C is nil if a function is called instead.
	C    <-chan time.Time
	stop func()
}

// Stop ends the subscription and releases its resources.
func (s *Subscription) Stop() {
	s.stop()
}

// Every returns a subscription with one tick per interval, which must be positive.
func (s *Service) Every(interval time.Duration) *Subscription {
	t := time.NewTicker(interval)
	return &Subscription{C: t.C, stop: t.Stop}
}

// After returns a subscription with one tick after the delay.
func (s *Service) After(delay time.Duration) *Subscription {
	t := time.NewTimer(delay)
	return &Subscription{C: t.C, stop: func() { t.Stop() }}
}

// AfterFunc calls f in its own goroutine after the delay, unless Stop is called before.
func (s *Service) AfterFunc(delay time.Duration, f func()) *Subscription {
	t := time.AfterFunc(delay, f)
	return &Subscription{stop: func() { t.Stop() }}
}

// Sleep waits for the delay. It returns the context's error if the context ends first.
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
