package consensus

import (
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// PersistentState is the state that a replica with a disk persists. The zero value stands for a replica in no group.
type PersistentState struct {
	Group     GroupID
	Epoch     GroupID
	ID        uint64 // voter ID
	Voters    []Voter
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// Merge returns the state that results when update, which must be of the same group, is persisted over s: new entries replace
// those from the first new index on, and a snapshot replaces the entries that it covers. It modifies neither s nor update.
func (s *PersistentState) Merge(update *PersistentState) *PersistentState {
	merged := &PersistentState{
		Group: update.Group, Epoch: update.Epoch, ID: update.ID, Voters: update.Voters,
		HardState: s.HardState, Snapshot: s.Snapshot, Entries: s.Entries,
	}
	if update.HardState != nil && !raft.IsEmptyHardState(update.HardState) {
		merged.HardState = update.HardState
	}
	if update.Snapshot != nil && !raft.IsEmptySnap(update.Snapshot) {
		merged.Snapshot = update.Snapshot
	}
	if len(update.Entries) > 0 {
		first := update.Entries[0].GetIndex()
		kept := slices.DeleteFunc(slices.Clone(merged.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		merged.Entries = append(kept, update.Entries...)
	}
	if merged.Snapshot != nil {
		merged.Entries = entriesAfter(merged.Entries, merged.Snapshot.GetMetadata().GetIndex())
	}
	return merged
}

// entriesAfter returns the entries that follow a snapshot at index.
func entriesAfter(entries []*raftpb.Entry, index uint64) []*raftpb.Entry {
	after := slices.DeleteFunc(slices.Clone(entries), func(e *raftpb.Entry) bool { return e.GetIndex() <= index })
	if len(after) > 0 && after[0].GetIndex() != index+1 {
		return nil // there is a gap: the snapshot came from another replica, and the entries are older
	}
	return after
}
