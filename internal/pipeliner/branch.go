package pipeliner

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// branch is the connection on which the server serves one request ahead of its turn. Reads return the request, and then wait until
// the request is complete, or canceled because the caller's connection has closed.
type branch struct {
	*pipe
	timer *timer.Service
	order uint64

	readMu   sync.Mutex
	readable sync.Cond
	request  []byte
	ended    bool
	aborted  bool
	// finished is set once the response is complete, or given up.
	finished bool
}

func newBranch(p *pipe, t *timer.Service, order uint64, request []byte) *branch {
	b := &branch{pipe: p, timer: t, order: order, request: request}
	b.readable.L = &b.readMu
	return b
}

// Read implements net.Conn.
func (b *branch) Read(p []byte) (int, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	for {
		switch {
		case len(b.request) > 0:
			n := copy(p, b.request)
			b.request = b.request[n:]
			return n, nil
		case b.ended:
			return 0, io.EOF
		case b.aborted:
			return 0, os.ErrDeadlineExceeded
		}
		b.readable.Wait()
	}
}

// cancel makes reads return the end of the connection, which cancels the request.
func (b *branch) cancel() {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	b.ended = true
	b.readable.Broadcast()
}

// Write implements net.Conn.
func (b *branch) Write(p []byte) (int, error) {
	return b.write(b.order, p)
}

// end ends the branch. With closes, the caller's connection closes after the response. Only the first call has an effect.
func (b *branch) end(closes bool) {
	b.readMu.Lock()
	finished := b.finished
	b.finished = true
	b.readMu.Unlock()
	if !finished {
		b.finish(b.order, closes)
	}
	b.cancel()
}

// Close implements net.Conn. If the response is not complete, the caller's connection closes after it.
func (b *branch) Close() error {
	b.end(true)
	return nil
}

// LocalAddr implements net.Conn.
func (b *branch) LocalAddr() net.Addr { return b.raw.LocalAddr() }

// RemoteAddr implements net.Conn.
func (b *branch) RemoteAddr() net.Addr { return b.raw.RemoteAddr() }

// SetDeadline implements net.Conn.
func (b *branch) SetDeadline(t time.Time) error { return b.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn. Only a deadline that has passed takes effect, by which the server aborts a read: the whole
// request has arrived, so that no other read waits for the caller.
func (b *branch) SetReadDeadline(t time.Time) error {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	b.aborted = !t.IsZero() && !t.After(b.timer.Now())
	b.readable.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn. The caller's connection has its own. A deadline that has passed ends that connection, which
// only the request that has the turn may do: the others wait for it.
func (b *branch) SetWriteDeadline(t time.Time) error {
	if t.IsZero() || t.After(b.timer.Now()) {
		return nil
	}
	if !b.hasTurn(b.order) {
		return errShared
	}
	return b.raw.SetWriteDeadline(t)
}

var errShared = errors.New("the connection is shared with other requests")
