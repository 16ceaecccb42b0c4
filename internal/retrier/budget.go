// Package retrier bounds retries: by one budget for each root call, shared by its whole call tree, and by ratios to
// successes for each client account and each service.
package retrier

import "sync/atomic"

// Budget is the number of retries that a request and everything below it may still use. It is safe for concurrent use.
type Budget struct {
	left  atomic.Int32
	spent atomic.Int32
}

// NewBudget returns a budget of n retries.
func NewBudget(n uint32) *Budget {
	b := &Budget{}
	b.left.Store(int32(n))
	return b
}

// Left returns how many retries are left.
func (b *Budget) Left() int {
	return int(max(0, b.left.Load()))
}

// Take uses one retry. It returns false when none is left.
func (b *Budget) Take() bool {
	if b.reserve(1) == 0 {
		return false
	}
	b.spent.Add(1)
	return true
}

// Reserve reserves what is left for the work below, but for one retry that is kept here when there are several: a loan whose
// answer is lost is charged in full. The caller settles the loan when the call has ended.
func (b *Budget) Reserve() *Reservation {
	left := b.left.Load()
	if left > 1 {
		left--
	}
	return &Reservation{budget: b, size: b.reserve(left)}
}

// reserve takes up to n retries and returns how many it took.
func (b *Budget) reserve(n int32) int32 {
	for {
		left := b.left.Load()
		part := min(n, left)
		if part <= 0 {
			return 0
		}
		if b.left.CompareAndSwap(left, left-part) {
			return part
		}
	}
}

// Spent returns how many retries were used here and below.
func (b *Budget) Spent() uint32 {
	return uint32(b.spent.Load())
}

// Reservation is a part of a budget that a nested call may use.
type Reservation struct {
	budget *Budget
	size   int32
}

// Size returns the number of retries lent.
func (l *Reservation) Size() uint32 {
	return uint32(l.size)
}

// Budget returns a budget of the loan's size, for work at this node.
func (l *Reservation) Budget() *Budget {
	return NewBudget(l.Size())
}

// Settle charges what the nested call used and gives back the rest. A call whose answer was lost is charged in full.
func (l *Reservation) Settle(used uint32) {
	charged := min(int32(used), l.size)
	l.budget.spent.Add(charged)
	l.budget.left.Add(l.size - charged)
	l.size = 0
}
