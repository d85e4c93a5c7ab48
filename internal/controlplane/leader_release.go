package controlplane

import (
	"fmt"
	"time"

	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
)

// Leader: it advances the open release.

const (
	// overBudgetPeriods is how long a budget has to be exceeded before the release is halted. It is long enough that a delayed poll
	// does not halt the release.
	overBudgetPeriods = 15
	// leaderlessHaltPeriods is the time without a leader after which the release is halted.
	leaderlessHaltPeriods = 10
)

// releaseSubject is the subject of all proposals on the release, so that only one is pending at a time.
const releaseSubject = "release"

// releaseWatch is the leader's state of the open release that is not replicated.
type releaseWatch struct {
	controller        *rollout.Controller
	withinBudgetAt    time.Duration // last time at which no budget was exceeded
	leaderlessChecked bool          // the time without a leader before this term has been checked
}

func (a *Agent) proposeRelease(command *rollout.Command) {
	a.propose(pendingProposal{subject: releaseSubject}, &logCommand{Rollout: command})
}

// driveRelease proposes the next command of the open release, if one is due.
func (a *Agent) driveRelease(observed *disruption.Observed) {
	release := a.state.rollout
	// Wait until nodes have had time to poll a new leader: one that has not polled yet must not count as failed.
	if !release.Phase.Open() || a.now-a.leader.since < maxPollAgePeriods*a.config.Period {
		return
	}
	if a.haltAfterLeaderlessPeriod() {
		return
	}
	command := a.leader.release.controller.NextCommand(a.now, release, a.observeRelease(), a.exceededBudget(observed))
	if command != nil {
		a.proposeRelease(command)
		return
	}
	if release.Phase == rollout.PhaseHalted {
		a.resumeUnrestartedNodes()
	}
}

// haltAfterLeaderlessPeriod checks once per term whether there was no leader for too long before the term. If so, it proposes to halt a
// running release and returns true.
func (a *Agent) haltAfterLeaderlessPeriod() bool {
	l := &a.leader
	if l.release.leaderlessChecked {
		return false
	}
	l.release.leaderlessChecked = true
	release := a.state.rollout
	if l.leaderlessFor > leaderlessHaltPeriods*a.config.Period && release.Phase == rollout.PhaseRunning {
		reason := fmt.Sprintf("the council had no majority for %v", l.leaderlessFor.Round(100*time.Millisecond))
		a.proposeRelease(&rollout.Command{ReleaseID: release.ID, Action: rollout.Halt{Reason: reason}})
		return true
	}
	return false
}

// observeRelease returns the observed state of the nodes in the release.
func (a *Agent) observeRelease() map[string]rollout.NodeObservation {
	release := a.state.rollout
	observations := map[string]rollout.NodeObservation{}
	for name := range release.Nodes {
		member, poll := a.state.disruption.Members[name], a.leader.lastPolls[name]
		if member == nil || poll == nil {
			continue
		}
		grant := a.state.disruption.GrantOf(disruption.Subject{Name: name})
		observations[name] = rollout.NodeObservation{
			InstanceID:    poll.request.InstanceID,
			Version:       poll.request.Version,
			Serving:       a.unavailableReason(name, member) == "",
			Fresh:         a.isFresh(poll),
			Counts:        poll.request.RequestCounts,
			ExitConfirmed: grant != nil && grant.ReleaseID == release.ID && grant.Phase != disruption.PhaseGranted,
		}
	}
	return observations
}

// exceededBudget returns the budget that has been exceeded for overBudgetPeriods, or "" if there is none.
func (a *Agent) exceededBudget(observed *disruption.Observed) string {
	state := *a.state.disruption
	state.Observed = *observed
	exceeded := state.ExceededNodeBudget()
	watch := &a.leader.release
	if exceeded == "" {
		watch.withinBudgetAt = a.now
	} else if a.now-watch.withinBudgetAt < overBudgetPeriods*a.config.Period {
		return ""
	}
	return exceeded
}

// resumeUnrestartedNodes proposes to return nodes to service that have left service for the halted release and whose processes have
// not been restarted.
func (a *Agent) resumeUnrestartedNodes() {
	for _, grant := range a.state.disruption.Grants {
		if grant.ReleaseID != a.state.rollout.ID || grant.Phase != disruption.PhaseConfirmed {
			continue
		}
		poll := a.leader.lastPolls[grant.Name]
		if poll != nil && poll.request.InstanceID == grant.InstanceID && poll.request.Resumable {
			a.proposeDisruption("call back "+grant.Name, disruption.Resume{Subject: grant.Subject, RequestedBy: "halt"}, nil)
		}
	}
}
