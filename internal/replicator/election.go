package replicator

import (
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

// preCampaign requests pre-votes for the next term. It does not increment the term.
func (c *Core) preCampaign(now time.Time) {
	c.resetElectionDeadline(now)
	if !c.isVoter() {
		return
	}
	c.role, c.leader = PreCandidate, 0
	c.requestVotes(schema.MessageKind_MESSAGE_KIND_PRE_VOTE, c.term+1, false, now)
}

// campaign starts a new term and requests votes.
func (c *Core) campaign(transfer bool, now time.Time) {
	c.role, c.leader = Candidate, 0
	c.term++
	c.vote = c.id
	c.hardStateDirty = true
	c.resetElectionDeadline(now)
	c.requestVotes(schema.MessageKind_MESSAGE_KIND_VOTE, c.term, transfer, now)
}

func (c *Core) requestVotes(kind schema.MessageKind, term uint64, transfer bool, now time.Time) {
	c.votes = map[uint64]bool{c.id: true}
	if c.countVotes(now) {
		return
	}
	last := c.log.lastIndex()
	for _, id := range c.voters() {
		if id == c.id {
			continue
		}
		c.send(&schema.ReplicaMessage{
			Kind: kind, To: id, Term: term, LogIndex: last, LogTerm: c.log.term(last), Transfer: transfer,
		})
	}
}

// countVotes reports whether a majority has voted for this replica. If so, it starts the election after a pre-vote, or
// becomes leader after an election.
func (c *Core) countVotes(now time.Time) bool {
	if !c.hasQuorum(func(id uint64) bool { return c.votes[id] }) {
		return false
	}
	if c.role == PreCandidate {
		c.campaign(false, now)
		return true
	}
	c.becomeLeader(now)
	return true
}

func (c *Core) becomeLeader(now time.Time) {
	c.role, c.leader = Leader, c.id
	c.electedAt = now
	c.previousTerm = c.log.term(c.log.lastIndex())
	c.confirmedAt = time.Time{}
	c.transferTarget = 0
	c.rounds = nil
	c.progress = map[uint64]*progress{}
	c.refreshProgress(now)
	clear(c.heardAt)
	c.appendEntry(schema.EntryKind_ENTRY_KIND_EMPTY, nil)
	c.startRound(now)
	c.sendAll(now)
}

func (c *Core) becomeFollower(term, leader uint64, now time.Time) {
	if term > c.term {
		c.term, c.vote = term, 0
		c.hardStateDirty = true
	}
	c.role, c.leader = Follower, leader
	c.confirmedAt = time.Time{}
	c.transferTarget = 0
	c.resetElectionDeadline(now)
}

// hasLiveLeader reports whether this replica heard from a leader, or as the leader from a quorum, within
// ElectionTimeout. While this is so, it votes for another replica only in a leadership transfer.
func (c *Core) hasLiveLeader(now time.Time) bool {
	if c.role == Leader {
		return now.Sub(c.confirmedAt) < ElectionTimeout
	}
	return now.Sub(c.leaderContact) < ElectionTimeout
}

// Step processes one message.
func (c *Core) Step(m *schema.ReplicaMessage, now time.Time) {
	if m.GetTo() != c.id {
		// The message is for an earlier replica at this address.
		return
	}
	switch m.GetKind() {
	case schema.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.onPreVote(m, now)
		return
	case schema.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		c.onPreVoteReply(m, now)
		return
	case schema.MessageKind_MESSAGE_KIND_VOTE:
		if c.hasLiveLeader(now) && !m.GetTransfer() {
			return
		}
	}
	if m.GetTerm() < c.term {
		c.rejectStaleTerm(m)
		return
	}
	if m.GetTerm() > c.term {
		c.becomeFollower(m.GetTerm(), 0, now)
	}
	c.stepInTerm(m, now)
}

func (c *Core) stepInTerm(m *schema.ReplicaMessage, now time.Time) {
	switch m.GetKind() {
	case schema.MessageKind_MESSAGE_KIND_VOTE:
		c.onVote(m, now)
	case schema.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		c.onVoteReply(m, now)
	case schema.MessageKind_MESSAGE_KIND_APPEND:
		c.onAppend(m, now)
	case schema.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.onSnapshot(m, now)
	case schema.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		c.onAppendReply(m, now)
	case schema.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		if c.isVoter() && c.role != Leader {
			c.campaign(true, now)
		}
	}
}

// rejectStaleTerm replies to a leader or candidate of an earlier term, so that it learns of the current term.
func (c *Core) rejectStaleTerm(m *schema.ReplicaMessage) {
	switch m.GetKind() {
	case schema.MessageKind_MESSAGE_KIND_APPEND, schema.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.send(&schema.ReplicaMessage{Kind: schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Reject: true, Hint: c.log.lastIndex()})
	case schema.MessageKind_MESSAGE_KIND_VOTE:
		c.send(&schema.ReplicaMessage{Kind: schema.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.GetFrom(), Reject: true})
	}
}

func (c *Core) onPreVote(m *schema.ReplicaMessage, now time.Time) {
	grant := m.GetTerm() > c.term && !c.hasLiveLeader(now) && c.isUpToDate(m)
	reply := &schema.ReplicaMessage{Kind: schema.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: !grant}
	if grant {
		reply.Term = m.GetTerm()
	}
	c.send(reply)
}

func (c *Core) onPreVoteReply(m *schema.ReplicaMessage, now time.Time) {
	if m.GetReject() {
		if m.GetTerm() > c.term {
			c.becomeFollower(m.GetTerm(), 0, now)
		}
		return
	}
	if c.role != PreCandidate || m.GetTerm() != c.term+1 {
		return
	}
	c.votes[m.GetFrom()] = true
	c.countVotes(now)
}

func (c *Core) onVote(m *schema.ReplicaMessage, now time.Time) {
	canVote := c.vote == 0 || c.vote == m.GetFrom()
	grant := canVote && c.role != Leader && c.isUpToDate(m)
	if grant {
		c.vote = m.GetFrom()
		c.hardStateDirty = true
		c.resetElectionDeadline(now)
	}
	c.send(&schema.ReplicaMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.GetFrom(), Reject: !grant, Silences: c.heardSilences(now),
	})
}

func (c *Core) onVoteReply(m *schema.ReplicaMessage, now time.Time) {
	if c.role != Candidate || m.GetReject() {
		return
	}
	c.votes[m.GetFrom()] = true
	c.mergeSilences(m, now)
	c.countVotes(now)
}

// isUpToDate reports whether a candidate's log is at least as up to date as this replica's.
func (c *Core) isUpToDate(m *schema.ReplicaMessage) bool {
	last := c.log.lastIndex()
	lastTerm := c.log.term(last)
	if m.GetLogTerm() != lastTerm {
		return m.GetLogTerm() > lastTerm
	}
	return m.GetLogIndex() >= last
}
