package replicator

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/schema"
)

// startRound starts a heartbeat round. Replies to it confirm that a quorum still follows this leader.
func (c *Core) startRound(now time.Time) {
	c.round++
	c.rounds = append(c.rounds, roundStart{round: c.round, at: now})
	if len(c.rounds) > maxTrackedRounds {
		c.rounds = c.rounds[1:]
	}
	c.nextHeartbeat = now.Add(HeartbeatInterval)
	c.confirmRound()
}

// confirmRound sets confirmedAt to the start of the newest round that a quorum has acknowledged.
func (c *Core) confirmRound() {
	if c.transferTarget != 0 {
		return
	}
	for i := len(c.rounds) - 1; i >= 0; i-- {
		r := c.rounds[i]
		if !c.hasQuorum(func(id uint64) bool { return id == c.id || c.hasAcked(id, r.round) }) {
			continue
		}
		if r.at.After(c.confirmedAt) {
			c.confirmedAt = r.at
		}
		c.rounds = c.rounds[i:]
		return
	}
}

func (c *Core) hasAcked(id, round uint64) bool {
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

// sendHeartbeats sends the messages of a round: to all voters, and to the learners that lack entries or whose heartbeat is
// due.
func (c *Core) sendHeartbeats(now time.Time) {
	for _, r := range c.sets.current().GetReplicas() {
		if r.GetId() == c.id {
			continue
		}
		p := c.progress[r.GetId()]
		if r.GetLearner() && p != nil && p.match == c.log.lastIndex() && now.Sub(p.sentAt) < learnerInterval {
			continue
		}
		c.sendAppend(r.GetId(), now)
	}
}

func (c *Core) sendAppend(id uint64, now time.Time) {
	p := c.progress[id]
	if p == nil {
		return
	}
	p.sentAt = now
	if p.next <= c.log.baseIndex {
		c.sendSnapshot(id, p, now)
		return
	}
	batch := c.log.batch(p.next)
	m := &schema.ReplicaMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_APPEND, From: c.id, To: id, Term: c.term,
		LogIndex: p.next - 1, LogTerm: c.log.term(p.next - 1), Commit: c.commit, Entries: batch, Round: c.round,
		Silences: c.silences(now),
	}
	p.next += uint64(len(batch))
	c.appends = append(c.appends, m)
}

func (c *Core) sendSnapshot(id uint64, p *progress, now time.Time) {
	if now.Sub(p.snapshotSentAt) < snapshotInterval {
		return
	}
	p.snapshotSentAt = now
	c.appends = append(c.appends, &schema.ReplicaMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_SNAPSHOT, From: c.id, To: id, Term: c.term, Snapshot: c.log.snapshot, Round: c.round,
		Silences: c.silences(now),
	})
}

// recordLeaderContact records a message from the leader of the current term and restarts the election timeout.
func (c *Core) recordLeaderContact(m *schema.ReplicaMessage, now time.Time) {
	if c.role != Follower || c.leader != m.GetFrom() {
		c.becomeFollower(m.GetTerm(), m.GetFrom(), now)
	}
	c.leaderContact = now
	c.recordSilences(m, now)
	c.resetElectionDeadline(now)
}

func (c *Core) onAppend(m *schema.ReplicaMessage, now time.Time) {
	c.recordLeaderContact(m, now)
	reply := &schema.ReplicaMessage{Kind: schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	if m.GetLogIndex() < c.commit {
		// The entries up to the commit index are the same on every replica.
		reply.LogIndex = c.commit
		c.send(reply)
		return
	}
	if m.GetLogIndex() > c.log.lastIndex() || c.log.term(m.GetLogIndex()) != m.GetLogTerm() {
		reply.Reject = true
		reply.Hint = c.conflictHint(m.GetLogIndex())
		c.send(reply)
		return
	}
	last := m.GetLogIndex() + uint64(len(m.GetEntries()))
	c.mergeEntries(m.GetEntries())
	c.commit = max(c.commit, min(m.GetCommit(), last))
	reply.LogIndex = last
	c.send(reply)
}

// conflictHint returns the highest index at which this log may match the leader's: that of the last entry before the
// conflicting term, or of the log's last entry when the log ends before index.
func (c *Core) conflictHint(index uint64) uint64 {
	if index > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	term := c.log.term(index)
	for index > c.commit && c.log.term(index) == term {
		index--
	}
	return index
}

// mergeEntries appends a leader's entries and drops the entries that conflict with them.
func (c *Core) mergeEntries(entries []*schema.LogEntry) {
	for i, e := range entries {
		if e.GetIndex() <= c.log.lastIndex() {
			if c.log.term(e.GetIndex()) == e.GetTerm() {
				continue
			}
			c.assert.Check(asserter.CommittedStays, e.GetIndex() > c.commit, fmt.Sprintf("entry %d of %d", e.GetIndex(), c.commit))
			c.log.truncate(e.GetIndex())
			c.sets.truncate(e.GetIndex())
			c.firstUnsaved = min(c.firstUnsaved, e.GetIndex())
			c.lastSynced = min(c.lastSynced, e.GetIndex()-1)
		}
		for _, added := range entries[i:] {
			c.log.append(added)
			c.sets.record(added)
		}
		return
	}
}

func (c *Core) onSnapshot(m *schema.ReplicaMessage, now time.Time) {
	c.recordLeaderContact(m, now)
	s := m.GetSnapshot()
	reply := &schema.ReplicaMessage{Kind: schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	if s.GetIndex() <= c.commit {
		reply.LogIndex = c.commit
		c.send(reply)
		return
	}
	c.log.reset(s)
	c.sets = newReplicaSets(s, nil)
	c.commit, c.applied, c.appliedBytes = s.GetIndex(), s.GetIndex(), 0
	c.lastSynced, c.firstUnsaved = s.GetIndex(), s.GetIndex()+1
	c.installedSnapshot = s
	c.hardStateDirty = true
	reply.LogIndex = s.GetIndex()
	c.send(reply)
}

func (c *Core) onAppendReply(m *schema.ReplicaMessage, now time.Time) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.replied, p.lastContact = true, now
	p.round = max(p.round, m.GetRound())
	c.confirmRound()
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
	if c.transferTarget == m.GetFrom() {
		c.continueTransfer(now)
		return
	}
	if p.next <= c.log.lastIndex() {
		c.sendAppend(m.GetFrom(), now)
	}
}

// advanceCommit moves the commit index to the last entry that a majority has on disk, if it belongs to this term.
func (c *Core) advanceCommit() {
	voters := c.voters()
	if len(voters) == 0 {
		return
	}
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		switch {
		case id == c.id:
			matches = append(matches, c.lastSynced)
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
	c.stepDownIfRemoved()
}

// stepDownIfRemoved ends the leadership of a replica whose removal is committed.
func (c *Core) stepDownIfRemoved() {
	if c.sets.currentIndex() <= c.commit && c.replica(c.id) == nil {
		c.role, c.leader = Follower, 0
	}
}
