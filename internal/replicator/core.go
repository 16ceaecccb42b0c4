// Package replicator agrees on one log among the control replicas: leader election with a preliminary vote, a leader
// that steps down without its quorum, snapshots, and changes of the set of replicas by single steps. The algorithm is
// Raft (Ongaro and Ousterhout, 2014). The Core is pure: messages and times go in, records and messages come out.
package replicator

import (
	"time"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// HeartbeatInterval is the time between a leader's rounds.
	HeartbeatInterval = 50 * time.Millisecond
	// ElectionTimeout is the shortest silence of a leader after which another may be elected. The longest that a
	// replica waits is twice as long.
	ElectionTimeout = 300 * time.Millisecond
	// LeaseDuration is how long after the start of a confirmed round a leader may rely on being the only one. The margin
	// covers clocks that differ in pace.
	LeaseDuration = ElectionTimeout - ElectionTimeout/10
	// quorumTimeout is the silence of its quorum after which a leader steps down.
	quorumTimeout = 2 * ElectionTimeout
	// snapshotInterval is the shortest time between two snapshots sent to one replica.
	snapshotInterval = time.Second
	// maxMessageBytes bounds the entries of one message.
	maxMessageBytes = 256 << 10
	// trailingEntries is the number of entries kept behind a snapshot for replicas that are a little late.
	trailingEntries = 2000
	// caughtUpGap is the most entries that a learner may lack when it is promoted.
	caughtUpGap = 64
	// maxRounds bounds the rounds whose start a leader remembers.
	maxRounds = 64
)

// Role is a replica's part in its term.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// PersistentState is what storage holds of a replica.
type PersistentState struct {
	HardState *schema.HardState
	Snapshot  *schema.Snapshot
	Entries   []*schema.LogEntry
}

// Output is what must happen after a step, in this order: Appends may be sent at once; Hard, Snapshot and Entries are
// synced to disk; then Messages are sent and Committed entries applied, after a Snapshot was restored.
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

// Core is one replica. It is not safe for concurrent use.
type Core struct {
	id     uint64
	random func(n int64) int64
	assert *asserter.Asserter

	term   uint64
	vote   uint64
	commit uint64
	log    entryLog
	sets   replicaSets

	role       Role
	leader     uint64
	votes      map[uint64]bool
	progress   map[uint64]*progress
	deadline   time.Time
	heard      time.Time
	beat       time.Time
	round      uint64
	rounds     []roundStart
	confirmed  time.Time
	began      time.Time
	previous   uint64
	transferTo uint64
	transferAt time.Time

	applied   uint64
	hardDirty bool
	unsaved   uint64
	saved     uint64
	install   *schema.Snapshot
	appends   []*schema.ReplicaMessage
	messages  []*schema.ReplicaMessage
}

// progress is what a leader knows of another replica.
type progress struct {
	match    uint64
	next     uint64
	round    uint64
	heard    time.Time
	snapshot time.Time
}

// roundStart is the time at which a leader began a round.
type roundStart struct {
	round uint64
	at    time.Time
}

// Option changes a Core under construction.
type Option func(*Core)

// WithRandom replaces the source of random numbers in [0, n).
func WithRandom(random func(n int64) int64) Option {
	return func(c *Core) { c.random = random }
}

// WithAsserter checks invariants.
func WithAsserter(a *asserter.Asserter) Option {
	return func(c *Core) { c.assert = a }
}

