package responder

import "sync"

// Executions counts how often each request is executed, by method and ID. Each arrival of a request at a
// simulated upstream counts as an execution. Executions is safe for concurrent use.
type Executions struct {
	mu     sync.Mutex
	counts map[requestKey]int
}

type requestKey struct {
	method string
	id     string
}

// NewExecutions returns a counter without executions.
func NewExecutions() *Executions {
	return &Executions{counts: map[requestKey]int{}}
}

func (e *Executions) add(method, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[requestKey{method, id}]++
}

// ExecutionStats holds the execution statistics of the requests of one method.
type ExecutionStats struct {
	// Requests is the number of distinct requests.
	Requests int
	// Executions is the total number of executions of these requests.
	Executions int
	// MaxPerRequest is the maximum number of executions of one request.
	MaxPerRequest int
	// Duplicated is the number of requests that were executed more than once.
	Duplicated int
}

// Stats returns the statistics of one method.
func (e *Executions) Stats(method string) ExecutionStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	var s ExecutionStats
	for k, n := range e.counts {
		if k.method != method {
			continue
		}
		s.Requests++
		s.Executions += n
		s.MaxPerRequest = max(s.MaxPerRequest, n)
		if n > 1 {
			s.Duplicated++
		}
	}
	return s
}
