package exchanger

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
	// writeBuffer is the same for writes: most requests go out in one write.
	writeBuffer = 4 << 10
)

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	pool      *Pool
	reader    *bufio.Reader
	writer    *bufio.Writer
	used      time.Time
	expires   time.Time
	idleLimit time.Duration
	closed    atomic.Bool
}

func newConn(raw net.Conn, p *Pool) *conn {
	return &conn{
		Conn: raw, pool: p, reader: bufio.NewReaderSize(raw, readBuffer), writer: bufio.NewWriterSize(raw, writeBuffer),
		idleLimit: IdleTimeout,
	}
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		// The connection is given up; there is nothing to do about a failed close.
		_ = c.Close()
	}
}

// isQuiet reports whether an unused connection is open and has nothing to read. It looks without waiting.
func (c *conn) isQuiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