// New returns a replica with what its storage holds. It starts as a follower.
func New(id uint64, saved PersistentState, now time.Time, opts ...Option) *Core {
	c := &Core{
		id: id, random: systemRandom,
		term: saved.HardState.GetTerm(), vote: saved.HardState.GetVote(), commit: saved.HardState.GetCommit(),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.log = newEntryLog(saved.Snapshot, saved.Entries)
	c.sets = newReplicaSets(saved.Snapshot, saved.Entries)
	c.applied = saved.Snapshot.GetIndex()
	c.commit = max(c.commit, c.applied)
	c.commit = min(c.commit, c.log.last())
	c.saved = c.log.last()
	c.unsaved = c.saved + 1
	c.heard = now
	c.resetDeadline(now)
	return c
}

// Bootstrap makes this replica the only voter of a new fleet, as it describes itself.
func (c *Core) Bootstrap(self *schema.ReplicaInfo, now time.Time) {
	set := &schema.ReplicaSet{Replicas: []*schema.ReplicaInfo{self}}
	c.term = 1
	c.hardDirty = true
	c.appendEntry(schema.EntryKind_ENTRY_KIND_REPLICAS, marshalSet(set))
	c.deadline = now
}

// IsBlank reports whether the replica has no log and belongs to no fleet.
func (c *Core) IsBlank() bool {
	return c.log.last() == 0 && len(c.sets.current().GetReplicas()) == 0
}

// Status describes a replica.
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

// Status returns the replica's state.
func (c *Core) Status() Status {
	s := Status{
		ID: c.id, Role: c.role, Leader: c.leader, Term: c.term, Commit: c.commit, Applied: c.applied,
		LastTerm: c.log.term(c.log.last()), ConfirmedAt: c.confirmed,
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

// PreviousTerm returns the term of the last entry before a leader's own.
func (c *Core) PreviousTerm() uint64 {
	return c.previous
}

// IsLeading reports whether this replica is the leader, has applied all that earlier leaders committed, and has heard
// from a quorum within LeaseTime.
func (c *Core) IsLeading(now time.Time) bool {
	return c.IsReady() && now.Sub(c.confirmed) < LeaseDuration && c.transferTo == 0
}

// IsReady reports whether this replica is a leader that has applied an entry of its own term.
func (c *Core) IsReady() bool {
	return c.role == Leader && c.log.term(c.applied) == c.term
}

// SinceLeaderContact returns how long this replica has heard from no leader. It is zero for a leader.
func (c *Core) SinceLeaderContact(now time.Time) time.Duration {
	if c.role == Leader {
		return 0
	}
	return now.Sub(c.heard)
}

// Propose appends a command to the leader's log. It returns false on other replicas and during a transfer.
func (c *Core) Propose(data []byte, now time.Time) (index uint64, ok bool) {
	if c.role != Leader || c.transferTo != 0 {
		return 0, false
	}
	index = c.appendEntry(schema.EntryKind_ENTRY_KIND_COMMAND, data)
	c.sendAll(now)
	return index, true
}

// Tick tells the replica the time. It is called several times in each HeartbeatInterval.
func (c *Core) Tick(now time.Time) {
	if c.role != Leader {
		if !now.Before(c.deadline) {
			c.preCampaign(now)
		}
		return
	}
	if c.transferTo != 0 && now.Sub(c.transferAt) > ElectionTimeout {
		// The transfer failed: lead on, but rely only on rounds from now on.
		c.transferTo = 0
		c.rounds = nil
	}
	if now.Sub(c.confirmed) > quorumTimeout && now.Sub(c.began) > quorumTimeout {
		c.becomeFollower(c.term, 0, now)
		return
	}
	if !now.Before(c.beat) {
		c.newRound(now)
		c.sendAll(now)
	}
}

// TakeOutput returns what is to be done and forgets it.
func (c *Core) TakeOutput() Output {
	o := Output{Appends: c.appends, Messages: c.messages, Snapshot: c.install}
	c.appends, c.messages, c.install = nil, nil, nil
	if c.unsaved <= c.log.last() {
		o.Entries = c.log.from(c.unsaved)
	}
	if c.hardDirty || len(o.Entries) > 0 {
		o.HardState = &schema.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
		c.hardDirty = false
	}
	c.unsaved = c.log.last() + 1
	if c.applied < c.commit {
		o.Committed = c.log.between(c.applied+1, c.commit)
		c.applied = c.commit
	}
	return o
}

// MarkSynced tells the replica that the entries of the last Output are on disk.
func (c *Core) MarkSynced() {
	c.saved = c.unsaved - 1
	if c.role == Leader {
		c.advanceCommit()
		c.confirm()
	}
}

// appendEntry adds an entry of the current term to the log.
func (c *Core) appendEntry(kind schema.EntryKind, data []byte) uint64 {
	e := &schema.LogEntry{Term: c.term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.log.append(e)
	c.unsaved = min(c.unsaved, e.GetIndex())
	c.sets.note(e)
	return e.GetIndex()
}

func (c *Core) send(m *schema.ReplicaMessage) {
	m.From, m.Term = c.id, max(m.GetTerm(), c.term)
	c.messages = append(c.messages, m)
}

func (c *Core) resetDeadline(now time.Time) {
	c.deadline = now.Add(ElectionTimeout + time.Duration(c.random(int64(ElectionTimeout))))
}

// Compact drops the log up to an applied index, of which the state is given. It returns the snapshot to be saved.
func (c *Core) Compact(index uint64, state []byte) *schema.Snapshot {
	s := &schema.Snapshot{Index: index, Term: c.log.term(index), Replicas: c.sets.at(index), State: state}
	c.log.compact(s)
	c.sets.compact(index)
	return s
}

// AppliedSinceSnapshot returns the number of entries kept after the newest snapshot.
func (c *Core) AppliedSinceSnapshot() uint64 {
	return c.applied - c.log.snapshot.GetIndex()
}
