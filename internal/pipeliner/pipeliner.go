// Package pipeliner lets an HTTP/1.1 server work on several requests of one connection. A caller may send further requests before
// the first one is answered; net/http serves them one after the other, so that each waits for all before it. Here, requests without
// a body that may run more than once are served at once, on connections of their own within the process, and their responses are
// held back until their turn.
//
// Load that it serves: callers that send a batch of reads on one connection, where one slow read would make all others late.
package pipeliner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/budgeter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const (
	// maxBranches bounds the requests of all connections that are served ahead of their turn.
	maxBranches = 1024
	// crowdedAt is the number of callers' connections from which on each closes after its response. Callers that try again after
	// refusals open one for each try; an idle one costs about 20 KB and a file descriptor.
	crowdedAt = 512
)

// Listener accepts callers' connections and the branches of pipelined requests. ConnState and ConnContext must be set at the server
// that uses it.
type Listener struct {
	net.Listener
	accepted  chan acceptance
	closed    chan struct{}
	closeOnce sync.Once
	branches  atomic.Int64
	// open is the number of callers' connections.
	open   atomic.Int64
	crowd  *crowd
	budget *budgeter.Budget
	shared

	errMu sync.Mutex
	err   error
}

// shared is what the connections of a Listener have in common.
type shared struct {
	timer     *timer.Service
	totalHeld atomic.Int64
	// stopped ends the reading ahead.
	stopped atomic.Bool
	// pipelined is the number of connections that owe responses to several requests, or have read one that has not started.
	pipelined atomic.Int64
	// cut is the number of requests whose connection closed after the response to a request before them.
	cut atomic.Int64
	// aborted lets connections close without waiting for their callers.
	aborted atomic.Bool
}

// acceptance is a result of Accept.
type acceptance struct {
	conn net.Conn
	err  error
}

// Option configures a Listener.
type Option func(*Listener)

// WithLimits bounds the memory that connections hold and their number.
func WithLimits(b *budgeter.Budget, maxConns int64) Option {
	return func(l *Listener) { l.budget, l.crowd = b, newCrowd(l.timer, maxConns) }
}

// ClosedConnections returns the number of connections that were closed because there were too many.
func (l *Listener) ClosedConnections() int64 {
	return l.crowd.closed.Load()
}

// CutRequests returns the number of requests whose connection closed after the response to a request before them, so that they
// got none.
func (l *Listener) CutRequests() int64 {
	return l.cut.Load()
}

// Listen returns a Listener that accepts the connections of another one, in a goroutine of the tomb.
func Listen(t *tomb.Tomb, inner net.Listener, tm *timer.Service, opts ...Option) *Listener {
	l := &Listener{
		Listener: inner, accepted: make(chan acceptance), closed: make(chan struct{}), crowd: newCrowd(tm, 0), shared: shared{timer: tm},
	}
	for _, opt := range opts {
		opt(l)
	}
	t.Go(func() error {
		l.acceptAll()
		return nil
	})
	return l
}

// acceptAll accepts connections until the inner listener fails for good. Passing errors, such as a lack of file descriptors, reach
// the server, which calls Accept again after a pause.
func (l *Listener) acceptAll() {
	for {
		raw, err := l.Listener.Accept()
		next := acceptance{err: err}
		if err == nil {
			c := newConn(raw, l)
			if !l.crowd.add(c) {
				_ = raw.Close()
				continue
			}
			next.conn = c
		} else if !isTemporary(err) {
			l.fail(err)
			return
		}
		select {
		case l.accepted <- next:
		case <-l.closed:
			if raw != nil {
				_ = raw.Close()
			}
			return
		}
	}
}

// isTemporary reports whether a listener may accept connections again after an error, by the method that net/http's server uses.
func isTemporary(err error) bool {
	temporary, ok := err.(interface{ Temporary() bool })
	return ok && temporary.Temporary()
}

