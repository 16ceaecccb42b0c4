package pipeliner

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxAhead bounds the requests of one connection that are served at a time.
	maxAhead = 16
	// maxBuffered bounds the bytes that are read from a connection beyond the requests that are served. The caller's further
	// bytes wait in the network.
	maxBuffered = 32 << 10
	// readSize is the size of reads ahead.
	readSize = 4 << 10
)

// errEnded is the error of reads from a connection on which no further request may start. The server writes no response to requests
// whose reads fail with an error of this kind.
var errEnded = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// conn is a caller's connection. The server gets the bytes of one request at a time. While it serves that request, it reads the
// connection to learn when the caller leaves; in these reads conn looks for further requests and gives them to branches.
type conn struct {
	net.Conn
	*pipe
	listener *Listener

	// The fields below are used only by reads, which the server makes one at a time.
	head head
	// buffer holds bytes that were read ahead, and bodyLeft is the size of the rest of the body of the request being served.
	buffer   []byte
	bodyLeft int64

	// order is the number of the request that the server reads from this connection. serving is set from the end of its head until
	// its response is complete, plain once the server reads the connection itself.
	order   atomic.Uint64
	serving atomic.Bool
	plain   atomic.Bool

	deadlineMu sync.Mutex
	// aborted is set while the read deadline has passed, and onAbort closed then, if a read waits for it.
	aborted bool
	onAbort chan struct{}
	// first receives the first byte that is read ahead.
	first [1]byte

	wait       wait
	headCharge headCharge
	// aheadCharged is the number of bytes that are charged for reads ahead.
	aheadCharged atomic.Int64
}

func newConn(raw net.Conn, l *Listener) *conn {
	c := &conn{Conn: raw, pipe: newPipe(raw, &l.shared), listener: l}
	c.budget = l.budget
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case c.plain.Load():
		return c.readPlain(p)
	case c.bodyLeft > 0:
		return c.readBody(p)
	case c.serving.Load():
		return 0, c.readAhead()
	default:
		return c.readHead(p)
	}
}

