package consensus

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"swiftdeal/internal/membership/codec"
)

// encodeSnapshot encodes the current state of the group and of the state machine.
func (r *Replica) encodeSnapshot() []byte {
	return codec.Encode(snapshotData{Voters: r.group.voters, State: r.machine.Snapshot(), Epoch: r.group.epoch})
}

// restoreSnapshot replaces the whole state with that of a snapshot.
func (r *Replica) restoreSnapshot(snapshot *raftpb.Snapshot) error {
	var data snapshotData
	if err := codec.Decode(snapshot.GetData(), &data); err != nil {
		return err
	}
	r.group.epoch = data.Epoch
	r.group.voters = data.Voters
	r.ObserveEpoch(data.Epoch)
	r.raft.confState = snapshot.GetMetadata().GetConfState()
	r.raft.appliedIndex = snapshot.GetMetadata().GetIndex()
	r.raft.metadataChanged = true
	return r.machine.Restore(data.State)
}

// compactLog takes a snapshot once SnapshotEntries entries have been applied, and truncates the log. It keeps the last quarter of
// SnapshotEntries for replicas that lag.
func (r *Replica) compactLog() {
	applied, limit := r.raft.appliedIndex, uint64(r.config.SnapshotEntries)
	first, _ := r.raft.storage.FirstIndex() // a MemoryStorage returns no error
	if applied < first || applied-first < limit {
		return
	}
	if _, err := r.raft.storage.CreateSnapshot(applied, r.raft.confState, r.encodeSnapshot()); err != nil {
		return
	}
	if err := r.raft.storage.Compact(applied - limit/4); err == nil {
		r.raft.metadataChanged = true
		r.persist(nil, nil)
	}
}

// persist asks the host to persist the state that messages sent from now on depend on.
func (r *Replica) persist(hardState *raftpb.HardState, entries []*raftpb.Entry) {
	if !r.config.Durable || r.raft.node == nil {
		r.raft.metadataChanged = false
		return
	}
	state := &PersistentState{
		Group: r.group.id, Epoch: r.group.epoch, ID: r.id, Voters: slices.Clone(r.group.voters),
		HardState: hardState, Entries: entries,
	}
	if r.raft.metadataChanged {
		state.Snapshot, _ = r.raft.storage.Snapshot() // a MemoryStorage returns no error
		r.raft.metadataChanged = false
	}
	r.out.emit(PersistAction{State: state})
}
