package admitter

import "time"

// waiter is a request that waits for a slot.
type waiter struct {
	ask      Request
	sequence uint64
	since    time.Time
	ready    chan Decision
	index    int
	fifo     bool
}

// queue is a heap of waiters: the highest rank first, and the newest of equal ranks.
type queue []*waiter

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.fifo {
		return a.sequence < b.sequence
	}
	if a.ask.Rank != b.ask.Rank {
		return a.ask.Rank > b.ask.Rank
	}
	return a.sequence > b.sequence
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push adds a waiter; it serves container/heap.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop removes the last waiter; it serves container/heap.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
