package replicator

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/schema"
)

// replicaSets holds the replica sets in the log. The newest one is in force from the time its entry is appended,
// whether or not the entry is committed.
type replicaSets struct {
	sets []indexedReplicaSet
}

type indexedReplicaSet struct {
	index uint64
	set   *schema.ReplicaSet
}

func newReplicaSets(s *schema.Snapshot, entries []*schema.LogEntry) replicaSets {
	r := replicaSets{sets: []indexedReplicaSet{{index: s.GetIndex(), set: s.GetReplicas()}}}
	for _, e := range entries {
		if e.GetIndex() > s.GetIndex() {
			r.record(e)
		}
	}
	return r
}

// record adds the replica set that an appended entry holds, if any.
func (r *replicaSets) record(e *schema.LogEntry) {
	if e.GetKind() != schema.EntryKind_ENTRY_KIND_REPLICAS {
		return
	}
	set := &schema.ReplicaSet{}
	if err := proto.Unmarshal(e.GetData(), set); err != nil {
		panic(errors.Wrap(err, "read set of replicas"))
	}
	r.sets = append(r.sets, indexedReplicaSet{index: e.GetIndex(), set: set})
}

// truncate drops the sets from index on.
func (r *replicaSets) truncate(index uint64) {
	r.sets = slices.DeleteFunc(r.sets, func(s indexedReplicaSet) bool { return s.index >= index && s.index > 0 })
}

// compact drops the sets that were replaced at or before index.
func (r *replicaSets) compact(index uint64) {
	for len(r.sets) > 1 && r.sets[1].index <= index {
		r.sets = r.sets[1:]
	}
}

func (r *replicaSets) current() *schema.ReplicaSet {
	return r.sets[len(r.sets)-1].set
}

// currentIndex returns the index of the entry that holds the current set.
func (r *replicaSets) currentIndex() uint64 {
	return r.sets[len(r.sets)-1].index
}

// at returns the set in force at index.
func (r *replicaSets) at(index uint64) *schema.ReplicaSet {
	set := r.sets[0].set
	for _, s := range r.sets {
		if s.index <= index {
			set = s.set
		}
	}
	return set
}

func (c *Core) replica(id uint64) *schema.ReplicaInfo {
	for _, r := range c.sets.current().GetReplicas() {
		if r.GetId() == id {
			return r
		}
	}
	return nil
}

func (c *Core) voters() []uint64 {
	var ids []uint64
	for _, r := range c.sets.current().GetReplicas() {
		if !r.GetLearner() {
			ids = append(ids, r.GetId())
		}
	}
	return ids
}

func (c *Core) isVoter() bool {
	return slices.Contains(c.voters(), c.id)
}

// hasQuorum reports whether ok holds for a majority of the voters.
func (c *Core) hasQuorum(ok func(id uint64) bool) bool {
	voters := c.voters()
	n := 0
	for _, id := range voters {
		if ok(id) {
			n++
		}
	}
	return n > len(voters)/2
}

// Errors for changes of the replica set and leadership transfers.
var (
	ErrNotLeader       = errors.New("this replica does not lead")
	ErrChangePending   = errors.New("another change of the replicas is not committed yet; try again")
	ErrReplicaNotFound = errors.New("no such replica")
	ErrNotCaughtUp     = errors.New("the learner has not caught up; try again")
	ErrLastVoter       = errors.New("the last voter can't be removed")
	ErrReplicaExists   = errors.New("the replica is known already")
	ErrUnknownChange   = errors.New("unknown change of the replicas")
)

// ChangeReplica proposes a replica set that differs from the current one in one replica, or starts a leadership transfer.
func (c *Core) ChangeReplica(ch *schema.ChangeReplica, now time.Time) error {
	if c.role != Leader || !c.IsReady() {
		return ErrNotLeader
	}
	if c.sets.currentIndex() > c.commit {
		return ErrChangePending
	}
	if ch.GetKind() == schema.ChangeReplica_KIND_TRANSFER {
		return c.startTransfer(ch.GetId(), now)
	}
	next, err := c.nextSet(ch, now)
	if err != nil {
		return err
	}
	c.appendEntry(schema.EntryKind_ENTRY_KIND_REPLICAS, marshalSet(next))
	c.refreshProgress(now)
	c.sendAll(now)
	return nil
}

