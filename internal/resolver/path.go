// Package resolver works out the settings tree: which branches a value is inherited from, and which values are
// in force for a client account, a service or a route.
package resolver

import (
	"math"
	"regexp"
	"strings"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/schema"
)

// RootPath is the branch that all others inherit from.
const RootPath = "root"

// Highest values of the two parts of a request's priority.
const (
	MaxPriority   = 15
	MaxImportance = 7
)

// maxRetries is the most retries that one root call may have.
const maxRetries = 10

const name = `[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?`

var (
	namePattern = regexp.MustCompile(`^` + name + `$`)
	pathPattern = regexp.MustCompile(
		`^(root|group/` + name + `|account/` + name + `|service/` + name + `(/route/` + name + `)?)$`)
)

// IsName reports whether s is a name of lower-case letters, digits and dashes.
func IsName(s string) bool {
	return namePattern.MatchString(s)
}

// AccountPath returns the branch of a client account.
func AccountPath(id string) string {
	return "account/" + id
}

// GroupPath returns the branch of a group of client accounts.
func GroupPath(id string) string {
	return "group/" + id
}

// ServicePath returns the branch of a service.
func ServicePath(name string) string {
	return "service/" + name
}

// RoutePath returns the branch of a route of a service.
func RoutePath(service, route string) string {
	return "service/" + service + "/route/" + route
}

// CheckPath returns an error when path names no branch.
func CheckPath(path string) error {
	if !pathPattern.MatchString(path) {
		return errors.Errorf("bad path %q, want root, group/G, account/A, service/S or service/S/route/R", path)
	}
	return nil
}

// CheckPolicy returns an error when a policy can't stand on a branch.
func CheckPolicy(path string, p *schema.Policy) error {
	if err := CheckPath(path); err != nil {
		return err
	}
	if p == nil {
		return nil
	}
	if p.Prefix != nil && !strings.Contains(path, "/route/") {
		return errors.Errorf("%s: only a route has a prefix", path)
	}
	if p.Prefix != nil && !strings.HasPrefix(p.GetPrefix(), "/") {
		return errors.Errorf("%s: prefix must begin with /", path)
	}
	return checkValues(path, p)
}

func checkValues(path string, p *schema.Policy) error {
	switch {
	case p.Rate != nil && !isFinite(p.GetRate()):
		return errors.Errorf("%s: rate must be a number that is not negative", path)
	case p.Burst != nil && !isFinite(p.GetBurst()):
		return errors.Errorf("%s: burst must be a number that is not negative", path)
	case p.GetPriority() > MaxPriority:
		return errors.Errorf("%s: priority must be at most %d", path, MaxPriority)
	case p.GetImportance() > MaxImportance:
		return errors.Errorf("%s: importance must be at most %d", path, MaxImportance)
	case p.GetRetries() > maxRetries:
		return errors.Errorf("%s: retries must be at most %d", path, maxRetries)
	case p.Timeout != nil && p.GetTimeout().AsDuration() <= 0:
		return errors.Errorf("%s: timeout must be positive", path)
	case p.Objective != nil && !(p.GetObjective() > 0 && p.GetObjective() < 1):
		return errors.Errorf("%s: objective must lie between 0 and 1", path)
	}
	return nil
}

func isFinite(f float64) bool {
	return f >= 0 && !math.IsInf(f, 0)
}
