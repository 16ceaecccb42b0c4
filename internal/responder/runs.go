package responder

import "sync"

// Runs counts the executions of each request, by method and ID. It is safe for concurrent use.
type Runs struct {
	mu     sync.Mutex
	counts map[requestKey]int
}

type requestKey struct {
	method string
	id     string
}

// NewRuns returns a counter without executions.
func NewRuns() *Runs {
	return &Runs{counts: map[requestKey]int{}}
}

func (r *Runs) add(method, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[requestKey{method, id}]++
}

// Tally holds the execution statistics of the requests of one method.
type Tally struct {
	// Requests is the number of distinct requests.
	Requests int
	// Runs is the number of executions of all these requests.
	Runs int
	// Most is the maximum number of executions of one request.
	Most int
	// Repeated is the number of requests that were executed more than once.
	Repeated int
}

// Tally returns the statistics of one method.
func (r *Runs) Tally(method string) Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	var t Tally
	for k, n := range r.counts {
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
