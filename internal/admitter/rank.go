package admitter

import (
	"encoding/binary"
	"math"
)

// Rank orders requests when capacity is short: requests of lower rank are shed first. Its upper half is the effective
// priority, which compares the importance of the route first and the priority of the client account second. Its lower
// half orders requests of equal effective priority such that shedding below any threshold is weighted max-min fair
// between client accounts.
//
// To compute the lower half, the entry node derives u, uniform in [0, 1), from the request ID, and the position
// u·demand/rate from the account's demand and rate over the whole fleet. Admitting all positions up to a threshold t
// admits min(demand, t·rate) of each account, and admits the same requests at every hop of a call chain.
type Rank uint32

// InProgress is the rank of a call that is part of a request in progress at an unknown host. The request was admitted at
// its entry, so no admission level sheds the call. It waits for a slot for a part of the time to its deadline.
const InProgress Rank = math.MaxUint32

// Minimum is the rank of a request that belongs to the minimum which a service keeps for those that reach it directly while calls in
// progress fill it. Entry nodes bound the number of such requests. No admission level sheds them, and they don't wait behind calls in
// progress.
const Minimum Rank = math.MaxUint32 - 1

const (
	// priorityBits is the number of bits of the account's priority within the effective priority.
	priorityBits = 4
	// classBits is the number of bits of the lower half of a rank.
	classBits = 16
	classSize = 1 << classBits
	// maxPosition is the highest position that is distinguished: twice the account's rate.
	maxPosition = 2.0
)

// NewRank returns the rank of a request. Demand and rate are those of the account, in requests per second.
func NewRank(importance, priority uint32, requestID []byte, demand, rate float64) Rank {
	u := float64(binary.LittleEndian.Uint32(requestID)) / (1 << 32)
	position := maxPosition
	if rate > 0 {
		position = min(maxPosition, u*demand/rate)
	}
	low := uint32(math.Round((classSize - 1) * (1 - position/maxPosition)))
	return Rank((importance<<priorityBits|priority)<<classBits | low)
}

// precedence orders ranks at a gate: the higher one goes first.
func (r Rank) precedence() uint64 {
	if r == Minimum {
		return math.MaxUint64
	}
	return uint64(r)
}

// isDecided reports whether the entry node has decided that the request is admitted.
func (r Rank) isDecided() bool {
	return r >= Minimum
}

// class returns the effective priority of r.
func (r Rank) class() int {
	return int(r >> classBits)
}

// lowestRank returns the lowest rank of a class.
func lowestRank(class int) Rank {
	return Rank(class) << classBits
}
