package replicator

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	timeStep = 5 * time.Millisecond
	maxDrift = 0.04
)

// simulatedHost is a control host: its disk, and its replica while it runs.
type simulatedHost struct {
	name  string
	id    uint64
	disk  PersistentState
	core  *Core
	drift float64
	// startTime is the reading of the host's clock at the start of the simulation.
	startTime time.Time
	applied   uint64
}

// queuedMessage is a message in transit.
type queuedMessage struct {
	deliverAt time.Duration
	message   *schema.ReplicaMessage
}

// cluster simulates hosts under message loss, delay and duplication, network partitions, crashes, disk loss and clocks
// that run at different rates.
type cluster struct {
	t            rapid.TB
	random       *rand.Rand
	now          time.Duration
	hosts        []*simulatedHost
	queue        []queuedMessage
	partitioned  map[string]bool // names of isolated hosts, and sender+receiver names of broken links
	lossRate     float64
	crashRate    float64
	nextID       uint64
	committed    map[uint64]*schema.LogEntry
	leaders      map[uint64]uint64
	acknowledged uint64
	proposed     int
	lastWiped    uint64
	keepDisks    bool
	wantedVoters int // zero means all
}

func newCluster(t rapid.TB, seed uint64, n int) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), partitioned: map[string]bool{}, nextID: 1,
		committed: map[uint64]*schema.LogEntry{}, leaders: map[uint64]uint64{},
	}
	for i := range n {
		h := &simulatedHost{name: fmt.Sprint("h", i), startTime: time.Unix(int64(i)*1000, 0)}
		h.drift = 1 + maxDrift*(2*c.random.Float64()-1)
		c.hosts = append(c.hosts, h)
		c.initializeDisk(h)
	}
	first := c.hosts[0]
	first.core.Bootstrap(&schema.ReplicaInfo{Id: first.id, Name: first.name, Address: first.name}, c.clock(first))
	return c
}

func (c *cluster) initializeDisk(h *simulatedHost) {
	h.id = c.nextID
	c.nextID++
	h.disk = PersistentState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
	h.applied = 0
	c.start(h)
}

func (c *cluster) clock(h *simulatedHost) time.Time {
	return h.startTime.Add(time.Duration(float64(c.now) * h.drift))
}

func (c *cluster) start(h *simulatedHost) {
	h.core = New(h.id, h.disk, c.clock(h), WithRandom(func(n int64) int64 { return c.random.Int64N(n) }))
	h.applied = h.disk.Snapshot.GetIndex()
}

// flush processes a host's output. The host may crash after it has sent Appends and before anything is on disk.
func (c *cluster) flush(h *simulatedHost) {
	for h.core != nil {
		o := h.core.TakeOutput()
		if o.IsEmpty() {
			return
		}
		c.send(o.Appends)
		if c.random.Float64() < c.crashRate {
			h.core = nil
			return
		}
		save(&h.disk, &o)
		h.core.MarkSynced()
		c.send(o.Messages)
		c.apply(h, &o)
	}
}

func save(d *PersistentState, o *Output) {
	if o.HardState != nil {
		d.HardState = proto.Clone(o.HardState).(*schema.HardState)
	}
	if o.Snapshot != nil {
		d.Snapshot, d.Entries = o.Snapshot, nil
	}
	for len(o.Entries) > 0 && len(d.Entries) > 0 && d.Entries[len(d.Entries)-1].GetIndex() >= o.Entries[0].GetIndex() {
		d.Entries = d.Entries[:len(d.Entries)-1]
	}
	d.Entries = append(d.Entries[:len(d.Entries):len(d.Entries)], o.Entries...)
}

