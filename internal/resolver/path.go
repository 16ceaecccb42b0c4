// Package resolver resolves the settings tree: it determines the effective settings of a client account, a service or a
// route, and the branches that they are inherited from.
package resolver

import (
	"math"
	"regexp"
	"strings"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/schema"
)

// RootPath is the path of the branch that all other branches inherit from.
const RootPath = "root"

// Maximum values of the two components of a request's priority.
const (
	MaxPriority   = 15
	MaxImportance = 7
)

// maxRetries is the maximum number of retries for one root call.
const maxRetries = 10

const nameExpr = `[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?`

var (
	namePattern = regexp.MustCompile(`^` + nameExpr + `$`)
	pathPattern = regexp.MustCompile(
		`^(root|group/` + nameExpr + `|account/` + nameExpr + `|service/` + nameExpr + `(/route/` + nameExpr + `)?)$`)
)

// IsName reports whether s is a valid name. A name has 1 to 63 lower-case letters, digits and dashes, and starts and
// ends with a letter or a digit.
func IsName(s string) bool {
	return namePattern.MatchString(s)
}

// AccountPath returns the path of a client account's branch.
func AccountPath(id string) string {
	return "account/" + id
}

// GroupPath returns the path of the branch of a group of client accounts.
func GroupPath(id string) string {
	return "group/" + id
}

// ServicePath returns the path of a service's branch.
func ServicePath(name string) string {
	return "service/" + name
}

// RoutePath returns the path of the branch of a service's route.
func RoutePath(service, route string) string {
	return "service/" + service + "/route/" + route
}

// CheckPath returns an error if path is not the path of a branch.
func CheckPath(path string) error {
	if !pathPattern.MatchString(path) {
		return errors.Errorf("bad path %q, want root, group/G, account/A, service/S or service/S/route/R", path)
	}
	return nil
}

// CheckPolicy returns an error if path or p is invalid, or if p can't be set on the branch at path.
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
	return checkPolicyValues(path, p)
}

func checkPolicyValues(path string, p *schema.Policy) error {
	switch {
	case p.Rate != nil && !isFiniteNonNegative(p.GetRate()):
		return errors.Errorf("%s: rate must be a number that is not negative", path)
	case p.Burst != nil && !isFiniteNonNegative(p.GetBurst()):
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

func isFiniteNonNegative(f float64) bool {
	return f >= 0 && !math.IsInf(f, 0)
}
