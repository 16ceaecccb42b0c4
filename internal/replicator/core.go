// Package replicator implements Raft (Ongaro and Ousterhout, 2014), which replicates one log among the control
// replicas. It supports pre-votes, leaders that step down when they lose contact with their quorum, snapshots,
// leadership transfer, and changes of the replica set by one replica at a time. Core does no I/O: it takes messages
// and times, and returns records to save and messages to send.
package replicator

import (
	"time"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// HeartbeatInterval is the time between a leader's heartbeat rounds.
	HeartbeatInterval = 80 * time.Millisecond
	// learnerInterval is the time between heartbeats to a learner that lacks no entries. A learner doesn't vote, and each
	// heartbeat costs the leader about as much as a node's exchange.
	learnerInterval = 5 * HeartbeatInterval
	// ElectionTimeout is the minimum time without contact from the leader after which another may be elected. Each
	// replica waits for up to electionSpread longer, at random. It covers five heartbeats, since a process with a quarter of a
	// core may be without it for a few hundred milliseconds.
	ElectionTimeout = 400 * time.Millisecond
	electionSpread  = ElectionTimeout / 2
	// LeaseDuration is how long a leader's lease lasts from the start of a round that a quorum acknowledged. It is shorter
	// than ElectionTimeout to allow for clocks that run at different rates.
	LeaseDuration = ElectionTimeout - ElectionTimeout/10
	// quorumTimeout is the time without contact from a quorum after which a leader steps down.
	quorumTimeout = 2 * ElectionTimeout
	// snapshotInterval is the minimum time between two snapshots sent to one replica.
	snapshotInterval = time.Second
	// maxMessageBytes bounds the total size of the entries in one message.
	maxMessageBytes = 256 << 10
	// trailingEntries is the number of entries kept before a snapshot's index, so that a replica that lags slightly
	// needs no snapshot.
	trailingEntries = 2000
	// trailingBytes bounds the size of these entries.
	trailingBytes = 2 << 20
	// contactTimeout is the time without a reply after which a replica is unresponsive. It covers five heartbeats to a voter and
	// two to a learner.
	contactTimeout = learnerInterval + ElectionTimeout
	// maxLearnerLag is the maximum number of entries that a learner may lack when it is promoted.
	maxLearnerLag = 64
	// maxTrackedRounds bounds the rounds whose start times a leader keeps.
	maxTrackedRounds = 64
)

// Role is a replica's role in its term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// PersistentState is the state of a replica that is kept on disk.
type PersistentState struct {
	HardState *schema.HardState
	Snapshot  *schema.Snapshot
	Entries   []*schema.LogEntry
}

// Output is the work that results from a step. The caller may send Appends immediately. It must sync HardState, Snapshot
// and Entries to disk before it sends Messages, restores Snapshot and applies the Committed entries, in this order.
type Output struct {
	Appends   []*schema.ReplicaMessage
	HardState *schema.HardState
	Snapshot  *schema.Snapshot
	Entries   []*schema.LogEntry
	Messages  []*schema.ReplicaMessage
	Committed []*schema.LogEntry
}

// IsEmpty reports whether there is nothing to do.
func (o *Output) IsEmpty() bool {
	return len(o.Appends) == 0 && o.HardState == nil && o.Snapshot == nil && len(o.Entries) == 0 && len(o.Messages) == 0 &&
		len(o.Committed) == 0
}

// Core is the Raft state of one replica. It is not safe for concurrent use.
type Core struct {
	id     uint64
	random func(n int64) int64
	assert *asserter.Asserter

	term   uint64
	vote   uint64
	commit uint64
	log    entryLog
	sets   replicaSets

	role             Role
	leader           uint64
	votes            map[uint64]bool
	progress         map[uint64]*progress
	electionDeadline time.Time
	leaderContact    time.Time            // last message from a leader
	heardAt          map[uint64]time.Time // when the leader, and the replicas that did not respond to it, were last heard from
	nextHeartbeat    time.Time
	round            uint64
	rounds           []roundStart
	confirmedAt      time.Time // start of the newest round that a quorum has acknowledged
	electedAt        time.Time
	previousTerm     uint64
	transferTarget   uint64 // zero when no transfer is in progress
	transferStart    time.Time

	applied           uint64
	appliedBytes      int // size of the entries applied since the newest snapshot
	hardStateDirty    bool
	firstUnsaved      uint64 // first index that was not yet part of an Output
	lastSynced        uint64
	installedSnapshot *schema.Snapshot
	appends           []*schema.ReplicaMessage
	messages          []*schema.ReplicaMessage
}

