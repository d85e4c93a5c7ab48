package controlplane

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/rejection"
	"swiftdeal/internal/membership/codec"
)

// Leader: it checks requests for new versions of the fleet's settings, and tracks how far the current version has propagated.

const (
	// discoveryPeriods is the time that nodes and replicas restarted without state need to discover one another.
	discoveryPeriods = 12
	// maxReportWaitPeriods is how long a leader without settings waits at most for nodes to report their versions.
	maxReportWaitPeriods = 16
)

// missingVersion returns the latest version that nodes have if the replicated state lacks it, else nil. The state lacks it if the group
// is new, since a new group starts with an empty state, or if replicas ran a program version that does not store settings.
func (a *Agent) missingVersion() *configversion.Version {
	latest, current := a.distributor.Latest(), a.state.settings.Current
	if latest == nil || current != nil && latest.ID.Compare(current.ID) <= 0 {
		return nil
	}
	return latest
}

// isRecoveringSettings reports whether nodes may have versions of an earlier group that the replicated state does not contain yet.
func (a *Agent) isRecoveringSettings() bool {
	return a.missingVersion() != nil || a.state.settings.Current == nil && !a.allNodesReported()
}

// allNodesReported reports whether all present nodes have reported their version and this node has the latest of them. After
// maxReportWaitPeriods it returns true even if nodes have not reported, or cannot transfer the version that they have.
func (a *Agent) allNodesReported() bool {
	leading := a.now - a.leader.since
	if leading < discoveryPeriods*a.config.Period { // nodes with settings may not be in membership yet
		return false
	}
	if leading >= maxReportWaitPeriods*a.config.Period {
		return true
	}
	latest := versionID(a.distributor.Latest())
	for name, member := range a.leader.members {
		if member.Status > codec.Suspect || name == a.config.Name {
			continue
		}
		poll := a.leader.lastPolls[name]
		if poll == nil || poll.request.Settings != nil && poll.request.Settings.Latest.Compare(latest) > 0 {
			return false
		}
	}
	return true
}

// proposeCarryOver proposes to add the version that an earlier group committed to this group's state.
func (a *Agent) proposeCarryOver() {
	missing := a.missingVersion()
	if missing == nil {
		return
	}
	// Versions committed by this group have to be ordered after those that it carries over.
	a.consensus.ObserveEpoch(missing.ID.Group)
	if a.state.settings.Current != nil || a.allNodesReported() {
		command := &configversion.Command{Op: configversion.OpCarryOver, Next: missing}
		a.propose(pendingProposal{subject: "adopt " + missing.ID.String()}, &logCommand{Settings: command})
	}
}

// decideSettings returns the decision on an operator's request to set or revert the settings.
func (a *Agent) decideSettings(from string, request *OperatorRequest, requestedBy string) (decision, error) {
	if a.distributor == nil {
		return decision{}, rejection.New(ErrNoSettings, "this fleet's file has no [settings]")
	}
	if request.BaseVersion == nil {
		return decision{}, rejection.New(ErrNoBaseVersion, "no base was named")
	}
	if a.isRecoveringSettings() {
		return decision{}, nil
	}
	current := a.state.settings.Current.Header()
	epoch, _ := a.consensus.Epoch()
	if epoch.Compare(current.ID.Group) < 0 {
		// New versions of this group would be ordered before the one that it has carried over; the group needs a later epoch first.
		a.consensus.ObserveEpoch(current.ID.Group)
		return decision{}, nil
	}
	var body []byte
	var isRetry bool
	var err error
	if request.Operation == OperationRevertSettings {
		body, isRetry, err = a.revertedBody(request, requestedBy)
	} else {
		body, isRetry, err = a.requestedBody(from, request)
	}
	switch {
	case err != nil:
		return decision{}, err
	case isRetry: // the request was committed before, but the reply was lost
		result := versionCommitted(current.ID)
		return decision{result: &result}, nil
	case body == nil: // still being fetched
		return decision{}, nil
	}
	next := &configversion.Version{ID: configversion.ID{Group: epoch, Number: current.ID.Number + 1}, Body: body}
	command := &configversion.Command{Op: configversion.OpSet, Base: *request.BaseVersion, Next: next}
	return decision{command: &logCommand{Settings: command}}, nil
}

// mayBeCommitted reports whether the current version may be the result of the request, that is, whether it replaced the request's base
// version.
func (a *Agent) mayBeCommitted(request *OperatorRequest) bool {
	settings := &a.state.settings
	return settings.Current != nil && *request.BaseVersion != settings.Current.ID &&
		*request.BaseVersion == settings.Previous.Header().ID
}

