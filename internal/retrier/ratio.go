package retrier

import "sync"

const (
	// defaultShare is the default fraction of a retry that each success earns.
	defaultShare = 0.1
	// defaultBurst is the default maximum number of retries that accumulate.
	defaultBurst = 10.0
)

// Allowance sets how many retries a client account or service may have at this node.
type Allowance struct {
	// Share is the fraction of a retry that each success earns.
	Share float64
	// Burst is the maximum number of retries that accumulate.
	Burst float64
}

// DefaultAllowance returns the allowance where no retry limit is configured.
func DefaultAllowance() Allowance {
	return Allowance{Share: defaultShare, Burst: defaultBurst}
}

// Ratio limits retries to a share of successes. It is safe for concurrent use.
type Ratio struct {
	mu     sync.Mutex
	tokens float64
}

// RecordSuccess records one success, which earns a.Share retries.
func (r *Ratio) RecordSuccess(a Allowance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(a.Burst, r.tokens+a.Share)
}

// take consumes one retry. It returns false if less than one has accumulated.
func (r *Ratio) take(a Allowance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(a.Burst, r.tokens)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// refund returns a retry consumed by take.
func (r *Ratio) refund() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens++
}

// Ratios holds one Ratio per name. It is safe for concurrent use.
type Ratios struct {
	registry[Ratio]
}

// Of returns the Ratio of a name. A new Ratio starts with its full burst.
func (r *Ratios) Of(name string, a Allowance) *Ratio {
	return r.get(name, func() *Ratio { return &Ratio{tokens: a.Burst} })
}

// Take consumes one retry of a name. It returns false if none is available.
func (r *Ratios) Take(name string, a Allowance) bool {
	return r.Of(name, a).take(a)
}

// TakeBoth consumes one retry of each of two names. It returns false and consumes none if either has none available.
func (r *Ratios) TakeBoth(x, y string, a Allowance) bool {
	first := r.Of(x, a)
	if !first.take(a) {
		return false
	}
	if r.Of(y, a).take(a) {
		return true
	}
	first.refund()
	return false
}