// progress is a leader's record of another replica.
type progress struct {
	match          uint64 // last index known to be replicated
	next           uint64 // next index to send
	round          uint64 // newest round that the replica has acknowledged
	replied        bool   // whether the replica has replied in this term
	lastContact    time.Time
	sentAt         time.Time
	snapshotSentAt time.Time
}

// roundStart is the start time of a heartbeat round.
type roundStart struct {
	round uint64
	at    time.Time
}

// Option configures a new Core.
type Option func(*Core)

// WithRandom replaces the source of random numbers in [0, n).
func WithRandom(random func(n int64) int64) Option {
	return func(c *Core) { c.random = random }
}

// WithAsserter sets the asserter that checks invariants.
func WithAsserter(a *asserter.Asserter) Option {
	return func(c *Core) { c.assert = a }
}

// New returns a follower with the given persistent state.
func New(id uint64, saved PersistentState, now time.Time, opts ...Option) *Core {
	c := &Core{
		id: id, random: systemRandom, heardAt: map[uint64]time.Time{},
		term: saved.HardState.GetTerm(), vote: saved.HardState.GetVote(), commit: saved.HardState.GetCommit(),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.log = newEntryLog(saved.Snapshot, saved.Entries)
	c.sets = newReplicaSets(saved.Snapshot, saved.Entries)
	c.applied = saved.Snapshot.GetIndex()
	c.commit = max(c.commit, c.applied)
	c.commit = min(c.commit, c.log.lastIndex())
	c.lastSynced = c.log.lastIndex()
	c.firstUnsaved = c.lastSynced + 1
	c.leaderContact = now
	c.resetElectionDeadline(now)
	return c
}

// Bootstrap makes this replica the only voter of a new fleet. self is its record in the replica set.
func (c *Core) Bootstrap(self *schema.ReplicaInfo, now time.Time) {
	set := &schema.ReplicaSet{Replicas: []*schema.ReplicaInfo{self}}
	c.term = 1
	c.hardStateDirty = true
	c.appendEntry(schema.EntryKind_ENTRY_KIND_REPLICAS, marshalSet(set))
	c.electionDeadline = now
}

// IsBlank reports whether the replica has an empty log and belongs to no fleet.
func (c *Core) IsBlank() bool {
	return c.log.lastIndex() == 0 && len(c.sets.current().GetReplicas()) == 0
}

// Status describes the current state of a replica.
type Status struct {
	ID          uint64
	Role        Role
	Leader      uint64
	Term        uint64
	Commit      uint64
	Applied     uint64
	LastTerm    uint64
	Replicas    []*schema.ReplicaInfo
	ConfirmedAt time.Time
}

// Status returns the replica's current status.
func (c *Core) Status() Status {
	s := Status{
		ID: c.id, Role: c.role, Leader: c.leader, Term: c.term, Commit: c.commit, Applied: c.applied,
		LastTerm: c.log.term(c.log.lastIndex()), ConfirmedAt: c.confirmedAt,
	}
	for _, r := range c.sets.current().GetReplicas() {
		info := &schema.ReplicaInfo{Id: r.GetId(), Name: r.GetName(), Address: r.GetAddress(), Learner: r.GetLearner()}
		if p := c.progress[r.GetId()]; p != nil && c.role == Leader {
			info.MatchIndex = p.match
		}
		s.Replicas = append(s.Replicas, info)
	}
	return s
}

// PreviousTerm returns the term of the last entry that precedes the leader's own entries.
func (c *Core) PreviousTerm() uint64 {
	return c.previousTerm
}

// IsLeading reports whether this replica is the leader with a valid lease: it has applied all entries that earlier
// leaders committed, was in contact with a quorum within the lease duration, and is not transferring leadership.
func (c *Core) IsLeading(now time.Time) bool {
	return c.IsReady() && now.Sub(c.confirmedAt) < LeaseDuration && c.transferTarget == 0
}

// IsReady reports whether this replica is the leader and has applied an entry of its own term.
func (c *Core) IsReady() bool {
	return c.role == Leader && c.log.term(c.applied) == c.term
}

// ConfirmedAt returns the start of the newest round that a quorum has acknowledged.
func (c *Core) ConfirmedAt() time.Time {
	return c.confirmedAt
}

// Role returns the replica's role.
func (c *Core) Role() Role {
	return c.role
}

// Term returns the replica's term.
func (c *Core) Term() uint64 {
	return c.term
}

// Leader returns the record of the leader in the replica set, or nil if no leader is known.
func (c *Core) Leader() *schema.ReplicaInfo {
	return c.replica(c.leader)
}

// Replicas returns the current replica set, which must not be changed.
func (c *Core) Replicas() []*schema.ReplicaInfo {
	return c.sets.current().GetReplicas()
}

// SinceLeaderContact returns the time since this replica last heard from a leader. It returns zero on the leader.
func (c *Core) SinceLeaderContact(now time.Time) time.Duration {
	if c.role == Leader {
		return 0
	}
	return now.Sub(c.leaderContact)
}

// Propose appends a command to the leader's log and returns its index. It returns false on other replicas and during a
// leadership transfer.
func (c *Core) Propose(data []byte, now time.Time) (index uint64, ok bool) {
	if c.role != Leader || c.transferTarget != 0 {
		return 0, false
	}
	index = c.appendEntry(schema.EntryKind_ENTRY_KIND_COMMAND, data)
	c.sendAll(now)
	return index, true
}

// Tick handles the timeouts that have passed by now. It is to be called several times in each HeartbeatInterval.
func (c *Core) Tick(now time.Time) {
	if c.role != Leader {
		if !now.Before(c.electionDeadline) {
			c.preCampaign(now)
		}
		return
	}
	if c.transferTarget != 0 && now.Sub(c.transferStart) > ElectionTimeout {
		// The transfer timed out. Stay leader, but base the lease only on rounds that start from now on.
		c.transferTarget = 0
		c.rounds = nil
	}
	if now.Sub(c.confirmedAt) > quorumTimeout && now.Sub(c.electedAt) > quorumTimeout {
		c.becomeFollower(c.term, 0, now)
		return
	}
	if !now.Before(c.nextHeartbeat) {
		c.startRound(now)
		c.sendHeartbeats(now)
	}
}

// TakeOutput returns the pending output and clears it.
func (c *Core) TakeOutput() Output {
	o := Output{Appends: c.appends, Messages: c.messages, Snapshot: c.installedSnapshot}
	c.appends, c.messages, c.installedSnapshot = nil, nil, nil
	if c.firstUnsaved <= c.log.lastIndex() {
		o.Entries = c.log.from(c.firstUnsaved)
	}
	if c.hardStateDirty || len(o.Entries) > 0 {
		o.HardState = &schema.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
		c.hardStateDirty = false
	}
	c.firstUnsaved = c.log.lastIndex() + 1
	if c.applied < c.commit {
		o.Committed = c.log.between(c.applied+1, c.commit)
		for _, e := range o.Committed {
			c.appliedBytes += len(e.GetData())
		}
		c.applied = c.commit
	}
	return o
}

// MarkSynced records that the entries of the last Output have been synced to disk.
func (c *Core) MarkSynced() {
	c.lastSynced = c.firstUnsaved - 1
	if c.role == Leader {
		c.advanceCommit()
		c.confirmRound()
	}
}

// appendEntry adds an entry of the current term to the log.
func (c *Core) appendEntry(kind schema.EntryKind, data []byte) uint64 {
	e := &schema.LogEntry{Term: c.term, Index: c.log.lastIndex() + 1, Kind: kind, Data: data}
	c.log.append(e)
	c.firstUnsaved = min(c.firstUnsaved, e.GetIndex())
	c.sets.record(e)
	return e.GetIndex()
}

func (c *Core) send(m *schema.ReplicaMessage) {
	m.From, m.Term = c.id, max(m.GetTerm(), c.term)
	c.messages = append(c.messages, m)
}

func (c *Core) resetElectionDeadline(now time.Time) {
	c.electionDeadline = now.Add(ElectionTimeout + time.Duration(c.random(int64(electionSpread))))
}

// Compact makes a snapshot of the given state at an applied index and drops the entries that precede the index by more
// than trailingEntries or trailingBytes. It returns the snapshot, which the caller must save.
func (c *Core) Compact(index uint64, state []byte) *schema.Snapshot {
	s := &schema.Snapshot{Index: index, Term: c.log.term(index), Replicas: c.sets.at(index), State: state}
	c.log.compact(s)
	c.appliedBytes = 0
	c.sets.compact(index)
	return s
}

// AppliedSinceSnapshot returns the number of applied entries after the newest snapshot, and their size in bytes.
func (c *Core) AppliedSinceSnapshot() (entries uint64, bytes int) {
	return c.applied - c.log.snapshot.GetIndex(), c.appliedBytes
}
