package breaker

import "time"

// State is the state of a Breaker.
type State int

// States.
const (
	// Closed means that all calls run.
	Closed State = iota
	// Open means that calls are declined.
	Open
	// Trial means that a few calls run, to find out whether the fault is over.
	Trial
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"closed", "open", "trial"}[s]
}

// Change is a change of a breaker's state.
type Change struct {
	From State
	To   State
	// Wait is the time until the first trial, if the breaker opened.
	Wait time.Duration
	// ByDeclines reports whether the upstream had declined its calls. Otherwise, it had failed them.
	ByDeclines bool
}

// IsChange reports whether the state changed.
func (c Change) IsChange() bool {
	return c.From != c.To
}
