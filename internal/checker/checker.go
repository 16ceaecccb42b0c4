package checker

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

// examination collects the findings of one configuration.
type examination struct {
	*schema.Configuration
	findings []Finding
}

// Check returns the findings of a configuration in a fixed order, errors first.
func Check(c *schema.Configuration) []Finding {
	x := &examination{Configuration: c}
	if err := resolver.CheckConfiguration(c); err != nil {
		x.add(Error, "", err.Error())
	}
	x.checkRoutes()
	x.checkServices()
	x.checkAccounts()
	x.checkLimits()
	return x.findings
}

// CheckBase returns the findings of a change to the configuration in force, of which only the version counts.
func CheckBase(change *schema.ReplaceConfiguration, current uint64) []Finding {
	x := &examination{}
	if base := change.GetBaseVersion(); base != current {
		x.add(Error, "", fmt.Sprintf("it replaces version %d, and version %d is in force", base, current))
	}
	if version := change.GetConfiguration().GetVersion(); version <= current {
		x.add(Error, "", fmt.Sprintf("its version %d is not above version %d, which is in force", version, current))
	}
	return x.findings
}

func (x *examination) add(s Severity, entry, message string) {
	x.findings = append(x.findings, Finding{Severity: s, Entry: entry, Message: message})
}

func (x *examination) warn(entry, format string, args ...any) {
	x.add(Warning, entry, fmt.Sprintf(format, args...))
}

func routeEntry(name string) string {
	return fmt.Sprintf("route %q", name)
}

// checkRoutes looks for routes that no request matches, and for limits of a route that contradict each other. The order of routes is
// that of package resolver, in which the first of two equal ones applies.
func (x *examination) checkRoutes() {
	first := map[[2]string]string{}
	for _, r := range sorted(x.GetRoutes(), (*schema.HostRoute).GetName) {
		entry := routeEntry(r.GetName())
		if reason := unmatchedHost(r); reason != "" {
			x.warn(entry, "no request matches it: %s", reason)
		}
		if i := strings.IndexFunc(r.GetPrefix(), isOutsidePath); i >= 0 {
			x.warn(entry, "no request matches it: a path has no %q", r.GetPrefix()[i])
		}
		key := [2]string{strings.ToLower(r.GetHost()), r.GetPrefix()}
		if other, ok := first[key]; ok {
			x.warn(entry, "no request matches it: route %q has the same host and path prefix", other)
		} else {
			first[key] = r.GetName()
		}
		x.checkShares(entry, r.GetShares())
		if objective, timeout := r.GetObjectiveLatency().AsDuration(), r.GetTimeout().AsDuration(); objective > timeout {
			x.warn(entry, "its target latency of %v is above its timeout of %v", objective, timeout)
		}
	}
}

func (x *examination) checkShares(entry string, shares []*schema.Share) {
	seen := map[string]bool{}
	for _, s := range shares {
		if s.GetWeight() == 0 {
			x.warn(entry, "no request goes to its service %q, which has no weight", s.GetService())
		}
		if seen[s.GetService()] {
			x.warn(entry, "it names service %q twice, and the weights add up", s.GetService())
		}
		seen[s.GetService()] = true
	}
}

// unmatchedHost returns the reason why no request has the route's host, or an empty string. A request's host is compared without its
// port. The host is text of the operator's, which need not be a valid address.
func unmatchedHost(r *schema.HostRoute) string {
	host := r.GetHost()
	switch _, _, err := net.SplitHostPort(host); {
	case host == "":
		return "it has no host"
	case err == nil:
		return "a host is compared without its port"
	case strings.Contains(host, "*"):
		return "a host is compared literally"
	case strings.ContainsFunc(host, isOutsidePath) || strings.Contains(host, "/"):
		return fmt.Sprintf("%q is no host", host)
	default:
		return ""
	}
}

// isOutsidePath reports whether a character never occurs in a request's path or host.
func isOutsidePath(c rune) bool {
	return c <= ' ' || c == 0x7f || c == '?' || c == '#'
}

// checkServices looks for services that no route leads to, and for health checks that can't succeed.
func (x *examination) checkServices() {
	routed := map[string]bool{}
	for _, r := range x.GetRoutes() {
		for _, s := range r.GetShares() {
			routed[s.GetService()] = routed[s.GetService()] || s.GetWeight() > 0
		}
	}
	for _, s := range sorted(x.GetServices(), (*schema.ServiceInfo).GetName) {
		entry := fmt.Sprintf("service %q", s.GetName())
		if !routed[s.GetName()] {
			x.warn(entry, "no route leads to it")
		}
		if path := s.GetHealthPath(); path != "" && !strings.HasPrefix(path, "/") {
			x.warn(entry, "the path of its health check must begin with a slash")
		}
	}
}

// checkAccounts looks for client accounts that can't send a request.
func (x *examination) checkAccounts() {
	if len(x.GetAccounts()) == 0 {
		x.warn("", "without client accounts no request needs a key")
	}
	for _, a := range sorted(x.GetAccounts(), (*schema.AccountTerms).GetId) {
		entry := fmt.Sprintf("client account %q", a.GetId())
		if len(a.GetKeyDigests()) == 0 {
			x.warn(entry, "no request belongs to it: it has no key")
		}
		if p := a.GetPolicy(); p.Rate != nil && p.GetBurst() < 1 {
			x.warn(entry, "all its requests are refused: a burst of %v is less than one request, at a rate of %v", p.GetBurst(), p.GetRate())
		}
	}
}

// checkLimits compares the limits for callers with each other and with those of a node. A limit of zero is not set.
func (x *examination) checkLimits() {
	l := x.GetLimits()
	if n := l.GetMaxHeaderBytes(); n > dialer.MaxHeaderBytes {
		x.warn("limits", "headers of %d bytes are above the %d that a node accepts", n, dialer.MaxHeaderBytes)
	}
	header, idle := l.GetHeaderTimeout().AsDuration(), l.GetIdleTimeout().AsDuration()
	if header < 0 || idle < 0 {
		x.warn("limits", "a timeout must not be negative")
	}
	if idle > 0 && header > idle {
		x.warn("limits", "the header timeout of %v is above the idle timeout of %v", header, idle)
	}
}

// sorted returns a list in the order of the entries' names. A document has its entries in no order.
func sorted[T any](list []T, name func(T) string) []T {
	return slices.SortedFunc(slices.Values(list), func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}
