// Package exchanger sends requests to an upstream over HTTP/1.1. A connection carries one request at a time, a request is
// never sent twice, and a response that does not belong to the request is never returned for it.
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
	// dialTimeout bounds the opening of a connection. It is short because the upstream is on the same host as the node.
	dialTimeout = 500 * time.Millisecond
	// IdleTimeout is how long an idle connection is kept, unless the upstream announces a shorter time.
	IdleTimeout = 8 * time.Second
	// RecentUseLimit is how long an idle connection may be used for requests that must not run twice. One that has been idle
	// for longer may be broken, and a request lost on it can't be retried.
	RecentUseLimit = 250 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 256
)

// Pool is a pool of connections to one upstream. It is safe for concurrent use.
type Pool struct {
	address netip.AddrPort
	timer   *timer.Service
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	match   MatchFunc

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// Option configures a Pool.
type Option func(*Pool)

// WithMatch sets the function that tells whether a response belongs to the request. By default every response is taken as unnamed.
func WithMatch(f MatchFunc) Option {
	return func(p *Pool) { p.match = f }
}

// New returns an empty pool for the upstream at addr.
func New(addr netip.AddrPort, t *timer.Service, opts ...Option) *Pool {
	p := &Pool{address: addr, timer: t, dial: (&net.Dialer{Timeout: dialTimeout}).DialContext, match: matchAny}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// get returns the most recently used connection if it has been idle for at most limit, and otherwise a new one.
func (p *Pool) get(ctx context.Context, limit time.Duration) (*conn, error) {
	now := p.timer.Now()
	for {
		c := p.getIdle(now, limit)
		if c == nil {
			break
		}
		if c.isUsable() {
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

// getIdle removes and returns the most recently used connection. It returns nil if there is none, or if that one has
// expired or has been idle for longer than limit. It closes expired connections.
func (p *Pool) getIdle(now time.Time, limit time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && !now.Before(p.idle[0].expires) {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
	last := len(p.idle) - 1
	if last < 0 || now.Sub(p.idle[last].lastUsed) > limit {
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

// put returns a connection to the pool.
func (p *Pool) put(c *conn) {
	c.shrinkReader()
	c.lastUsed = p.timer.Now()
	c.expires = c.lastUsed.Add(c.idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// Close closes the idle connections. Later requests still work; each opens a connection that is closed after use.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
