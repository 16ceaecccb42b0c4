package dialer

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// VerifiedFor is how long after the last response from a peer its connection counts as working without a ping.
	VerifiedFor = 250 * time.Millisecond
	// verifyTimeout bounds a ping that verifies a connection.
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
	pool    *Pool
	address netip.AddrPort
	current atomic.Pointer[connection]
	// lastReceived is when the peer last responded, in nanoseconds since the pool's start, or zero if it never did.
	lastReceived atomic.Int64
	openRequests atomic.Int64
	monitoring   atomic.Bool
	verifyMu     sync.Mutex
}

// URL returns the URL of a path at the peer.
func (p *Peer) URL(path string) string {
	return p.pool.security.Scheme() + "://" + p.address.String() + path
}

// RoundTrip sends one request. While requests are open, their connection is verified regularly. If it stops responding,
// it is closed, and its requests fail: with ErrReplaced if the peer responds on a new connection, and otherwise with
// ErrUnresponsive.
func (p *Peer) RoundTrip(req *http.Request) (*http.Response, error) {
	p.openRequests.Add(1)
	p.monitor()
	resp, err := p.roundTrip(req)
	if err != nil {
		p.openRequests.Add(-1)
		return nil, err
	}
	p.recordReceived()
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

// roundTrip sends one request on the current connection.
func (p *Peer) roundTrip(req *http.Request) (*http.Response, error) {
	conn := p.current.Load()
	ctx, cancel := context.WithCancel(req.Context())
	stop := context.AfterFunc(conn.ctx, cancel)
	release := func() {
		stop()
		cancel()
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

func (p *Peer) recordReceived() {
	p.lastReceived.Store(int64(p.pool.timer.Since(p.pool.started)))
}

// monitor starts a goroutine that verifies the connection every VerifiedFor while requests are open. It does nothing if
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
			// Verify itself fails the requests of an unresponsive peer, so its error needs no handling here.
			_ = p.Verify(ctx)
		}
		return nil
	})
}

// Reset closes all connections to the peer and fails their requests with ErrUnresponsive. The next request opens a new
// connection.
func (p *Peer) Reset() {
	p.replace(p.pool.newConnection(), ErrUnresponsive)
}

func (p *Peer) replace(next *connection, cause error) {
	old := p.current.Swap(next)
	old.cancel(cause)
	old.transport.CloseIdleConnections()
}

// Verify checks that the peer responds on its connection, and replaces a connection on which it does not. It returns
// ErrUnresponsive if the peer does not respond on the new connection either; only pings have been sent then.
func (p *Peer) Verify(ctx context.Context) error {
	if p.isVerified() {
		return nil
	}
	p.verifyMu.Lock()
	defer p.verifyMu.Unlock()
	if p.isVerified() || p.ping(ctx, p.current.Load()) {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	next := p.pool.newConnection()
	if p.ping(ctx, next) {
		p.replace(next, ErrReplaced)
		return nil
	}
	p.replace(next, ErrUnresponsive)
	return ErrUnresponsive
}

func (p *Peer) isVerified() bool {
	last := time.Duration(p.lastReceived.Load())
	return last > 0 && p.pool.timer.Since(p.pool.started)-last < VerifiedFor
}

func (p *Peer) ping(ctx context.Context, conn *connection) bool {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL(PingPath), http.NoBody)
	if err != nil {
		return false
	}
	resp, err := conn.transport.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	p.recordReceived()
	return true
}
