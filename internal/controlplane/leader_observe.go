package controlplane

import (
	"maps"
	"slices"

	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/membership/codec"
)

// Leader: it determines which nodes and workers are out of service. Each command that grants or confirms an exit carries the leader's
// observations, so that all replicas reach the same decision.

// Reasons why a node is out of service, as shown to operators.
const (
	reasonDead          = "dead"
	reasonSuspected     = "suspected"
	reasonLeft          = "left"
	reasonNoPoll        = "not heard"
	reasonOtherInstance = "another process"
	reasonOtherEpoch    = "has not heard of the group"
	reasonCatchingUp    = "its seat is not filled yet"
	reasonNotRegistered = "not known to the council"
)

// unavailableReason returns why a registered node is out of service, or "" if it is in service. A node that has not polled this leader
// is out of service.
func (a *Agent) unavailableReason(name string, member *disruption.Member) string {
	epoch, _ := a.consensus.Epoch()
	if name != a.config.Name {
		status, known := a.leader.members[name]
		if !known {
			return reasonDead
		}
		switch status.Status {
		case codec.Dead:
			return reasonDead
		case codec.Suspect:
			return reasonSuspected
		case codec.Left:
			return reasonLeft
		}
	}
	poll := a.leader.lastPolls[name]
	switch {
	case poll == nil || !a.isFresh(poll):
		return reasonNoPoll
	case poll.request.InstanceID != member.InstanceID:
		return reasonOtherInstance
	case poll.request.Epoch != epoch:
		return reasonOtherEpoch
	case poll.request.State != codec.Serving:
		return poll.request.State.String()
	case !a.consensus.CaughtUp(name):
		return reasonCatchingUp
	}
	return ""
}

// isFresh reports whether a poll is recent enough to be taken as the node's current state.
func (a *Agent) isFresh(poll *receivedPoll) bool {
	return a.now-poll.receivedAt <= maxPollAgePeriods*a.config.Period
}

// observe returns the nodes and workers that are out of service without a confirmed grant.
func (a *Agent) observe() *disruption.Observed { return a.observeForExit("", nil) }

// observeForExit is like observe, for a node that requests confirmation of its exit: the state of that node is taken from its request.
func (a *Agent) observeForExit(exiting string, request *pollRequest) *disruption.Observed {
	observed := &disruption.Observed{}
	// exited has the subjects with a confirmed grant. One whose grant is not confirmed yet may be out for another reason.
	exited := map[disruption.Subject]bool{}
	for _, grant := range a.state.disruption.Grants {
		exited[grant.Subject] = grant.Phase != disruption.PhaseGranted
	}
	for _, name := range slices.Sorted(maps.Keys(a.state.disruption.Members)) {
		member := a.state.disruption.Members[name]
		reason := a.unavailableReason(name, member)
		if name == exiting {
			reason = ""
			if request.State != codec.Serving {
				reason = request.State.String()
			}
		} else if exited[disruption.Subject{Name: name}] {
			continue
		}
		if reason != "" {
			unavailable := disruption.Unavailable{Name: name, Reason: reason, Site: member.Site, VersionOrKind: member.Version}
			observed.Nodes = appendListed(observed.Nodes, unavailable, &observed.Unlisted)
		}
	}
	a.observeUnregistered(observed, exited)
	a.observeWorkers(observed, exited)
	return observed
}

// observeUnregistered adds members that have not registered with this consensus group. They count as out of service, since an exit that
// an earlier group confirmed may still be in progress there.
func (a *Agent) observeUnregistered(observed *disruption.Observed, exited map[disruption.Subject]bool) {
	state := a.state.disruption
	for _, name := range slices.Sorted(maps.Keys(a.leader.members)) {
		member := a.leader.members[name]
		isUnregistered := state.Members[name] == nil && !state.WrittenOff[name]
		if isUnregistered && member.Status <= codec.Dead && !exited[disruption.Subject{Name: name}] {
			unavailable := disruption.Unavailable{Name: name, Reason: reasonNotRegistered, Site: member.Site}
			observed.Nodes = appendListed(observed.Nodes, unavailable, &observed.Unlisted)
		}
	}
}

// observeWorkers adds the workers and the free capacity as seen by this node's balancer.
func (a *Agent) observeWorkers(observed *disruption.Observed, exited map[disruption.Subject]bool) {
	for _, worker := range a.local.Workers {
		if worker.UnavailableReason == "" {
			observed.WorkersInService++
			continue
		}
		if exited[disruption.Subject{Kind: disruption.KindWorker, Name: worker.ID}] {
			continue
		}
		unavailable := disruption.Unavailable{
			Name: worker.ID, Reason: worker.UnavailableReason, Site: worker.Site, VersionOrKind: worker.Kind,
		}
		observed.Workers = appendListed(observed.Workers, unavailable, &observed.Unlisted)
	}
	observed.FreeCapacity = maps.Clone(a.local.FreeCapacity)
}

// appendListed appends to the list, or increments unlisted if the list has reached its maximum length.
func appendListed(list []disruption.Unavailable, unavailable disruption.Unavailable, unlisted *int) []disruption.Unavailable {
	if len(list) >= disruption.MaxListedUnavailable {
		*unlisted++
		return list
	}
	return append(list, unavailable)
}
