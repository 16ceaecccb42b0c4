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

// connection is a transport to a peer with a context that is canceled when the transport is replaced.
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
		// Bodies are forwarded unchanged.
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
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
	conn, err := p.dialFunc(ctx, network, target)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, pool: p}, nil
}

// Traffic returns the number of bytes sent and received over all connections of the pool.
func (p *Pool) Traffic() (sent, received int64) {
	return p.sent.Load(), p.received.Load()
}

// countedConn adds the bytes of a connection to the pool's totals.
type countedConn struct {
	net.Conn
	pool *Pool
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pool.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.pool.sent.Add(int64(n))
	return n, err
}
