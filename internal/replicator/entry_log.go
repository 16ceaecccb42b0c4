package replicator

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/schema"
)

// systemRandom returns a random number in [0, n).
func systemRandom(n int64) int64 {
	return rand.Int64N(n)
}

// entryLog is the newest snapshot and the entries after base. Entries may reach back behind the snapshot.
type entryLog struct {
	snapshot *schema.Snapshot
	base     uint64
	baseTerm uint64
	entries  []*schema.LogEntry
}

func newEntryLog(s *schema.Snapshot, entries []*schema.LogEntry) entryLog {
	l := entryLog{snapshot: s, base: s.GetIndex(), baseTerm: s.GetTerm()}
	for _, e := range entries {
		// Entries behind the snapshot may remain in storage; only an unbroken run after it counts.
		if e.GetIndex() == l.last()+1 {
			l.entries = append(l.entries, e)
		}
	}
	return l
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// term returns the term of an entry, or zero when the log does not reach that far.
func (l *entryLog) term(index uint64) uint64 {
	switch {
	case index == l.base:
		return l.baseTerm
	case index == l.snapshot.GetIndex():
		return l.snapshot.GetTerm()
	case index < l.base || index > l.last():
		return 0
	default:
		return l.entries[index-l.base-1].GetTerm()
	}
}

func (l *entryLog) append(e *schema.LogEntry) {
	l.entries = append(l.entries, e)
}

// from returns the entries from an index to the end.
func (l *entryLog) from(index uint64) []*schema.LogEntry {
	return l.entries[index-l.base-1:]
}

// between returns the entries from one index to another, both included.
func (l *entryLog) between(first, last uint64) []*schema.LogEntry {
	return l.entries[first-l.base-1 : last-l.base]
}

// truncate drops the entries from an index on.
func (l *entryLog) truncate(index uint64) {
	// A copy, since earlier outputs share the old array.
	l.entries = append([]*schema.LogEntry(nil), l.entries[:index-l.base-1]...)
}

// batch returns entries from an index on, up to the size of one message.
func (l *entryLog) batch(index uint64) []*schema.LogEntry {
	if index > l.last() {
		return nil
	}
	size := 0
	all := l.from(index)
	for i, e := range all {
		size += len(e.GetData())
		if size > maxMessageBytes && i > 0 {
			return all[:i]
		}
	}
	return all
}

// reset replaces the log by a snapshot.
func (l *entryLog) reset(s *schema.Snapshot) {
	*l = entryLog{snapshot: s, base: s.GetIndex(), baseTerm: s.GetTerm()}
}

// compact takes a newer snapshot and drops entries well behind it.
func (l *entryLog) compact(s *schema.Snapshot) {
	l.snapshot = s
	if s.GetIndex() <= l.base+trailingEntries {
		return
	}
	base := s.GetIndex() - trailingEntries
	baseTerm := l.term(base)
	l.entries = append([]*schema.LogEntry(nil), l.entries[base-l.base:]...)
	l.base, l.baseTerm = base, baseTerm
}

func marshalSet(s *schema.ReplicaSet) []byte {
	data, err := proto.Marshal(s)
	if err != nil {
		panic(err)
	}
	return data
}
