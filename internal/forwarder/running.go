package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/authenticator"
)

// runningRequest is a request that the local upstream is processing.
type runningRequest struct {
	call *call
	ctx  context.Context
	// index is the position in the table's list.
	index int

	mu           sync.Mutex
	activeNested int
	nestedSince  time.Time
	nestedTime   time.Duration
	level        uint32
	failed       bool
	shed         bool
}

// beginNested records the start of a nested call.
func (r *runningRequest) beginNested(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeNested == 0 {
		r.nestedSince = now
	}
	r.activeNested++
}

// endNested records the result of a nested call: whether it ran and failed, whether it was shed, and the admission level
// of its route.
func (r *runningRequest) endNested(now time.Time, failed, shed bool, level uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeNested--
	if r.activeNested == 0 {
		r.nestedTime += now.Sub(r.nestedSince)
	}
	r.failed = r.failed || failed
	r.shed = r.shed || shed
	r.level = max(r.level, level)
}

// nestedSummary summarizes the nested calls of a running request.
type nestedSummary struct {
	time   time.Duration
	level  uint32
	failed bool
	shed   bool
}

func (r *runningRequest) summary(now time.Time) nestedSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := nestedSummary{time: r.nestedTime, level: r.level, failed: r.failed, shed: r.shed}
	if r.activeNested > 0 {
		s.time += now.Sub(r.nestedSince)
	}
	return s
}

// runningTable holds the running requests, by the handles that the local upstream presents.
type runningTable struct {
	byHandle sync.Map // string to *runningRequest

	mu   sync.Mutex
	list []*runningRequest
}

func (t *runningTable) add(r *runningRequest) (handle string) {
	handle = authenticator.NewHandle()
	t.byHandle.Store(handle, r)
	t.mu.Lock()
	defer t.mu.Unlock()
	r.index = len(t.list)
	t.list = append(t.list, r)
	return handle
}

func (t *runningTable) remove(handle string) {
	value, ok := t.byHandle.LoadAndDelete(handle)
	if !ok {
		return
	}
	r := value.(*runningRequest)
	t.mu.Lock()
	defer t.mu.Unlock()
	last := len(t.list) - 1
	t.list[r.index] = t.list[last]
	t.list[r.index].index = r.index
	t.list[last] = nil
	t.list = t.list[:last]
}

// sampleRoot returns the root rank of a random running request, or zero if there is none. Calls of unknown requests thus come
// from the classes of requests in the proportions in which these are running.
func (t *runningTable) sampleRoot() admitter.Rank {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.list) == 0 {
		return 0
	}
	return t.list[rand.IntN(len(t.list))].call.root
}

func (t *runningTable) find(handle string) (*runningRequest, bool) {
	value, ok := t.byHandle.Load(handle)
	if !ok {
		return nil, false
	}
	return value.(*runningRequest), true
}
