package replica

import (
	"strconv"

	"swiftdeal/internal/controlplane"
)

// SupervisorAction returns what the supervisor of this node's process may do now.
func (s *Service) SupervisorAction() controlplane.SupervisorAction {
	return s.agent.SupervisorAction(s.host.Idle())
}

// SupervisorActionFor returns what the supervisor of another node's process may do now. ok is false if this node is not a replica with
// state.
func (s *Service) SupervisorActionFor(node string) (action controlplane.SupervisorAction, ok bool) {
	if !s.agent.HasState() {
		return controlplane.SupervisorAction{}, false
	}
	return s.agent.SupervisorActionFor(node), true
}

// BeginRestart records that the supervisor begins to restart the process under a grant. It returns what the supervisor may do now; ok is
// false if that is not a restart under this grant.
func (s *Service) BeginRestart(grant string) (action controlplane.SupervisorAction, ok bool) {
	action = s.SupervisorAction()
	if strconv.FormatUint(action.GrantID, 10) != grant || action.Action != controlplane.SupervisorRestart {
		return action, false
	}
	s.restartBegun = true
	s.local.Resumable = false
	s.log.Info("restart begun", "permit", action.GrantID, "version", action.Version)
	return action, true
}
