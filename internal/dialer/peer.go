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
	// VerifiedFor is how long after its last sign of life a connection needs no proof.
	VerifiedFor = 250 * time.Millisecond
	// proofTimeout bounds the proof of a connection.
	proofTimeout = 200 * time.Millisecond
	// PingPath answers proofs of a connection.
	PingPath = "/lavenderhub/v1/ping"
)

var (
	// ErrUnresponsive is returned when a peer does not answer on a fresh connection either.
	ErrUnresponsive = errors.New("peer is silent")
	// ErrReplaced is returned for requests on a connection that went silent while the peer answers on a fresh one.
	ErrReplaced = errors.New("connection went silent and was replaced")
)

// Peer is another process of the fleet. It is safe for concurrent use.
type Peer struct {
	pool    *Pool
	address netip.AddrPort
	current atomic.Pointer[connection]
	// heard is the time of the last sign of life since the pool began, in nanoseconds, or zero.
	heard    atomic.Int64
	open     atomic.Int64
	watching atomic.Bool
	proving  sync.Mutex
}

// URL returns the address of a path at the peer.
func (p *Peer) URL(path string) string {
	return p.pool.security.Scheme() + "://" + p.address.String() + path
}

// RoundTrip sends one request. While it is open its connection is watched: one that goes silent is dropped, and the
// request ends with ErrReplaced when the peer answers on a fresh one, and with ErrSilent when it does not.
func (p *Peer) RoundTrip(req *http.Request) (*http.Response, error) {
	p.open.Add(1)
	p.watch()
	resp, err := p.roundTrip(req)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	p.hear()
	body := resp.Body.(*trackedBody)
	release := body.release
	body.release = func() {
		p.open.Add(-1)
		release()
	}
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

func (p *Peer) hear() {
	p.heard.Store(int64(p.pool.timer.Since(p.pool.began)))
}

// watch proves the connection again and again while requests are open on it and nothing is heard.
func (p *Peer) watch() {
	if !p.watching.CompareAndSwap(false, true) {
		return
	}
	if !p.pool.tomb.Alive() {
		return
	}
	p.pool.tomb.Go(func() error {
		ctx := p.pool.tomb.Context(context.Background())
		for p.pool.timer.Sleep(ctx, VerifiedFor) == nil {
			if p.open.Load() == 0 {
				p.watching.Store(false)
				// A request that came in between saw the watch on.
				if p.open.Load() == 0 || !p.watching.CompareAndSwap(false, true) {
					return nil
				}
			}
			// A peer that does not answer ends its requests; there is nothing else to do.
			_ = p.Verify(ctx)
		}
		return nil
	})
}

// Reset cuts all connections to the peer; the next request dials anew.
func (p *Peer) Reset() {
	p.replace(p.pool.newConnection(), ErrUnresponsive)
}

func (p *Peer) replace(fresh *connection, cause error) {
	old := p.current.Swap(fresh)
	old.cancel(cause)
	old.transport.CloseIdleConnections()
}

// Verify makes sure that the peer answers on its connection. A silent connection is replaced by a fresh one. It returns
// ErrSilent, and nothing was sent, when that is silent too.
func (p *Peer) Verify(ctx context.Context) error {
	if p.isProven() {
		return nil
	}
	p.proving.Lock()
	defer p.proving.Unlock()
	if p.isProven() || p.ping(ctx, p.current.Load()) {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	fresh := p.pool.newConnection()
	if p.ping(ctx, fresh) {
		p.replace(fresh, ErrReplaced)
		return nil
	}
	p.replace(fresh, ErrUnresponsive)
	return ErrUnresponsive
}

func (p *Peer) isProven() bool {
	heard := time.Duration(p.heard.Load())
	return heard > 0 && p.pool.timer.Since(p.pool.began)-heard < VerifiedFor
}

func (p *Peer) ping(ctx context.Context, conn *connection) bool {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
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
	p.hear()
	return true
}
