// Package storer keeps a control replica's identity, log and snapshot in its data folder. Writes are synced to disk
// before the call returns.
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
	// fileName is the database file in the data folder.
	fileName = "control.db"
	// newFileName is the name of the database file until its first contents are synced.
	newFileName = "control.db.new"
	// lockTimeout bounds the wait for the database lock while another process holds it.
	lockTimeout  = time.Second
	folderMode   = 0o700
	fileMode     = 0o600
	checksumSize = 4
)

var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	identityKey  = []byte("identity")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
)

// ErrDamaged is returned when a record does not match its checksum, can't be decoded or is missing.
var ErrDamaged = errors.New("data folder is damaged; move it away and start the host again, so that it rejoins with an empty one")

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	db       *bbolt.DB
	identity *schema.Identity
}

// Open opens a data folder and creates it if necessary. It gives the folder a new identity if it has none. It returns an
// error when the folder belongs to a host of another name or is in use by another process.
func Open(folder, name string) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	file := filepath.Join(folder, fileName)
	if _, err := os.Stat(file); errors.Is(err, os.ErrNotExist) {
		if err := createFile(folder, name); err != nil {
			return nil, err
		}
	}
	s, err := openFile(file, name)
	if err != nil {
		return nil, err
	}
	return s, errors.Wrap(syncFolder(folder), "sync data folder")
}

// createFile creates the database file with its first contents. After a loss of power the file either is complete or does not
// exist, since it gets its name only once it is synced.
func createFile(folder, name string) error {
	created := filepath.Join(folder, newFileName)
	if err := os.RemoveAll(created); err != nil {
		return errors.Wrap(err, "remove the file of an interrupted start")
	}
	s, err := openFile(created, name)
	if err != nil {
		return err
	}
	if err := s.Close(); err != nil {
		return errors.Wrapf(err, "close %s", created)
	}
	return errors.Wrap(os.Rename(created, filepath.Join(folder, fileName)), "name the database file")
}

// openFile opens a database file and gives it a new identity if it has none.
func openFile(file, name string) (*Store, error) {
	db, err := bbolt.Open(file, fileMode, &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", file)
	}
	s := &Store{db: db}
	if err := s.initialize(name); err != nil {
		_ = db.Close()
		return nil, err
	}
	return s, nil
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// initialize creates the buckets and reads the identity, or creates one.
func (s *Store) initialize(name string) error {
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
			if err := decode(data, s.identity); err != nil {
				return err
			}
			if s.identity.GetName() != name {
				return errors.Errorf("data folder belongs to %q, not to %q", s.identity.GetName(), name)
			}
			return nil
		}
		s.identity = &schema.Identity{Id: newID(), Name: name}
		return meta.Put(identityKey, encode(s.identity))
	})
}

func newID() uint64 {
	var b [8]byte
	for {
		// Read never returns an error; it crashes the program when the system's random source fails.
		_, _ = rand.Read(b[:])
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

// Identity returns the identity bound to the folder.
func (s *Store) Identity() *schema.Identity {
	return s.identity
}

// Load returns the saved state. It returns ErrDamaged, possibly wrapped, when a record is corrupt or missing.
func (s *Store) Load() (replicator.PersistentState, error) {
	saved := replicator.PersistentState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
	err := s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if err := decodeIfSet(meta.Get(hardStateKey), saved.HardState); err != nil {
			return err
		}
		if err := decodeIfSet(meta.Get(snapshotKey), saved.Snapshot); err != nil {
			return err
		}
		return tx.Bucket(logBucket).ForEach(func(_, v []byte) error {
			e := &schema.LogEntry{}
			if err := decode(v, e); err != nil {
				return err
			}
			saved.Entries = append(saved.Entries, e)
			return nil
		})
	})
	if err != nil {
		return saved, err
	}
	return saved, checkContiguous(saved)
}

// checkContiguous returns a wrapped ErrDamaged if the entries have a gap, or one is missing between the snapshot and them.
func checkContiguous(saved replicator.PersistentState) error {
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

// Save writes the hard state, snapshot and entries of an output in one synced transaction.
func (s *Store) Save(o *replicator.Output) error {
	if o.HardState == nil && o.Snapshot == nil && len(o.Entries) == 0 {
		return nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if o.HardState != nil {
			if err := meta.Put(hardStateKey, encode(o.HardState)); err != nil {
				return err
			}
		}
		if o.Snapshot != nil {
			if err := meta.Put(snapshotKey, encode(o.Snapshot)); err != nil {
				return err
			}
			if err := deleteFrom(log, 0); err != nil {
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
	if err := deleteFrom(log, entries[0].GetIndex()); err != nil {
		return err
	}
	for _, e := range entries {
		if err := log.Put(indexKey(e.GetIndex()), encode(e)); err != nil {
			return err
		}
	}
	return nil
}

func deleteFrom(log *bbolt.Bucket, index uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(index)); k != nil; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// SaveSnapshot writes a snapshot of this replica's own state and deletes the entries up to its index.
func (s *Store) SaveSnapshot(snap *schema.Snapshot) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if err := tx.Bucket(metaBucket).Put(snapshotKey, encode(snap)); err != nil {
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

// Close closes the data folder.
func (s *Store) Close() error {
	return s.db.Close()
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

// encode returns the encoded record, preceded by its checksum.
func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "marshal record"))
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+checksumSize), crc32.ChecksumIEEE(data))
	return append(out, data...)
}

func decode(data []byte, m proto.Message) error {
	if len(data) < checksumSize || crc32.ChecksumIEEE(data[checksumSize:]) != binary.BigEndian.Uint32(data) {
		return ErrDamaged
	}
	if err := proto.Unmarshal(data[checksumSize:], m); err != nil {
		return errors.Wrap(ErrDamaged, err.Error())
	}
	return nil
}

func decodeIfSet(data []byte, m proto.Message) error {
	if data == nil {
		return nil
	}
	return decode(data, m)
}
