package retrier

// recentRankCount is the number of recent requests with whose ranks a request is compared.
const recentRankCount = 64

// recentRanks holds the ranks of the most recent requests.
type recentRanks struct {
	ranks [recentRankCount]uint32
	seen  int
}

// add records a rank.
func (r *recentRanks) add(rank uint32) {
	r.ranks[r.seen%recentRankCount] = rank
	r.seen++
}

// count returns the number of ranks held.
func (r *recentRanks) count() int {
	return min(r.seen, recentRankCount)
}

// position returns where a rank stands among the recent ones, where draw is a random number in [0, 1). Equal ranks stand in
// random order, so that a share of them is admitted.
func (r *recentRanks) position(rank uint32, draw float64) float64 {
	lower, equal := 0, 0
	for _, other := range r.ranks[:r.count()] {
		switch {
		case other < rank:
			lower++
		case other == rank:
			equal++
		}
	}
	return float64(lower) + draw*float64(equal)
}
