package budgeter

import "sync/atomic"

// Holding counts the bytes that one request or response holds. All methods but those of the budget are called by its owner, one at
// a time. A nil Holding has no limit.
type Holding struct {
	budget *Budget
	drop   func() bool
	// size is the charge, and unmarked the number of bytes since the last progress.
	size       atomic.Int64
	unmarked   int64
	progressAt atomic.Int64
	isDropped  atomic.Bool
}

// Take charges bytes. It returns false if there is no room for them, or if the holding was dropped.
func (h *Holding) Take(n int64) bool {
	if h == nil {
		return true
	}
	if h.isDropped.Load() || !h.budget.Take(n) {
		return false
	}
	h.add(n)
	return !h.isDropped.Load()
}

// Charge charges bytes that can't be refused, and drops other holdings while the budget is used up.
func (h *Holding) Charge(n int64) {
	if h == nil {
		return
	}
	if !h.budget.Take(n) {
		h.budget.used.Add(n)
	}
	h.add(n)
}

// add adds a charge. If the holding was dropped in the meantime, nothing is held any more.
func (h *Holding) add(n int64) {
	h.size.Add(n)
	if h.isDropped.Load() {
		h.free()
	}
}

// Progress records that bytes were transferred.
func (h *Holding) Progress(n int) {
	if h == nil {
		return
	}
	if h.unmarked += int64(n); h.unmarked >= progressSize {
		h.unmarked = 0
		h.progressAt.Store(int64(h.budget.now()))
	}
}

// Keep makes the holding one that is not dropped any more, because its request is complete. It returns false if it was dropped.
func (h *Holding) Keep() bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.holdings, h)
	return !h.isDropped.Load()
}

// Close ends the holding and gives its bytes back.
func (h *Holding) Close() {
	if h != nil {
		h.Keep()
		h.free()
	}
}

func (h *Holding) free() {
	h.budget.used.Add(-h.size.Swap(0))
}
