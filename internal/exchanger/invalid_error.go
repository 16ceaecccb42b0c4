package exchanger

import "fmt"

// InvalidError is returned when an upstream's response breaks the syntax of HTTP/1.1 where a part of it could be taken for another.
type InvalidError struct {
	// Part names the invalid part.
	Part string
	// Start holds the first bytes of that part, or of the parser's error. They may be of any kind and are not for callers.
	Start string
}

func newInvalidError(part string, data []byte) error {
	return &InvalidError{Part: part, Start: string(data[:min(len(data), maxQuotedBytes)])}
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s, which begins with %q; check the upstream", e.Summary(), e.Start)
}

// Summary returns the error's text without the upstream's bytes.
func (e *InvalidError) Summary() string {
	return "the upstream's response has an invalid " + e.Part
}
