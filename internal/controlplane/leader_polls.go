package controlplane

import (
	"fmt"

	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/membership/codec"
)

// Replicas: each replies to polls from its own state. The leader also proposes what the polling nodes request.

// maxWorkerDrains limits the number of drained workers in a reply, so that the reply fits into a datagram.
const maxWorkerDrains = 48

// handlePollRequest replies to a node's poll and, at the leader, proposes what the poll requests.
func (a *Agent) handlePollRequest(from string, request *pollRequest) {
	a.consensus.ObserveEpoch(request.Epoch)
	own, highest := a.consensus.Epoch()
	if own.Compare(highest) < 0 {
		// There is, or was, a group with a later epoch. Nodes accept nothing from this group until it has a still later one.
		a.sendReply(from, &pollReply{Seq: request.Seq, AppliedIndex: a.state.appliedIndex})
		return
	}
	reply := a.newPollReply(from, request, a.consensus.IsLeader())
	if reply.FromLeader {
		a.leader.lastPolls[from] = &receivedPoll{receivedAt: a.now, request: *request}
		a.proposeForNode(from, request)
		if request.Operator != nil {
			reply.Result = a.operatorResult(from, request)
		}
	}
	a.sendReply(from, reply)
}

// proposeForNode proposes the confirmation, or the end, of the polling node's own grant if the poll requests it.
func (a *Agent) proposeForNode(node string, request *pollRequest) {
	own, _ := a.consensus.Epoch()
	subject := disruption.Subject{Name: node}
	switch {
	case request.ConfirmGrant != 0:
		if request.Epoch != own { // a node accepts a confirmation only from a group whose epoch it has seen
			return
		}
		confirm := disruption.ConfirmExit{
			Subject: subject, GrantID: request.ConfirmGrant, InstanceID: request.InstanceID, Incarnation: request.Incarnation,
		}
		pending := pendingProposal{subject: fmt.Sprintf("confirm %s %d", node, request.ConfirmGrant), node: node, request: request}
		observed := a.observeForExit(node, request)
		a.propose(pending, &logCommand{Disruption: &disruption.Command{Action: confirm, Observed: observed}})
	case request.ReturnedGrant != 0:
		returned := disruption.ReturnToService{
			Subject: subject, GrantID: request.ReturnedGrant, InstanceID: request.InstanceID, Incarnation: request.Incarnation,
			RequestedBy: node,
		}
		a.proposeDisruption(fmt.Sprintf("back %s %d", node, request.ReturnedGrant), returned, nil)
	}
}

// newPollReply returns a reply with this replica's state on a node.
func (a *Agent) newPollReply(node string, request *pollRequest, fromLeader bool) *pollReply {
	epoch, _ := a.consensus.Epoch()
	reply := &pollReply{
		Seq: request.Seq, Epoch: epoch, Leader: a.consensus.Leader(), FromLeader: fromLeader, AppliedIndex: a.state.appliedIndex,
	}
	state := a.state.disruption
	if member := state.Members[node]; member != nil && member.InstanceID == request.InstanceID {
		reply.Registered = true
	}
	for _, grant := range state.Grants {
		switch {
		case grant.Kind == disruption.KindWorker && grant.Phase == disruption.PhaseConfirmed:
			if len(reply.WorkerDrains) < maxWorkerDrains {
				reply.WorkerDrains = append(reply.WorkerDrains, workerDrain{GrantID: grant.ID, Worker: grant.Name})
			}
		case grant.Kind == disruption.KindNode && grant.Name == node:
			reply.Grant = a.newNodeGrant(grant)
			reply.ReleaseBlocked = grant.ReleaseID != "" && grant.ReleaseID == state.BlockedRelease
		}
	}
	return reply
}

func (a *Agent) newNodeGrant(grant *disruption.Grant) *nodeGrant {
	forNode := &nodeGrant{
		ID: grant.ID, Phase: grant.Phase, InstanceID: grant.InstanceID, TargetVersion: grant.TargetVersion, ReleaseID: grant.ReleaseID,
	}
	if plan := a.state.rollout.Plan; plan != nil && grant.ReleaseID == a.state.rollout.ID {
		forNode.Handover = plan.Handover
	}
	return forNode
}

// sendReply delivers a reply to a node, which may be this node.
func (a *Agent) sendReply(node string, reply *pollReply) {
	if node == a.config.Name {
		a.handlePollReply(reply)
		return
	}
	a.send(node, codec.KindPollReply, codec.Encode(reply))
}
