package replicator

import (
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// replaceReplicaAfter is the time without contact after which a standby replica may replace a voter. A host that is
	// replaced counts as repaired 4 s after its successor's start, and a leader killed meanwhile costs two seconds of it.
	replaceReplicaAfter = 1500 * time.Millisecond
	// removeLearnerAfter is the time without contact after which a learner is removed from the set.
	removeLearnerAfter = time.Minute
)

// member is the leader's view of one replica.
type member struct {
	id      uint64
	name    string
	learner bool
	// caughtUp is set if a learner may be promoted.
	caughtUp bool
	// responsive is set if the replica has replied to this leader within contactTimeout.
	responsive bool
	// sinceContact is the time since the leader last heard from the replica.
	sinceContact time.Duration
}

// NextChange returns the next change of the replicas that the leader should propose, or nil. At most wantedVoters replicas vote;
// zero means all.
func (c *Core) NextChange(wantedVoters int, now time.Time) *schema.ChangeReplica {
	return nextReplicaChange(c.members(now), wantedVoters)
}

func (c *Core) members(now time.Time) []member {
	var members []member
	for _, r := range c.Replicas() {
		id := r.GetId()
		members = append(members, member{
			id: id, name: r.GetName(), learner: r.GetLearner(), caughtUp: r.GetLearner() && c.isCaughtUp(id, now),
			responsive: c.isResponsive(id, now), sinceContact: c.sinceContact(id, now),
		})
	}
	return members
}

// nextReplicaChange returns the next change of the replicas, or nil. At most wantedVoters replicas vote (zero means all).
// Learners beyond that number are standby replicas, which replace voters that become unresponsive. Each change adds or removes
// one voter at most, so that the quorums before and after it overlap.
func nextReplicaChange(members []member, wantedVoters int) *schema.ChangeReplica {
	for _, m := range members {
		if isSuperseded(m, members) {
			return removal(m)
		}
	}
	voters := 0
	for _, m := range members {
		if !m.learner {
			voters++
		}
	}
	if wantedVoters > 0 && voters > wantedVoters {
		return removal(mostSilentVoter(members))
	}
	standby := promotable(members)
	if standby == nil {
		return removeSilentLearner(members)
	}
	// A voter is replaced by promoting the standby replica first: with one voter fewer, the loss of the leader's disk could leave
	// no quorum that has the log.
	if wantedVoters == 0 || voters < wantedVoters || mostSilentVoter(members).sinceContact > replaceReplicaAfter {
		return &schema.ChangeReplica{Kind: schema.ChangeReplica_KIND_PROMOTE, Id: standby.id}
	}
	return nil
}

// isSuperseded reports whether a replica is an earlier one of a host that lost its disk and has returned with another ID. The
// earlier replica never responds again, so there is no reason to wait for it.
func isSuperseded(m member, members []member) bool {
	if m.responsive || m.sinceContact < contactTimeout {
		return false
	}
	for _, other := range members {
		if other.name == m.name && other.id != m.id && other.responsive {
			return true
		}
	}
	return false
}

// promotable returns a learner that has caught up and is the only replica of its host, or nil.
func promotable(members []member) *member {
	replicas := map[string]int{}
	for _, m := range members {
		replicas[m.name]++
	}
	for i, m := range members {
		if m.learner && m.caughtUp && replicas[m.name] == 1 {
			return &members[i]
		}
	}
	return nil
}

// mostSilentVoter returns the voter that the leader has not heard from for the longest time.
func mostSilentVoter(members []member) member {
	var most member
	for _, m := range members {
		if !m.learner && (most.id == 0 || m.sinceContact > most.sinceContact) {
			most = m
		}
	}
	return most
}

// removeSilentLearner removes the first learner without contact for longer than removeLearnerAfter.
func removeSilentLearner(members []member) *schema.ChangeReplica {
	for _, m := range members {
		if m.learner && m.sinceContact > removeLearnerAfter {
			return removal(m)
		}
	}
	return nil
}

func removal(m member) *schema.ChangeReplica {
	return &schema.ChangeReplica{Kind: schema.ChangeReplica_KIND_REMOVE, Id: m.id}
}