// readPlain returns bytes as they come.
func (c *conn) readPlain(p []byte) (int, error) {
	if len(c.buffer) > 0 {
		n := copy(p, c.buffer)
		c.consume(n)
		return n, nil
	}
	if len(p) <= 1 {
		// The server reads single bytes only to notice that the caller leaves, while it serves a request that is complete.
		return c.Conn.Read(p)
	}
	n, err := c.readWaiting(p)
	if c.wait.idle.Load() && !c.wait.isMultiplexed.Load() && !c.chargePlainHead(p[:n]) {
		c.closeNow()
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) consume(n int) {
	c.buffer = c.buffer[n:]
	if len(c.buffer) == 0 {
		c.buffer = nil
		c.freeAhead()
	}
}

// readBody returns bytes of the body of the request that is being served.
func (c *conn) readBody(p []byte) (int, error) {
	p = p[:min(int64(len(p)), c.bodyLeft)]
	if len(c.buffer) > 0 {
		n := copy(p, c.buffer)
		c.consume(n)
		c.bodyLeft -= int64(n)
		return n, nil
	}
	n, err := c.readWaiting(p)
	c.bodyLeft -= int64(n)
	return n, err
}

// readHead returns bytes up to the end of the next request's head.
func (c *conn) readHead(p []byte) (int, error) {
	if c.hasEnded() {
		return 0, errEnded
	}
	if len(c.buffer) == 0 && c.head.size == 0 && c.inProgress() > 0 {
		if err := c.readFirst(); err != nil {
			return 0, err
		}
	}
	if len(c.buffer) == 0 {
		n, err := c.readWaiting(p)
		if n == 0 {
			return 0, c.failRead(err)
		}
		used, done := c.head.scan(p[:n])
		if used < n {
			c.buffer = append([]byte(nil), p[used:n]...)
		}
		if !c.chargeHead(c.head.size, c.head.lines) {
			c.closeWhenIdle()
			return 0, net.ErrClosed
		}
		return c.endHead(used, done)
	}
	used, done := c.head.scan(c.buffer[:min(len(p), len(c.buffer))])
	copy(p, c.buffer[:used])
	c.consume(used)
	if !c.chargeHead(c.head.size, c.head.lines) {
		c.closeWhenIdle()
		return 0, net.ErrClosed
	}
	return c.endHead(used, done)
}

// readFirst reads the first byte of a request while others are in progress. It waits for their responses if no more may be read ahead.
func (c *conn) readFirst() error {
	n, err := c.readWaiting(c.first[:])
	if n == 0 {
		return c.failRead(err)
	}
	c.buffer = append(c.buffer, c.first[0])
	if !c.mayReadAhead() && !c.awaitTurns() {
		return errEnded
	}
	return nil
}

// failRead closes the connection, unless a read failed at its deadline, and returns the error of the read.
func (c *conn) failRead(err error) error {
	if err != nil && !isTimeout(err) {
		c.closeNow()
	}
	return err
}

// endHead starts the request whose head is complete. It returns the result of the read, which has no bytes if no request may start:
// with the end of its head the server would serve it.
func (c *conn) endHead(used int, done bool) (int, error) {
	if !done {
		return used, nil
	}
	h := c.head
	c.head.reset()
	c.markProgress()
	if !c.headCharge.holding.Keep() {
		return 0, errEnded
	}
	c.wait.isMultiplexed.Store(h.isHTTP2)
	if c.inProgress() > 0 {
		// The server may still drop this request, so it counts as read ahead until its handler runs.
		c.setAhead(true, true)
	}
	order, ok := uint64(0), false
	if h.mayPrecede() {
		order, ok = c.begin()
	}
	if !ok {
		// What may have an effect never starts before all that stands ahead of it is answered, nor does anything once the reading ahead
		// has ended.
		order, ok = c.beginAlone()
	}
	if !ok {
		return 0, errEnded
	}
	c.order.Store(order)
	switch h.body {
	case openBody:
		c.setAhead(false, c.headAhead)
		c.plain.Store(true)
		return used, nil
	case sizedBody:
		c.bodyLeft = h.length
	}
	// The rest of the body, if it has been read, comes before the next request.
	behind := c.buffer[min(int64(len(c.buffer)), c.bodyLeft):]
	c.setAhead(len(behind) > 0, c.headAhead || hasHead(behind))
	c.serving.Store(true)
	return used, nil
}

// readAhead reads requests while the server serves one, or a single byte if no more may be read. It returns when the server aborts the
// read or the caller leaves.
func (c *conn) readAhead() error {
	for {
		headAhead := c.startBranches()
		c.setAhead(len(c.buffer) > 0, headAhead)
		if (len(c.buffer) > 0 && !c.mayReadAhead()) || len(c.buffer) >= maxBuffered || !c.chargeAhead() {
			c.awaitAbort()
			return os.ErrDeadlineExceeded
		}
		n, err := c.fill()
		if n > 0 {
			continue
		}
		if err != nil {
			return c.failRead(err)
		}
	}
}

// fill reads further bytes into the buffer. Most callers send none, so the first read has no buffer of its own.
func (c *conn) fill() (int, error) {
	if len(c.buffer) == 0 {
		n, err := c.Conn.Read(c.first[:])
		c.buffer = append(c.buffer, c.first[:n]...)
		return n, err
	}
	block := make([]byte, readSize)
	n, err := c.Conn.Read(block)
	if err != nil && !isTimeout(err) {
		c.freeAhead()
	}
	c.buffer = append(c.buffer, block[:n]...)
	return n, err
}

// startBranches gives complete requests that may precede to branches. Others wait until the server reads them. It reports whether the
// head of the first of these is complete.
func (c *conn) startBranches() bool {
	for len(c.buffer) > 0 {
		var h head
		n, done := h.scan(c.buffer)
		if !done {
			return false
		}
		if c.inProgress() >= maxAhead || !c.listener.mayBranch() || !h.mayPrecede() || !isServable(c.buffer[:n]) {
			return true
		}
		order, ok := c.begin()
		if !ok {
			return true
		}
		b := newBranch(c.pipe, c.listener.timer, order, append([]byte(nil), c.buffer[:n]...))
		c.addBranch(b)
		c.consume(n)
		if !c.listener.offer(b) {
			// The server no longer accepts: the request counts as not read, and the connection closes before its response.
			c.closeUnread(order)
			return false
		}
	}
	return false
}

// hasHead reports whether bytes hold a whole head.
func hasHead(p []byte) bool {
	var h head
	_, done := h.scan(p)
	return done
}

// closeUnread ends the connection with the response before the one of a request that can't be served.
func (c *conn) closeUnread(order uint64) {
	c.finish(order, true)
	c.closeWhenIdle()
}

// completeRequest ends the request that the server has served on this connection.
func (c *conn) completeRequest() {
	if c.plain.Load() {
		c.setAhead(false, false)
		return
	}
	if c.serving.CompareAndSwap(true, false) {
		c.markProgress()
		c.setAhead(len(c.buffer) > 0, hasHead(c.buffer))
		c.finish(c.order.Load(), false)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.serving.Load() {
		return c.write(c.order.Load(), p)
	}
	if !c.plain.Load() {
		// The server refuses a request before the end of its head.
		c.awaitIdle()
	}
	return c.Conn.Write(p)
}

// CloseWrite lets the caller read the response although the rest of its request is not read.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || (c.serving.Load() && !c.hasTurn(c.order.Load())) {
		return nil
	}
	return half.CloseWrite()
}

// Close implements net.Conn. Responses in progress on branches are completed first.
func (c *conn) Close() error {
	switch {
	case c.plain.Load():
		c.closeWritten()
	case c.serving.CompareAndSwap(true, false):
		c.finish(c.order.Load(), true)
	default:
		c.closeWhenIdle()
	}
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	c.aborted = !t.IsZero() && !t.After(c.listener.timer.Now())
	if c.aborted && c.onAbort != nil {
		close(c.onAbort)
		c.onAbort = nil
	}
	c.deadlineMu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// awaitAbort waits until the read deadline has passed.
func (c *conn) awaitAbort() {
	c.deadlineMu.Lock()
	if c.aborted {
		c.deadlineMu.Unlock()
		return
	}
	signal := make(chan struct{})
	c.onAbort = signal
	c.deadlineMu.Unlock()
	<-signal
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// SetWriteDeadline implements net.Conn. A deadline that has passed would cut the response that has the turn, if it is not this one's.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(c.listener.timer.Now()) && c.serving.Load() && !c.hasTurn(c.order.Load()) {
		return errShared
	}
	return c.Conn.SetWriteDeadline(t)
}
