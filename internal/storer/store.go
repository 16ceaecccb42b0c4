// Package storer keeps a control replica's identity, log and snapshot in its data folder. Everything is synced before
// a call returns.
package storer

import (
	"crypto/rand"
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/internal/replicator"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// fileName is the database in the data folder.
	fileName = "control.db"
	// lockTimeout bounds the wait for another process that holds the folder.
	lockTimeout = time.Second
	folderMode  = 0o700
	fileMode    = 0o600
	sumSize     = 4
)

var (
	metaBucket  = []byte("meta")
	logBucket   = []byte("log")
	identityKey = []byte("identity")
	hardKey     = []byte("hard")
	snapshotKey = []byte("snapshot")
)

// ErrDamaged is returned when a record does not match its checksum.
var ErrDamaged = errors.New("data folder is damaged; move it away and start the host again, so that it rejoins with an empty one")

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	db       *bbolt.DB
	identity *schema.Identity
}

// Open opens a data folder, and makes it with a fresh identity when it is empty. It returns an error when the folder
// belongs to another name or another process holds it.
func Open(folder, name string) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	file := filepath.Join(folder, fileName)
	db, err := bbolt.Open(file, fileMode, &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", file)
	}
	s := &Store{db: db}
	if err := s.begin(name); err != nil {
		_ = db.Close()
		return nil, err
	}
	return s, errors.Wrap(syncFolder(folder), "sync data folder")
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// begin makes the buckets and reads or draws the identity.
func (s *Store) begin(name string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		s.identity = &schema.Identity{}
		if data := meta.Get(identityKey); data != nil {
			if err := open(data, s.identity); err != nil {
				return err
			}
			if s.identity.GetName() != name {
				return errors.Errorf("data folder belongs to %q, not to %q", s.identity.GetName(), name)
			}
			return nil
		}
		s.identity = &schema.Identity{Id: newID(), Name: name}
		return meta.Put(identityKey, seal(s.identity))
	})
}

func newID() uint64 {
	var b [8]byte
	for {
		// Read never fails; it stops the process when the system has no randomness.
		_, _ = rand.Read(b[:])
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

// Identity returns the identity that is bound to the folder.
func (s *Store) Identity() *schema.Identity {
	return s.identity
}

// Load reads what was saved. It returns ErrDamaged when a record is broken.
func (s *Store) Load() (replicator.PersistentState, error) {
	saved := replicator.PersistentState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
	err := s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if err := openIfSet(meta.Get(hardKey), saved.HardState); err != nil {
			return err
		}
		if err := openIfSet(meta.Get(snapshotKey), saved.Snapshot); err != nil {
			return err
		}
		return tx.Bucket(logBucket).ForEach(func(_, v []byte) error {
			e := &schema.LogEntry{}
			if err := open(v, e); err != nil {
				return err
			}
			saved.Entries = append(saved.Entries, e)
			return nil
		})
	})
	if err != nil {
		return saved, err
	}
	return saved, checkRun(saved)
}

// checkRun makes sure that no entry is missing after the snapshot.
func checkRun(saved replicator.PersistentState) error {
	for i, e := range saved.Entries {
		if i > 0 && e.GetIndex() != saved.Entries[i-1].GetIndex()+1 {
			return errors.Wrapf(ErrDamaged, "entry %d is missing", saved.Entries[i-1].GetIndex()+1)
		}
	}
	if len(saved.Entries) > 0 && saved.Entries[0].GetIndex() > saved.Snapshot.GetIndex()+1 {
		return errors.Wrapf(ErrDamaged, "entry %d is missing", saved.Snapshot.GetIndex()+1)
	}
	return nil
}

// Save writes an output's hard state, snapshot and entries in one synced transaction.
func (s *Store) Save(o *replicator.Output) error {
	if o.HardState == nil && o.Snapshot == nil && len(o.Entries) == 0 {
		return nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if o.HardState != nil {
			if err := meta.Put(hardKey, seal(o.HardState)); err != nil {
				return err
			}
		}
		if o.Snapshot != nil {
			if err := meta.Put(snapshotKey, seal(o.Snapshot)); err != nil {
				return err
			}
			if err := clearFrom(log, 0); err != nil {
				return err
			}
		}
		return putEntries(log, o.Entries)
	})
	return errors.Wrap(err, "save log")
}

func putEntries(log *bbolt.Bucket, entries []*schema.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := clearFrom(log, entries[0].GetIndex()); err != nil {
		return err
	}
	for _, e := range entries {
		if err := log.Put(indexKey(e.GetIndex()), seal(e)); err != nil {
			return err
		}
	}
	return nil
}

func clearFrom(log *bbolt.Bucket, index uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(index)); k != nil; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// SaveSnapshot writes a snapshot of this replica's own state and drops the entries up to its index.
func (s *Store) SaveSnapshot(snap *schema.Snapshot) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if err := tx.Bucket(metaBucket).Put(snapshotKey, seal(snap)); err != nil {
			return err
		}
		c := tx.Bucket(logBucket).Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= snap.GetIndex(); k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
	return errors.Wrap(err, "save snapshot")
}

// Close closes the folder.
func (s *Store) Close() error {
	return s.db.Close()
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

// seal encodes a record behind its checksum.
func seal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "marshal record"))
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+sumSize), crc32.ChecksumIEEE(data))
	return append(out, data...)
}

func open(data []byte, m proto.Message) error {
	if len(data) < sumSize || crc32.ChecksumIEEE(data[sumSize:]) != binary.BigEndian.Uint32(data) {
		return ErrDamaged
	}
	if err := proto.Unmarshal(data[sumSize:], m); err != nil {
		return errors.Wrap(ErrDamaged, err.Error())
	}
	return nil
}

func openIfSet(data []byte, m proto.Message) error {
	if data == nil {
		return nil
	}
	return open(data, m)
}
