package retrier

import (
	"sync"
	"time"
)

const (
	// resendWindow is how long a request that ran and failed is remembered.
	resendWindow = 10 * time.Second
	// resendSlots is the size of the memory, in requests.
	resendSlots = 1 << 13
)

// ClientRetries recognises requests that callers send again after a failure. It remembers digests in a table of fixed
// size, so a rare resend may be missed. It is safe for concurrent use.
type ClientRetries struct {
	mu    sync.Mutex
	slots []resendSlot
}

type resendSlot struct {
	digest uint64
	until  time.Time
}

// NewClientRetries returns an empty memory.
func NewClientRetries() *ClientRetries {
	return &ClientRetries{slots: make([]resendSlot, resendSlots)}
}

// Remember notes that a request ran and failed.
func (r *ClientRetries) Remember(digest uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots[digest%resendSlots] = resendSlot{digest: digest, until: now.Add(resendWindow)}
}

// IsRetry reports whether a request with this digest ran and failed lately.
func (r *ClientRetries) IsRetry(digest uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[digest%resendSlots]
	return s.digest == digest && now.Before(s.until)
}
