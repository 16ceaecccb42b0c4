// Package checker examines a full configuration before it is sent: what the control hosts would refuse, entries without effect, limits
// that contradict each other, and the differences from another configuration. It serves an operator at a command line and makes no
// decisions about requests.
package checker

import "fmt"

// Severity tells whether a finding keeps a configuration from coming into force.
type Severity string

// Values of Severity.
const (
	// Error means that the control hosts refuse the configuration.
	Error Severity = "error"
	// Warning means that the configuration is accepted, and a part of it has no effect or an unexpected one.
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity
	// Entry names the entry with the fault, for example route "a". It is empty for the configuration as a whole.
	Entry   string
	Message string
}

// String returns the finding as one line.
func (f Finding) String() string {
	if f.Entry == "" {
		return fmt.Sprintf("%s: %s", f.Severity, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", f.Severity, f.Entry, f.Message)
}
