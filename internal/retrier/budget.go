// Package retrier bounds retries. Each root call has one retry budget that its whole call tree shares, and each client
// account and each service has a limit on the ratio of retries to successes.
package retrier

import (
	"math"
	"sync/atomic"
)

// Budget is the number of retries left for a request and its nested calls. It is safe for concurrent use.
type Budget struct {
	left  atomic.Int32
	spent atomic.Int32
}

// NewBudget returns a budget of n retries, or of the largest number that it can count.
func NewBudget(n uint32) *Budget {
	b := &Budget{}
	b.left.Store(int32(min(n, math.MaxInt32)))
	return b
}

// Left returns the number of retries left.
func (b *Budget) Left() int {
	return int(max(0, b.left.Load()))
}

// Take consumes one retry. It returns false if none is left.
func (b *Budget) Take() bool {
	if b.takeUpTo(1) == 0 {
		return false
	}
	b.spent.Add(1)
	return true
}

// Reserve sets aside the retries left for a nested call. If more than one is left, one stays here, because a
// reservation whose response is lost is charged in full. The caller must call Settle when the nested call has ended.
func (b *Budget) Reserve() *Reservation {
	left := b.left.Load()
	if left > 1 {
		left--
	}
	return &Reservation{budget: b, size: b.takeUpTo(left)}
}

// takeUpTo removes up to n retries from the budget and returns how many it removed.
func (b *Budget) takeUpTo(n int32) int32 {
	for {
		left := b.left.Load()
		taken := min(n, left)
		if taken <= 0 {
			return 0
		}
		if b.left.CompareAndSwap(left, left-taken) {
			return taken
		}
	}
}

// Spent returns the number of retries used by the request and its nested calls.
func (b *Budget) Spent() uint32 {
	return uint32(b.spent.Load())
}

// Reservation is the part of a budget that is set aside for a nested call.
type Reservation struct {
	budget *Budget
	size   int32
}

// Size returns the number of reserved retries.
func (r *Reservation) Size() uint32 {
	return uint32(r.size)
}

// Budget returns a new budget of the reserved size, for a nested call that runs at this node.
func (r *Reservation) Budget() *Budget {
	return NewBudget(r.Size())
}

// Settle charges the retries that the nested call used and returns the rest to the budget. Callers pass the full size
// for a call whose response was lost.
func (r *Reservation) Settle(used uint32) {
	charged := int32(min(used, uint32(r.size)))
	r.budget.spent.Add(charged)
	r.budget.left.Add(r.size - charged)
	r.size = 0
}
