package replicator

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/schema"
)

// replicaSets holds the sets of replicas that the log names. The newest one is in force from its entry on, committed
// or not.
type replicaSets struct {
	list []indexedSet
}

type indexedSet struct {
	index uint64
	set   *schema.ReplicaSet
}

func newReplicaSets(s *schema.Snapshot, entries []*schema.LogEntry) replicaSets {
	r := replicaSets{list: []indexedSet{{index: s.GetIndex(), set: s.GetReplicas()}}}
	for _, e := range entries {
		if e.GetIndex() > s.GetIndex() {
			r.note(e)
		}
	}
	return r
}

// note takes in an entry that was appended.
func (r *replicaSets) note(e *schema.LogEntry) {
	if e.GetKind() != schema.EntryKind_ENTRY_KIND_REPLICAS {
		return
	}
	set := &schema.ReplicaSet{}
	if err := proto.Unmarshal(e.GetData(), set); err != nil {
		panic(errors.Wrap(err, "read set of replicas"))
	}
	r.list = append(r.list, indexedSet{index: e.GetIndex(), set: set})
}

// truncate forgets sets from an index on.
func (r *replicaSets) truncate(index uint64) {
	r.list = slices.DeleteFunc(r.list, func(s indexedSet) bool { return s.index >= index && s.index > 0 })
}

// compact forgets sets that were replaced up to an index.
func (r *replicaSets) compact(index uint64) {
	for len(r.list) > 1 && r.list[1].index <= index {
		r.list = r.list[1:]
	}
}

func (r *replicaSets) current() *schema.ReplicaSet {
	return r.list[len(r.list)-1].set
}

// currentIndex returns the index of the entry that names the current set.
func (r *replicaSets) currentIndex() uint64 {
	return r.list[len(r.list)-1].index
}

// at returns the set in force at an index.
func (r *replicaSets) at(index uint64) *schema.ReplicaSet {
	found := r.list[0].set
	for _, s := range r.list {
		if s.index <= index {
			found = s.set
		}
	}
	return found
}

func (c *Core) find(id uint64) *schema.ReplicaInfo {
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

// hasQuorum reports whether a majority of the voters fulfils a condition.
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

// Errors of Change.
var (
	ErrNotLeader       = errors.New("this replica does not lead")
	ErrChangePending   = errors.New("another change of the replicas is not committed yet; try again")
	ErrReplicaNotFound = errors.New("no such replica")
	ErrNotCaughtUp     = errors.New("the learner has not caught up; try again")
	ErrLastVoter       = errors.New("the last voter can't be removed")
	ErrReplicaExists   = errors.New("the replica is known already")
	ErrUnknownChange   = errors.New("unknown change of the replicas")
)

// ChangeReplica proposes the next set of replicas, one step away from the current one, or starts a transfer of leadership.
func (c *Core) ChangeReplica(ch *schema.ChangeReplica, now time.Time) error {
	if c.role != Leader || !c.IsReady() {
		return ErrNotLeader
	}
	if c.sets.currentIndex() > c.commit {
		return ErrChangePending
	}
	if ch.GetKind() == schema.ChangeReplica_KIND_TRANSFER {
		return c.transfer(ch.GetId(), now)
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

// isCaughtUp reports whether a replica holds nearly the whole log and answered lately.
func (c *Core) isCaughtUp(id uint64, now time.Time) bool {
	p := c.progress[id]
	return p != nil && p.match+caughtUpGap >= c.log.last() && p.match >= c.sets.currentIndex() && now.Sub(p.heard) < ElectionTimeout
}

// PromotableLearners returns the learners that may be promoted now.
func (c *Core) PromotableLearners(now time.Time) []*schema.ReplicaInfo {
	var out []*schema.ReplicaInfo
	for _, r := range c.sets.current().GetReplicas() {
		if r.GetLearner() && c.isCaughtUp(r.GetId(), now) {
			out = append(out, r)
		}
	}
	return out
}

// SinceContact returns how long a leader has not heard from a replica.
func (c *Core) SinceContact(id uint64, now time.Time) time.Duration {
	p := c.progress[id]
	if p == nil {
		return 0
	}
	return now.Sub(p.heard)
}

// refreshProgress makes the progress follow the current set.
func (c *Core) refreshProgress(now time.Time) {
	for _, r := range c.sets.current().GetReplicas() {
		if r.GetId() != c.id && c.progress[r.GetId()] == nil {
			c.progress[r.GetId()] = &progress{next: c.log.last() + 1, heard: now}
		}
	}
	for id := range c.progress {
		if c.find(id) == nil {
			delete(c.progress, id)
		}
	}
}

// transfer asks a caught-up voter to take over. Until it has or has failed, this leader certifies nothing.
func (c *Core) transfer(to uint64, now time.Time) error {
	if to == 0 {
		to = c.bestSuccessor(now)
	}
	target := c.find(to)
	if target == nil || to == c.id {
		return ErrReplicaNotFound
	}
	if target.GetLearner() || !c.isCaughtUp(to, now) {
		return ErrNotCaughtUp
	}
	c.transferTo, c.transferAt = to, now
	c.confirmed = time.Time{}
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

// continueTransfer lets the successor stand once it holds the whole log.
func (c *Core) continueTransfer(now time.Time) {
	p := c.progress[c.transferTo]
	if p == nil || p.match < c.log.last() {
		c.sendAll(now)
		return
	}
	c.send(&schema.ReplicaMessage{Kind: schema.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: c.transferTo})
}
