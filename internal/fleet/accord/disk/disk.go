// Package disk keeps what a seat of the council has promised, so that it comes back as the same voter: one file of bbolt (kept by
// its project, one writer, crash-safe pages). What cannot be right is refused by name, never mended: a voter that has lost part of
// its memory must not go on as if it had all of it.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftdeal/internal/fleet/accord"
	"swiftdeal/internal/fleet/wire"
)

// Form is the version of the file's form.
const Form = 1

// Reasons for which a file is refused.
var (
	ErrForm    = errors.New("of another form")
	ErrDamaged = errors.New("damaged")
	ErrSeat    = errors.New("another seat's")
	ErrHeld    = errors.New("held by another process")
)

var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log")
	keyForm    = []byte("form")
	keySeat    = []byte("seat")
	keyGroup   = []byte("group")
	keyHard    = []byte("hard")
	keySnap    = []byte("snapshot")
)

// group is what is kept of the seat's part in a group.
type group struct {
	Group  accord.Group   `cbor:"1,keyasint"`
	Rank   accord.Group   `cbor:"2,keyasint"`
	ID     uint64         `cbor:"3,keyasint"`
	Voters []accord.Voter `cbor:"4,keyasint"`
	First  uint64         `cbor:"5,keyasint"` // of the log
	Last   uint64         `cbor:"6,keyasint"`
}

// Store is an open file.
type Store struct {
	db    *bbolt.DB
	g     group         // as the file has it
	whole *accord.Saved // all that the file holds
	doubt bool          // a commit has failed: what of it has reached the disk is not known
}

// sealed puts a checksum before a value.
func sealed(key, v []byte) []byte {
	b := binary.BigEndian.AppendUint64(nil, sum(key, v))
	return append(b, v...)
}

func sum(key, v []byte) uint64 {
	d := xxhash.New()
	d.Write(key)
	d.Write([]byte{0})
	d.Write(v)
	return d.Sum64()
}

// opened takes the checksum off.
func opened(key, b []byte) ([]byte, error) {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != sum(key, b[8:]) {
		return nil, fmt.Errorf("%w: %s", ErrDamaged, key)
	}
	return b[8:], nil
}

// Open opens the file of a seat in a folder, and reads what it holds; nil if it holds nothing yet. wait is how long another process
// that holds it is waited for.
func Open(dir, seat string, wait time.Duration) (*Store, *accord.Saved, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, "council.db")
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: wait})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, nil, fmt.Errorf("%s: %w", path, ErrHeld)
	case errors.Is(err, bbolterrors.ErrInvalid), errors.Is(err, bbolterrors.ErrChecksum), errors.Is(err, bbolterrors.ErrVersionMismatch):
		return nil, nil, fmt.Errorf("%s: %w: %v", path, ErrDamaged, err)
	case err != nil:
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	s := &Store{db: db}
	saved, err := s.load(seat)
	if err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.whole = saved; saved == nil {
		s.whole = &accord.Saved{}
	}
	return s, saved, nil
}

func (s *Store) load(seat string) (saved *accord.Saved, err error) {
	defer func() { // the library panics on pages that point nowhere
		if what := recover(); what != nil {
			saved, err = nil, fmt.Errorf("%w: %v", ErrDamaged, what)
		}
	}()
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		log, err := tx.CreateBucketIfNotExists(bucketLog)
		if err != nil {
			return err
		}
		form := meta.Get(keyForm)
		if form == nil {
			if err := meta.Put(keyForm, sealed(keyForm, []byte{Form})); err != nil {
				return err
			}
			return meta.Put(keySeat, sealed(keySeat, []byte(seat)))
		}
		if form, err = opened(keyForm, form); err != nil {
			return err
		}
		if len(form) != 1 || form[0] != Form {
			return fmt.Errorf("%w: %v, here %d", ErrForm, form, Form)
		}
		whose, err := opened(keySeat, meta.Get(keySeat))
		if err != nil {
			return err
		}
		if string(whose) != seat {
			return fmt.Errorf("%w: %s, not %s", ErrSeat, whose, seat)
		}
		saved, err = s.read(meta, log)
		return err
	})
	return saved, err
}

