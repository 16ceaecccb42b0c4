package replicator

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// losses injects the losses that a fleet must bear: hosts that are killed, isolated or lose their disks. A lost disk counts until its
// host has run for catchUpLimit beside a majority of the other hosts. No more disks are lost at a time than are tolerated.
type losses struct {
	*cluster
	tolerated int
	// backAt is when each killed or isolated host is back.
	backAt map[*simulatedHost]time.Duration
	// caughtUp is the time for which each host that lost its disk has run since.
	caughtUp map[*simulatedHost]time.Duration
}

// available reports whether a host runs and is connected.
func (l *losses) available(h *simulatedHost) bool {
	return h.core != nil && !l.partitioned[h.name]
}

// advance runs the cluster for a while, and returns hosts whose time has come.
func (l *losses) advance(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.run(timeStep, false)
		n := 0
		for _, h := range l.hosts {
			if at, ok := l.backAt[h]; ok && l.now >= at {
				delete(l.backAt, h)
				delete(l.partitioned, h.name)
				if h.core == nil {
					l.start(h)
				}
			}
			if l.available(h) {
				n++
			}
		}
		for h, t := range l.caughtUp {
			switch {
			case t >= catchUpLimit:
				delete(l.caughtUp, h)
			case l.available(h) && n > len(l.hosts)/2 && l.leader() != nil:
				l.caughtUp[h] = t + timeStep
			}
		}
	}
}

// inject injects one random loss, or changes the leader.
func (l *losses) inject() {
	h := l.hosts[l.random.IntN(len(l.hosts))]
	if leader := l.leader(); leader != nil && l.random.IntN(3) == 0 {
		h = leader
	}
	back := l.now + restartPause + time.Duration(l.random.Int64N(int64(4*time.Second)))
	switch l.random.IntN(5) {
	case 0, 1:
		if len(l.caughtUp) < l.tolerated && l.caughtUp[h] == 0 {
			l.loseDisk(h)
			l.caughtUp[h] = timeStep
			l.backAt[h] = l.now + restartPause
		}
	case 2:
		h.core = nil
		l.backAt[h] = back
	case 3:
		l.partitioned[h.name] = true
		l.backAt[h] = back
	default:
		h.core = nil
		l.backAt[h] = l.now + restartPause
	}
}

func (l *losses) restoreAll() {
	for h := range l.backAt {
		l.backAt[h] = l.now
	}
	l.advance(timeStep)
}

// TestRandomToleratedLossesEndControl guards against control hosts that lose what was acknowledged, or accept no change
// recoveryLimit after all are back, although no more disks were lost at a time than are tolerated.
func TestRandomToleratedLossesEndControl(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		hosts := rapid.SampledFrom([]int{3, 4, 4, 5, 9}).Draw(t, "hosts")
		tolerated := 1
		if hosts == 9 {
			tolerated = 2
		}
		c := newCluster(t, seed, hosts)
		c.wantedVoters = 2*tolerated + 1
		c.run(3*time.Second, false)
		l := &losses{
			cluster: c, tolerated: tolerated, backAt: map[*simulatedHost]time.Duration{}, caughtUp: map[*simulatedHost]time.Duration{},
		}
		for range 8 {
			l.inject()
			l.advance(time.Duration(l.random.Int64N(int64(3 * time.Second))))
		}
		acknowledged := l.acknowledged
		l.restoreAll()
		l.checkServes(acknowledged)
	})
}
