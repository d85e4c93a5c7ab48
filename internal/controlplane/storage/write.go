package storage

import (
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/membership/codec"
)

// writeState applies an update to the state that record describes, and returns the updated record.
func writeState(tx *bbolt.Tx, record groupRecord, update *consensus.PersistentState) (groupRecord, error) {
	if !record.matches(update) || record.Group.IsZero() {
		if err := clearGroup(tx); err != nil {
			return record, err
		}
		record = groupRecord{}
	}
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	record.Group = update.Group
	record.Epoch = update.Epoch
	record.VoterID = update.ID
	record.Voters = update.Voters
	if update.HardState != nil && update.HardState.GetTerm() > 0 {
		if err := putMessage(meta, keyHardState, update.HardState); err != nil {
			return record, err
		}
	}
	record, err := writeEntries(log, record, update.Entries)
	if err != nil {
		return record, err
	}
	if update.Snapshot != nil && update.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := putMessage(meta, keySnapshot, update.Snapshot); err != nil {
			return record, err
		}
		record, err = dropEntries(log, record, update.Snapshot.GetMetadata().GetIndex())
		if err != nil {
			return record, err
		}
	}
	return record, meta.Put(keyGroup, withChecksum(keyGroup, codec.Encode(record)))
}

// clearGroup removes the hard state, snapshot and log entries of a group.
func clearGroup(tx *bbolt.Tx) error {
	meta := tx.Bucket(bucketMeta)
	for _, key := range [][]byte{keyHardState, keySnapshot} {
		if err := meta.Delete(key); err != nil {
			return err
		}
	}
	if err := tx.DeleteBucket(bucketLog); err != nil {
		return err
	}
	_, err := tx.CreateBucket(bucketLog)
	return err
}

// putMessage stores an encoded protobuf message with its checksum.
func putMessage(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return bucket.Put(key, withChecksum(key, encoded))
}

// writeEntries writes log entries. They replace the stored ones from the index of the first on.
func writeEntries(log *bbolt.Bucket, record groupRecord, entries []*raftpb.Entry) (groupRecord, error) {
	if len(entries) == 0 {
		return record, nil
	}
	first := entries[0].GetIndex()
	for index := first; index <= record.LastIndex && record.LastIndex > 0; index++ {
		if err := log.Delete(indexKey(index)); err != nil {
			return record, err
		}
	}
	if record.LastIndex == 0 || first < record.FirstIndex || first > record.LastIndex+1 {
		record.FirstIndex = first
	}
	for _, entry := range entries {
		if err := putMessage(log, indexKey(entry.GetIndex()), entry); err != nil {
			return record, err
		}
		record.LastIndex = entry.GetIndex()
	}
	return record, nil
}

// dropEntries removes the log entries up to an index, which a snapshot covers.
func dropEntries(log *bbolt.Bucket, record groupRecord, upTo uint64) (groupRecord, error) {
	for index := record.FirstIndex; index <= min(upTo, record.LastIndex) && index > 0; index++ {
		if err := log.Delete(indexKey(index)); err != nil {
			return record, err
		}
	}
	if record.LastIndex <= upTo {
		record.FirstIndex, record.LastIndex = 0, 0
	} else if record.FirstIndex <= upTo {
		record.FirstIndex = upTo + 1
	}
	return record, nil
}
