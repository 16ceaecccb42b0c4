package pipeliner

import (
	"context"
	"time"
)

// lingerTime is how long a connection stays open for the caller to read the last response.
const lingerTime = 500 * time.Millisecond

// linger waits until the connection is closed and the caller has closed it too, or for lingerTime. It does not read further requests:
// their caller may repeat what the server has not read.
func (c *conn) linger() {
	c.awaitClosed()
	end := c.listener.timer.Now().Add(lingerTime)
	// While it waits here, the connection can make room for others.
	c.wait.state.CompareAndSwap(busy, waiting)
	if len(c.buffer) > 0 || c.hasNext(end) {
		_ = c.listener.timer.Sleep(context.Background(), end.Sub(c.listener.timer.Now()))
	}
	// The connection is given up, so an error from Close makes no difference.
	_ = c.Conn.Close()
}

// hasNext reports whether the caller sends a further byte before a moment. It returns false as soon as the caller closes the connection.
func (c *conn) hasNext(end time.Time) bool {
	if c.Conn.SetReadDeadline(end) != nil {
		return false
	}
	n, _ := c.Conn.Read(c.first[:])
	return n > 0
}
