package responder

import "sync"

// Runs counts how often each request is executed, by method and ID. It is safe for concurrent use.
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

func (e *Runs) add(method, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[requestKey{method, id}]++
}

// Tally holds the execution statistics of the requests of one method.
type Tally struct {
	// Requests is the number of distinct requests.
	Requests int
	// Runs is the sum over all requests.
	Runs int
	// Most is the maximum number of executions of one request.
	Most int
	// Repeated is the number of requests that were executed more than once.
	Repeated int
}

// Tally returns the statistics of one method.
func (e *Runs) Tally(method string) Tally {
	e.mu.Lock()
	defer e.mu.Unlock()
	var s Tally
	for k, n := range e.counts {
		if k.method != method {
			continue
		}
		s.Requests++
		s.Runs += n
		s.Most = max(s.Most, n)
		if n > 1 {
			s.Repeated++
		}
	}
	return s
}
