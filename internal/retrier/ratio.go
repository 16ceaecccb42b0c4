package retrier

import "sync"

const (
	// successShare is the part of a retry that each success earns.
	successShare = 0.1
	// ratioBurst is the most retries that may be saved up.
	ratioBurst = 10.0
)

// Ratio holds retries to a share of successes. It is safe for concurrent use.
type Ratio struct {
	mu    sync.Mutex
	saved float64
}

// NewRatio returns a Ratio with its burst saved up.
func NewRatio() *Ratio {
	return &Ratio{saved: ratioBurst}
}

// Succeed counts one success.
func (r *Ratio) Succeed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved = min(ratioBurst, r.saved+successShare)
}

// Take uses one retry. It returns false when successes were too few.
func (r *Ratio) Take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.saved < 1 {
		return false
	}
	r.saved--
	return true
}

// Ratios holds one Ratio for each name. It is safe for concurrent use.
type Ratios struct {
	names[Ratio]
}

// Of returns the Ratio of a name.
func (r *Ratios) Of(name string) *Ratio {
	return r.of(name, NewRatio)
}

// TakeBoth uses one retry of each of two names, or of neither.
func (r *Ratios) TakeBoth(a, b string) bool {
	if !r.Of(a).Take() {
		return false
	}
	if r.Of(b).Take() {
		return true
	}
	first := r.Of(a)
	first.mu.Lock()
	defer first.mu.Unlock()
	first.saved++
	return false
}
