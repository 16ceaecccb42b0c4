package controller

import (
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// replaceReplicaAfter is the time without contact after which a replica may be replaced by a learner of the same name or by
	// a standby replica.
	replaceReplicaAfter = 3 * time.Second
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
	// sinceContact is the time since the leader last heard from the replica.
	sinceContact time.Duration
}

// nextReplicaChange returns the next change of the replicas, or nil. At most wantedVoters replicas vote (zero means all).
// Learners beyond that number are standby replicas, which replace voters that become unresponsive. Each change adds or removes
// one voter at most, so that the quorums before and after it overlap.
func nextReplicaChange(members []member, wantedVoters int) *schema.ChangeReplica {
	voters := 0
	var standby *member
	for i, m := range members {
		if !m.learner {
			voters++
		} else if m.caughtUp && standby == nil {
			standby = &members[i]
		}
	}
	if standby != nil {
		return replaceOrPromote(members, *standby, voters, wantedVoters)
	}
	for _, m := range members {
		if m.learner && m.sinceContact > removeLearnerAfter {
			return removal(m)
		}
	}
	return nil
}

func replaceOrPromote(members []member, standby member, voters, wantedVoters int) *schema.ChangeReplica {
	for _, m := range members {
		if m.name != standby.name || m.id == standby.id {
			continue
		}
		if m.sinceContact < replaceReplicaAfter {
			// Both have the same name: one of them is an earlier replica of the same host, which will become unresponsive.
			return nil
		}
		return removal(m)
	}
	if wantedVoters == 0 || voters < wantedVoters {
		return &schema.ChangeReplica{Kind: schema.ChangeReplica_KIND_PROMOTE, Id: standby.id}
	}
	for _, m := range members {
		if !m.learner && m.sinceContact > replaceReplicaAfter {
			return removal(m)
		}
	}
	return nil
}

func removal(m member) *schema.ChangeReplica {
	return &schema.ChangeReplica{Kind: schema.ChangeReplica_KIND_REMOVE, Id: m.id}
}
