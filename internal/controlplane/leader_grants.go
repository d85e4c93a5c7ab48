package controlplane

import (
	"fmt"
	"maps"
	"slices"

	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/membership/codec"
)

// Leader: it proposes commands that record newly registered nodes and quiesced workers.

// maxNodesPerCommand limits the number of nodes in one command.
const maxNodesPerCommand = 12

// registerNodes proposes to register new nodes and new instances of known nodes.
func (a *Agent) registerNodes() {
	var nodes []disruption.NamedMember
	for _, name := range slices.Sorted(maps.Keys(a.leader.lastPolls)) {
		request := &a.leader.lastPolls[name].request
		registered := a.state.disruption.Members[name]
		isKnown := registered != nil && registered.InstanceID == request.InstanceID
		if isKnown || !a.isPresent(name, request.InstanceID) || len(nodes) >= maxNodesPerCommand {
			continue
		}
		nodes = append(nodes, disruption.NamedMember{Name: name, Member: disruption.Member{
			InstanceID: request.InstanceID, Incarnation: request.Incarnation, Site: request.Site, Version: request.Version,
		}})
	}
	if len(nodes) > 0 {
		a.proposeDisruption("register", disruption.Register{Nodes: nodes}, nil)
	}
}

// isPresent reports whether the instance is this process or, according to membership, the running one of its node.
func (a *Agent) isPresent(name string, instanceID uint64) bool {
	if name == a.config.Name && instanceID == a.config.InstanceID {
		return true
	}
	member, known := a.leader.members[name]
	return known && member.InstanceID == instanceID && member.Status <= codec.Suspect
}

// recordQuiesced proposes to record the nodes that no longer have attempts in flight at a drained worker.
func (a *Agent) recordQuiesced() {
	for _, grant := range a.state.disruption.Grants {
		if grant.Kind != disruption.KindWorker || grant.Phase != disruption.PhaseConfirmed {
			continue
		}
		var quiesced []disruption.NamedMember
		for _, name := range grant.PendingNodes {
			member := a.state.disruption.Members[name]
			if member != nil && len(quiesced) < maxNodesPerCommand && a.isQuiesced(name, member.InstanceID, grant.ID) {
				instance := disruption.Member{InstanceID: member.InstanceID}
				quiesced = append(quiesced, disruption.NamedMember{Name: name, Member: instance})
			}
		}
		if len(quiesced) > 0 {
			report := disruption.ReportQuiesced{GrantID: grant.ID, Nodes: quiesced}
			a.proposeDisruption(fmt.Sprintf("quiet %d", grant.ID), report, nil)
		}
	}
}

// isQuiesced reports whether an instance has no attempt in flight at the worker of a grant: either it has reported so, or it has left
// the fleet and so has no attempts at all.
func (a *Agent) isQuiesced(name string, instanceID, grantID uint64) bool {
	poll := a.leader.lastPolls[name]
	if poll != nil && poll.request.InstanceID == instanceID && slices.Contains(poll.request.QuiescedGrants, grantID) {
		return true
	}
	member, known := a.leader.members[name]
	return known && member.Status == codec.Left && member.InstanceID == instanceID
}

// endWorkerGrants proposes to end the grants of returning workers that are back in service.
func (a *Agent) endWorkerGrants() {
	for _, grant := range a.state.disruption.Grants {
		if grant.Kind != disruption.KindWorker || grant.Phase != disruption.PhaseReturning {
			continue
		}
		inService := slices.ContainsFunc(a.local.Workers, func(worker WorkerStatus) bool {
			return worker.ID == grant.Name && worker.UnavailableReason == ""
		})
		if inService {
			returned := disruption.ReturnToService{Subject: grant.Subject, GrantID: grant.ID, RequestedBy: a.config.Name}
			a.proposeDisruption("back "+grant.Subject.String(), returned, nil)
		}
	}
}