func (c *Core) nextSet(ch *schema.ChangeReplica, now time.Time) (*schema.ReplicaSet, error) {
	next := proto.Clone(c.sets.current()).(*schema.ReplicaSet)
	at := slices.IndexFunc(next.Replicas, func(r *schema.ReplicaInfo) bool { return r.GetId() == ch.GetId() })
	if ch.GetKind() == schema.ChangeReplica_KIND_ADD_LEARNER {
		if at >= 0 {
			return nil, ErrReplicaExists
		}
		next.Replicas = append(next.Replicas,
			&schema.ReplicaInfo{Id: ch.GetId(), Name: ch.GetName(), Address: ch.GetAddress(), Learner: true})
		return next, nil
	}
	if at < 0 {
		return nil, ErrReplicaNotFound
	}
	switch ch.GetKind() {
	case schema.ChangeReplica_KIND_PROMOTE:
		if !next.Replicas[at].GetLearner() {
			return nil, ErrReplicaExists
		}
		if !c.isCaughtUp(ch.GetId(), now) {
			return nil, ErrNotCaughtUp
		}
		next.Replicas[at].Learner = false
	case schema.ChangeReplica_KIND_REMOVE:
		if !next.Replicas[at].GetLearner() && len(c.voters()) == 1 {
			return nil, ErrLastVoter
		}
		next.Replicas = slices.Delete(next.Replicas, at, at+1)
	default:
		return nil, ErrUnknownChange
	}
	return next, nil
}

// isCaughtUp reports whether a replica lacks at most maxLearnerLag entries, has the current replica set, and replied
// recently.
func (c *Core) isCaughtUp(id uint64, now time.Time) bool {
	p := c.progress[id]
	return p != nil && p.match+maxLearnerLag >= c.log.lastIndex() && p.match >= c.sets.currentIndex() && p.isResponsive(now)
}

// isResponsive reports whether the replica has replied to this leader, and did so recently.
func (p *progress) isResponsive(now time.Time) bool {
	return p.replied && now.Sub(p.lastContact) < contactTimeout
}

// isResponsive reports whether a replica has replied to this leader within contactTimeout. It is true of the leader itself.
func (c *Core) isResponsive(id uint64, now time.Time) bool {
	if id == c.id {
		return true
	}
	p := c.progress[id]
	return p != nil && p.isResponsive(now)
}

// refreshProgress adds and removes progress records to match the current replica set.
func (c *Core) refreshProgress(now time.Time) {
	for _, r := range c.sets.current().GetReplicas() {
		if r.GetId() != c.id && c.progress[r.GetId()] == nil {
			c.progress[r.GetId()] = &progress{next: c.log.lastIndex() + 1, lastContact: c.lastHeard(r.GetId(), now)}
		}
	}
	for id := range c.progress {
		if c.replica(id) == nil {
			delete(c.progress, id)
		}
	}
}

// startTransfer starts a leadership transfer to the voter with ID to, which must have caught up. If to is zero, it chooses
// the voter. Until the transfer completes or fails, this leader has no lease.
func (c *Core) startTransfer(to uint64, now time.Time) error {
	if to == 0 {
		to = c.bestSuccessor(now)
	}
	target := c.replica(to)
	if target == nil || to == c.id {
		return ErrReplicaNotFound
	}
	if target.GetLearner() || !c.isCaughtUp(to, now) {
		return ErrNotCaughtUp
	}
	c.transferTarget, c.transferStart = to, now
	c.confirmedAt = time.Time{}
	c.continueTransfer(now)
	return nil
}

func (c *Core) bestSuccessor(now time.Time) uint64 {
	best := uint64(0)
	for _, id := range c.voters() {
		if id == c.id || !c.isCaughtUp(id, now) {
			continue
		}
		if best == 0 || c.progress[id].match > c.progress[best].match {
			best = id
		}
	}
	return best
}

// continueTransfer sends entries to the transfer target until it has the full log, and then a message that makes it
// start an election.
func (c *Core) continueTransfer(now time.Time) {
	p := c.progress[c.transferTarget]
	if p == nil || p.match < c.log.lastIndex() {
		c.sendAll(now)
		return
	}
	c.send(&schema.ReplicaMessage{Kind: schema.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: c.transferTarget})
}
