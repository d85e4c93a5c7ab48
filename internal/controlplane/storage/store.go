package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"swiftdeal/internal/controlplane/consensus"
)

// Store is the open file of a replica. It is not safe for concurrent use.
type Store struct {
	db           *bbolt.DB
	record       groupRecord                // as in the file
	state        *consensus.PersistentState // the whole content of the file
	commitFailed bool                       // it is unknown which pages of the last commit have reached the disk
}

// Open opens the file of the replica on node owner, and creates the file and its directory if they do not exist. It returns the
// persisted state, nil if there is none. If another process has the file open, Open waits up to lockTimeout. Its errors are or
// wrap ErrFormat, ErrCorrupt, ErrWrongOwner, ErrLocked or an error of the file system.
func Open(dir, owner string, lockTimeout time.Duration) (*Store, *consensus.PersistentState, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, fileName)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, openError(err))
	}
	store := &Store{db: db}
	persisted, err := store.load(owner)
	if err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	store.state = persisted
	if persisted == nil {
		store.state = &consensus.PersistentState{}
	}
	return store, persisted, nil
}

// openError maps an error of bbolt.Open to one of this package.
func openError(err error) error {
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return ErrLocked
	}
	for _, corrupt := range []error{bbolterrors.ErrInvalid, bbolterrors.ErrChecksum, bbolterrors.ErrVersionMismatch} {
		if errors.Is(err, corrupt) {
			return fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
	}
	return err
}

// Close closes the file and releases its lock.
func (s *Store) Close() error { return s.db.Close() }

// Save merges an update into the persisted state, as PersistentState.Merge does. When it returns nil, the update is on disk. After
// an error, no part of the update counts as persisted, and the next call rewrites the whole state, since it is unknown which pages
// of the failed commit have reached the disk.
func (s *Store) Save(update *consensus.PersistentState) error {
	state := s.state
	if !s.record.matches(update) { // of another voter or group, which replaces the earlier state as a whole
		state = &consensus.PersistentState{}
	}
	state = state.Merge(update)
	record, toWrite := s.record, update
	if s.commitFailed {
		record, toWrite = groupRecord{}, state
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		var err error
		record, err = writeState(tx, record, toWrite)
		return err
	})
	if err != nil {
		s.commitFailed = true
		return err
	}
	s.record, s.state, s.commitFailed = record, state, false
	return nil
}