func (s *Store) read(meta, log *bbolt.Bucket) (*accord.Saved, error) {
	if meta.Get(keyGroup) == nil {
		return nil, nil
	}
	b, err := opened(keyGroup, meta.Get(keyGroup))
	if err != nil {
		return nil, err
	}
	if err := wire.Read(b, &s.g); err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrDamaged, keyGroup, err)
	}
	if s.g.Group.None() {
		return nil, nil
	}
	saved := &accord.Saved{Group: s.g.Group, Rank: s.g.Rank, ID: s.g.ID, Voters: s.g.Voters}
	message := func(key []byte, m proto.Message) error {
		v := meta.Get(key)
		if v == nil {
			return nil
		}
		b, err := opened(key, v)
		if err == nil && proto.Unmarshal(b, m) != nil {
			err = fmt.Errorf("%w: %s", ErrDamaged, key)
		}
		return err
	}
	saved.Hard, saved.Snapshot = new(raftpb.HardState), new(raftpb.Snapshot)
	if err := errors.Join(message(keyHard, saved.Hard), message(keySnap, saved.Snapshot)); err != nil {
		return nil, err
	}
	for i := s.g.First; i <= s.g.Last && i > 0; i++ {
		key := index(i)
		b, err := opened(key, log.Get(key))
		e := new(raftpb.Entry)
		if err != nil || proto.Unmarshal(b, e) != nil || e.GetIndex() != i {
			return nil, fmt.Errorf("%w: entry %d of the log, which goes from %d to %d", ErrDamaged, i, s.g.First, s.g.Last)
		}
		saved.Entries = append(saved.Entries, e)
	}
	return saved, nil
}

// Save makes something last. When it returns without an error it is on the disk. After an error nothing of it counts as saved,
// and the next call writes all that is kept anew: of the pages of a commit that has failed nobody knows which ones are on the
// disk.
func (s *Store) Save(n *accord.Saved) error {
	whole := s.whole
	if n.Group != s.g.Group || n.ID != s.g.ID { // another part in another group: nothing of the earlier one is kept
		whole = &accord.Saved{}
	}
	whole = whole.With(n)
	g, written := s.g, n
	if s.doubt {
		g, written = group{}, whole
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		var err error
		g, err = write(tx, g, written)
		return err
	})
	if err != nil {
		s.doubt = true
		return err
	}
	s.g, s.whole, s.doubt = g, whole, false
	return nil
}

// write writes what is to be saved behind what the group's record g says is there, and returns the group's record after it.
func write(tx *bbolt.Tx, g group, n *accord.Saved) (group, error) {
	if n.Group != g.Group || n.ID != g.ID || g.Group.None() {
		if err := clearGroup(tx); err != nil {
			return g, err
		}
		g = group{}
	}
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	g.Group, g.Rank, g.ID, g.Voters = n.Group, n.Rank, n.ID, n.Voters
	if n.Hard != nil && n.Hard.GetTerm() > 0 {
		if err := put(meta, keyHard, n.Hard); err != nil {
			return g, err
		}
	}
	var err error
	if g, err = writeEntries(log, g, n.Entries); err != nil {
		return g, err
	}
	if n.Snapshot != nil && n.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := put(meta, keySnap, n.Snapshot); err != nil {
			return g, err
		}
		if g, err = dropEntries(log, g, n.Snapshot.GetMetadata().GetIndex()); err != nil {
			return g, err
		}
	}
	return g, meta.Put(keyGroup, sealed(keyGroup, wire.Word(g)))
}

// clearGroup drops all that is kept of a group.
func clearGroup(tx *bbolt.Tx) error {
	meta := tx.Bucket(bucketMeta)
	for _, k := range [][]byte{keyHard, keySnap} {
		if err := meta.Delete(k); err != nil {
			return err
		}
	}
	if err := tx.DeleteBucket(bucketLog); err != nil {
		return err
	}
	_, err := tx.CreateBucket(bucketLog)
	return err
}

// put writes a message under a key.
func put(to *bbolt.Bucket, key []byte, m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return to.Put(key, sealed(key, b))
}

// writeEntries writes entries of the log in the place of those from the first one's index on.
func writeEntries(log *bbolt.Bucket, g group, entries []*raftpb.Entry) (group, error) {
	if len(entries) == 0 {
		return g, nil
	}
	first := entries[0].GetIndex()
	for i := first; i <= g.Last && g.Last > 0; i++ {
		if err := log.Delete(index(i)); err != nil {
			return g, err
		}
	}
	if g.Last == 0 || first < g.First || first > g.Last+1 {
		g.First = first
	}
	for _, e := range entries {
		if err := put(log, index(e.GetIndex()), e); err != nil {
			return g, err
		}
		g.Last = e.GetIndex()
	}
	return g, nil
}

// dropEntries drops the entries of the log up to an index, which a snapshot holds.
func dropEntries(log *bbolt.Bucket, g group, upTo uint64) (group, error) {
	for i := g.First; i <= min(upTo, g.Last) && i > 0; i++ {
		if err := log.Delete(index(i)); err != nil {
			return g, err
		}
	}
	if g.Last <= upTo {
		g.First, g.Last = 0, 0
	} else if g.First <= upTo {
		g.First = upTo + 1
	}
	return g, nil
}

// index is the key of an entry of the log.
func index(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// Close lets go of the file.
func (s *Store) Close() error { return s.db.Close() }
