package consensus

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftdeal/internal/membership/codec"
)

// Limits passed to the Raft library.
const (
	maxAppendBytes      = chunkBytes * 3 / 4 // of entries in one message, so that most messages fit in a datagram
	maxInflightMessages = 32
	maxUncommittedBytes = 1 << 20
)

// Index and term of the first entry of each group.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

// ErrEntriesWithoutSnapshot is returned for persisted log entries without the snapshot that they follow.
var ErrEntriesWithoutSnapshot = errors.New("log entries were persisted without a snapshot before them")

// raftInstance is the state of the Raft library; zero while the replica is in no group.
type raftInstance struct {
	node            *raft.RawNode
	storage         *raft.MemoryStorage
	appliedIndex    uint64 // of the last executed entry
	confState       *raftpb.ConfState
	metadataChanged bool // persisted data other than entries and the hard state has changed
}

// isVoter reports whether id is a voter of the current configuration or, in a joint one, of the outgoing configuration.
func (i *raftInstance) isVoter(id uint64) bool {
	return slices.Contains(i.confState.GetVoters(), id) || slices.Contains(i.confState.GetVotersOutgoing(), id)
}

// appliedPresentTerm reports whether an entry of the current term has been executed. Only then does a leader know everything that
// earlier leaders have committed.
func (i *raftInstance) appliedPresentTerm() bool {
	term, err := i.storage.Term(i.appliedIndex)
	return err == nil && term == i.node.BasicStatus().GetTerm()
}

// IsLeader reports whether this replica leads and has executed everything that was committed before its term.
func (r *Replica) IsLeader() bool {
	if r.raft.node == nil {
		return false
	}
	status := r.raft.node.BasicStatus()
	return status.RaftState == raft.StateLeader && r.raft.appliedIndex >= status.GetCommit() && r.raft.appliedPresentTerm()
}

// Leader returns the node that this replica considers the leader; "" if it knows of none.
func (r *Replica) Leader() string {
	if r.raft.node == nil {
		return ""
	}
	return r.group.nodeName(r.raft.node.BasicStatus().Lead)
}

// LeaderlessFor returns how long this replica had been without a leader when it was last elected.
func (r *Replica) LeaderlessFor() time.Duration {
	return time.Duration(r.election.leaderlessTicksAtElection) * r.config.TickInterval
}

// Progress returns the current term and the index of the last executed entry.
func (r *Replica) Progress() (term, applied uint64) {
	if r.raft.node == nil {
		return 0, 0
	}
	return r.raft.node.BasicStatus().GetTerm(), r.raft.appliedIndex
}

// Propose proposes a command to the group. It returns the proposal's ID, which TakeApplied reports once the command is executed;
// that may never happen. It fails with ErrNotLeader, or with an error of the library if too much of the log is uncommitted.
func (r *Replica) Propose(command []byte) (id uint64, err error) {
	if !r.IsLeader() {
		return 0, ErrNotLeader
	}
	r.proposals.lastID++
	id = r.proposals.lastID
	nonce := r.random.Uint64()
	if err := r.raft.node.Propose(codec.Encode(proposal{Nonce: nonce, Command: command})); err != nil {
		return 0, err
	}
	r.proposals.add(nonce, id)
	r.processReady()
	return id, nil
}

// startState is the state with which a replica starts in a group.
type startState interface {
	load(r *Replica) error
}

// startFounding starts at the founding of the group: all founders begin with the same first entry, as if it were committed.
type startFounding struct{ voters []Voter }

// startPersisted starts with the persisted state.
type startPersisted struct{ state *PersistentState }

// startEmpty starts without state; the leader sends a snapshot.
type startEmpty struct{}

func (s startFounding) load(r *Replica) error {
	r.group.voters = slices.Clone(s.voters)
	confState := &raftpb.ConfState{}
	for _, voter := range s.voters {
		confState.Voters = append(confState.Voters, voter.ID)
	}
	first := &raftpb.Snapshot{
		Data: r.encodeSnapshot(),
		Metadata: &raftpb.SnapshotMetadata{
			ConfState: confState, Index: proto.Uint64(foundingIndex), Term: proto.Uint64(foundingTerm),
		},
	}
	if err := r.raft.storage.ApplySnapshot(first); err != nil {
		return err
	}
	hardState := &raftpb.HardState{Term: proto.Uint64(foundingTerm), Commit: proto.Uint64(foundingIndex)}
	if err := r.raft.storage.SetHardState(hardState); err != nil {
		return err
	}
	r.raft.appliedIndex = foundingIndex
	r.raft.confState = confState
	return nil
}

