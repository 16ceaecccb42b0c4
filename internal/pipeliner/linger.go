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
	// HTTP/2 has an end of its own, which the server follows.
	if !c.wait.isMultiplexed.Load() {
		end := c.listener.timer.Now().Add(lingerTime)
		// While it waits here, the connection can make room for others.
		c.wait.state.CompareAndSwap(busy, waiting)
		if c.Conn.SetReadDeadline(end) == nil && c.hasNext() {
			_ = c.listener.timer.Sleep(context.Background(), end.Sub(c.listener.timer.Now()))
		}
	}
	// The connection is given up, so an error from Close makes no difference.
	_ = c.Conn.Close()
}

// hasNext reports whether the caller has sent bytes that are not served. Without any it waits for the first one, or for the end of the
// connection or the read deadline.
func (c *conn) hasNext() bool {
	if len(c.buffer) > 0 {
		return true
	}
	n, _ := c.Conn.Read(c.first[:])
	return n > 0
}
