package pipeliner

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/internal/budgeter"
)

const (
	// maxHeld bounds the bytes of responses that one connection holds until their turn, and maxHeldTotal those of all
	// connections. Beyond them a response waits unsent, and its request keeps what it uses.
	maxHeld      = 256 << 10
	maxHeldTotal = 16 << 20
)

var errClosed = errors.New("the connection of the pipelined request is closed")

// pipe writes the responses to the requests of one connection in the order of the requests.
type pipe struct {
	raw    net.Conn
	shared *shared
	budget *budgeter.Budget

	mu      sync.Mutex
	changed sync.Cond
	// next is the number of the next request, and turn that of the request whose response is being written.
	next uint64
	turn uint64
	// flushing is set while held bytes of the request with the turn are written.
	flushing bool
	held     map[uint64]*heldResponse
	heldSize int
	branches map[uint64]*branch
	// ended is set when no further request may start, closeAtEnd when the connection closes after the last response, and
	// closed when it is closed.
	ended      bool
	closeAtEnd bool
	closed     bool
	// ahead is set while bytes behind the last request that began have been read. headAhead is set while they hold a whole head, and
	// until the handler of a request that was read ahead runs. Only reads and the server's goroutine of the connection set them, which
	// exclude each other.
	ahead     bool
	headAhead bool
	// pipelined is set while responses to several requests are owed, or to one that is only read.
	pipelined bool
	// resets is set while the connection ends with a reset.
	resets bool
}

// heldResponse is a response whose turn has not come.
type heldResponse struct {
	data []byte
	// done is set when the response is complete, and closes when the connection closes after it.
	done   bool
	closes bool
}

func newPipe(raw net.Conn, s *shared) *pipe {
	p := &pipe{raw: raw, shared: s}
	p.changed.L = &p.mu
	return p
}

// begin assigns the next number to a request that may start while others are in progress. It returns false if it may not, or if no
// further request may start at all.
func (p *pipe) begin() (order uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.closed {
		return 0, false
	}
	p.next++
	p.countPipelined()
	if p.pipelined && p.shared.stopped.Load() {
		p.next--
		p.countPipelined()
		return 0, false
	}
	return p.next - 1, true
}

// beginAlone waits until all responses are complete and assigns the next number. It returns false if no further request may start.
func (p *pipe) beginAlone() (order uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.awaitTurnsLocked() {
		return 0, false
	}
	p.next++
	return p.next - 1, true
}

// hasEnded reports whether no further request may start.
func (p *pipe) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// awaitTurns waits until all responses are complete. It returns false if no further request may start.
func (p *pipe) awaitTurns() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.awaitTurnsLocked()
}

func (p *pipe) awaitTurnsLocked() bool {
	for p.turn != p.next && !p.ended {
		p.changed.Wait()
	}
	return !p.ended && !p.closed
}

// countPipelined updates the number of pipelined connections after a change of this one. AwaitPipelines sets stopped before it reads
// that number, so a request that begins either is counted or finds stopped set.
func (p *pipe) countPipelined() {
	pipelined := !p.closed && (p.next-p.turn > 1 || p.headAhead)
	switch {
	case pipelined && !p.pipelined:
		p.shared.pipelined.Add(1)
	case !pipelined && p.pipelined:
		p.shared.pipelined.Add(-1)
	}
	p.pipelined = pipelined
}

// mayReadAhead reports whether the reader may read on behind the last request that began. It must not once the connection or the reading
// ahead has ended: a request that is read whole should be served.
func (p *pipe) mayReadAhead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.closed || p.shared.stopped.Load() {
		return false
	}
	p.ahead = true
	return true
}

// setAhead records what has been read behind the last request that began.
func (p *pipe) setAhead(ahead, head bool) {
	if p.ahead == ahead && p.headAhead == head {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ahead, p.headAhead = ahead, head
	p.countPipelined()
}

// inProgress returns the number of requests whose responses are not complete.
func (p *pipe) inProgress() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.next - p.turn)
}

// awaitIdle waits until all responses are complete.
func (p *pipe) awaitIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.turn != p.next && !p.closed {
		p.changed.Wait()
	}
}

// awaitClosed waits until the connection is closed.
func (p *pipe) awaitClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed {
		p.changed.Wait()
	}
}

// hasTurn reports whether all responses before that of the request are complete.
func (p *pipe) hasTurn(order uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.turn == order
}

// awaitTurn waits until all responses before that of the request are complete. It returns false if the connection closes or the
// context ends first. Whoever ends the context must wake the waiting.
func (p *pipe) awaitTurn(ctx context.Context, order uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.turn != order && !p.closed && ctx.Err() == nil {
		p.changed.Wait()
	}
	return !p.closed && ctx.Err() == nil
}

// endAfter makes a request the last one of the connection. It returns false if others behind it have started or have been read.
func (p *pipe) endAfter(order uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next != order+1 || p.ahead {
		return false
	}
	p.ended = true
	return true
}

