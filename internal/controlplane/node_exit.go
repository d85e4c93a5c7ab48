package controlplane

import (
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/membership/codec"
)

// Node: it leaves service only under a confirmed grant, and returns to service.

// selfReturnPeriods is the time without a known leader after which a node that was drained for a release, but not restarted, returns to
// service on its own.
const selfReturnPeriods = 20

// plannedExit is the progress of the node's exit under a grant.
type plannedExit struct {
	confirming        uint64 // grant to request confirmation of; 0 if there is none
	grantID           uint64 // grant under which the node is out of service; 0 if there is none
	targetVersion     string // program version to return with; empty for a drain requested by an operator
	outOfRotation     bool   // the exit includes sending clients to other nodes
	outOfRotationSeen bool   // the node has reported that it sends clients to other nodes
	resumed           bool   // a ResumeServiceAction was issued
}

// ActiveGrant returns the grant under which the node is out of service, or 0.
func (a *Agent) ActiveGrant() uint64 { return a.exit.grantID }

// ConfirmingGrant returns the grant for which the node requests confirmation, or 0.
func (a *Agent) ConfirmingGrant() uint64 { return a.exit.confirming }

// checkExit updates the node's exit according to the last reply of the control plane, or to the absence of replies.
func (a *Agent) checkExit() {
	exit, grant := &a.exit, a.assignment.grant
	if exit.grantID != 0 && a.local.OutOfRotation {
		exit.outOfRotationSeen = true
	}
	if exit.grantID != 0 && (grant == nil || grant.ID != exit.grantID) {
		// The control plane, or a later consensus group of it, no longer has the grant.
		if exit.targetVersion != "" && !exit.resumed {
			a.resumeService()
		}
		*exit = plannedExit{}
	}
	if exit.grantID == 0 {
		exit.confirming = a.grantToConfirm()
		return
	}
	switch {
	case exit.resumed:
	case grant.Phase == disruption.PhaseReturning:
		a.resumeService()
	case exit.targetVersion != "" && a.local.Resumable && a.now-a.poller.leaderSeenAt > selfReturnPeriods*a.config.Period:
		// The node was drained for a release but not restarted. Returning to service is better than waiting for a control plane that
		// may not recover.
		a.stats.AutonomousReturns++
		a.logf("returning to service without the control plane, which does not reply")
		a.resumeService()
	}
}

// grantToConfirm returns the grant for which the node has to request confirmation, or 0. A grant that is already confirmed for this
// instance is requested again, since the reply with the confirmation may have been lost.
func (a *Agent) grantToConfirm() uint64 {
	grant := a.assignment.grant
	switch {
	case grant == nil:
		return 0
	case grant.Phase == disruption.PhaseGranted:
		return grant.ID
	case grant.Phase == disruption.PhaseConfirmed && grant.InstanceID == a.config.InstanceID:
		return grant.ID
	}
	return 0
}

// startExit starts the exit under the grant that was just confirmed.
func (a *Agent) startExit() {
	grant := a.assignment.grant
	if grant == nil || grant.ID != a.exit.confirming {
		return
	}
	a.exit = plannedExit{
		grantID: grant.ID, targetVersion: grant.TargetVersion, outOfRotation: !grant.Handover || grant.TargetVersion == "",
	}
	a.stats.DrainsStarted++
	a.emit(StartDrainAction{GrantID: grant.ID, TargetVersion: grant.TargetVersion, OutOfRotation: a.exit.outOfRotation})
}

// resumeService asks the host to return to service.
func (a *Agent) resumeService() {
	a.exit.resumed = true
	a.stats.Returns++
	a.emit(ResumeServiceAction{GrantID: a.exit.grantID})
}

// returnedGrant returns the grant that can end because this node is back in service, or 0.
func (a *Agent) returnedGrant() uint64 {
	grant := a.assignment.grant
	if grant == nil || a.local.State != codec.Serving || grant.Phase == disruption.PhaseGranted {
		return 0
	}
	if grant.InstanceID != a.config.InstanceID { // an earlier instance left service under it
		return grant.ID
	}
	returned := grant.Phase == disruption.PhaseReturning
	// The node returned on its own, or an operator resumed it directly on this node.
	resumedLocally := a.exit.grantID == grant.ID && (a.exit.resumed || a.exit.outOfRotationSeen)
	if !a.local.OutOfRotation && (returned || resumedLocally) {
		return grant.ID
	}
	return 0
}
