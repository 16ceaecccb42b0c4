package breaker

// Result is what the result of a call says about its upstream.
type Result int

// Results.
const (
	// Neutral means that the result says nothing, such as a call that its caller abandoned.
	Neutral Result = iota
	// Success means that the upstream worked.
	Success
	// Failure means that the upstream failed the call on its own.
	Failure
	// Declined means that the upstream declined the call although it should have had capacity.
	Declined
)
