package admitter

import (
	"encoding/binary"
	"math"
)

// A Rank orders requests when capacity is short: the higher one is shed later. Its upper half is the effective
// priority, the importance of the route before the priority of the client account. Its lower half orders requests
// of one priority so that cutting at any value is weighted max-min fair between client accounts.
//
// For that the entry draws u, uniform in [0, 1), from the request id, and takes the position u·demand/rate with
// the account's demand and rate over the whole fleet. Admitting all positions up to a threshold t admits
// min(demand, t·rate) of each account, and the same requests at every hop of the chain.
type Rank uint32

const (
	// priorityBits is the size of an account's priority within the effective priority.
	priorityBits = 4
	// classBits is the size of the lower half of a rank.
	classBits = 16
	classSize = 1 << classBits
	// maxPosition is the highest position told apart: twice the account's rate.
	maxPosition = 2.0
)

// NewRank returns the rank of a request. Demand and rate are the account's, in requests a second.
func NewRank(importance, priority uint32, requestID []byte, demand, rate float64) Rank {
	u := float64(binary.LittleEndian.Uint32(requestID)) / (1 << 32)
	position := maxPosition
	if rate > 0 {
		position = min(maxPosition, u*demand/rate)
	}
	low := uint32(math.Round((classSize - 1) * (1 - position/maxPosition)))
	return Rank((importance<<priorityBits|priority)<<classBits | low)
}

// class returns the effective priority.
func (r Rank) class() int {
	return int(r >> classBits)
}

// floor returns the lowest rank of a class.
func floor(class int) Rank {
	return Rank(class) << classBits
}
