package controlplane

import (
	"fmt"

	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/membership/codec"
)

// Action is an instruction to the host. The host has to execute actions in order, so that a message is sent only after the state
// before it has been persisted.
type Action interface{ isAction() }

// SendAction asks the host to send Payload to the node Recipient in a datagram. Delivery is not guaranteed.
type SendAction struct {
	Recipient string
	Kind      codec.Kind
	Payload   []byte
}

// PersistAction asks the host to persist State; see consensus.PersistentState.Merge.
type PersistAction struct{ State *consensus.PersistentState }

// StartDrainAction asks the host to leave service. Its exit under the grant has been confirmed.
type StartDrainAction struct {
	GrantID       uint64
	TargetVersion string // program version to restart with; empty for a drain requested by an operator
	OutOfRotation bool   // send clients to other nodes; false if the process hands over to its successor
}

// ResumeServiceAction asks the host to return to service.
type ResumeServiceAction struct{ GrantID uint64 }

// DrainWorkersAction replaces the set of workers that the host drains.
type DrainWorkersAction struct{ Workers []string }

// ApplySettingsAction asks the host to apply a version of the settings atomically and to report the outcome with SettingsApplied.
type ApplySettingsAction struct{ Version *configversion.Version }

// LogAction asks the host to log a message.
type LogAction struct{ Message string }

func (SendAction) isAction()          {}
func (PersistAction) isAction()       {}
func (StartDrainAction) isAction()    {}
func (ResumeServiceAction) isAction() {}
func (DrainWorkersAction) isAction()  {}
func (ApplySettingsAction) isAction() {}
func (LogAction) isAction()           {}

// TakeActions returns and clears the pending actions.
func (a *Agent) TakeActions() []Action {
	actions := a.actions
	a.actions = nil
	return actions
}

func (a *Agent) emit(action Action) { a.actions = append(a.actions, action) }

func (a *Agent) send(recipient string, kind codec.Kind, payload []byte) {
	a.emit(SendAction{Recipient: recipient, Kind: kind, Payload: payload})
}

func (a *Agent) logf(format string, args ...any) {
	a.emit(LogAction{Message: fmt.Sprintf(format, args...)})
}
