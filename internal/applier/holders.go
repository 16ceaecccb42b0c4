package applier

import (
	"maps"
	"slices"

	"github.com/lavenderhub/lavenderhub/schema"
)

// noteHolders changes the set of nodes that may hold tokens. Nodes and their settings are not concerned.
func (m *Machine) noteHolders(c *schema.NoteHolders) {
	for _, name := range c.GetRemoved() {
		delete(m.holders, name)
	}
	for _, name := range c.GetAdded() {
		m.holders[name] = true
	}
}

// IsHolder reports whether a node may hold tokens of client accounts.
func (m *Machine) IsHolder(node string) bool {
	return m.holders[node]
}

// Holders returns the names of the nodes that may hold tokens, sorted.
func (m *Machine) Holders() []string {
	return slices.Sorted(maps.Keys(m.holders))
}

// CarryoverEndTerm returns the last term whose leader outlived what those before it had granted.
func (m *Machine) CarryoverEndTerm() uint64 {
	return m.carryEnded
}