// revertedBody returns the body of a new version with the settings of the previous one. isRetry is true if the current version is the
// result of the same request.
func (a *Agent) revertedBody(request *OperatorRequest, requestedBy string) (body []byte, isRetry bool, err error) {
	current, previous := a.state.settings.Current, a.state.settings.Previous
	if a.mayBeCommitted(request) {
		content, err := configversion.Unpack(current.Body)
		if err == nil && content.CreatedAtMs == request.AtMs && content.Author == requestedBy {
			return nil, true, nil
		}
	}
	if previous == nil {
		return nil, false, rejection.New(ErrNoEarlierVersion, "there is none before it that the council knows")
	}
	content, err := configversion.Unpack(previous.Body)
	if err != nil {
		return nil, false, err
	}
	reason := truncateReason(fmt.Sprintf("back to %v", previous.ID))
	if request.Reason != "" {
		reason = truncateReason(reason + ": " + request.Reason)
	}
	body, err = configversion.Pack(configversion.Content{
		Settings: content.Settings, Author: requestedBy, Reason: reason, CreatedAtMs: request.AtMs,
	})
	return body, false, err
}

// requestedBody returns the body that a request refers to, or nil while it is fetched from the node that sent the request. isRetry is
// true if the current version already has that body.
func (a *Agent) requestedBody(from string, request *OperatorRequest) (body []byte, isRetry bool, err error) {
	var checksum configversion.Checksum
	reference := request.SettingsBody
	if !reference.isValid() {
		return nil, false, rejection.New(ErrInvalidSettings, "a call without settings, or with more than can be decided on")
	}
	copy(checksum[:], reference.Checksum)
	if a.mayBeCommitted(request) && a.state.settings.Current.Header().Checksum == checksum {
		return nil, true, nil
	}
	body = a.distributor.FindBody(checksum)
	if body == nil {
		a.distributor.Fetch(a.now, checksum, reference.Size, from)
		a.collect()
	}
	return body, false, nil
}

// logPropagation logs, once per version, that all nodes use the current version.
func (a *Agent) logPropagation() {
	watch, current := &a.leader.settings, a.state.settings.Current
	if current == nil || watch.propagationLogged && watch.latestVersion == current.ID {
		return
	}
	if watch.latestVersion != current.ID {
		*watch = settingsWatch{latestVersion: current.ID, versionSeenAt: a.now}
	}
	active, total, _ := a.laggingNodes(0)
	if active == total {
		watch.propagationLogged = true
		took := (a.now - watch.versionSeenAt).Round(10 * time.Millisecond)
		a.logf("settings %v active on all %d nodes, %v after the leader first saw the version", current.ID, total, took)
	}
}

// laggingNodes counts the nodes that are present and those of them on which the current version is active. It also returns up to limit
// of the others, sorted by name.
func (a *Agent) laggingNodes(limit int) (active, total int, lagging []NodeSettings) {
	current := versionID(a.state.settings.Current)
	for _, name := range slices.Sorted(maps.Keys(a.leader.members)) {
		if a.leader.members[name].Status > codec.Suspect {
			continue
		}
		total++
		node, isActive := a.nodeSettings(name, current)
		if isActive {
			active++
		} else if len(lagging) < limit {
			lagging = append(lagging, node)
		}
	}
	return active, total, lagging
}

// nodeSettings returns the settings status that a node has reported, and whether the current version is active there.
func (a *Agent) nodeSettings(name string, current configversion.ID) (node NodeSettings, isActive bool) {
	node = NodeSettings{Node: name, LastPollAgeMs: -1}
	poll := a.leader.lastPolls[name]
	if name == a.config.Name {
		poll = &receivedPoll{receivedAt: a.now, request: pollRequest{Settings: a.localSettings()}}
	}
	if poll == nil {
		node.Reason = "not heard of yet"
		return node, false
	}
	node.LastPollAgeMs = (a.now - poll.receivedAt).Milliseconds()
	status := poll.request.Settings
	if status == nil {
		node.Reason = "its program, or its fleet file, has no settings of the fleet"
		return node, false
	}
	node.Latest, node.Active = status.Latest, status.Active
	switch {
	case !a.isFresh(poll):
		node.Reason = "not heard of any more"
	case status.Active == current:
		return node, true
	case status.Rejected == current:
		node.Reason = "refused: " + status.RejectReason
	case status.Latest.Compare(current) < 0:
		node.Reason = "it has not come there yet"
	default:
		node.Reason = "it is being put into effect"
	}
	return node, false
}

// versionID returns a version's ID, or the zero ID for nil.
func versionID(version *configversion.Version) configversion.ID {
	if version == nil {
		return configversion.ID{}
	}
	return version.ID
}
