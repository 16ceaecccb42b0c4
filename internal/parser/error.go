package parser

import (
	"fmt"
	"strings"
)

// Error is one fault of a settings file.
type Error struct {
	File    string
	Line    int
	Column  int
	Message string
}

// Error returns file:line:column: message.
func (e Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Errors is all faults that were found, in the order of the file.
type Errors []Error

// Error returns one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}
