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

// entryLog is the newest snapshot and the entries after baseIndex, which may precede the snapshot's index.
type entryLog struct {
	snapshot  *schema.Snapshot
	baseIndex uint64
	baseTerm  uint64
	entries   []*schema.LogEntry
}

func newEntryLog(s *schema.Snapshot, entries []*schema.LogEntry) entryLog {
	l := entryLog{snapshot: s, baseIndex: s.GetIndex(), baseTerm: s.GetTerm()}
	for _, e := range entries {
		// Storage may still hold entries up to the snapshot's index. Load only the contiguous entries after it.
		if e.GetIndex() == l.lastIndex()+1 {
			l.entries = append(l.entries, e)
		}
	}
	return l
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

// term returns the term of the entry at index, or zero when it is not known.
func (l *entryLog) term(index uint64) uint64 {
	switch {
	case index == l.baseIndex:
		return l.baseTerm
	case index == l.snapshot.GetIndex():
		return l.snapshot.GetTerm()
	case index < l.baseIndex || index > l.lastIndex():
		return 0
	default:
		return l.entries[index-l.baseIndex-1].GetTerm()
	}
}

func (l *entryLog) append(e *schema.LogEntry) {
	l.entries = append(l.entries, e)
}

// from returns the entries from index to the end of the log.
func (l *entryLog) from(index uint64) []*schema.LogEntry {
	return l.entries[index-l.baseIndex-1:]
}

// between returns the entries from first to last, inclusive.
func (l *entryLog) between(first, last uint64) []*schema.LogEntry {
	return l.entries[first-l.baseIndex-1 : last-l.baseIndex]
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	// Copy the entries, since earlier outputs share the backing array.
	l.entries = append([]*schema.LogEntry(nil), l.entries[:index-l.baseIndex-1]...)
}

// batch returns the entries from index on that fit into one message, but at least one entry if there is any.
func (l *entryLog) batch(index uint64) []*schema.LogEntry {
	if index > l.lastIndex() {
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

// reset replaces the log with a snapshot.
func (l *entryLog) reset(s *schema.Snapshot) {
	*l = entryLog{snapshot: s, baseIndex: s.GetIndex(), baseTerm: s.GetTerm()}
}

// compact replaces the snapshot with a newer one and drops the entries that precede it by more than trailingEntries or
// trailingBytes.
func (l *entryLog) compact(s *schema.Snapshot) {
	l.snapshot = s
	base := s.GetIndex()
	for size := 0; base > l.baseIndex && s.GetIndex()-base < trailingEntries; base-- {
		size += len(l.entries[base-l.baseIndex-1].GetData())
		if size > trailingBytes {
			break
		}
	}
	if base == l.baseIndex {
		return
	}
	baseTerm := l.term(base)
	l.entries = append([]*schema.LogEntry(nil), l.entries[base-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = base, baseTerm
}

func marshalSet(s *schema.ReplicaSet) []byte {
	data, err := proto.Marshal(s)
	if err != nil {
		panic(err)
	}
	return data
}
