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

// Pool keeps one Peer for each address. It is safe for concurrent use.
type Pool struct {
	security *Security
	timer    *timer.Service
	began    time.Time
	connect  DialFunc
	tomb     tomb.Tomb
	peers    sync.Map // netip.AddrPort to *Peer
	sent     atomic.Int64
	received atomic.Int64
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// PoolOption changes a Pool under construction.
type PoolOption func(*Pool)

// WithDial replaces the function that opens connections. A nil function changes nothing.
func WithDial(dial DialFunc) PoolOption {
	return func(p *Pool) {
		if dial != nil {
			p.connect = dial
		}
	}
}

// NewPool returns an empty pool.
func NewPool(s *Security, t *timer.Service, opts ...PoolOption) *Pool {
	p := &Pool{security: s, timer: t, began: t.Now(), connect: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	for _, opt := range opts {
		opt(p)
	}
	// The group lives until Close, also while no connection is watched.
	p.tomb.Go(func() error {
		<-p.tomb.Dying()
		return nil
	})
	return p
}

// Peer returns the peer at an address.
func (p *Pool) Peer(addr netip.AddrPort) *Peer {
	if found, ok := p.peers.Load(addr); ok {
		return found.(*Peer)
	}
	fresh := &Peer{pool: p, address: addr}
	fresh.current.Store(p.newConnection())
	found, _ := p.peers.LoadOrStore(addr, fresh)
	return found.(*Peer)
}

// Close ends the watching of connections and closes the idle ones.
func (p *Pool) Close() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
	p.peers.Range(func(addr, peer any) bool {
		p.peers.Delete(addr)
		peer.(*Peer).current.Load().transport.CloseIdleConnections()
		return true
	})
}

// connection is one generation of connections to a peer.
type connection struct {
	transport *http.Transport
	ctx       context.Context
	cancel    context.CancelCauseFunc
}

func (p *Pool) newConnection() *connection {
	var protocols http.Protocols
	tr := &http.Transport{
		DialContext:     p.dial,
		IdleConnTimeout: idleTimeout,
		Protocols:       &protocols,
		HTTP2:           http2Config(),
		// Bodies are passed on as they are.
		DisableCompression: true,
	}
	if p.security.cfg == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
		tr.TLSClientConfig = p.security.clientConfig()
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	return &connection{transport: tr, ctx: ctx, cancel: cancel}
}

func (p *Pool) dial(ctx context.Context, network, target string) (net.Conn, error) {
	conn, err := p.connect(ctx, network, target)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, pool: p}, nil
}

// Traffic returns the bytes sent and received over all connections of the pool.
func (p *Pool) Traffic() (sent, received int64) {
	return p.sent.Load(), p.received.Load()
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	pool *Pool
}

// Read reads and counts.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pool.received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.pool.sent.Add(int64(n))
	return n, err
}
