package replicator

import (
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

func TestNextReplicaChange(t *testing.T) {
	const promote, remove = schema.ChangeReplica_KIND_PROMOTE, schema.ChangeReplica_KIND_REMOVE
	voter := func(id uint64, name string, sinceContact time.Duration) member {
		return member{id: id, name: name, sinceContact: sinceContact, responsive: sinceContact < contactTimeout}
	}
	standby := func(id uint64, name string) member {
		return member{id: id, name: name, learner: true, caughtUp: true, responsive: true}
	}
	late := replaceReplicaAfter + time.Millisecond
	tests := []struct {
		name         string
		members      []member
		wantedVoters int
		kind         schema.ChangeReplica_Kind
		id           uint64
	}{
		{"single voter", []member{voter(1, "a", 0)}, 3, 0, 0},
		{"learner not caught up", []member{voter(1, "a", 0), {id: 2, name: "b", learner: true}}, 3, 0, 0},
		{"learner becomes the second voter", []member{voter(1, "a", 0), standby(2, "b")}, 3, promote, 2},
		{"wanted number of voters reached", []member{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 0), standby(4, "d")}, 3, 0, 0},
		{"all replicas vote", []member{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 0), standby(4, "d")}, 0, promote, 4},
		{"unresponsive voter, standby", []member{voter(1, "a", 0), voter(2, "b", late), voter(3, "c", 0), standby(4, "d")}, 3, promote, 4},
		{"standby promoted for an unresponsive voter", []member{
			voter(1, "a", 0), voter(2, "b", late), voter(3, "c", 1), voter(4, "d", 0),
		}, 3, remove, 2},
		{"voter at the time limit", []member{voter(1, "a", 0), voter(2, "b", replaceReplicaAfter), voter(3, "c", 0), standby(4, "d")}, 3, 0, 0},
		{"standby replaces a removed voter", []member{voter(1, "a", 0), voter(3, "c", 0), standby(4, "d")}, 3, promote, 4},
		{"unresponsive voter, no standby", []member{voter(1, "a", 0), voter(2, "b", late), voter(3, "c", 0)}, 3, 0, 0},
		{"host lost its disk", []member{voter(1, "a", 0), voter(2, "b", late), voter(3, "c", 0), standby(4, "b")}, 3, remove, 2},
		{"earlier replica not timed out", []member{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 0), standby(4, "b")}, 3, 0, 0},
		{"learner timed out", []member{voter(1, "a", 0), {id: 4, name: "d", learner: true, sinceContact: 2 * removeLearnerAfter}}, 3, remove, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := nextReplicaChange(tt.members, tt.wantedVoters)
			if got.GetKind() != tt.kind || got.GetId() != tt.id {
				t.Errorf("got %v, want %v of %d", got, tt.kind, tt.id)
			}
		})
	}
}