func (l *Listener) fail(err error) {
	l.errMu.Lock()
	l.err = err
	l.errMu.Unlock()
	l.closeOnce.Do(func() { close(l.closed) })
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case a := <-l.accepted:
		return a.conn, a.err
	case <-l.closed:
		l.errMu.Lock()
		defer l.errMu.Unlock()
		if l.err != nil {
			return nil, l.err
		}
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// StopBranches ends the reading ahead. Requests in progress continue.
func (l *Listener) StopBranches() {
	l.stopped.Store(true)
}

// pollInterval is how often awaitNone reads a count.
const pollInterval = 10 * time.Millisecond

// AwaitPipelines stops the reading ahead and waits until no connection owes responses to several requests, or has read one that has not
// started. It must be called before the server's Shutdown, which makes net/http close each connection after its current response. It
// returns the context's error if the context ends first.
func (l *Listener) AwaitPipelines(ctx context.Context) error {
	l.StopBranches()
	return l.awaitNone(ctx, &l.pipelined)
}

// AwaitClosed waits until all connections are closed. Those that the server has closed may still wait for their callers to read the last
// response. It returns the context's error if the context ends first.
func (l *Listener) AwaitClosed(ctx context.Context) error {
	return l.awaitNone(ctx, &l.open)
}

// awaitNone waits until a count of connections is zero.
func (l *Listener) awaitNone(ctx context.Context, count *atomic.Int64) error {
	for count.Load() > 0 {
		if err := l.timer.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// Abort lets the server's Close end all connections at once.
func (l *Listener) Abort() {
	l.aborted.Store(true)
}

// mayBranch reports whether further requests may be served ahead of their turn.
func (l *Listener) mayBranch() bool {
	return !l.stopped.Load() && l.branches.Load() < maxBranches
}

// offer passes a branch to the server. It returns false if the server no longer accepts connections.
func (l *Listener) offer(b *branch) bool {
	select {
	case l.accepted <- acceptance{conn: b}:
		return true
	case <-l.closed:
		return false
	}
}

// ConnState is to be called by the server when the state of a connection changes.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	switch c := c.(type) {
	case *conn:
		switch state {
		case http.StateNew:
			l.open.Add(1)
			c.wait.idle.Store(true)
		case http.StateActive:
			c.wait.idle.Store(false)
			// A section that was dropped in the meantime ends with the next read.
			c.headCharge.holding.Keep()
		case http.StateIdle:
			c.completeRequest()
			c.freeHead()
			c.wait.idle.Store(true)
		case http.StateClosed, http.StateHijacked:
			if state == http.StateClosed {
				c.linger()
			}
			l.open.Add(-1)
			l.crowd.remove(c)
			c.freeHead()
			c.freeAhead()
		}
	case *branch:
		switch state {
		case http.StateNew:
			l.branches.Add(1)
		case http.StateIdle:
			c.end(false)
		case http.StateClosed, http.StateHijacked:
			l.branches.Add(-1)
		}
	}
}

type turnKey struct{}

// turn is the place of a request among those of its connection.
type turn struct {
	listener *Listener
	pipe     *pipe
	order    func() uint64
}

// ConnContext is to be called by the server for the context of a connection.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	switch c := c.(type) {
	case *conn:
		return context.WithValue(ctx, turnKey{}, turn{l, c.pipe, c.order.Load})
	case *branch:
		return context.WithValue(ctx, turnKey{}, turn{l, c.pipe, func() uint64 { return c.order }})
	}
	return ctx
}

// AwaitTurn waits until all requests that were sent before this one on its connection are answered. It must be called before a
// request starts that may run once only. It returns false if the connection closes first.
func AwaitTurn(ctx context.Context) bool {
	t, ok := ctx.Value(turnKey{}).(turn)
	if !ok {
		return true
	}
	order := t.order()
	if t.pipe.hasTurn(order) {
		return true
	}
	stop := context.AfterFunc(ctx, func() {
		t.pipe.mu.Lock()
		defer t.pipe.mu.Unlock()
		t.pipe.changed.Broadcast()
	})
	defer stop()
	return t.pipe.awaitTurn(ctx, order)
}

// IsCrowded reports whether so many callers' connections are open that each should close after its response.
func IsCrowded(ctx context.Context) bool {
	t, ok := ctx.Value(turnKey{}).(turn)
	return ok && t.listener.open.Load() > crowdedAt
}

// EndConnection reports whether the connection of a request may close after its response, and lets no further request start on it
// then. It may not while requests behind it are in progress: they would be cut.
func EndConnection(ctx context.Context) bool {
	t, ok := ctx.Value(turnKey{}).(turn)
	return !ok || t.pipe.endAfter(t.order())
}
