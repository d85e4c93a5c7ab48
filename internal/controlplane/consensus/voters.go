package consensus

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftdeal/internal/membership/codec"
)

// ErrNotLeader is returned for operations that only the leader can perform.
var ErrNotLeader = errors.New("this seat does not lead")

// Errors of Replace, to be matched with errors.Is.
var (
	ErrNotVoter     = errors.New("has no seat")
	ErrAlreadyVoter = errors.New("has a seat already")
	ErrNotEligible  = errors.New("is neither a seat nor a spare of this fleet's file")
)

// voterSwap is the replacement of a voter that an operator has requested.
type voterSwap struct{ old, replacement string }

// Replace requests that the leader replace the voter of one node with that of another. The leader does so once it has received
// a hello of the other node.
func (r *Replica) Replace(old, replacement string) error {
	switch {
	case !r.IsLeader():
		return ErrNotLeader
	case r.group.voterOf(old).ID == 0:
		return fmt.Errorf("%s %w", old, ErrNotVoter)
	case r.group.voterOf(replacement).ID != 0:
		return fmt.Errorf("%s %w", replacement, ErrAlreadyVoter)
	case !r.isEligible(replacement):
		return fmt.Errorf("%s %w", replacement, ErrNotEligible)
	}
	r.requestedSwap = &voterSwap{old, replacement}
	return nil
}

// Voters lists the group's voters.
func (r *Replica) Voters() []Voter { return slices.Clone(r.group.voters) }

// CaughtUp reports, on the leader, whether the current instance of a node is a voter that holds the state. A node without a voter
// counts as caught up: no state is lost with it.
func (r *Replica) CaughtUp(node string) bool {
	voter := r.group.voterOf(node)
	if voter.ID == 0 || node == r.config.Name {
		return true
	}
	hello, ok := r.recentHello(node)
	if !ok || hello.voter.ID != voter.ID {
		return false
	}
	progress := r.raft.node.Status().Progress[voter.ID]
	return progress.Match > 0 && progress.Match+catchUpEntries >= r.raft.appliedIndex
}

// replaceVoters replaces, on the leader, at most one voter at a time: the one that an operator has named, that of a node that has
// come back without state, or one that has been absent for ReplaceAfter.
func (r *Replica) replaceVoters() {
	if r.clock.ticks%helloTicks != 0 || !r.IsLeader() || len(r.raft.confState.GetVotersOutgoing()) > 0 {
		return
	}
	if r.replaceRequested() {
		return
	}
	r.notifyRemovedVoters()
	if !r.replaceRestarted() {
		r.replaceAbsent()
	}
}

// replaceRequested carries out the swap that an operator has requested. It reports whether a request was processed, which needs a
// recent hello of the replacement.
func (r *Replica) replaceRequested() bool {
	if r.requestedSwap == nil {
		return false
	}
	hello, ok := r.recentHello(r.requestedSwap.replacement)
	if !ok || !hello.group.IsZero() && hello.group.Compare(r.group.id) >= 0 {
		return false
	}
	if old := r.group.voterOf(r.requestedSwap.old); old.ID != 0 {
		r.proposeSwap(old, hello.voter, "requested by an operator")
	}
	r.requestedSwap = nil
	return true
}

// notifyRemovedVoters notifies instances that were replaced in their absence. Otherwise they would go on as voters.
func (r *Replica) notifyRemovedVoters() {
	for _, node := range r.eligibleNodes() {
		hello, ok := r.recentHello(node)
		if !ok || hello.group != r.group.id || node == r.config.Name {
			continue
		}
		if !slices.Contains(r.raft.confState.GetVoters(), hello.voter.ID) {
			r.send(Voter{Node: node, ID: hello.voter.ID}, removalNotice{})
		}
	}
}

// replaceRestarted replaces a voter with the current instance of its node, which has no state. It reports whether it has found one.
func (r *Replica) replaceRestarted() bool {
	for _, voter := range r.group.voters {
		hello, ok := r.recentHello(voter.Node)
		if ok && hello.voter.ID != voter.ID && r.peers.reachable[voter.Node] && hello.group.IsZero() {
			r.proposeSwap(voter, hello.voter, "its process has restarted without state")
			return true
		}
	}
	return false
}

// replaceAbsent replaces a voter that has been absent for ReplaceAfter with a reachable node that has no voter.
func (r *Replica) replaceAbsent() {
	for _, voter := range r.group.voters {
		since, absent := r.peers.absentSince[voter.Node]
		if !absent || r.config.ReplaceAfter == 0 || r.clock.now-since < r.config.ReplaceAfter {
			continue
		}
		for _, node := range r.eligibleNodes() {
			hello, ok := r.recentHello(node)
			if ok && r.group.voterOf(node).ID == 0 && r.peers.reachable[node] && hello.group.IsZero() {
				r.proposeSwap(voter, hello.voter, fmt.Sprintf("absent for %v", (r.clock.now-since).Round(time.Second)))
				return
			}
		}
	}
}

// proposeSwap proposes a single change of the group's configuration that adds one voter and removes another.
func (r *Replica) proposeSwap(old, replacement Voter, reason string) {
	change := raftpb.ConfChangeV2{
		Changes: []*raftpb.ConfChangeSingle{
			{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(replacement.ID)},
			{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(old.ID)},
		},
		Context: codec.Encode([]Voter{old, replacement}),
	}
	if err := r.raft.node.ProposeConfChange(&change); err == nil {
		r.out.logf("voter %s replaces %s: %s", replacement.Node, old.Node, reason)
	}
}

// applyConfChange applies a committed change of the group's configuration.
func (r *Replica) applyConfChange(entry *raftpb.Entry) {
	change := new(raftpb.ConfChangeV2)
	if proto.Unmarshal(entry.GetData(), change) != nil {
		return
	}
	var swap []Voter // the old voter and its replacement
	if len(change.GetContext()) > 0 && codec.Decode(change.GetContext(), &swap) == nil && len(swap) == 2 {
		replacement := swap[1]
		r.group.voters = slices.DeleteFunc(r.group.voters, func(v Voter) bool { return v.ID == replacement.ID })
		r.group.voters = append(r.group.voters, replacement)
		r.stats.VotersReplaced++
	}
	r.raft.confState = r.raft.node.ApplyConfChange(change)
	if len(r.raft.confState.GetVotersOutgoing()) == 0 { // the joint configuration has ended
		r.group.voters = slices.DeleteFunc(r.group.voters, func(v Voter) bool {
			return !slices.Contains(r.raft.confState.GetVoters(), v.ID)
		})
	}
	r.raft.metadataChanged = true
	// Without this snapshot a new voter would never get the state: the library refuses to restore a snapshot whose configuration
	// does not include the restoring voter.
	r.raft.storage.CreateSnapshot(r.raft.appliedIndex, r.raft.confState, r.encodeSnapshot())
}