func (c *cluster) apply(h *simulatedHost, o *Output) {
	if o.Snapshot != nil {
		h.applied = o.Snapshot.GetIndex()
	}
	for _, e := range o.Committed {
		if e.GetIndex() != h.applied+1 {
			c.t.Fatalf("%s applied entry %d after entry %d", h.name, e.GetIndex(), h.applied)
		}
		h.applied = e.GetIndex()
		if earlier := c.committed[e.GetIndex()]; earlier != nil {
			if earlier.GetTerm() != e.GetTerm() || !bytes.Equal(earlier.GetData(), e.GetData()) {
				c.t.Fatalf("two different entries are committed at index %d", e.GetIndex())
			}
		}
		c.committed[e.GetIndex()] = e
		if h.core.role == Leader {
			c.acknowledged = max(c.acknowledged, e.GetIndex())
		}
	}
	if entries, _ := h.core.AppliedSinceSnapshot(); entries > 40 && c.random.IntN(3) == 0 {
		snap := h.core.Compact(h.core.applied, []byte("state"))
		h.disk.Snapshot = snap
		for len(h.disk.Entries) > 0 && h.disk.Entries[0].GetIndex() <= snap.GetIndex() {
			h.disk.Entries = h.disk.Entries[1:]
		}
	}
}

func (c *cluster) send(messages []*schema.ReplicaMessage) {
	for _, m := range messages {
		copies := 1
		if c.random.IntN(30) == 0 {
			copies = 2
		}
		for range copies {
			if c.random.Float64() < c.lossRate {
				continue
			}
			delay := time.Duration(c.random.Int64N(int64(4 * time.Millisecond)))
			if c.random.IntN(50) == 0 {
				delay = time.Duration(c.random.Int64N(int64(2 * time.Second)))
			}
			c.queue = append(c.queue, queuedMessage{deliverAt: c.now + delay, message: proto.Clone(m).(*schema.ReplicaMessage)})
		}
	}
}

