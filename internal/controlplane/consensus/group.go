package consensus

import (
	"slices"

	"swiftdeal/internal/membership/codec"
)

// foundingTicks is how long a replica listens for hellos before it founds a group.
const foundingTicks = 2 * helloTicks

// foundingEntries is the log index up to which a founder that missed the founding notice is sent it again. Later the leader
// sends it the state.
const foundingEntries = 64

// groupState is the membership of a replica in a group.
type groupState struct {
	id           GroupID // as given at the founding; zero: this replica has no state
	epoch        GroupID // orders the group; equal to id until the leader raises it above that of a later group
	highestEpoch GroupID // of any group that this replica has heard of
	voters       []Voter
}

// voterOf returns the voter of a node; the zero Voter if it has none.
func (g *groupState) voterOf(node string) Voter {
	for _, voter := range g.voters {
		if voter.Node == node {
			return voter
		}
	}
	return Voter{}
}

// nodeName returns the node of a voter; "" if it is unknown.
func (g *groupState) nodeName(id uint64) string {
	for _, voter := range g.voters {
		if voter.ID == id && id != 0 {
			return voter.Node
		}
	}
	return ""
}

func (g *groupState) observe(epoch GroupID) {
	if epoch.Compare(g.highestEpoch) > 0 {
		g.highestEpoch = epoch
	}
}

// Epoch returns the epoch of this replica's group, and the highest epoch that it has heard of.
func (r *Replica) Epoch() (own, highest GroupID) { return r.group.epoch, r.group.highestEpoch }

// ObserveEpoch records the epoch of a group that another node has heard of. If it is later than the epoch of this replica's own
// group, and that group has a leader, the leader raises the group's epoch above it: nodes accept nothing of an epoch before the
// highest one that they have heard of.
func (r *Replica) ObserveEpoch(epoch GroupID) { r.group.observe(epoch) }

// foundGroup founds a group if no replica has state. Only the first replica of the configuration does so. An instance founds or
// joins at most one group, so of two groups only one can have a majority among the running instances, unless those of a later
// group have replaced them.
func (r *Replica) foundGroup() {
	replicas := r.config.Replicas
	if len(replicas) == 0 || r.config.Name != replicas[0] || r.clock.ticks < foundingTicks {
		return
	}
	announcement := &foundingNotice{Voters: []Voter{r.self()}}
	highest := r.group.highestEpoch
	for _, node := range replicas[1:] {
		hello, ok := r.recentHello(node)
		if !ok || !hello.group.IsZero() || !r.peers.reachable[node] {
			return
		}
		announcement.Voters = append(announcement.Voters, hello.voter)
		if hello.highestEpoch.Compare(highest) > 0 {
			highest = hello.highestEpoch
		}
	}
	announcement.Group = r.newGroupIDAfter(highest)
	r.enterGroup(announcement)
	for _, voter := range announcement.Voters[1:] {
		r.send(voter, announcement)
	}
}

// newGroupIDAfter returns a new ID that is later than highest.
func (r *Replica) newGroupIDAfter(highest GroupID) GroupID {
	return GroupID{Number: highest.Number + 1, Nonce: r.randomNonZero()}
}

// resendFounding sends the founding notice again to a founder that has not joined the group yet.
func (r *Replica) resendFounding(voter Voter, group GroupID) {
	if r.raft.node == nil || !group.IsZero() || !slices.Contains(r.group.voters, voter) || r.raft.appliedIndex > foundingEntries {
		return
	}
	first, err := r.raft.storage.Snapshot()
	if err != nil || first.GetMetadata().GetIndex() != foundingIndex {
		return
	}
	var data snapshotData
	if codec.Decode(first.GetData(), &data) == nil {
		r.send(voter, &foundingNotice{Group: r.group.id, Voters: data.Voters})
	}
}

// acceptFounding joins a group that another replica has founded with this one.
func (r *Replica) acceptFounding(announcement *foundingNotice) {
	if r.raft.node != nil || announcement.Group.IsZero() || announcement.Group.Compare(r.group.highestEpoch) < 0 {
		return
	}
	if !slices.Contains(announcement.Voters, r.self()) || len(announcement.Voters) != len(r.config.Replicas) {
		return
	}
	for i, node := range r.config.Replicas {
		if announcement.Voters[i].Node != node {
			return
		}
	}
	r.enterGroup(announcement)
}

// enterGroup joins a group at its founding.
func (r *Replica) enterGroup(announcement *foundingNotice) {
	r.machine.Reset()
	if err := r.startRaft(announcement.Group, startFounding{voters: announcement.Voters}); err != nil {
		r.out.logf("joining group %v failed: %v", announcement.Group, err)
		return
	}
	r.out.logf("group %v founded by %v", announcement.Group, nodeNames(announcement.Voters))
}

func nodeNames(voters []Voter) (names []string) {
	for _, voter := range voters {
		names = append(names, voter.Node)
	}
	return names
}

// raiseEpoch proposes an epoch for the group that is later than any that was heard of.
func (r *Replica) raiseEpoch() {
	if r.clock.ticks%helloTicks != 0 || !r.IsLeader() || r.group.highestEpoch.Compare(r.group.epoch) <= 0 {
		return
	}
	r.out.logf("later group %v observed, raising the epoch of this group, %v, above it", r.group.highestEpoch, r.group.epoch)
	entry := proposal{Nonce: r.random.Uint64(), Epoch: r.newGroupIDAfter(r.group.highestEpoch)}
	r.raft.node.Propose(codec.Encode(entry)) // if the proposal is dropped, the next hello tick repeats it
}

// discardIfMajorityLost leaves a group that can never commit anything again: a majority of its voters have been replaced by
// instances without state, and with their state their votes and acknowledgements are lost.
func (r *Replica) discardIfMajorityLost() {
	// Raft's own idea of the leader is not enough: a replica that may not campaign goes on naming a leader that is gone.
	if r.election.ticksWithoutLeader < leaderLostTicks {
		return
	}
	if r.raft.appliedIndex == 0 && r.election.ticksWithoutLeader > joinTicks {
		// This replica does not even know the voters, and has no state to lose.
		r.DiscardState("its leader has not sent the state")
		return
	}
	if r.majorityLost(r.raft.confState.GetVoters()) || r.majorityLost(r.raft.confState.GetVotersOutgoing()) {
		r.DiscardState("a majority of its voters have lost their state")
	}
}

// majorityLost reports whether so many of these voters have been replaced by other instances that the rest is no majority.
func (r *Replica) majorityLost(voters []uint64) bool {
	lost := 0
	for _, id := range voters {
		hello, ok := r.recentHello(r.group.nodeName(id))
		if ok && hello.voter.ID != id {
			lost++
		}
	}
	return len(voters) > 0 && lost > (len(voters)-1)/2
}

// DiscardState leaves this replica's group and drops its state. With a new voter ID it may then found or join another group. An
// operator may request this if the group cannot have a majority again.
func (r *Replica) DiscardState(reason string) {
	if r.raft.node == nil {
		return
	}
	r.out.logf("left group %v and discarded its state: %s", r.group.id, reason)
	r.stats.StateDiscarded++
	r.raft = raftInstance{}
	r.group = groupState{highestEpoch: r.group.highestEpoch}
	r.id = r.randomNonZero()
	r.proposals.reset()
	r.chunks.reset()
	if r.config.Durable {
		r.out.emit(PersistAction{State: &PersistentState{}})
	}
}
