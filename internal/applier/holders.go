package applier

import (
	"maps"
	"slices"

	"github.com/lavenderhub/lavenderhub/schema"
)

// changeHolders changes the set of nodes that may hold tokens. It does not change the revision, because nodes do not use
// the set.
func (m *Machine) changeHolders(c *schema.NoteHolders) {
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

// CarryoverEndTerm returns the last term whose leader recorded the end of the carry-over from earlier leaders. The
// carry-over is the tokens that they granted and that nodes may still hold.
func (m *Machine) CarryoverEndTerm() uint64 {
	return m.carryoverEndTerm
}
