package rollout

import (
	"fmt"

	"swiftdeal/internal/controlplane/disruption"
)

// Events of individual nodes. The state machine of package disruption handles them first, and the control plane passes them on.

// ExitConfirmed records that a node's exit for a release was confirmed. From now on it may return with the new version.
func (s *State) ExitConfirmed(name, releaseID string) {
	node := s.Nodes[name]
	if node == nil || releaseID != s.ID {
		return
	}
	if s.Phase == PhaseRunning || s.Phase == PhasePaused {
		node.Attempted = true
	}
}

// NodeReturned records that a node that left service for a release has returned with the given version. If that version does not
// match the plan, it returns a description of the mismatch, for which the release is to be halted. It also returns the next request
// for the node, or nil if there is none.
func (s *State) NodeReturned(name, version, releaseID string) (mismatch string, next *disruption.Request) {
	node := s.Nodes[name]
	if node == nil || releaseID != s.ID || !s.Phase.Open() {
		return "", nil
	}
	if s.Phase == PhaseRollingBack || s.Phase == PhaseStuck {
		return s.returnedInRollback(name, version)
	}
	switch {
	case version == s.Plan.Version:
		node.Status = StatusUpdated
		s.UpdateCount++
		node.UpdateOrder = s.UpdateCount
	case s.Phase == PhaseHalted && version == s.Plan.FromVersion: // it was resumed before it was restarted
		node.Status = StatusPending
		node.Attempted = false
	default:
		return versionMismatch(name, version, s.Plan.Version), nil
	}
	return "", nil
}

func (s *State) returnedInRollback(name, version string) (mismatch string, next *disruption.Request) {
	switch version {
	case s.Plan.Version: // it was being restarted when the rollback started
		request := s.rollbackRequest(name, rollbackPriority)
		return "", &request
	case s.Plan.FromVersion:
		s.Nodes[name].Status = StatusReverted
		s.completeIfDone()
		return "", nil
	}
	return versionMismatch(name, version, s.Plan.FromVersion), nil
}

func versionMismatch(name, version, want string) string {
	return fmt.Sprintf("%s came back with version %s, not %s", name, version, want)
}

// NodeRestarted records that a node's process has started with the given version, without a grant of the release. It reports
// whether this has returned the node to the earlier version.
func (s *State) NodeRestarted(name, version string) bool {
	node := s.Nodes[name]
	rollingBack := s.Phase == PhaseRollingBack || s.Phase == PhaseStuck
	if node == nil || !node.Attempted || node.Status == StatusReverted || !rollingBack || version != s.Plan.FromVersion {
		return false
	}
	node.Status = StatusReverted
	s.completeIfDone()
	return true
}

// UpdatedNodes returns the names of the nodes that run the new version.
func (s *State) UpdatedNodes() []string {
	return s.sortedNodes(func(node *NodeProgress) bool {
		return node.Status == StatusUpdated || node.UpdateOrder > 0 && node.Status != StatusReverted
	})
}