func (s startPersisted) load(r *Replica) error {
	r.group.voters = slices.Clone(s.state.Voters)
	if raft.IsEmptySnap(s.state.Snapshot) { // it had joined, and the leader had not sent the state yet
		if len(s.state.Entries) > 0 {
			return ErrEntriesWithoutSnapshot
		}
	} else {
		if err := r.raft.storage.ApplySnapshot(s.state.Snapshot); err != nil {
			return err
		}
		if err := r.restoreSnapshot(s.state.Snapshot); err != nil {
			return err
		}
		if err := r.raft.storage.Append(s.state.Entries); err != nil {
			return err
		}
	}
	if s.state.HardState == nil {
		return nil
	}
	return r.raft.storage.SetHardState(s.state.HardState)
}

func (startEmpty) load(*Replica) error { return nil }

// startRaft makes this replica a member of a group.
func (r *Replica) startRaft(group GroupID, start startState) error {
	r.group.id, r.group.epoch, r.group.voters = group, group, nil
	r.ObserveEpoch(group)
	r.raft.storage = raft.NewMemoryStorage()
	r.raft.appliedIndex = 0
	r.raft.confState = &raftpb.ConfState{}
	r.raft.metadataChanged = true
	r.stats.GroupsJoined++
	if err := start.load(r); err != nil {
		return err
	}
	node, err := raft.NewRawNode(&raft.Config{
		ID:                        r.id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             1,
		Storage:                   r.raft.storage,
		Applied:                   r.raft.appliedIndex,
		MaxSizePerMsg:             maxAppendBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		Logger:                    discardLogger{},
	})
	if err != nil {
		return err
	}
	r.raft.node = node
	r.election.leaderContact()
	r.election.timeout = electionTicks/2 + r.random.IntN(electionTicks)
	r.persist(nil, nil)
	return nil
}

// Receive handles the payload of a datagram from a node. Malformed payloads are dropped.
func (r *Replica) Receive(now time.Duration, from string, payload []byte) {
	r.clock.advance(now)
	var m message
	if codec.Decode(payload, &m) != nil || m.From.Node != from || !r.isEligible(from) || m.From.ID == 0 {
		return
	}
	if r.raft.node != nil {
		r.ObserveEpoch(m.HighestEpoch)
		r.ObserveEpoch(m.Epoch)
	}
	r.handle(&m)
	r.processReady()
	r.clock.schedule()
}

// handle dispatches a message by its content. All but hellos are addressed to one instance of this node; those for another
// instance are dropped.
func (r *Replica) handle(m *message) {
	content := m.content()
	if _, isHello := content.(helloNotice); !isHello && m.RecipientID != r.id {
		return
	}
	switch content := content.(type) {
	case helloNotice:
		r.handleHello(m)
	case removalNotice:
		r.handleRemoval(m)
	case *foundingNotice:
		r.acceptFounding(content)
	case chunkAck:
		r.handleChunkAck(m.From.Node, content)
	case chunk:
		r.handleChunk(m, content)
	case raftData:
		r.handleRaftMessage(m, content)
	}
}

// handleRemoval handles the notice that another voter has replaced this one. A replica that still hears its leader is a voter
// and ignores the notice.
func (r *Replica) handleRemoval(m *message) {
	if m.Group == r.group.id && r.election.ticksWithoutLeader >= leaderLostTicks {
		r.DiscardState("another voter has replaced this one")
	}
}

// handleRaftMessage passes an encoded Raft message to the library; m identifies the sender.
func (r *Replica) handleRaftMessage(m *message, data []byte) {
	raftMessage := new(raftpb.Message)
	if proto.Unmarshal(data, raftMessage) != nil || raftMessage.GetTo() != r.id || raftMessage.GetFrom() != m.From.ID {
		return
	}
	if raft.IsLocalMsg(raftMessage.GetType()) {
		return
	}
	if r.raft.node == nil && !r.joinGroup(m, raftMessage) {
		return
	}
	if m.Group != r.group.id {
		return
	}
	if r.group.nodeName(m.From.ID) == "" {
		r.group.voters = append(r.group.voters, m.From) // a new voter whose configuration change has not reached this replica yet
	}
	switch {
	case isFromLeader(raftMessage):
		if raftMessage.GetTerm() >= r.raft.node.BasicStatus().GetTerm() {
			r.election.leaderContact()
		}
	case raftMessage.GetType() == raftpb.MsgVote:
		r.election.deferToCandidate()
	}
	r.discardOnPanic(func() { r.raft.node.Step(raftMessage) })
}

