// Package budgeter bounds the memory that a process holds for callers and upstreams: header sections, bodies and buffered
// responses.
//
// Load that it serves: callers that the fleet does not control, which send or read as slowly as they like on thousands of
// connections. What callers hold must stay within the memory of the process, and ordinary requests must still be served.
package budgeter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

const (
	// FreeSize is the number of bytes of a header section or a body that are held without a charge, so that small requests cost
	// nothing here and are never refused. The number of connections bounds their sum.
	FreeSize = 4 << 10
	// progressSize is the number of bytes that count as progress. A caller that sends single bytes is as slow as an idle one.
	progressSize = 4 << 10
	// stallTime is the time without progress after which a holding may be dropped. Loss of packets stops a connection for 200 ms.
	stallTime = 500 * time.Millisecond
	// searchInterval is the minimum time between searches after one that found nothing to drop.
	searchInterval = 10 * time.Millisecond
)

// Budget counts the bytes that are held. It is safe for concurrent use. A nil Budget has no limit.
type Budget struct {
	timer   *timer.Service
	limit   int64
	started time.Time
	used    atomic.Int64
	refused atomic.Int64
	dropped atomic.Int64
	// noneUntil is the time since the start until which a search for something to drop is pointless.
	noneUntil atomic.Int64

	mu       sync.Mutex
	holdings map[*Holding]struct{}
}

// New returns a Budget with a limit in bytes.
func New(t *timer.Service, limit int64) *Budget {
	return &Budget{timer: t, limit: limit, started: t.Now(), holdings: map[*Holding]struct{}{}}
}

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of bytes held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how many times bytes were refused.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Dropped returns the number of holdings that were dropped.
func (b *Budget) Dropped() int64 { return b.dropped.Load() }

// TryTake charges bytes if they are within the limit. It drops nothing.
func (b *Budget) TryTake(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Return gives back bytes that TryTake or Take charged.
func (b *Budget) Return(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Open returns a holding without a charge. Function drop makes its owner give up, without blocking, and reports whether the owner
// will; it is called with the budget locked.
func (b *Budget) Open(drop func() bool) *Holding {
	if b == nil {
		return nil
	}
	h := &Holding{budget: b, drop: drop}
	h.progressAt.Store(int64(b.now()))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdings[h] = struct{}{}
	return h
}

// Take charges bytes. While they are over the limit it drops holdings; if there is none to drop it refuses the bytes.
func (b *Budget) Take(n int64) bool {
	for !b.TryTake(n) {
		if !b.dropSlowest() {
			b.refused.Add(1)
			return false
		}
	}
	return true
}

// dropSlowest drops the holding that has gone longest without progress. It returns false if all made progress within stallTime.
func (b *Budget) dropSlowest() bool {
	now := b.now()
	if int64(now) < b.noneUntil.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		h := b.slowest(now)
		if h == nil {
			b.noneUntil.Store(int64(now + searchInterval))
			return false
		}
		if !h.drop() {
			// Its owner can't give up at present, and may later.
			h.progressAt.Store(int64(now))
			continue
		}
		delete(b.holdings, h)
		h.isDropped.Store(true)
		h.free()
		b.dropped.Add(1)
		return true
	}
}

// slowest returns the holding with the least recent progress, if that is over stallTime ago.
func (b *Budget) slowest(now time.Duration) *Holding {
	var found *Holding
	oldest := int64(now - stallTime)
	for h := range b.holdings {
		if at := h.progressAt.Load(); at <= oldest && h.size.Load() > 0 {
			found, oldest = h, at
		}
	}
	return found
}

func (b *Budget) now() time.Duration {
	return b.timer.Since(b.started)
}
