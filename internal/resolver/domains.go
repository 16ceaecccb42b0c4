package resolver

import "github.com/lavenderhub/lavenderhub/schema"

// ColdRate returns the requests per second that an upstream of a service takes while it is cold. It is zero if the service's
// upstreams are never treated as cold.
func (v *View) ColdRate(service string) float64 {
	return v.coldRates[service]
}

// Evacuated returns the set of evacuated failure domains. It must not be changed.
func (v *View) Evacuated() map[string]bool {
	return v.evacuated
}

func evacuatedDomains(domains map[string]*schema.FailureDomain) map[string]bool {
	out := map[string]bool{}
	for name, d := range domains {
		if d.GetEvacuated() {
			out[name] = true
		}
	}
	return out
}
