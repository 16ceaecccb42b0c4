package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/authenticator"
)

// running is a request that this node's own upstream is working on.
type running struct {
	call *call
	ctx  context.Context

	mu     sync.Mutex
	active int
	since  time.Time
	nested time.Duration
	level  uint32
	failed bool
	shed   bool
}

// begin notes the start of a nested call.
func (r *running) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active == 0 {
		r.since = now
	}
	r.active++
}

// end notes the end of a nested call: whether it ran and failed, or was shed, and the level that it met.
func (r *running) end(now time.Time, failed, shed bool, level uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	if r.active == 0 {
		r.nested += now.Sub(r.since)
	}
	r.failed = r.failed || failed
	r.shed = r.shed || shed
	r.level = max(r.level, level)
}

// nestedState is what a running request's nested calls add up to.
type nestedState struct {
	time   time.Duration
	level  uint32
	failed bool
	shed   bool
}

func (r *running) state(now time.Time) nestedState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := nestedState{time: r.nested, level: r.level, failed: r.failed, shed: r.shed}
	if r.active > 0 {
		s.time += now.Sub(r.since)
	}
	return s
}

// liveTable finds running requests by the handle that their upstream presents.
type liveTable struct {
	byHandle sync.Map // string to *running
}

func (t *liveTable) add(r *running) (handle string) {
	handle = authenticator.NewHandle()
	t.byHandle.Store(handle, r)
	return handle
}

func (t *liveTable) remove(handle string) {
	t.byHandle.Delete(handle)
}

func (t *liveTable) find(handle string) (*running, bool) {
	found, ok := t.byHandle.Load(handle)
	if !ok {
		return nil, false
	}
	return found.(*running), true
}
