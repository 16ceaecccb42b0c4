package controller

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/applier"
	"github.com/lavenderhub/lavenderhub/schema"
)

// removeHolderAfter is the time without contact after which a node is no longer counted as a holder. Its grants have expired
// long before.
const removeHolderAfter = 10 * time.Second

// holders is the leader's view of the nodes that may hold tokens of client accounts. A node is recorded in the log before it
// is granted any token. A new leader thus knows which nodes must report before it may assume that no other tokens of
// earlier epochs are held.
type holders struct {
	// lastContact is the time of each node's last exchange.
	lastContact map[string]time.Time
	// unreported is the set of nodes that have not yet reported to this leader the tokens they hold from earlier epochs.
	unreported map[string]bool
	// changePending is the set of nodes that a proposed but uncommitted entry adds or removes.
	changePending map[string]bool
}

// newHolders returns the view of a new leader, given the holders recorded in the log.
func newHolders(recorded []string, now time.Time) holders {
	h := holders{lastContact: map[string]time.Time{}, unreported: map[string]bool{}, changePending: map[string]bool{}}
	for _, name := range recorded {
		h.lastContact[name] = now
		h.unreported[name] = true
	}
	return h
}

func (h *holders) recordContact(node string, now time.Time) {
	h.lastContact[node] = now
}

// recordLeave records that a node has returned its tokens and is stopping, so that it is removed with the next change.
func (h *holders) recordLeave(node string) {
	h.lastContact[node] = time.Time{}
}

// recordReport records that a node has reported the tokens it holds. It returns true if this was the last report
// outstanding.
func (h *holders) recordReport(node string) bool {
	if !h.unreported[node] {
		return false
	}
	delete(h.unreported, node)
	return len(h.unreported) == 0
}

// dueChange returns the change of the holders that is due, or nil. It adds nodes with recent contact that are not recorded in
// the log, and removes recorded nodes that have timed out. isRecorded reports whether a node is recorded in the log.
func (h *holders) dueChange(isRecorded func(string) bool, now time.Time) *schema.NoteHolders {
	c := &schema.NoteHolders{}
	for name, last := range h.lastContact {
		timedOut := now.Sub(last) > removeHolderAfter
		switch {
		case h.changePending[name]:
		case timedOut && isRecorded(name):
			c.Removed = append(c.Removed, name)
		case timedOut:
			delete(h.lastContact, name)
			delete(h.unreported, name)
		case !isRecorded(name):
			c.Added = append(c.Added, name)
		}
	}
	if len(c.Added)+len(c.Removed) == 0 {
		return nil
	}
	slices.Sort(c.Added)
	slices.Sort(c.Removed)
	return c
}

// beginChange marks the nodes of a change as pending. endChange clears the mark.
func (h *holders) beginChange(c *schema.NoteHolders) {
	for _, name := range slices.Concat(c.GetAdded(), c.GetRemoved()) {
		h.changePending[name] = true
	}
}

func (h *holders) endChange(c *schema.NoteHolders) {
	for _, name := range slices.Concat(c.GetAdded(), c.GetRemoved()) {
		delete(h.changePending, name)
	}
}

// mayHoldTokens reports whether a node may be granted tokens.
func (c *Controller) mayHoldTokens(node string) bool {
	return c.machine.IsHolder(node) && !c.leading.holders.changePending[node]
}

// reconcileHolders proposes the due change of the holders, if any.
func (c *Controller) reconcileHolders(now time.Time) {
	h := &c.leading.holders
	change := h.dueChange(c.machine.IsHolder, now)
	if change == nil {
		return
	}
	h.beginChange(change)
	cmd := &schema.Command{Change: &schema.Command_NoteHolders{NoteHolders: change}}
	if !c.propose(cmd, now, func(applier.Outcome, bool) { h.endChange(change) }) {
		h.endChange(change)
		return
	}
	c.log.Info("holdersChanged", zap.Strings("added", change.GetAdded()), zap.Strings("removed", change.GetRemoved()))
}
