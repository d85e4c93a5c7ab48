package storage

import (
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/membership/codec"
)

// load reads the whole file, or initializes an empty one. It returns nil if no state is persisted.
func (s *Store) load(owner string) (persisted *consensus.PersistentState, err error) {
	defer func() { // bbolt panics on references to invalid pages
		if recovered := recover(); recovered != nil {
			persisted, err = nil, fmt.Errorf("%w: %v", ErrCorrupt, recovered)
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
		if meta.Get(keyFormat) == nil {
			return initialize(meta, owner)
		}
		if err := verifyOwner(meta, owner); err != nil {
			return err
		}
		persisted, err = s.readState(meta, log)
		return err
	})
	return persisted, err
}

// initialize stores the format version and the owner in an empty file.
func initialize(meta *bbolt.Bucket, owner string) error {
	if err := meta.Put(keyFormat, withChecksum(keyFormat, []byte{FormatVersion})); err != nil {
		return err
	}
	return meta.Put(keyOwner, withChecksum(keyOwner, []byte(owner)))
}

// verifyOwner fails unless the file has the supported format and the given owner.
func verifyOwner(meta *bbolt.Bucket, owner string) error {
	format, err := verifyChecksum(keyFormat, meta.Get(keyFormat))
	if err != nil {
		return err
	}
	if len(format) != 1 || format[0] != FormatVersion {
		return fmt.Errorf("%w: version %v, want %d", ErrFormat, format, FormatVersion)
	}
	actual, err := verifyChecksum(keyOwner, meta.Get(keyOwner))
	if err != nil {
		return err
	}
	if string(actual) != owner {
		return fmt.Errorf("%w: %s, not %s", ErrWrongOwner, actual, owner)
	}
	return nil
}

// readState reads the state of the replica; nil if it is in no group.
func (s *Store) readState(meta, log *bbolt.Bucket) (*consensus.PersistentState, error) {
	if meta.Get(keyGroup) == nil {
		return nil, nil
	}
	encoded, err := verifyChecksum(keyGroup, meta.Get(keyGroup))
	if err != nil {
		return nil, err
	}
	if err := codec.Decode(encoded, &s.record); err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrCorrupt, keyGroup, err)
	}
	if s.record.Group.IsZero() {
		return nil, nil
	}
	state := &consensus.PersistentState{
		Group: s.record.Group, Epoch: s.record.Epoch, ID: s.record.VoterID, Voters: s.record.Voters,
		HardState: new(raftpb.HardState), Snapshot: new(raftpb.Snapshot),
	}
	err = errors.Join(readMessage(meta, keyHardState, state.HardState), readMessage(meta, keySnapshot, state.Snapshot))
	if err != nil {
		return nil, err
	}
	state.Entries, err = s.readEntries(log)
	if err != nil {
		return nil, err
	}
	return state, nil
}

// readMessage decodes the protobuf message under a key into m, and leaves m as it is if the key is absent.
func readMessage(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	value := bucket.Get(key)
	if value == nil {
		return nil
	}
	encoded, err := verifyChecksum(key, value)
	if err != nil {
		return err
	}
	if proto.Unmarshal(encoded, m) != nil {
		return fmt.Errorf("%w: %s", ErrCorrupt, key)
	}
	return nil
}

// readEntries reads the log entries, all of which must be present and intact.
func (s *Store) readEntries(log *bbolt.Bucket) (entries []*raftpb.Entry, err error) {
	first, last := s.record.FirstIndex, s.record.LastIndex
	for index := first; index <= last && index > 0; index++ {
		key := indexKey(index)
		encoded, err := verifyChecksum(key, log.Get(key))
		entry := new(raftpb.Entry)
		if err != nil || proto.Unmarshal(encoded, entry) != nil || entry.GetIndex() != index {
			return nil, fmt.Errorf("%w: log entry %d of %d to %d", ErrCorrupt, index, first, last)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
