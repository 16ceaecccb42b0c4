package admitter

import "time"

// waiter is a request that waits for a slot.
type waiter struct {
	req        Request
	sequence   uint64
	enqueuedAt time.Time
	lastStart  time.Time
	decision   chan Decision
	index      int
	fifo       bool
	// byDeadline orders calls in progress by their deadlines.
	byDeadline bool
}

// queue is a heap of waiters, ordered by rank from the highest and among equal ranks from the newest. Calls in progress
// are ordered from the oldest, since each of them can still finish. Unless AdaptiveOff is set, those with the earliest
// deadline come first: they belong to the requests on which the most work was spent.
type queue []*waiter

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.byDeadline && b.byDeadline && !a.req.Deadline.Equal(b.req.Deadline) {
		return a.req.Deadline.Before(b.req.Deadline)
	}
	if a.fifo || (a.req.Rank == InProgress && b.req.Rank == InProgress) {
		return a.sequence < b.sequence
	}
	if a.req.Rank != b.req.Rank {
		return a.req.Rank.precedence() > b.req.Rank.precedence()
	}
	return a.sequence > b.sequence
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
