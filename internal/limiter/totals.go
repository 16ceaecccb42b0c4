package limiter

import (
	"container/heap"
	"time"
)

// resumInterval is the number of changes after which the totals are summed up afresh, so that rounding errors don't add up.
const resumInterval = 4096

// totals holds the sums over all holders of an account, so that an exchange costs the same with any number of holders.
// Leases and demands that expire leave the sums in order of their expiry.
type totals struct {
	lease     Lease
	demand    float64
	carryover float64
	// waiting is the number of waiting requests by importance.
	waiting [importanceLevels]int
	due     dueHeap
	changes int
}

// contribution is what one holder adds to the totals.
type contribution struct {
	lease         Lease
	demand        float64
	carryover     float64
	waiting       int
	maxImportance uint32
}

// update replaces a holder's contribution by its state at now.
func (t *totals) update(h *holderState, now time.Time) {
	t.add(h.counted, -1)
	h.counted = h.contributionAt(now)
	t.add(h.counted, 1)
	h.due = h.nextExpiry(now)
	if h.index < 0 {
		heap.Push(&t.due, h)
	} else {
		heap.Fix(&t.due, h.index)
	}
	t.changes++
	if t.changes >= resumInterval {
		t.resum()
	}
}

// setCarryover replaces only a holder's carry-over, which limits the refill up to now.
func (t *totals) setCarryover(h *holderState, tokens float64) {
	t.carryover += tokens - h.counted.carryover
	h.carryover, h.counted.carryover = tokens, tokens
}

// othersLease returns the totals of the leases of all holders but one.
func (t *totals) othersLease(h *holderState) Lease {
	return Lease{
		Rate: max(0, t.lease.Rate-h.counted.lease.Rate), Capacity: max(0, t.lease.Capacity-h.counted.lease.Capacity),
	}
}

// othersWaiting returns the number of more important requests that wait at other holders than h.
func (t *totals) othersWaiting(h *holderState, importance uint32) int {
	n := 0
	for i := int(importance) + 1; i < importanceLevels; i++ {
		n += t.waiting[i]
	}
	if min(h.counted.maxImportance, importanceLevels-1) > importance {
		n -= h.counted.waiting
	}
	return n
}

// remove removes a holder.
func (t *totals) remove(h *holderState) {
	t.add(h.counted, -1)
	heap.Remove(&t.due, h.index)
}

// next returns a holder of which something expires by now, or nil.
func (t *totals) next(now time.Time) *holderState {
	if len(t.due) == 0 || now.Before(t.due[0].due) {
		return nil
	}
	return t.due[0]
}

func (t *totals) add(c contribution, sign float64) {
	t.lease.Rate += sign * c.lease.Rate
	t.lease.Capacity += sign * c.lease.Capacity
	t.demand += sign * c.demand
	t.carryover += sign * c.carryover
	t.waiting[min(c.maxImportance, importanceLevels-1)] += int(sign) * c.waiting
}

// resum computes the totals from the contributions of all holders.
func (t *totals) resum() {
	t.lease, t.demand, t.carryover, t.changes = Lease{}, 0, 0, 0
	t.waiting = [importanceLevels]int{}
	for _, h := range t.due {
		t.add(h.counted, 1)
	}
}

// contributionAt returns what a holder adds to the totals at a time.
func (h *holderState) contributionAt(now time.Time) contribution {
	c := contribution{lease: h.lease.at(now), carryover: h.carryover, maxImportance: h.maxImportance}
	c.lease.Sequence = 0
	if now.Sub(h.lastSeen) < demandLifetime {
		c.demand = h.demand
	}
	if now.Sub(h.lastSeen) < waitingReportLifetime {
		c.waiting = h.waiting
	}
	return c
}

// nextExpiry returns the next time at which the holder's state changes by itself.
func (h *holderState) nextExpiry(now time.Time) time.Time {
	next := h.lastSeen.Add(holderLifetime)
	for _, at := range []time.Time{
		h.lastSeen.Add(waitingReportLifetime), h.lastSeen.Add(demandLifetime), h.lease.expires, h.firstBatchExpiry(),
	} {
		if at.After(now) && (at.Before(next) || !next.After(now)) {
			next = at
		}
	}
	return next
}

// firstBatchExpiry returns when the holder's oldest grant expires, or the zero time if it has none.
func (h *holderState) firstBatchExpiry() time.Time {
	if len(h.batches) == 0 {
		return time.Time{}
	}
	return h.batches[0].expires
}

// isGone reports whether nothing is left of a holder.
func (h *holderState) isGone(now time.Time) bool {
	return now.Sub(h.lastSeen) >= holderLifetime && len(h.batches) == 0 && !now.Before(h.lease.expires)
}

// dueHeap orders holders by the time of their next expiry.
type dueHeap []*holderState

// Len implements heap.Interface.
func (d dueHeap) Len() int { return len(d) }

// Less implements heap.Interface.
func (d dueHeap) Less(i, j int) bool { return d[i].due.Before(d[j].due) }

// Swap implements heap.Interface.
func (d dueHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *dueHeap) Push(x any) {
	h := x.(*holderState)
	h.index = len(*d)
	*d = append(*d, h)
}

// Pop implements heap.Interface.
func (d *dueHeap) Pop() any {
	last := len(*d) - 1
	h := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	h.index = -1
	return h
}
