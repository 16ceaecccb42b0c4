package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/authenticator"
)

// runningRequest is a request that the local upstream is processing.
type runningRequest struct {
	call *call
	ctx  context.Context

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
	// active is the number of nested calls in progress.
	active int
}

func (r *runningRequest) summary(now time.Time) nestedSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := nestedSummary{time: r.nestedTime, level: r.level, failed: r.failed, shed: r.shed, active: r.activeNested}
	if r.activeNested > 0 {
		s.time += now.Sub(r.nestedSince)
	}
	return s
}

// runningTable maps the handles that the local upstream presents to running requests.
type runningTable struct {
	byHandle sync.Map // string to *runningRequest
}

func (t *runningTable) add(r *runningRequest) (handle string) {
	handle = authenticator.NewHandle()
	t.byHandle.Store(handle, r)
	return handle
}

func (t *runningTable) remove(handle string) {
	t.byHandle.Delete(handle)
}

func (t *runningTable) find(handle string) (*runningRequest, bool) {
	value, ok := t.byHandle.Load(handle)
	if !ok {
		return nil, false
	}
	return value.(*runningRequest), true
}
