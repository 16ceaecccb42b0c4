package dialer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const (
	// ProvenFor is how long after its last sign of life a connection needs no proof.
	ProvenFor = 250 * time.Millisecond
	// proofTimeout bounds the proof of a connection.
	proofTimeout = 200 * time.Millisecond
	// PingPath answers proofs of a connection.
	PingPath = "/lavenderhub/v1/ping"
)

// ErrSilent is returned when a peer does not answer on a fresh connection either.
var ErrSilent = errors.New("peer is silent")

// Pool keeps one Peer for each address. It is safe for concurrent use.
type Pool struct {
	security *Security
	timer    *timer.Service
	began    time.Time
	peers    sync.Map // netip.AddrPort to *Peer
	sent     atomic.Int64
	received atomic.Int64
}

// NewPool returns an empty pool.
func NewPool(s *Security, t *timer.Service) *Pool {
	return &Pool{security: s, timer: t, began: t.Now()}
}

// Peer returns the peer at an address.
func (p *Pool) Peer(addr netip.AddrPort) *Peer {
	if found, ok := p.peers.Load(addr); ok {
		return found.(*Peer)
	}
	fresh := &Peer{pool: p, address: addr}
	fresh.current.Store(p.connect())
	found, _ := p.peers.LoadOrStore(addr, fresh)
	return found.(*Peer)
}

// Retain closes the connections to all addresses that keep does not name.
func (p *Pool) Retain(keep func(netip.AddrPort) bool) {
	p.peers.Range(func(k, v any) bool {
		if !keep(k.(netip.AddrPort)) {
			p.peers.Delete(k)
			v.(*Peer).current.Load().transport.CloseIdleConnections()
		}
		return true
	})
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.Retain(func(netip.AddrPort) bool { return false })
}

// connection is one generation of connections to a peer.
type connection struct {
	transport *http.Transport
	ctx       context.Context
	cancel    context.CancelFunc
}

func (p *Pool) connect() *connection {
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
	ctx, cancel := context.WithCancel(context.Background())
	return &connection{transport: tr, ctx: ctx, cancel: cancel}
}

func (p *Pool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
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

// Peer is another process of the fleet.
type Peer struct {
	pool    *Pool
	address netip.AddrPort
	current atomic.Pointer[connection]
	// heard is the time of the last sign of life since the pool began, in nanoseconds, or zero.
	heard   atomic.Int64
	proving sync.Mutex
}

// URL returns the address of a path at the peer.
func (p *Peer) URL(path string) string {
	return p.pool.security.Scheme() + "://" + p.address.String() + path
}

// RoundTrip sends one request. It ends with an error when the connections are dropped meanwhile.
func (p *Peer) RoundTrip(req *http.Request) (*http.Response, error) {
	conn := p.current.Load()
	ctx, cancel := context.WithCancel(req.Context())
	stop := context.AfterFunc(conn.ctx, cancel)
	resp, err := conn.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		stop()
		cancel()
		return nil, err
	}
	p.hear()
	resp.Body = &trackedBody{ReadCloser: resp.Body, release: func() {
		stop()
		cancel()
	}}
	return resp, nil
}

func (p *Peer) hear() {
	p.heard.Store(int64(p.pool.timer.Since(p.pool.began)))
}

// Drop cuts all connections to the peer; the next request dials anew.
func (p *Peer) Drop() {
	old := p.current.Swap(p.pool.connect())
	p.heard.Store(0)
	old.cancel()
	old.transport.CloseIdleConnections()
}

// Prove makes sure that the peer answers on its connection. A silent connection is dropped and one fresh one tried.
// It returns ErrSilent, and nothing was sent, when that is silent too.
func (p *Peer) Prove(ctx context.Context) error {
	if p.isProven() {
		return nil
	}
	p.proving.Lock()
	defer p.proving.Unlock()
	if p.isProven() || p.ping(ctx) {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.Drop()
	if p.ping(ctx) {
		return nil
	}
	return ErrSilent
}

func (p *Peer) isProven() bool {
	heard := time.Duration(p.heard.Load())
	return heard > 0 && p.pool.timer.Since(p.pool.began)-heard < ProvenFor
}

func (p *Peer) ping(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL(PingPath), http.NoBody)
	if err != nil {
		return false
	}
	resp, err := p.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}
