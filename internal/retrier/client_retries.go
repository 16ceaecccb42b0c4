package retrier

import (
	"sync"
	"time"
)

const (
	// clientRetryWindow is how long a failed request is remembered.
	clientRetryWindow = 10 * time.Second
	// clientRetrySlots is the size of the table, in requests.
	clientRetrySlots = 1 << 13
)

// ClientRetries detects requests that callers retry after a failure. It stores digests in a table of fixed size,
// where one digest may overwrite another, so a few retries are missed. It is safe for concurrent use.
type ClientRetries struct {
	mu    sync.Mutex
	slots []clientRetrySlot
}

type clientRetrySlot struct {
	digest uint64
	until  time.Time
}

// NewClientRetries returns an empty table.
func NewClientRetries() *ClientRetries {
	return &ClientRetries{slots: make([]clientRetrySlot, clientRetrySlots)}
}

// Remember records that a request ran and failed.
func (c *ClientRetries) Remember(digest uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots[digest%clientRetrySlots] = clientRetrySlot{digest: digest, until: now.Add(clientRetryWindow)}
}

// IsRetry reports whether a request with this digest ran and failed within the last clientRetryWindow.
func (c *ClientRetries) IsRetry(digest uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.slots[digest%clientRetrySlots]
	return s.digest == digest && now.Before(s.until)
}
