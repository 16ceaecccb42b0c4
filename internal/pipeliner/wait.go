package pipeliner

import (
	"bytes"
	"net"
	"sync/atomic"

	"github.com/lavenderhub/lavenderhub/internal/budgeter"
)

// Values of the state of a wait.
const (
	// busy means that the connection does not wait for its caller, or that closing it would cut a request that is complete.
	busy int32 = iota
	// waiting means that the connection reads a part of a request that is not complete.
	waiting
	// dropped means that the connection is closed and that nothing more is read from it.
	dropped
)

// wait tells whether a connection may be closed because it waits for its caller. Only a request that was not read whole is cut.
type wait struct {
	state atomic.Int32
	// progressAt is when the caller last sent a considerable part of a request, and unmarked the number of bytes since.
	progressAt atomic.Int64
	unmarked   int
	// idle is set while the server serves no request on the connection. A connection that is multiplexed waits only then.
	idle          atomic.Bool
	isMultiplexed atomic.Bool
}

// isWaiting reports whether the connection may be closed.
func (c *conn) isWaiting() bool {
	if c.wait.state.Load() != waiting || (c.wait.isMultiplexed.Load() && !c.wait.idle.Load()) {
		return false
	}
	// Responses that are in progress ahead of the request are not cut.
	inProgress := c.inProgress()
	return inProgress == 0 || (inProgress == 1 && (c.serving.Load() || c.plain.Load()))
}

// dropWaiting closes the connection if it waits for its caller, and reports whether it did.
func (c *conn) dropWaiting() bool {
	if !c.isWaiting() || !c.wait.state.CompareAndSwap(waiting, dropped) {
		return false
	}
	// The connection is given up, so an error from Close makes no difference.
	_ = c.Conn.Close()
	return true
}

// readWaiting reads a part of a request that is not complete.
func (c *conn) readWaiting(p []byte) (int, error) {
	if c.listener.crowd.max == 0 {
		return c.Conn.Read(p)
	}
	if !c.wait.state.CompareAndSwap(busy, waiting) {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if !c.wait.state.CompareAndSwap(waiting, busy) {
		return 0, net.ErrClosed
	}
	if c.wait.unmarked += n; c.wait.unmarked >= progressSize {
		c.markProgress()
	}
	return n, err
}

func (c *conn) markProgress() {
	c.wait.unmarked = 0
	c.wait.progressAt.Store(c.listener.crowd.now())
}

const (
	// parsedFactor is the memory of a header section for each byte, which is held as text and as fields, and fieldSize that of a field in
	// addition.
	parsedFactor = 2
	fieldSize    = 128
)

// headCharge charges the header section of a request to the budget while it arrives and until its request ends.
type headCharge struct {
	holding *budgeter.Holding
	charged int64
	// size and lines count what was read since the last request on a connection whose requests are not scanned.
	size  int
	lines int
}

// chargeHead charges what the header section holds beyond the free size. It returns false if there is no memory for it.
func (c *conn) chargeHead(size, lines int) bool {
	want := int64(parsedFactor*size+fieldSize*lines) - 2*budgeter.FreeSize
	more := want - c.headCharge.charged
	if more <= 0 || c.listener.budget == nil {
		return true
	}
	if c.headCharge.holding == nil {
		c.headCharge.holding = c.listener.budget.Open(c.dropWaiting)
	}
	if !c.headCharge.holding.Take(more) {
		return false
	}
	c.headCharge.charged = want
	c.headCharge.holding.Progress(int(more))
	return true
}

// chargeAhead charges the next read ahead to the budget. It returns false if there is no memory for it. The first bytes are free, as
// most callers send none.
func (c *conn) chargeAhead() bool {
	if len(c.buffer) == 0 || c.aheadCharged.Load() >= int64(len(c.buffer)+readSize) {
		return true
	}
	if !c.budget.TryTake(readSize) {
		return false
	}
	c.aheadCharged.Add(readSize)
	return true
}

// freeAhead gives back what was charged for reads ahead.
func (c *conn) freeAhead() {
	c.budget.Return(c.aheadCharged.Swap(0))
}

// chargePlainHead is like chargeHead for a header section that the server reads itself. The server calls a connection active only
// after the section.
func (c *conn) chargePlainHead(p []byte) bool {
	c.headCharge.size += len(p)
	c.headCharge.lines += bytes.Count(p, []byte{'\n'})
	return c.chargeHead(c.headCharge.size, c.headCharge.lines)
}

// freeHead gives back what the header section holds.
func (c *conn) freeHead() {
	c.headCharge.holding.Close()
	c.headCharge = headCharge{}
}
