package responder

import "sync"

// Runs counts how often each request was run. It is safe for concurrent use.
type Runs struct {
	mu    sync.Mutex
	count map[runKey]int
}

type runKey struct {
	method string
	id     string
}

// NewRuns returns a Runs without counts.
func NewRuns() *Runs {
	return &Runs{count: map[runKey]int{}}
}

func (r *Runs) add(method, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[runKey{method, id}]++
}

// Tally is what the runs of one method add up to.
type Tally struct {
	// Requests is the number of ids, Runs the number of runs, Most the most runs of one id.
	Requests int
	Runs     int
	Most     int
	// Repeated is the number of ids with more than one run.
	Repeated int
}

// Tally adds up the runs of a method.
func (r *Runs) Tally(method string) Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	var t Tally
	for k, n := range r.count {
		if k.method != method {
			continue
		}
		t.Requests++
		t.Runs += n
		t.Most = max(t.Most, n)
		if n > 1 {
			t.Repeated++
		}
	}
	return t
}