// isFromLeader reports whether a message is of a type that only leaders send.
func isFromLeader(m *raftpb.Message) bool {
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgSnap, raftpb.MsgHeartbeat:
		return true
	}
	return false
}

// joinGroup joins the group whose leader has made this instance a voter, and reports whether it has.
func (r *Replica) joinGroup(m *message, raftMessage *raftpb.Message) bool {
	if m.Group.IsZero() || m.Epoch.Compare(r.group.highestEpoch) < 0 || !isFromLeader(raftMessage) {
		return false
	}
	r.machine.Reset()
	if err := r.startRaft(m.Group, startEmpty{}); err != nil {
		r.out.logf("joining group %v failed: %v", m.Group, err)
		return false
	}
	r.out.logf("joined group %v, led by %s", m.Group, m.From.Node)
	return true
}

// discardOnPanic calls do and recovers a panic of the Raft library, which it raises on states that it considers impossible. The
// replica then discards its inconsistent state, and the node goes on serving.
func (r *Replica) discardOnPanic(do func()) {
	defer func() {
		if recovered := recover(); recovered != nil {
			r.DiscardState(fmt.Sprintf("inconsistent state: %v", recovered))
		}
	}()
	do()
}

// processReady handles what Raft has ready: it persists, then sends, then executes.
func (r *Replica) processReady() {
	for r.raft.node != nil && r.raft.node.HasReady() {
		ready := r.raft.node.Ready()
		if ready.SoftState != nil && ready.SoftState.RaftState == raft.StateLeader {
			r.stats.ElectionsWon++
			r.election.elected()
		}
		r.storeReady(&ready)
		for _, m := range ready.Messages {
			r.sendRaftMessage(m)
		}
		for _, entry := range ready.CommittedEntries {
			r.applyEntry(entry)
		}
		r.raft.node.Advance(ready)
	}
}

// storeReady stores Raft's new entries, hard state and snapshot, and asks the host to persist them.
func (r *Replica) storeReady(ready *raft.Ready) {
	hasSnapshot := !raft.IsEmptySnap(ready.Snapshot)
	if hasSnapshot {
		r.raft.storage.ApplySnapshot(ready.Snapshot)
		if err := r.restoreSnapshot(ready.Snapshot); err != nil {
			r.out.logf("decoding a snapshot failed: %v", err)
		}
		r.stats.SnapshotsRestored++
	}
	r.raft.storage.Append(ready.Entries)
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		r.raft.storage.SetHardState(ready.HardState)
	}
	if len(ready.Entries) > 0 || ready.HardState != nil || r.raft.metadataChanged || hasSnapshot {
		r.persist(ready.HardState, ready.Entries)
	}
}

// applyEntry executes one committed entry of the log.
func (r *Replica) applyEntry(entry *raftpb.Entry) {
	r.raft.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case raftpb.EntryConfChangeV2:
		r.applyConfChange(entry)
	case raftpb.EntryNormal:
		r.applyProposal(entry)
	}
}

// applyProposal executes a command or adopts a new epoch. Entries that Raft itself appends are empty.
func (r *Replica) applyProposal(entry *raftpb.Entry) {
	var committed proposal
	if len(entry.GetData()) == 0 || codec.Decode(entry.GetData(), &committed) != nil {
		return
	}
	if !committed.Epoch.IsZero() {
		if committed.Epoch.Compare(r.group.epoch) > 0 {
			r.group.epoch = committed.Epoch
			r.raft.metadataChanged = true
			r.ObserveEpoch(committed.Epoch)
		}
		return
	}
	result := r.machine.Apply(entry.GetIndex(), committed.Command)
	r.out.applied = append(r.out.applied, AppliedCommand{
		Index: entry.GetIndex(), ProposalID: r.proposals.take(committed.Nonce), Result: result,
	})
}
