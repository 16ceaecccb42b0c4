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
	step     = 5 * time.Millisecond
	maxDrift = 0.04
)

// host is one control host of the test: its disk, and its replica while it runs.
type host struct {
	name  string
	id    uint64
	disk  PersistentState
	core  *Core
	drift float64
	// skew is the host's clock minus the test's at time zero.
	skew    time.Time
	applied uint64
}

// letter is a message on its way.
type letter struct {
	at time.Duration
	m  *schema.ReplicaMessage
}

// world runs hosts under losses, delays, repeats, cuts, crashes, lost disks and clocks of different pace.
type world struct {
	t         *rapid.T
	random    *rand.Rand
	now       time.Duration
	hosts     []*host
	mail      []letter
	cut       map[string]bool
	lossy     float64
	crashes   float64
	nextID    uint64
	committed map[uint64]*schema.LogEntry
	leaders   map[uint64]uint64
	acked     uint64
	proposed  int
	lost      uint64
}

func newWorld(t *rapid.T, seed uint64, n int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), cut: map[string]bool{}, nextID: 1,
		committed: map[uint64]*schema.LogEntry{}, leaders: map[uint64]uint64{},
	}
	for i := range n {
		h := &host{name: fmt.Sprint("h", i), skew: time.Unix(int64(i)*1000, 0)}
		h.drift = 1 + maxDrift*(2*w.random.Float64()-1)
		w.hosts = append(w.hosts, h)
		w.blank(h)
	}
	first := w.hosts[0]
	first.core.Bootstrap(&schema.ReplicaInfo{Id: first.id, Name: first.name, Address: first.name}, w.clock(first))
	return w
}

func (w *world) blank(h *host) {
	h.id = w.nextID
	w.nextID++
	h.disk = PersistentState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
	h.applied = 0
	w.start(h)
}

func (w *world) clock(h *host) time.Time {
	return h.skew.Add(time.Duration(float64(w.now) * h.drift))
}

func (w *world) start(h *host) {
	h.core = New(h.id, h.disk, w.clock(h), WithRandom(func(n int64) int64 { return w.random.Int64N(n) }))
	h.applied = h.disk.Snapshot.GetIndex()
}

