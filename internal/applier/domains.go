package applier

import (
	"maps"
	"slices"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
	"github.com/lavenderhub/lavenderhub/schema"
)

// maxDomains bounds the number of known failure domains.
const maxDomains = 1000

// noteDomains records the names of failure domains. It sends nothing to nodes.
func (m *Machine) noteDomains(c *schema.NoteDomains) {
	for _, name := range c.GetNames() {
		if m.CanNoteDomain(name) {
			m.domains[name] = &schema.FailureDomain{Name: name}
		}
	}
}

// evacuateDomain begins or ends the evacuation of a failure domain. A repeated command has no effect.
func (m *Machine) evacuateDomain(index uint64, c *schema.EvacuateDomain) *schema.Result {
	old := m.domains[c.GetName()]
	if old == nil {
		return failure(schema.ResultStatus_RESULT_STATUS_NOT_FOUND, "no failure domain %.64q", c.GetName())
	}
	if old.GetEvacuated() == c.GetRestore() {
		m.domains[c.GetName()] = &schema.FailureDomain{Name: c.GetName(), Evacuated: !c.GetRestore(), Revision: index}
	}
	return &schema.Result{Status: schema.ResultStatus_RESULT_STATUS_OK}
}

// CanNoteDomain reports whether a failure domain is not known and can be recorded.
func (m *Machine) CanNoteDomain(name string) bool {
	return m.domains[name] == nil && len(m.domains) < maxDomains && resolver.IsName(name)
}

// HasDomain reports whether a failure domain is known.
func (m *Machine) HasDomain(name string) bool {
	return m.domains[name] != nil
}

// Domains returns the known failure domains, sorted by name.
func (m *Machine) Domains() []*schema.FailureDomain {
	names := slices.Sorted(maps.Keys(m.domains))
	out := make([]*schema.FailureDomain, len(names))
	for i, name := range names {
		out[i] = m.domains[name]
	}
	return out
}