func (c *cluster) byID(id uint64) *simulatedHost {
	for _, h := range c.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (c *cluster) isPartitioned(a, b *simulatedHost) bool {
	return a == nil || c.partitioned[a.name+b.name] || c.partitioned[a.name] || c.partitioned[b.name]
}

func (c *cluster) deliver() {
	var later []queuedMessage
	due := c.queue
	c.queue = nil
	for _, q := range due {
		if q.deliverAt > c.now {
			later = append(later, q)
			continue
		}
		to := c.byID(q.message.GetTo())
		if to == nil || to.core == nil || c.isPartitioned(c.byID(q.message.GetFrom()), to) {
			continue
		}
		to.core.Step(q.message, c.clock(to))
		c.flush(to)
	}
	c.queue = append(c.queue, later...)
}

// check fails the test if an invariant that must hold at all times is broken.
func (c *cluster) check() {
	leading := 0
	for _, h := range c.hosts {
		if h.core == nil {
			continue
		}
		if h.core.role == Leader {
			if other, ok := c.leaders[h.core.term]; ok && other != h.id {
				c.t.Fatalf("two leaders in term %d", h.core.term)
			}
			c.leaders[h.core.term] = h.id
		}
		if h.core.IsLeading(c.clock(h)) {
			leading++
			if h.applied < c.acknowledged {
				c.t.Fatalf("%s holds a lease and has applied up to %d, but %d was acknowledged", h.name, h.applied, c.acknowledged)
			}
		}
	}
	if leading > 1 {
		c.t.Fatalf("%d leaders hold a lease at the same time", leading)
	}
}

func (c *cluster) leader() *simulatedHost {
	for _, h := range c.hosts {
		if h.core != nil && h.core.IsLeading(c.clock(h)) {
			return h
		}
	}
	return nil
}

// injectFault injects one random fault, or ends earlier ones.
func (c *cluster) injectFault() {
	h := c.hosts[c.random.IntN(len(c.hosts))]
	switch c.random.IntN(12) {
	case 0:
		h.core = nil
	case 1:
		c.partitioned[h.name] = true
	case 2:
		other := c.hosts[c.random.IntN(len(c.hosts))]
		c.partitioned[h.name+other.name] = true
	case 3, 4:
		c.partitioned = map[string]bool{}
	case 5:
		c.lossRate = c.random.Float64() * 0.3
	case 6:
		c.lossRate = 0
	case 7:
		c.wipeDisk(h)
	case 8:
		if l := c.leader(); l != nil {
			_ = l.core.ChangeReplica(&schema.ChangeReplica{Kind: schema.ChangeReplica_KIND_TRANSFER}, c.clock(l))
			c.flush(l)
		}
	default:
		c.restartStopped()
	}
}

func (c *cluster) restartStopped() {
	for _, h := range c.hosts {
		if h.core == nil {
			c.start(h)
			c.flush(h)
		}
	}
}

// wipeDisk empties a host's disk, unless the replica set still has the replica whose disk was wiped before: three
// replicas don't survive the loss of two disks at the same time.
func (c *cluster) wipeDisk(h *simulatedHost) {
	l := c.leader()
	if c.keepDisks || l == nil || len(l.core.voters()) < 3 {
		return
	}
	for _, id := range l.core.voters() {
		if c.byID(id) == nil {
			return
		}
	}
	if c.lastWiped != 0 && l.core.replica(c.lastWiped) != nil {
		return
	}
	// A set that is not committed may still be replaced by the previous one.
	if l.core.sets.currentIndex() > l.core.commit {
		return
	}
	c.lastWiped = h.id
	c.initializeDisk(h)
}

// maintainReplicas changes the replica set as a leading control host does: it adds hosts with an empty disk as
// learners, and makes the next change that is due.
func (c *cluster) maintainReplicas() {
	l := c.leader()
	if l == nil {
		return
	}
	now := c.clock(l)
	for _, h := range c.hosts {
		if l.core.replica(h.id) == nil && h.core != nil && h.core.IsBlank() && !c.isPartitioned(h, l) {
			_ = l.core.ChangeReplica(&schema.ChangeReplica{
				Kind: schema.ChangeReplica_KIND_ADD_LEARNER, Id: h.id, Name: h.name, Address: h.name,
			}, now)
		}
	}
	if change := l.core.NextChange(c.wantedVoters, now); change != nil {
		_ = l.core.ChangeReplica(change, now)
	}
	c.flush(l)
}

func (c *cluster) run(d time.Duration, faults bool) {
	for end := c.now + d; c.now < end; c.now += timeStep {
		for _, h := range c.hosts {
			if h.core != nil {
				h.core.Tick(c.clock(h))
				c.flush(h)
			}
		}
		c.deliver()
		if c.random.IntN(20) == 0 {
			c.maintainReplicas()
		}
		if faults && c.random.IntN(25) == 0 {
			c.injectFault()
		}
		if l := c.leader(); l != nil && c.random.IntN(4) == 0 {
			c.proposed++
			l.core.Propose(fmt.Appendf(nil, "%d", c.proposed), c.clock(l))
			c.flush(l)
		}
		c.check()
	}
}

// heal ends all faults and checks that the hosts elect a leader, commit entries, and are all voters again.
func (c *cluster) heal() {
	c.partitioned, c.lossRate, c.crashRate = map[string]bool{}, 0, 0
	c.restartStopped()
	c.run(6*time.Second, false)
	l := c.leader()
	if l == nil {
		c.t.Fatalf("no leader after all faults ended: %s", c.describe())
	}
	before := c.acknowledged
	c.run(time.Second, false)
	if c.acknowledged <= before {
		c.t.Fatalf("nothing is committed after all faults ended")
	}
	if n := len(c.leader().core.voters()); n != len(c.hosts) {
		c.t.Fatalf("%d of %d hosts are voters after all faults ended", n, len(c.hosts))
	}
}

// describe returns the states of the hosts for a failure message.
func (c *cluster) describe() string {
	var b strings.Builder
	for _, h := range c.hosts {
		fmt.Fprintf(&b, "\n%s id %d", h.name, h.id)
		if h.core == nil {
			continue
		}
		s := h.core.Status()
		fmt.Fprintf(&b, " role %d term %d last %d commit %d set at %d:",
			s.Role, s.Term, h.core.log.lastIndex(), s.Commit, h.core.sets.currentIndex())
		for _, r := range s.Replicas {
			fmt.Fprintf(&b, " %s/%d/%v", r.GetName(), r.GetId(), r.GetLearner())
		}
	}
	return b.String()
}

// TestRandomSchedules runs seeded schedules of faults and checks agreement, leases and recovery.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		n := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "hosts")
		c := newCluster(t, seed, n)
		c.run(3*time.Second, false)
		c.crashRate = 0.0005
		c.run(12*time.Second, true)
		c.heal()
	})
}
