package resolver

import (
	"cmp"
	"slices"
	"strings"

	"github.com/lavenderhub/lavenderhub/schema"
)

// HostRoute distributes the requests of a host and path prefix over services by weight.
type HostRoute struct {
	Name        string
	Prefix      string
	shares      []share
	totalWeight float64
}

// share is the part of a route's requests that is sent to one service.
type share struct {
	weight float64
	route  *Route
}

// HostRoute returns the route for a request, which is the route of the host with the longest matching path prefix. It
// returns nil if no route matches.
func (v *View) HostRoute(host, path string) *HostRoute {
	for _, r := range v.hostRoutes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasHostRoutes reports whether a full configuration with routes is in force.
func (v *View) HasHostRoutes() bool {
	return len(v.hostRoutes) > 0
}

// Choose selects a service for one request and returns its effective settings. The sample must be uniformly distributed
// in [0, 1); it selects among the services in proportion to their weights.
func (r *HostRoute) Choose(sample float64) *Route {
	offset := sample * r.totalWeight
	last := r.shares[0].route
	for _, s := range r.shares {
		if s.weight <= 0 {
			continue
		}
		last = s.route
		if offset < s.weight {
			return s.route
		}
		offset -= s.weight
	}
	return last
}

// buildHostRoutes groups routes by host, in order of descending prefix length.
func buildHostRoutes(routes map[string]*schema.HostRoute) map[string][]*HostRoute {
	hosts := map[string][]*HostRoute{}
	for _, p := range routes {
		if p.GetRemoved() || len(p.GetShares()) == 0 {
			continue
		}
		host := strings.ToLower(p.GetHost())
		hosts[host] = append(hosts[host], newHostRoute(p))
	}
	for _, list := range hosts {
		slices.SortFunc(list, func(a, b *HostRoute) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	return hosts
}

// weightUnit returns the weight by which those of a route are divided: the largest, so that neither their sum nor a share of it is out of
// the range of a number.
func weightUnit(shares []*schema.Share) float64 {
	unit := 0.0
	for _, s := range shares {
		unit = max(unit, s.GetWeight())
	}
	if unit == 0 {
		return 1
	}
	return unit
}

func newHostRoute(p *schema.HostRoute) *HostRoute {
	r := &HostRoute{Name: p.GetName(), Prefix: p.GetPrefix()}
	idempotent := p.GetIdempotent()
	unit := weightUnit(p.GetShares())
	for _, s := range p.GetShares() {
		weight := max(0, s.GetWeight()/unit)
		r.totalWeight += weight
		r.shares = append(r.shares, share{weight: weight, route: &Route{
			Service:          s.GetService(),
			Name:             p.GetName(),
			Prefix:           p.GetPrefix(),
			Importance:       p.GetImportance(),
			Timeout:          p.GetTimeout().AsDuration(),
			Idempotent:       &idempotent,
			Open:             p.GetOpen(),
			Retries:          max(1, p.GetMaxAttempts()) - 1,
			Attempts:         max(1, p.GetMaxAttempts()),
			Objective:        defaultObjective,
			ObjectiveLatency: p.GetObjectiveLatency().AsDuration(),
		}})
	}
	return r
}
