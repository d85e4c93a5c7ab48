package fleetsim

import (
	"fmt"
	"slices"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
	"swiftdeal/internal/membership/codec"
)

// crashing reports whether a version that ends by itself still runs somewhere: then no view stays as it is.
func (f *groundTruth) crashing() bool {
	return slices.ContainsFunc(
		f.simulation.processes,
		func(p *process) bool { return p != nil && f.rate(f.versions[p.name]).crash > 0 },
	)
}

// cannotSettle reports whether the seats that are left can neither lead a group nor found one.
func (f *groundTruth) cannotSettle() bool {
	living, up := map[uint64]bool{}, 0
	var voters []consensus.Voter
	for _, p := range f.simulation.processes {
		if p == nil || !p.running || p.replica == nil || !p.replica.core.MayBeReplica() {
			continue
		}
		if slices.Contains(f.replicaNames(), p.name) {
			up++
		}
		if g, _ := p.replica.core.Consensus().Epoch(); !g.IsZero() {
			living[p.replica.core.Consensus().VoterID()] = true
			if v := p.replica.core.Consensus().Voters(); len(v) > 0 {
				voters = v
			}
		}
	}
	n := 0
	for _, v := range voters {
		if living[v.ID] {
			n++
		}
	}
	return up < len(f.replicaNames()) && 2*n <= max(1, len(voters))
}

// unsettled says what is not yet right in the control plane once all is quiet; empty: all is.
func (f *groundTruth) unsettled() string {
	lead, leads, states := f.replicaStates()
	if leads == 0 && f.cannotSettle() {
		return "" // it says so, and waits for the seats that are missing
	}
	if leads != 1 {
		return fmt.Sprintf("%d seats lead", leads)
	}
	first := ""
	for n, s := range states {
		if first == "" {
			first = s
		} else if s != first {
			return "seats hold different states, " + n + " among them"
		}
	}
	for _, v := range lead.Consensus().Voters() {
		p := f.simulation.processes[f.simulation.index(v.Node)]
		if p != nil && p.running && p.replica != nil && p.replica.core.Consensus().VoterID() != v.ID {
			return "the seat of " + v.Node + " is an earlier life's"
		}
	}
	state, _ := lead.State()
	for _, p := range f.simulation.processes {
		if p == nil || !p.running || p.replica == nil {
			continue
		}
		if why := f.unsettledMember(p, state); why != "" {
			return why
		}
	}
	for _, q := range state.Queue {
		if q.ReleaseID == "" && state.UnavailableNodes() == 0 {
			return q.Subject.String() + " waits though nobody is out: " + q.WaitReason
		}
	}
	if f.changes != nil {
		return f.changes.unsettled()
	}
	return ""
}

// replicaStates returns a leader, how many there are, and what each voter holds, by node.
func (f *groundTruth) replicaStates() (lead *controlplane.Agent, leads int, states map[string]string) {
	states = map[string]string{}
	for _, p := range f.simulation.processes {
		if p == nil || !p.running || p.replica == nil || !p.replica.core.MayBeReplica() {
			continue
		}
		c := p.replica.core
		if c.Consensus().IsLeader() {
			lead = c
			leads++
		}
		if !slices.ContainsFunc(c.Consensus().Voters(), func(v consensus.Voter) bool { return v.Node == p.name }) {
			continue
		}
		group, _ := c.Consensus().Epoch()
		disruptions, release := c.State()
		if f.changes != nil && f.changes.mixed { // older seats note no changes of settings
			without := *disruptions
			without.History = nil
			disruptions = &without
		} else if f.changes != nil {
			states[p.name] = fmt.Sprintf("%x", codec.Encode(c.Settings()))
		}
		states[p.name] += fmt.Sprintf("%v %x %x", group, codec.Encode(disruptions), codec.Encode(release))
	}
	return lead, leads, states
}

// unsettledMember says what is not yet right between a node and the leader's state.
func (f *groundTruth) unsettledMember(p *process, state *disruption.State) string {
	m := state.Members[p.name]
	if m == nil || m.InstanceID != p.core.Self().InstanceID {
		return p.name + " is not known to the council"
	}
	grant := state.GrantOf(disruption.Subject{Name: p.name})
	switch {
	case grant == nil && p.replica.inDrain && p.replica.grant != 0 && f.versions[p.name] == "":
		// drained by an operator under a council that has lost its memory: it stays drained, and counts as seen
	case grant == nil:
	case grant.Phase == disruption.PhaseGranted && state.BlockedBy(grant) == "":
		return p.name + " does not use its permit"
	case grant.Phase == disruption.PhaseReturning && !p.left:
		return p.name + " is called back and does not come"
	case grant.Phase == disruption.PhaseConfirmed && !p.replica.inDrain && grant.TargetVersion == "" && !p.left:
		return p.name + " serves, and its permit still counts"
	}
	return ""
}

// leader is the state at the seat that leads; nil where none does.
func (f *groundTruth) leader() (*disruption.State, *rollout.State) {
	for _, p := range f.simulation.processes {
		if p != nil && p.running && p.replica != nil && p.replica.core.MayBeReplica() && p.replica.core.Consensus().IsLeader() {
			return p.replica.core.State()
		}
	}
	return nil, nil
}
