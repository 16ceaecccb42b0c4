package dialer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// Pool holds one Peer for each address. It is safe for concurrent use.
type Pool struct {
	security *Security
	timer    *timer.Service
	started  time.Time
	dialFunc DialFunc
	tomb     tomb.Tomb
	peers    sync.Map // netip.AddrPort to *Peer
	sent     atomic.Int64
	received atomic.Int64
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithDial sets the function that opens connections. A nil function leaves the default.
func WithDial(dial DialFunc) PoolOption {
	return func(p *Pool) {
		if dial != nil {
			p.dialFunc = dial
		}
	}
}

// NewPool returns an empty pool.
func NewPool(s *Security, t *timer.Service, opts ...PoolOption) *Pool {
	p := &Pool{security: s, timer: t, started: t.Now(), dialFunc: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	for _, opt := range opts {
		opt(p)
	}
	// This goroutine keeps the tomb alive until Close while no connection is monitored.
	p.tomb.Go(func() error {
		<-p.tomb.Dying()
		return nil
	})
	return p
}

// Peer returns the peer at an address and creates it if necessary.
func (p *Pool) Peer(addr netip.AddrPort) *Peer {
	if peer, ok := p.peers.Load(addr); ok {
		return peer.(*Peer)
	}
	created := &Peer{pool: p, address: addr}
	created.current.Store(p.newConnection())
	peer, _ := p.peers.LoadOrStore(addr, created)
	return peer.(*Peer)
}

// Close stops the monitoring of connections and closes the idle ones.
func (p *Pool) Close() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
	p.peers.Range(func(addr, peer any) bool {
		p.peers.Delete(addr)
		peer.(*Peer).current.Load().transport.CloseIdleConnections()
		return true
	})
}

func (p *Pool) newConnection() *connection {
	c := &connection{pool: p}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	var protocols http.Protocols
	c.transport = &http.Transport{
		DialContext:     c.dial,
		IdleConnTimeout: idleTimeout,
		Protocols:       &protocols,
		HTTP2:           http2ClientConfig(),
		// Bodies are forwarded unchanged.
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	if p.security.cfg == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
		c.transport.TLSClientConfig = p.security.clientConfig()
	}
	return c
}

// now returns the time since the pool's start, which is never zero.
func (p *Pool) now() time.Duration {
	return max(1, p.timer.Since(p.started))
}

// Traffic returns the number of bytes sent and received over all connections of the pool.
func (p *Pool) Traffic() (sent, received int64) {
	return p.sent.Load(), p.received.Load()
}

// countedConn adds the bytes of a connection to the pool's totals, and records when it receives any.
type countedConn struct {
	net.Conn
	connection *connection
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.connection.pool.received.Add(int64(n))
		c.connection.recordReceived()
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.connection.pool.sent.Add(int64(n))
	return n, err
}
