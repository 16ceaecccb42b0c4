package replicator

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/schema"
)

// newRound begins a round, whose answers confirm that the quorum still follows.
func (c *Core) newRound(now time.Time) {
	c.round++
	c.rounds = append(c.rounds, roundStart{round: c.round, at: now})
	if len(c.rounds) > maxRounds {
		c.rounds = c.rounds[1:]
	}
	c.beat = now.Add(HeartbeatInterval)
	c.confirm()
}

// confirm finds the newest round that a quorum has answered.
func (c *Core) confirm() {
	if c.transferTo != 0 {
		return
	}
	for i := len(c.rounds) - 1; i >= 0; i-- {
		r := c.rounds[i]
		if !c.hasQuorum(func(id uint64) bool { return id == c.id || c.hasAnswered(id, r.round) }) {
			continue
		}
		if r.at.After(c.confirmed) {
			c.confirmed = r.at
		}
		c.rounds = c.rounds[i:]
		return
	}
}

func (c *Core) hasAnswered(id, round uint64) bool {
	p := c.progress[id]
	return p != nil && p.round >= round
}

func (c *Core) sendAll(now time.Time) {
	for _, r := range c.sets.current().GetReplicas() {
		if r.GetId() != c.id {
			c.sendAppend(r.GetId(), now)
		}
	}
}

func (c *Core) sendAppend(id uint64, now time.Time) {
	p := c.progress[id]
	if p == nil {
		return
	}
	if p.next <= c.log.base {
		c.sendSnapshot(id, p, now)
		return
	}
	batch := c.log.batch(p.next)
	m := &schema.ReplicaMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_APPEND, From: c.id, To: id, Term: c.term,
		LogIndex: p.next - 1, LogTerm: c.log.term(p.next - 1), Commit: c.commit, Entries: batch, Round: c.round,
	}
	p.next += uint64(len(batch))
	c.appends = append(c.appends, m)
}

func (c *Core) sendSnapshot(id uint64, p *progress, now time.Time) {
	if now.Sub(p.snapshot) < snapshotInterval {
		return
	}
	p.snapshot = now
	c.appends = append(c.appends, &schema.ReplicaMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_SNAPSHOT, From: c.id, To: id, Term: c.term, Snapshot: c.log.snapshot, Round: c.round,
	})
}

// follow notes a sign of life of the term's leader.
func (c *Core) follow(m *schema.ReplicaMessage, now time.Time) {
	if c.role != Follower || c.leader != m.GetFrom() {
		c.becomeFollower(m.GetTerm(), m.GetFrom(), now)
	}
	c.heard = now
	c.resetDeadline(now)
}

func (c *Core) onAppend(m *schema.ReplicaMessage, now time.Time) {
	c.follow(m, now)
	reply := &schema.ReplicaMessage{Kind: schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	if m.GetLogIndex() < c.commit {
		// All up to the commit index is the same at every replica.
		reply.LogIndex = c.commit
		c.send(reply)
		return
	}
	if m.GetLogIndex() > c.log.last() || c.log.term(m.GetLogIndex()) != m.GetLogTerm() {
		reply.Reject = true
		reply.Hint = c.hint(m.GetLogIndex())
		c.send(reply)
		return
	}
	last := m.GetLogIndex() + uint64(len(m.GetEntries()))
	c.accept(m.GetEntries())
	c.commit = max(c.commit, min(m.GetCommit(), last))
	reply.LogIndex = last
	c.send(reply)
}

// hint returns the last index that may match the leader's log: before the term that conflicts.
func (c *Core) hint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	term := c.log.term(index)
	for index > c.commit && c.log.term(index) == term {
		index--
	}
	return index
}

// accept appends a leader's entries and drops what conflicts with them.
func (c *Core) accept(entries []*schema.LogEntry) {
	for i, e := range entries {
		if e.GetIndex() <= c.log.last() {
			if c.log.term(e.GetIndex()) == e.GetTerm() {
				continue
			}
			c.assert.Check(asserter.CommittedStays, e.GetIndex() > c.commit, fmt.Sprintf("entry %d of %d", e.GetIndex(), c.commit))
			c.log.truncate(e.GetIndex())
			c.sets.truncate(e.GetIndex())
			c.unsaved = min(c.unsaved, e.GetIndex())
			c.saved = min(c.saved, e.GetIndex()-1)
		}
		for _, fresh := range entries[i:] {
			c.log.append(fresh)
			c.sets.note(fresh)
		}
		return
	}
}

func (c *Core) onSnapshot(m *schema.ReplicaMessage, now time.Time) {
	c.follow(m, now)
	s := m.GetSnapshot()
	reply := &schema.ReplicaMessage{Kind: schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	if s.GetIndex() <= c.commit {
		reply.LogIndex = c.commit
		c.send(reply)
		return
	}
	c.log.reset(s)
	c.sets = newReplicaSets(s, nil)
	c.commit, c.applied = s.GetIndex(), s.GetIndex()
	c.saved, c.unsaved = s.GetIndex(), s.GetIndex()+1
	c.install = s
	c.hardDirty = true
	reply.LogIndex = s.GetIndex()
	c.send(reply)
}

func (c *Core) onAppendReply(m *schema.ReplicaMessage, now time.Time) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.heard = now
	p.round = max(p.round, m.GetRound())
	c.confirm()
	if m.GetReject() {
		p.next = max(p.match+1, min(m.GetHint()+1, p.next))
		c.sendAppend(m.GetFrom(), now)
		return
	}
	if m.GetLogIndex() > p.match {
		p.match = m.GetLogIndex()
		p.next = max(p.next, p.match+1)
		c.advanceCommit()
	}
	if c.transferTo == m.GetFrom() {
		c.continueTransfer(now)
		return
	}
	if p.next <= c.log.last() {
		c.sendAppend(m.GetFrom(), now)
	}
}

// advanceCommit commits what a majority holds on disk, once that includes an entry of this term.
func (c *Core) advanceCommit() {
	voters := c.voters()
	if len(voters) == 0 {
		return
	}
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		switch {
		case id == c.id:
			matches = append(matches, c.saved)
		case c.progress[id] != nil:
			matches = append(matches, c.progress[id].match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= c.commit || c.log.term(index) != c.term {
		return
	}
	c.commit = index
	c.leaveIfRemoved()
}

// leaveIfRemoved ends the leadership of a replica whose removal is committed.
func (c *Core) leaveIfRemoved() {
	if c.sets.currentIndex() <= c.commit && c.find(c.id) == nil {
		c.role, c.leader = Follower, 0
	}
}
