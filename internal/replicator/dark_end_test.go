package replicator

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxAckWait is the simulated time in which a change is acknowledged although faults go on.
const maxAckWait = 30 * time.Second

// runToAcknowledgement runs until a change has just been acknowledged while every voter has kept its disk.
func (c *cluster) runToAcknowledgement() {
	for end := c.now + maxAckWait; c.now < end; {
		before := c.acknowledged
		c.run(timeStep, true)
		l := c.leader()
		if c.acknowledged > before && l != nil && l.core.sets.currentIndex() <= l.core.commit && len(l.core.voters()) == len(c.hosts) {
			return
		}
	}
	c.t.Fatalf("nothing was acknowledged in %v: %s", maxAckWait, c.describe())
}

// loseAllPower stops all hosts and empties the disks of some. Of the writes in progress each is on disk or missing.
func (c *cluster) loseAllPower(lostDisks int) {
	for _, q := range c.queue {
		to := c.byID(q.message.GetTo())
		if to == nil || to.core == nil || c.random.IntN(2) == 0 {
			continue
		}
		to.core.Step(q.message, c.clock(to))
		o := to.core.TakeOutput()
		if c.random.IntN(2) == 0 {
			save(&to.disk, &o)
		} else {
			to.core = nil
		}
	}
	c.queue = nil
	for i, at := range c.random.Perm(len(c.hosts)) {
		h := c.hosts[at]
		if i < lostDisks {
			c.initializeDisk(h)
		}
		h.core = nil
	}
}

// restartInAnyOrder starts the hosts one after the other.
func (c *cluster) restartInAnyOrder() {
	c.partitioned, c.lossRate, c.crashRate = map[string]bool{}, 0, 0
	for _, at := range c.random.Perm(len(c.hosts)) {
		c.start(c.hosts[at])
		c.flush(c.hosts[at])
		c.run(time.Duration(c.random.Int64N(int64(time.Second))), false)
	}
}

func TestRandomDisksLostWhileAllPowerIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		losses := rapid.SampledFrom([]int{1, 1, 2}).Draw(t, "lost disks")
		c := newCluster(t, seed, 2*losses+1)
		c.run(3*time.Second, false)
		c.keepDisks = true
		c.crashRate = 0.0005
		c.runToAcknowledgement()
		for range c.random.IntN(200) {
			c.run(timeStep, true)
		}
		c.runToAcknowledgement()
		acknowledged := c.acknowledged
		c.loseAllPower(losses)
		c.restartInAnyOrder()
		c.heal()
		for _, h := range c.hosts {
			if h.applied < acknowledged {
				t.Errorf("%s has applied %d of %d acknowledged entries", h.name, h.applied, acknowledged)
			}
		}
	})
}
