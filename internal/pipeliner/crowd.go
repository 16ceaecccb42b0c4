package pipeliner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const (
	// minWait is how long a connection may wait for its caller before it can be closed in favour of a new one.
	minWait = 100 * time.Millisecond
	// progressSize is the number of bytes of a request that count as progress. A caller that sends single bytes is as slow as an
	// idle one.
	progressSize = 4 << 10
)

// crowd holds the callers' connections and bounds their number. Load that it serves: callers that open thousands of connections and
// send nothing, or a part of a request. The connection that has waited longest for its caller makes room for a new one.
type crowd struct {
	timer   *timer.Service
	started time.Time
	// max is the largest number of connections, or zero for no limit.
	max    int64
	closed atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newCrowd(t *timer.Service, limit int64) *crowd {
	return &crowd{timer: t, started: t.Now(), max: limit, conns: map[*conn]struct{}{}}
}

func (w *crowd) now() int64 {
	return int64(w.timer.Since(w.started))
}

// add adds a connection. It returns false if there is no room and no other connection can be closed.
func (w *crowd) add(c *conn) bool {
	if w.max == 0 {
		return true
	}
	c.wait.progressAt.Store(w.now())
	w.mu.Lock()
	defer w.mu.Unlock()
	for int64(len(w.conns)) >= w.max {
		oldest := w.longestWaiting()
		if oldest == nil {
			w.closed.Add(1)
			return false
		}
		if !oldest.dropWaiting() {
			// Its caller has just sent something.
			oldest.wait.progressAt.Store(w.now())
			continue
		}
		w.closed.Add(1)
		delete(w.conns, oldest)
	}
	w.conns[c] = struct{}{}
	return true
}

func (w *crowd) longestWaiting() *conn {
	var found *conn
	since := w.now() - int64(minWait)
	for c := range w.conns {
		if at := c.wait.progressAt.Load(); at <= since && c.isWaiting() {
			found, since = c, at
		}
	}
	return found
}

func (w *crowd) remove(c *conn) {
	if w.max == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}
