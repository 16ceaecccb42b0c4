package resolver

import (
	"math"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// maxLatencyExcess is how far a route's latency objective may exceed its timeout. A larger difference is treated as
	// a configuration error.
	maxLatencyExcess = time.Minute
	// maxNameLength is the maximum length of a name in a full configuration in bytes.
	maxNameLength = 255
)

// CheckConfiguration returns an error if a full configuration is invalid.
func CheckConfiguration(c *schema.Configuration) error {
	if c.GetVersion() == 0 {
		return errors.New("the version must be above zero")
	}
	services := map[string]bool{}
	for _, s := range c.GetServices() {
		if err := checkName("service", s.GetName()); err != nil {
			return err
		}
		services[s.GetName()] = true
	}
	routeNames := map[string]bool{}
	for _, r := range c.GetRoutes() {
		if routeNames[r.GetName()] {
			return errors.Errorf("route %q stands twice", r.GetName())
		}
		routeNames[r.GetName()] = true
		if err := checkHostRoute(r, services); err != nil {
			return errors.Wrapf(err, "route %q", r.GetName())
		}
	}
	return checkAccounts(c.GetAccounts())
}

func checkName(kind, name string) error {
	if name == "" || len(name) > maxNameLength {
		return errors.Errorf("a %s needs a name of at most %d bytes", kind, maxNameLength)
	}
	return nil
}

func checkHostRoute(r *schema.HostRoute, services map[string]bool) error {
	if err := checkName("route", r.GetName()); err != nil {
		return err
	}
	totalWeight := 0.0
	for _, s := range r.GetShares() {
		if !services[s.GetService()] {
			return errors.Errorf("no service %q", s.GetService())
		}
		if !(s.GetWeight() >= 0) || math.IsInf(s.GetWeight(), 0) {
			return errors.Errorf("the weight of service %q must be a number that is not negative", s.GetService())
		}
		totalWeight += s.GetWeight()
	}
	timeout := r.GetTimeout().AsDuration()
	switch {
	case totalWeight <= 0:
		return errors.New("the weights of its services add up to nothing")
	case timeout <= 0:
		return errors.New("the timeout must be positive")
	case r.GetObjectiveLatency().AsDuration() < 0:
		return errors.New("the objective for latency must not be negative")
	case r.GetObjectiveLatency().AsDuration()-maxLatencyExcess >= timeout:
		return errors.New("the objective for latency lies far above the timeout")
	case !strings.HasPrefix(r.GetPrefix(), "/"):
		return errors.New("the path prefix must begin with a slash")
	}
	return nil
}

func checkAccounts(accounts []*schema.AccountTerms) error {
	seen := map[string]bool{}
	keyOwners := map[string]string{}
	for _, a := range accounts {
		if err := checkName("client account", a.GetId()); err != nil {
			return err
		}
		if seen[a.GetId()] {
			return errors.Errorf("client account %q stands twice", a.GetId())
		}
		seen[a.GetId()] = true
		if err := checkPolicyValues(AccountPath(a.GetId()), a.GetPolicy()); err != nil {
			return err
		}
		for _, d := range a.GetKeyDigests() {
			if len(d) != DigestSize {
				return errors.Errorf("a key's digest has %d bytes", DigestSize)
			}
			if other, ok := keyOwners[string(d)]; ok && other != a.GetId() {
				return errors.Errorf("client accounts %q and %q share a key", other, a.GetId())
			}
			keyOwners[string(d)] = a.GetId()
		}
	}
	return nil
}