// flush carries out a host's output. A crash may strike before anything is on disk.
func (w *world) flush(h *host) {
	for h.core != nil {
		o := h.core.TakeOutput()
		if o.IsEmpty() {
			return
		}
		w.post(o.Appends)
		if w.random.Float64() < w.crashes {
			h.core = nil
			return
		}
		save(&h.disk, &o)
		h.core.MarkSynced()
		w.post(o.Messages)
		w.apply(h, &o)
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

func (w *world) apply(h *host, o *Output) {
	if o.Snapshot != nil {
		h.applied = o.Snapshot.GetIndex()
	}
	for _, e := range o.Committed {
		if e.GetIndex() != h.applied+1 {
			w.t.Fatalf("%s applies %d after %d", h.name, e.GetIndex(), h.applied)
		}
		h.applied = e.GetIndex()
		if known := w.committed[e.GetIndex()]; known != nil {
			if known.GetTerm() != e.GetTerm() || !bytes.Equal(known.GetData(), e.GetData()) {
				w.t.Fatalf("two entries are committed at %d", e.GetIndex())
			}
		}
		w.committed[e.GetIndex()] = e
		if h.core.role == Leader {
			w.acked = max(w.acked, e.GetIndex())
		}
	}
	if h.core.AppliedSinceSnapshot() > 40 && w.random.IntN(3) == 0 {
		snap := h.core.Compact(h.core.applied, []byte("state"))
		h.disk.Snapshot = snap
		for len(h.disk.Entries) > 0 && h.disk.Entries[0].GetIndex() <= snap.GetIndex() {
			h.disk.Entries = h.disk.Entries[1:]
		}
	}
}

func (w *world) post(messages []*schema.ReplicaMessage) {
	for _, m := range messages {
		copies := 1
		if w.random.IntN(30) == 0 {
			copies = 2
		}
		for range copies {
			if w.random.Float64() < w.lossy {
				continue
			}
			delay := time.Duration(w.random.Int64N(int64(4 * time.Millisecond)))
			if w.random.IntN(50) == 0 {
				delay = time.Duration(w.random.Int64N(int64(2 * time.Second)))
			}
			w.mail = append(w.mail, letter{at: w.now + delay, m: proto.Clone(m).(*schema.ReplicaMessage)})
		}
	}
}

func (w *world) byID(id uint64) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (w *world) isCut(a, b *host) bool {
	return a == nil || w.cut[a.name+b.name] || w.cut[a.name] || w.cut[b.name]
}

func (w *world) deliver() {
	var later []letter
	due := w.mail
	w.mail = nil
	for _, l := range due {
		if l.at > w.now {
			later = append(later, l)
			continue
		}
		to := w.byID(l.m.GetTo())
		if to == nil || to.core == nil || w.isCut(w.byID(l.m.GetFrom()), to) {
			continue
		}
		to.core.Step(l.m, w.clock(to))
		w.flush(to)
	}
	w.mail = append(w.mail, later...)
}

// check asserts what must hold at every moment.
func (w *world) check() {
	leading := 0
	for _, h := range w.hosts {
		if h.core == nil {
			continue
		}
		if h.core.role == Leader {
			if other, ok := w.leaders[h.core.term]; ok && other != h.id {
				w.t.Fatalf("two leaders in term %d", h.core.term)
			}
			w.leaders[h.core.term] = h.id
		}
		if h.core.IsLeading(w.clock(h)) {
			leading++
			if h.applied < w.acked {
				w.t.Fatalf("%s leads with a lease at %d, but %d was acknowledged", h.name, h.applied, w.acked)
			}
		}
	}
	if leading > 1 {
		w.t.Fatalf("%d leaders rely on their lease", leading)
	}
}

func (w *world) leader() *host {
	for _, h := range w.hosts {
		if h.core != nil && h.core.IsLeading(w.clock(h)) {
			return h
		}
	}
	return nil
}

// trouble brings about one event.
func (w *world) trouble() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	switch w.random.IntN(12) {
	case 0:
		h.core = nil
	case 1:
		w.cut[h.name] = true
	case 2:
		other := w.hosts[w.random.IntN(len(w.hosts))]
		w.cut[h.name+other.name] = true
	case 3, 4:
		w.cut = map[string]bool{}
	case 5:
		w.lossy = w.random.Float64() * 0.3
	case 6:
		w.lossy = 0
	case 7:
		w.loseDisk(h)
	case 8:
		if l := w.leader(); l != nil {
			_ = l.core.ChangeReplica(&schema.ChangeReplica{Kind: schema.ChangeReplica_KIND_TRANSFER}, w.clock(l))
			w.flush(l)
		}
	default:
		w.revive()
	}
}

func (w *world) revive() {
	for _, h := range w.hosts {
		if h.core == nil {
			w.start(h)
			w.flush(h)
		}
	}
}

// loseDisk empties a host's disk, unless an earlier one that lost its disk is still counted on: two disks lost at once
// are more than three replicas bear.
func (w *world) loseDisk(h *host) {
	l := w.leader()
	if l == nil || len(l.core.voters()) < 3 {
		return
	}
	for _, id := range l.core.voters() {
		if w.byID(id) == nil {
			return
		}
	}
	if w.lost != 0 && l.core.find(w.lost) != nil {
		return
	}
	// A set that is not committed may still be replaced by the one before it.
	if l.core.sets.currentIndex() > l.core.commit {
		return
	}
	w.lost = h.id
	w.blank(h)
}

// maintain does what the leader's upkeep does: hosts without a place join as learners, learners are promoted.
func (w *world) maintain() {
	l := w.leader()
	if l == nil {
		return
	}
	now := w.clock(l)
	for _, h := range w.hosts {
		if l.core.find(h.id) == nil && h.core != nil && h.core.IsBlank() && !w.isCut(h, l) {
			_ = l.core.ChangeReplica(&schema.ChangeReplica{
				Kind: schema.ChangeReplica_KIND_ADD_LEARNER, Id: h.id, Name: h.name, Address: h.name,
			}, now)
		}
	}
	for _, learner := range l.core.PromotableLearners(now) {
		change := &schema.ChangeReplica{Kind: schema.ChangeReplica_KIND_PROMOTE, Id: learner.GetId()}
		for _, r := range l.core.Status().Replicas {
			if r.GetName() == learner.GetName() && r.GetId() != learner.GetId() {
				change = &schema.ChangeReplica{Kind: schema.ChangeReplica_KIND_REMOVE, Id: r.GetId()}
			}
		}
		_ = l.core.ChangeReplica(change, now)
	}
	w.flush(l)
}

func (w *world) run(d time.Duration, troubles bool) {
	for end := w.now + d; w.now < end; w.now += step {
		for _, h := range w.hosts {
			if h.core != nil {
				h.core.Tick(w.clock(h))
				w.flush(h)
			}
		}
		w.deliver()
		if w.random.IntN(20) == 0 {
			w.maintain()
		}
		if troubles && w.random.IntN(25) == 0 {
			w.trouble()
		}
		if l := w.leader(); l != nil && w.random.IntN(4) == 0 {
			w.proposed++
			l.core.Propose(fmt.Appendf(nil, "%d", w.proposed), w.clock(l))
			w.flush(l)
		}
		w.check()
	}
}

// heal ends all trouble and expects that the hosts agree and go on.
func (w *world) heal() {
	w.cut, w.lossy, w.crashes = map[string]bool{}, 0, 0
	w.revive()
	w.run(6*time.Second, false)
	l := w.leader()
	if l == nil {
		w.t.Fatalf("no leader after all trouble ended: %s", w.describe())
	}
	before := w.acked
	w.run(time.Second, false)
	if w.acked <= before {
		w.t.Fatalf("nothing is committed after all trouble ended")
	}
	if n := len(w.leader().core.voters()); n != len(w.hosts) {
		w.t.Fatalf("%d of %d hosts vote after all trouble ended", n, len(w.hosts))
	}
}

// describe shows the hosts for a failed run.
func (w *world) describe() string {
	var b strings.Builder
	for _, h := range w.hosts {
		fmt.Fprintf(&b, "\n%s id %d", h.name, h.id)
		if h.core == nil {
			continue
		}
		s := h.core.Status()
		fmt.Fprintf(&b, " role %d term %d last %d commit %d set at %d:", s.Role, s.Term, h.core.log.last(), s.Commit, h.core.sets.currentIndex())
		for _, r := range s.Replicas {
			fmt.Fprintf(&b, " %s/%d/%v", r.GetName(), r.GetId(), r.GetLearner())
		}
	}
	return b.String()
}

// TestRandomSchedules runs seeded schedules of trouble and checks agreement, the lease and recovery.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		n := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "hosts")
		w := newWorld(t, seed, n)
		w.run(3*time.Second, false)
		w.crashes = 0.0005
		w.run(12*time.Second, true)
		w.heal()
	})
}
