// Package memorytester contains tests that start the built binary and check that callers can't exhaust a process's memory or
// descriptors.
package memorytester
