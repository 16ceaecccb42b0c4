package dialer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// silenceLimit is how long a connection with an unanswered ping may deliver no byte before its requests end. A packet that is
// lost three times in a row is sent again after 200, 400 and 800 ms, 1.4 s in all; a peer that is short of processor time is
// late for less than that.
const silenceLimit = 1500 * time.Millisecond

// connection is a transport to a peer. Its context is canceled when its requests are to end.
type connection struct {
	pool      *Pool
	transport *http.Transport
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// requests is the number of open requests.
	requests atomic.Int64
	// receivedAt is when the last byte was received, and pingedAt when the first ping was sent after that, as times since the
	// pool's start. They are zero if there was none.
	receivedAt atomic.Int64
	pingedAt   atomic.Int64
}

// dial opens a network connection for the transport.
func (c *connection) dial(ctx context.Context, network, target string) (net.Conn, error) {
	conn, err := c.pool.dialFunc(ctx, network, target)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, connection: c}, nil
}

func (c *connection) recordReceived() {
	c.receivedAt.Store(int64(c.pool.now()))
	c.pingedAt.Store(0)
}

func (c *connection) recordPing() {
	c.pingedAt.CompareAndSwap(0, int64(c.pool.now()))
}

// isVerified reports whether the connection has delivered a byte within VerifiedFor.
func (c *connection) isVerified() bool {
	last := time.Duration(c.receivedAt.Load())
	return last > 0 && c.pool.now()-last < VerifiedFor
}

// isSilent reports whether a ping has been unanswered for silenceLimit, during which no byte was received.
func (c *connection) isSilent() bool {
	pinged := time.Duration(c.pingedAt.Load())
	return pinged > 0 && c.pool.now()-pinged >= silenceLimit
}

// fail ends the connection's requests with the given error.
func (c *connection) fail(cause error) {
	c.cancel(cause)
	c.transport.CloseIdleConnections()
}