// write writes a part of the response to a request, or holds it until its turn.
func (p *pipe) write(order uint64, b []byte) (int, error) {
	p.mu.Lock()
	for (order != p.turn || p.flushing) && !p.closed {
		if order != p.turn && p.hold(order, b) {
			p.mu.Unlock()
			return len(b), nil
		}
		p.changed.Wait()
	}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return 0, errClosed
	}
	return p.raw.Write(b)
}

// hold keeps a copy of a part of a response, unless too much is held.
func (p *pipe) hold(order uint64, b []byte) bool {
	if p.heldSize+len(b) > maxHeld {
		return false
	}
	if p.shared.totalHeld.Add(int64(len(b))) > maxHeldTotal {
		p.shared.totalHeld.Add(-int64(len(b)))
		return false
	}
	if !p.budget.TryTake(int64(len(b))) {
		p.shared.totalHeld.Add(-int64(len(b)))
		return false
	}
	h := p.heldOf(order)
	h.data = append(h.data, b...)
	p.heldSize += len(b)
	return true
}

func (p *pipe) heldOf(order uint64) *heldResponse {
	if p.held == nil {
		p.held = map[uint64]*heldResponse{}
	}
	h := p.held[order]
	if h == nil {
		h = &heldResponse{}
		p.held[order] = h
	}
	return h
}

// finish completes the response to a request. With closes, the connection closes after it.
func (p *pipe) finish(order uint64, closes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || order < p.turn {
		return
	}
	if order != p.turn || p.flushing {
		h := p.heldOf(order)
		h.done, h.closes = true, closes
		return
	}
	p.advance(closes)
}

// advance gives the turn to the next request, and further while the responses are complete. The lock is released while held bytes
// are written.
func (p *pipe) advance(closes bool) {
	for {
		delete(p.branches, p.turn)
		delete(p.held, p.turn)
		p.turn++
		p.countPipelined()
		if closes || (p.closeAtEnd && p.turn == p.next) {
			p.shared.cut.Add(int64(p.next - p.turn))
			p.close(lingering)
			return
		}
		h := p.held[p.turn]
		if h == nil {
			break
		}
		data := h.data
		h.data = nil
		p.flushing = true
		p.mu.Unlock()
		_, err := p.raw.Write(data)
		p.mu.Lock()
		p.flushing = false
		if p.closed {
			return
		}
		// Until here the bytes are held, since a caller that does not read holds up the write.
		p.heldSize -= len(data)
		p.shared.totalHeld.Add(-int64(len(data)))
		p.budget.Return(int64(len(data)))
		if err != nil {
			p.close(atOnce)
			return
		}
		if !h.done {
			break
		}
		closes = h.closes
	}
	p.changed.Broadcast()
}

// closing is a way to close a connection.
type closing int

const (
	// atOnce drops what is not sent. It is for connections that the caller has closed, or whose responses are given up.
	atOnce closing = iota
	// lingering ends the responses and leaves the rest to conn.linger: closing a connection with unread bytes resets it, and the caller
	// could lose the last response.
	lingering
)

// close closes the connection. Requests whose responses are not written are canceled.
func (p *pipe) close(how closing) {
	if p.closed {
		return
	}
	p.closed, p.ended = true, true
	p.countPipelined()
	p.shared.totalHeld.Add(-int64(p.heldSize))
	p.budget.Return(int64(p.heldSize))
	p.held, p.heldSize = nil, 0
	for _, b := range p.branches {
		b.cancel()
	}
	p.branches = nil
	if how == atOnce || p.resets || p.shared.aborted.Load() || !p.closeWrite() {
		// The connection is given up, so an error from Close makes no difference.
		_ = p.raw.Close()
	}
	p.changed.Broadcast()
}

// closeWrite ends the responses. The server may wait in a read until the caller ends the connection too, or for lingerTime.
func (p *pipe) closeWrite() bool {
	half, ok := p.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false
	}
	return p.raw.SetReadDeadline(p.shared.timer.Now().Add(lingerTime)) == nil
}

// closeNow closes the connection, and drops what is not sent.
func (p *pipe) closeNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(atOnce)
}

// closeWritten closes the connection after what is written.
func (p *pipe) closeWritten() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(lingering)
}

// closeWhenIdle closes the connection after the responses in progress.
func (p *pipe) closeWhenIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	if p.turn == p.next {
		p.close(lingering)
		return
	}
	p.closeAtEnd = true
}

// setResets sets whether the connection ends with a reset.
func (p *pipe) setResets(resets bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets = resets
}

// addBranch registers the connection on which a request is served ahead of its turn.
func (p *pipe) addBranch(b *branch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.branches == nil {
		p.branches = map[uint64]*branch{}
	}
	p.branches[b.order] = b
}
