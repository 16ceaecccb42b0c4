package dialer

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// VerifiedFor is how long after the last byte from a peer its connection counts as working without a ping.
	VerifiedFor = 250 * time.Millisecond
	// verifyTimeout bounds a ping that verifies a connection. A late response is no evidence of a broken connection, since a
	// lost packet alone delays it by 200 ms: such a connection gets no new requests, but those on it continue.
	verifyTimeout = 200 * time.Millisecond
	// PingPath is the path of the requests that verify a connection.
	PingPath = "/lavenderhub/v1/ping"
)

var (
	// ErrUnresponsive is returned when a peer does not respond on a new connection either.
	ErrUnresponsive = errors.New("peer is silent")
	// ErrReplaced is returned for requests on a connection that stopped responding while the peer responds on a new one.
	ErrReplaced = errors.New("connection went silent and was replaced")
)

// Peer is a client of another process of the fleet. It is safe for concurrent use.
type Peer struct {
	pool         *Pool
	address      netip.AddrPort
	current      atomic.Pointer[connection]
	openRequests atomic.Int64
	monitoring   atomic.Bool
	verifyMu     sync.Mutex

	mu sync.Mutex
	// replaced holds earlier connections that still have open requests.
	replaced []*connection
}

// URL returns the URL of a path at the peer.
func (p *Peer) URL(path string) string {
	return p.pool.security.Scheme() + "://" + p.address.String() + path
}

// RoundTrip sends one request. While requests are open, their connections are verified regularly. A connection that responds
// late gets no further requests. If it stays silent, its requests fail: with ErrReplaced if the peer responds on a new
// connection, and otherwise with ErrUnresponsive.
func (p *Peer) RoundTrip(req *http.Request) (*http.Response, error) {
	p.openRequests.Add(1)
	p.monitor()
	resp, err := p.roundTrip(req)
	if err != nil {
		p.openRequests.Add(-1)
		return nil, err
	}
	body := resp.Body.(*trackedBody)
	release := body.release
	body.release = func() {
		p.openRequests.Add(-1)
		release()
	}
	return resp, nil
}

// RoundTripBounded is like RoundTrip, but the body ends with an http.MaxBytesError beyond maxReplyBytes. It serves calls
// whose replies are stored, not streamed.
func (p *Peer) RoundTripBounded(req *http.Request) (*http.Response, error) {
	resp, err := p.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxReplyBytes)
	return resp, nil
}

// acquire returns the current connection, with one open request more. A connection that is replaced at the same time is not
// returned, since it may already count as one without requests.
func (p *Peer) acquire() *connection {
	for {
		conn := p.current.Load()
		if conn.requests.Add(1) == 1 {
			// A ping that failed while no request was open says nothing about the time since.
			conn.pingedAt.Store(0)
		}
		if p.current.Load() == conn {
			return conn
		}
		conn.requests.Add(-1)
	}
}

// roundTrip sends one request on the current connection.
func (p *Peer) roundTrip(req *http.Request) (*http.Response, error) {
	conn := p.acquire()
	ctx, cancel := context.WithCancel(req.Context())
	stop := context.AfterFunc(conn.ctx, cancel)
	release := func() {
		stop()
		cancel()
		conn.requests.Add(-1)
	}
	resp, err := conn.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		release()
		if cause := context.Cause(conn.ctx); cause != nil && req.Context().Err() == nil {
			return nil, cause
		}
		return nil, err
	}
	resp.Body = &trackedBody{ReadCloser: resp.Body, release: release}
	return resp, nil
}

// monitor starts a goroutine that verifies the connections every VerifiedFor while requests are open. It does nothing if
// one is running.
func (p *Peer) monitor() {
	if !p.monitoring.CompareAndSwap(false, true) {
		return
	}
	if !p.pool.tomb.Alive() {
		return
	}
	p.pool.tomb.Go(func() error {
		ctx := p.pool.tomb.Context(context.Background())
		for p.pool.timer.Sleep(ctx, VerifiedFor) == nil {
			if p.openRequests.Load() == 0 {
				p.monitoring.Store(false)
				// A request that began before the Store did not start another goroutine.
				if p.openRequests.Load() == 0 || !p.monitoring.CompareAndSwap(false, true) {
					return nil
				}
			}
			// endSilent ends the requests of an unresponsive peer, so the error needs no handling here.
			_ = p.Verify(ctx)
			p.endSilent()
		}
		return nil
	})
}

// endSilent ends the requests on silent connections, and forgets replaced connections without requests.
func (p *Peer) endSilent() {
	current := p.current.Load()
	cause := ErrReplaced
	if current.isSilent() {
		// Earlier connections are judged on their own: a stopping peer completes requests there while it refuses new connections.
		if p.current.CompareAndSwap(current, p.pool.newConnection()) {
			current.fail(ErrUnresponsive)
		}
		cause = ErrUnresponsive
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replaced = slices.DeleteFunc(p.replaced, func(c *connection) bool {
		if c.requests.Load() > 0 && !c.isSilent() {
			return false
		}
		c.fail(cause)
		return true
	})
}

// Reset closes all connections to the peer and fails their requests with ErrUnresponsive. The next request opens a new
// connection.
func (p *Peer) Reset() {
	p.current.Swap(p.pool.newConnection()).fail(ErrUnresponsive)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.replaced {
		c.fail(ErrUnresponsive)
	}
	p.replaced = nil
}

// replace makes later requests use another connection. Those on the current one continue.
func (p *Peer) replace(next *connection) {
	old := p.current.Swap(next)
	old.transport.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replaced = append(p.replaced, old)
}

// Verify checks that the peer responds on its connection, and replaces a connection on which it responds late. It returns
// ErrUnresponsive if the peer does not respond on the new connection either; only pings have been sent then.
func (p *Peer) Verify(ctx context.Context) error {
	if p.current.Load().isVerified() {
		return nil
	}
	p.verifyMu.Lock()
	defer p.verifyMu.Unlock()
	current := p.current.Load()
	if current.isVerified() || p.ping(ctx, current) {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	next := p.pool.newConnection()
	if p.ping(ctx, next) {
		p.replace(next)
		return nil
	}
	// A stopping peer refuses new connections while it completes the requests on its open ones, so these continue.
	next.fail(ErrUnresponsive)
	return ErrUnresponsive
}

func (p *Peer) ping(ctx context.Context, conn *connection) bool {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL(PingPath), http.NoBody)
	if err != nil {
		return false
	}
	conn.recordPing()
	resp, err := conn.transport.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}
