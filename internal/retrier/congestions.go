package retrier

import (
	"sync"
	"time"
)

// maxCongestions is the number of services whose congestion a node keeps. An upstream calls few services, and of those
// further down each response names one.
const maxCongestions = 8

// Congestions holds the highest recent congestion of each service that the local upstream's calls lead to. It serves
// hundreds of responses a second in a fixed amount of memory. It is safe for concurrent use.
type Congestions struct {
	mu   sync.Mutex
	list [maxCongestions]Congestion
}

// Record stores a congestion that a response reported, in place of a lower one of its service or else of the lowest one.
func (s *Congestions) Record(c Congestion, now time.Time) {
	value := c.Current(now)
	if value <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lowest := 0
	for i := range s.list {
		if s.list[i].Service == c.Service {
			lowest = i
			break
		}
		if s.list[i].Current(now) < s.list[lowest].Current(now) {
			lowest = i
		}
	}
	if s.list[lowest].Current(now) <= value {
		s.list[lowest] = c
	}
}

// Highest returns the highest congestion at present, or the zero value.
func (s *Congestions) Highest(now time.Time) Congestion {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest, value := Congestion{}, 0.0
	for _, c := range s.list {
		if v := c.Current(now); v > value {
			highest, value = c, v
		}
	}
	return highest
}
