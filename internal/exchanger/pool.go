// Package exchanger carries requests to an upstream over HTTP/1.1: one request at a time on a connection, never sent
// twice, and every answer told apart from bytes that belong to no request.
package exchanger

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const (
	// dialTimeout bounds a new connection; an upstream is on the node's own host.
	dialTimeout = 500 * time.Millisecond
	// IdleTimeout is how long an unused connection is kept, unless the upstream announces a shorter time.
	IdleTimeout = 8 * time.Second
	// RecentUseLimit is how long an unused connection serves requests that must not run twice: an older one may have gone
	// silent, and a request lost on it could not be sent again.
	RecentUseLimit = 250 * time.Millisecond
	// maxIdle bounds the unused connections to one upstream.
	maxIdle = 256
)

// Pool keeps connections to one upstream. It is safe for concurrent use.
type Pool struct {
	address netip.AddrPort
	timer   *timer.Service
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	isOwn   MatchFunc

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithMatch sets the function that tells whether an answer belongs to the request that it follows.
func WithMatch(f MatchFunc) Option {
	return func(p *Pool) { p.isOwn = f }
}

// New returns a pool without connections.
func New(addr netip.AddrPort, t *timer.Service, opts ...Option) *Pool {
	p := &Pool{address: addr, timer: t, dial: (&net.Dialer{Timeout: dialTimeout}).DialContext, isOwn: isAlwaysOwn}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// take returns a connection: the one used last, when it is not older than the limit, or a new one.
func (p *Pool) take(ctx context.Context, limit time.Duration) (*conn, error) {
	now := p.timer.Now()
	for {
		c := p.takeIdle(now, limit)
		if c == nil {
			break
		}
		if c.isQuiet() {
			return c, nil
		}
		c.close()
	}
	raw, err := p.dial(ctx, "tcp", p.address.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect to the upstream")
	}
	return newConn(raw, p), nil
}

// takeIdle returns the connection used last, or nil when all are older than the limit. Expired ones are closed.
func (p *Pool) takeIdle(now time.Time, limit time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && !now.Before(p.idle[0].expires) {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
	last := len(p.idle) - 1
	if last < 0 || now.Sub(p.idle[last].used) > limit {
		return nil
	}
	c := p.idle[last]
	p.idle = p.idle[:last]
	if !now.Before(c.expires) {
		c.close()
		return nil
	}
	return c
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	c.used = p.timer.Now()
	c.expires = c.used.Add(c.idleLimit)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// Close closes the unused connections. Requests that still come use connections of their own.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
