package exchanger

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readBufferSize is the size in bytes of a connection's read buffer.
	readBufferSize = 4 << 10
	// writeBufferSize is the size in bytes of a connection's write buffer. Most requests fit and are sent in one write.
	writeBufferSize = 4 << 10
)

// conn is a connection to the upstream.
type conn struct {
	net.Conn
	pool        *Pool
	bounded     *boundedReader
	reader      *bufio.Reader
	writer      *bufio.Writer
	lastUsed    time.Time
	expires     time.Time
	idleTimeout time.Duration
	closed      atomic.Bool
}

func newConn(raw net.Conn, p *Pool) *conn {
	stream := &stream{Conn: raw}
	c := &conn{
		Conn: raw, pool: p, bounded: &boundedReader{Reader: stream}, writer: bufio.NewWriterSize(stream, writeBufferSize),
		idleTimeout: IdleTimeout,
	}
	c.unboundHead()
	c.reader = bufio.NewReaderSize(c.bounded, readBufferSize)
	return c
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		// The connection is discarded, so an error from Close makes no difference.
		_ = c.Close()
	}
}

// isUsable reports, without blocking, whether an idle connection is still open and has no unread data.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}
