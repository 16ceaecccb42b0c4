package retrier

import "sync"

const (
	// successShare is the part of a retry that each success earns.
	successShare = 0.1
	// ratioBurst is the most retries that may be saved up.
	ratioBurst = 10.0
)

// Allowance is how many retries a name may have at this node.
type Allowance struct {
	// Share is the part of a retry that each success earns.
	Share float64
	// Burst is the most retries that may be saved up.
	Burst float64
}

// DefaultAllowance holds where no terms say otherwise.
func DefaultAllowance() Allowance {
	return Allowance{Share: successShare, Burst: ratioBurst}
}

// Ratio holds retries to a share of successes. It is safe for concurrent use.
type Ratio struct {
	mu    sync.Mutex
	saved float64
}

// RecordSuccess counts one success.
func (r *Ratio) RecordSuccess(a Allowance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved = min(a.Burst, r.saved+a.Share)
}

// take uses one retry.
func (r *Ratio) take(a Allowance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved = min(a.Burst, r.saved)
	if r.saved < 1 {
		return false
	}
	r.saved--
	return true
}

// giveBack undoes a take.
func (r *Ratio) giveBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved++
}

// Ratios holds one Ratio for each name. It is safe for concurrent use.
type Ratios struct {
	names[Ratio]
}

// Of returns the Ratio of a name. A new one has its burst saved up.
func (r *Ratios) Of(name string, a Allowance) *Ratio {
	return r.of(name, func() *Ratio { return &Ratio{saved: a.Burst} })
}

// Take uses one retry of a name.
func (r *Ratios) Take(name string, a Allowance) bool {
	return r.Of(name, a).take(a)
}

// TakeBoth uses one retry of each of two names, or of neither.
func (r *Ratios) TakeBoth(x, y string, a Allowance) bool {
	first := r.Of(x, a)
	if !first.take(a) {
		return false
	}
	if r.Of(y, a).take(a) {
		return true
	}
	first.giveBack()
	return false
}
