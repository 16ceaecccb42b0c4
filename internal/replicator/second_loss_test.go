package replicator

import (
	"slices"
	"testing"
	"time"
)

const (
	// restartPause is the time after which a host that was killed is back.
	restartPause = 500 * time.Millisecond
	// catchUpLimit is the time after its return in which a host without a disk has been replaced.
	catchUpLimit = 4 * time.Second
	// recoveryLimit is the time after the end of all faults in which changes are accepted again.
	recoveryLimit = 15 * time.Second
)

// newCalmCluster returns a cluster that has its wanted number of voters, with standby replicas beyond them.
func newCalmCluster(t *testing.T, seed uint64, hosts, wantedVoters int) *cluster {
	t.Helper()
	c := newCluster(t, seed, hosts)
	c.wantedVoters = wantedVoters
	c.run(3*time.Second, false)
	l := c.leader()
	if l == nil || len(l.core.voters()) != wantedVoters || len(l.core.Replicas()) != hosts {
		t.Fatalf("the replicas are not set up: %s", c.describe())
	}
	return c
}

func (c *cluster) runUntil(at time.Duration) {
	c.run(at-c.now, false)
}

// loseDisk stops a host and empties its disk.
func (c *cluster) loseDisk(h *simulatedHost) {
	c.initializeDisk(h)
	h.core = nil
}

// checkServes checks that within recoveryLimit a leader acknowledges a change and has all that was acknowledged before.
func (c *cluster) checkServes(acknowledged uint64) {
	for end := c.now + recoveryLimit; c.now < end; c.run(restartPause, false) {
		l := c.leader()
		if l == nil {
			continue
		}
		if l.applied < acknowledged {
			c.t.Fatalf("the leader has applied %d of %d acknowledged entries", l.applied, acknowledged)
		}
		index, ok := l.core.Propose([]byte("last"), c.clock(l))
		c.flush(l)
		if c.run(restartPause, false); ok && c.acknowledged >= index {
			return
		}
	}
	c.t.Fatalf("no change is acknowledged %v after the last fault: %s", recoveryLimit, c.describe())
}

// restartLeader kills the leader, or the next one if there is none, starts it again after restartPause and returns it.
func (c *cluster) restartLeader() *simulatedHost {
	h := c.leader()
	if h == nil {
		c.run(time.Second, false)
		if h = c.leader(); h == nil {
			c.t.Fatalf("no leader to restart: %s", c.describe())
		}
	}
	c.restart(h)
	return h
}

// restart kills hosts at the same time and starts them again after restartPause.
func (c *cluster) restart(hosts ...*simulatedHost) {
	for _, h := range hosts {
		h.core = nil
	}
	c.runUntil(c.now + restartPause)
	for _, h := range hosts {
		c.start(h)
	}
}

// TestLeaderChangeBetweenTwoLostDisksEndsControl guards against control hosts that never elect a leader again: the leader is
// killed while a host without its disk is being replaced, and loses its own disk after that host has had catchUpLimit.
func TestLeaderChangeBetweenTwoLostDisksEndsControl(t *testing.T) {
	for _, hosts := range []int{3, 4, 5} {
		for killAfter := 600 * time.Millisecond; killAfter < catchUpLimit; killAfter += 400 * time.Millisecond {
			c := newCalmCluster(t, uint64(killAfter), hosts, 3)
			start, acknowledged := c.now, c.acknowledged
			first := c.leader()
			c.loseDisk(first)
			c.runUntil(start + restartPause)
			c.start(first)
			c.runUntil(start + killAfter)
			second := c.restartLeader()
			c.runUntil(max(c.now, start+restartPause+catchUpLimit+timeStep))
			c.loseDisk(second)
			c.runUntil(c.now + restartPause)
			c.start(second)
			c.checkServes(acknowledged)
			c.run(recoveryLimit, false)
			if got := len(c.leader().core.voters()); got != 3 {
				t.Fatalf("%d voters in the end, want 3: %s", got, c.describe())
			}
		}
	}
}

// TestLeaderDiskLostWhileFrozenVoterIsReplacedLosesChange guards against an acknowledged change that can't be read again: the
// leader loses its disk while a standby replica takes the place of a frozen voter, which still has its disk.
func TestLeaderDiskLostWhileFrozenVoterIsReplacedLosesChange(t *testing.T) {
	for offset := time.Duration(0); offset < 400*time.Millisecond; offset += 20 * time.Millisecond {
		c := newCalmCluster(t, uint64(offset), 4, 3)
		start, leader := c.now, c.leader()
		var frozen *simulatedHost
		for _, h := range c.hosts {
			if h != leader && h.core.isVoter() {
				frozen = h
			}
		}
		c.partitioned[frozen.name] = true
		c.runUntil(start + replaceReplicaAfter + offset)
		leader = c.leader()
		for before := c.acknowledged; c.acknowledged == before; {
			c.run(timeStep, false)
		}
		acknowledged := c.acknowledged
		c.loseDisk(leader)
		c.runUntil(c.now + restartPause)
		c.start(leader)
		c.run(time.Second, false)
		delete(c.partitioned, frozen.name)
		c.checkServes(acknowledged)
	}
}

// TestLeaderChangeAfterRemovedHostEndsControl guards against the same loss when the first host is replaced by one with another
// name: a new leader does not wait for the removed host anew, whether the leader alone or all older hosts are killed.
func TestLeaderChangeAfterRemovedHostEndsControl(t *testing.T) {
	for _, killAll := range []bool{false, true} {
		for killAfter := 600 * time.Millisecond; killAfter < catchUpLimit; killAfter += 400 * time.Millisecond {
			c := newCalmCluster(t, uint64(killAfter), 4, 3)
			start, acknowledged := c.now, c.acknowledged
			removed := c.leader()
			older := slices.DeleteFunc(slices.Clone(c.hosts), func(h *simulatedHost) bool { return h == removed })
			c.loseDisk(removed)
			c.runUntil(start + restartPause)
			successor := &simulatedHost{name: "successor", startTime: time.Unix(9000, 0), drift: 1}
			c.hosts = append(c.hosts, successor)
			c.initializeDisk(successor)
			c.runUntil(start + killAfter)
			second := older[0]
			if killAll {
				c.restart(older...)
			} else {
				second = c.restartLeader()
			}
			c.runUntil(max(c.now, start+restartPause+catchUpLimit+timeStep))
			c.loseDisk(second)
			c.runUntil(c.now + restartPause)
			c.start(second)
			c.checkServes(acknowledged)
		}
	}
}
