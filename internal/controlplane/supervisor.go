package controlplane

import (
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
)

// SupervisorOperation is an operation that a node's supervisor may perform on the node's process.
type SupervisorOperation string

// Supervisor operations.
const (
	SupervisorNothing SupervisorOperation = "nothing"
	SupervisorWait    SupervisorOperation = "wait" // until no request is in flight, then query again
	SupervisorRestart SupervisorOperation = "restart"
)

// Reasons returned to supervisors.
const (
	reasonHasVersion       = "it has that version"
	reasonRequestsInFlight = "jobs are open"
	reasonDown             = "it is down already"
)

// SupervisorAction tells the supervisor of a node's process what it may do now.
type SupervisorAction struct {
	Action        SupervisorOperation `json:"do"`
	GrantID       uint64              `json:"permit,omitempty"`
	Version       string              `json:"version,omitempty"` // program version to restart with
	OutOfRotation bool                `json:"away"`              // clients use other nodes; false if the process hands over to a successor
	Reason        string              `json:"why,omitempty"`
}

// SupervisorAction returns what the supervisor may do with this node's process now. idle is whether it has no request in flight.
func (a *Agent) SupervisorAction(idle bool) SupervisorAction {
	exit := &a.exit
	action := SupervisorAction{Action: SupervisorNothing, GrantID: exit.grantID}
	switch {
	case exit.grantID == 0 || exit.targetVersion == "" || exit.resumed:
		return SupervisorAction{Action: SupervisorNothing}
	case exit.targetVersion == a.config.Version:
		action.Reason = reasonHasVersion
		return action
	}
	action.Version = exit.targetVersion
	action.OutOfRotation = exit.outOfRotation
	if exit.outOfRotation && !idle {
		action.Action = SupervisorWait
		action.Reason = reasonRequestsInFlight
		return action
	}
	action.Action = SupervisorRestart
	return action
}

// SupervisorActionFor returns what the supervisor of another node may do with that node's process, according to this replica's state.
// It serves supervisors whose own process does not respond.
func (a *Agent) SupervisorActionFor(node string) SupervisorAction {
	grant := a.state.disruption.GrantOf(disruption.Subject{Kind: disruption.KindNode, Name: node})
	if grant == nil || grant.TargetVersion == "" || grant.Phase == disruption.PhaseGranted {
		return a.supervisorActionWithoutGrant(node)
	}
	member := a.state.disruption.Members[node]
	if member != nil && member.Version == grant.TargetVersion && member.InstanceID != grant.InstanceID {
		return SupervisorAction{Action: SupervisorNothing, GrantID: grant.ID, Reason: reasonHasVersion}
	}
	return SupervisorAction{Action: SupervisorRestart, GrantID: grant.ID, Version: grant.TargetVersion}
}

// supervisorActionWithoutGrant returns the action for a node without a grant for a release. A node that the release has taken down may
// restart with the earlier version without a grant.
func (a *Agent) supervisorActionWithoutGrant(node string) SupervisorAction {
	release := a.state.rollout
	progress := release.Nodes[node]
	rollingBack := release.Phase == rollout.PhaseRollingBack || release.Phase == rollout.PhaseStuck
	if progress != nil && progress.Attempted && progress.Status != rollout.StatusReverted && rollingBack {
		return SupervisorAction{Action: SupervisorRestart, Version: release.Plan.FromVersion, Reason: reasonDown}
	}
	return SupervisorAction{Action: SupervisorNothing}
}
