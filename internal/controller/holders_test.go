package controller

import (
	"slices"
	"testing"
	"time"
)

func TestHoldersDue(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name     string
		recorded []string
		contacts []string
		elapsed  time.Duration
		pending  string
		added    []string
		removed  []string
	}{
		{name: "nothing new", recorded: []string{"a"}, contacts: []string{"a"}},
		{name: "new node", recorded: []string{"a"}, contacts: []string{"a", "b"}, added: []string{"b"}},
		{name: "new node with a pending addition", contacts: []string{"b"}, pending: "b"},
		{name: "no contact up to the limit", recorded: []string{"a"}, elapsed: removeHolderAfter},
		{name: "no contact beyond the limit", recorded: []string{"a"}, elapsed: removeHolderAfter + 1, removed: []string{"a"}},
		{name: "removal pending", recorded: []string{"a"}, elapsed: removeHolderAfter + 1, pending: "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHolders(tt.recorded, now)
			later := now.Add(tt.elapsed)
			for _, name := range tt.contacts {
				h.recordContact(name, later)
			}
			if tt.pending != "" {
				h.changePending[tt.pending] = true
			}
			got := h.dueChange(func(name string) bool { return slices.Contains(tt.recorded, name) }, later)
			if !slices.Equal(got.GetAdded(), tt.added) || !slices.Equal(got.GetRemoved(), tt.removed) {
				t.Errorf("added %v removed %v, want %v and %v", got.GetAdded(), got.GetRemoved(), tt.added, tt.removed)
			}
		})
	}
}

// The carry-over from earlier epochs ends once, with the report of the last holder recorded in the log.
func TestHoldersReport(t *testing.T) {
	h := newHolders([]string{"a", "b"}, time.Unix(1000, 0))
	for _, step := range []struct {
		node string
		want bool
	}{{"a", false}, {"a", false}, {"c", false}, {"b", true}, {"b", false}} {
		if got := h.recordReport(step.node); got != step.want {
			t.Errorf("report of %s: %t, want %t", step.node, got, step.want)
		}
	}
}
