package parser

import (
	"fmt"
	"strings"
)

// Error describes an error at a position in a settings file.
//
// Line and Column count from 1; Column counts bytes.
type Error struct {
	File    string
	Line    int
	Column  int
	Message string
}

// Error returns the error in the form FILE:LINE:COLUMN: MESSAGE.
func (e Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Errors is the list of all errors found in a settings file, sorted by position.
type Errors []Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}
