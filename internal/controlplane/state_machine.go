package controlplane

import (
	"cmp"
	"fmt"
	"slices"

	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
	"swiftdeal/internal/membership/codec"
)

// logCommand is an entry of the log. Exactly one of its fields is set. Fields are identified by their numbers, which must not change.
type logCommand struct {
	Disruption *disruption.Command    `cbor:"1,keyasint,omitempty"`
	Rollout    *rollout.Command       `cbor:"2,keyasint,omitempty"`
	Settings   *configversion.Command `cbor:"3,keyasint,omitempty"`
}

// stateMachine is the replicated state machine. It combines grants and the release, since one command may change both, and also holds
// the versions of the settings. It is deterministic, so that all replicas reach the same state.
type stateMachine struct {
	disruption     *disruption.State
	rollout        *rollout.State
	settings       configversion.State
	appliedIndex   uint64
	confirmedExits []ConfirmedExit // not yet returned by TakeConfirmedExits
	ignoreSettings bool            // see Config.IgnoreSettings
}

// ConfirmedExit describes the confirmation of an exit, with the number of nodes that were out of service according to the replicated
// state at that point.
type ConfirmedExit struct {
	Epoch       consensus.GroupID
	Subject     disruption.Subject
	GrantID     uint64
	Unavailable int // nodes out of service
	Limit       int // nodes that the budget allows to be out of service
}

func newStateMachine() *stateMachine {
	return &stateMachine{disruption: disruption.New(), rollout: rollout.New()}
}

// Reset implements consensus.StateMachine.
func (m *stateMachine) Reset() {
	m.disruption = disruption.New()
	m.rollout = rollout.New()
	m.settings = configversion.State{}
	m.appliedIndex = 0
}

// machineSnapshot is the encoded form of the state. Fields are identified by their numbers, which must not change.
type machineSnapshot struct {
	Disruption   *disruption.State   `cbor:"1,keyasint"`
	Rollout      *rollout.State      `cbor:"2,keyasint"`
	AppliedIndex uint64              `cbor:"3,keyasint"`
	Settings     configversion.State `cbor:"4,keyasint,omitempty"`
}

// Snapshot implements consensus.StateMachine.
func (m *stateMachine) Snapshot() []byte {
	return codec.Encode(machineSnapshot{m.disruption, m.rollout, m.appliedIndex, m.settings})
}

// Restore implements consensus.StateMachine.
func (m *stateMachine) Restore(encoded []byte) error {
	restored := machineSnapshot{Disruption: disruption.New(), Rollout: rollout.New()}
	if err := codec.Decode(encoded, &restored); err != nil {
		return err
	}
	// A snapshot may encode an empty map as null, which decodes as nil.
	if restored.Disruption.Members == nil {
		restored.Disruption.Members = map[string]*disruption.Member{}
	}
	if restored.Disruption.Unhealthy == nil {
		restored.Disruption.Unhealthy = map[string]string{}
	}
	if restored.Disruption.WrittenOff == nil {
		restored.Disruption.WrittenOff = map[string]bool{}
	}
	if m.ignoreSettings {
		restored.Settings = configversion.State{}
	}
	m.disruption, m.rollout = restored.Disruption, restored.Rollout
	m.settings = restored.Settings
	m.appliedIndex = restored.AppliedIndex
	return nil
}

// Apply implements consensus.StateMachine; it returns a Result.
func (m *stateMachine) Apply(index uint64, encoded []byte) any {
	m.appliedIndex = index
	var command logCommand
	if err := codec.Decode(encoded, &command); err != nil {
		return Result{Text: err.Error()}
	}
	switch {
	case command.Disruption != nil:
		return m.applyDisruption(index, command.Disruption)
	case command.Rollout != nil:
		return m.applyRollout(index, command.Rollout)
	case command.Settings != nil && !m.ignoreSettings:
		return m.applySettings(index, command.Settings)
	}
	return Result{Text: "a command that this version does not know"}
}

// applyDisruption applies a command on grants and updates the release according to the result.
func (m *stateMachine) applyDisruption(index uint64, command *disruption.Command) Result {
	applied, err := m.disruption.Apply(index, command)
	if err != nil {
		return Result{Text: err.Error()}
	}
	switch action := command.Action.(type) {
	case disruption.ConfirmExit:
		m.exitConfirmed(action)
	case disruption.ReturnToService:
		if applied.Ended.ReleaseID != "" {
			m.nodeReturned(index, command.AtMs, applied.Ended)
		}
	case disruption.Register:
		m.nodesRegistered(index, command.AtMs, action.Nodes)
	case disruption.WriteOff:
		if action.Subject.Kind == disruption.KindNode {
			m.applyRollout(index, &rollout.Command{AtMs: command.AtMs, Action: rollout.RemoveNode{Node: action.Subject.Name}})
		}
	}
	return Result{OK: true, Number: applied.GrantID, Text: applied.Text}
}

func (m *stateMachine) exitConfirmed(confirmed disruption.ConfirmExit) {
	m.confirmedExits = append(m.confirmedExits, ConfirmedExit{
		Subject:     confirmed.Subject,
		GrantID:     confirmed.GrantID,
		Unavailable: m.disruption.UnavailableNodes(),
		Limit:       m.disruption.Budgets.Nodes,
	})
	if grant := m.disruption.GrantOf(confirmed.Subject); grant.ReleaseID != "" {
		m.rollout.ExitConfirmed(confirmed.Subject.Name, grant.ReleaseID)
	}
}

// nodeReturned updates the release after a node that left service for it has returned.
func (m *stateMachine) nodeReturned(index uint64, atMs int64, ended *disruption.Grant) {
	version := ""
	if member := m.disruption.Members[ended.Name]; member != nil {
		version = member.Version
	}
	mismatch, next := m.rollout.NodeReturned(ended.Name, version, ended.ReleaseID)
	if mismatch != "" {
		halt := rollout.Halt{Reason: "the plan no longer matches the fleet: " + mismatch}
		m.applyRollout(index, &rollout.Command{AtMs: atMs, Action: halt})
	}
	if next != nil {
		m.disruption.Apply(index, &disruption.Command{AtMs: atMs, Action: disruption.RequestGrant{Request: *next}})
	}
	m.syncGrants(index, atMs, false)
}

// nodesRegistered updates the release after node processes have started, and withdraws requests that are no longer needed.
func (m *stateMachine) nodesRegistered(index uint64, atMs int64, nodes []disruption.NamedMember) {
	for _, node := range nodes {
		subject := disruption.Subject{Name: node.Name}
		grant := m.disruption.GrantOf(subject)
		hasLeft := grant != nil && grant.Phase != disruption.PhaseGranted
		if !hasLeft && m.rollout.NodeRestarted(node.Name, node.Version) {
			resume := disruption.Resume{Subject: subject, RequestedBy: "release"}
			m.disruption.Apply(index, &disruption.Command{AtMs: atMs, Action: resume})
		}
	}
	m.syncGrants(index, atMs, false)
}

// applyRollout applies a command on the release and updates the grants accordingly.
func (m *stateMachine) applyRollout(index uint64, command *rollout.Command) Result {
	before := m.rollout.Phase
	effects, err := m.rollout.Apply(index, command)
	if err != nil {
		return Result{Text: err.Error()}
	}
	phase := m.rollout.Phase
	m.recordPhase(index, command, before)
	for name, reason := range effects.Unhealthy {
		if m.disruption.Members[name] != nil {
			m.disruption.Unhealthy[name] = reason
		}
	}
	startsRollback := phase == rollout.PhaseRollingBack && before != rollout.PhaseRollingBack
	m.syncGrants(index, command.AtMs, startsRollback)
	for _, request := range effects.Requests {
		grant := m.disruption.GrantOf(request.Subject)
		if grant != nil && grant.ReleaseID == request.ReleaseID { // the node has left service already; change the version to return with
			grant.TargetVersion, grant.Reason = request.TargetVersion, request.Reason
			continue
		}
		m.disruption.Apply(index, &disruption.Command{AtMs: command.AtMs, Action: disruption.RequestGrant{Request: request}})
	}
	return Result{OK: true, Text: phase.String()}
}

// recordPhase records the start of a release and each change of its phase in the history.
func (m *stateMachine) recordPhase(index uint64, command *rollout.Command, before rollout.Phase) {
	phase := m.rollout.Phase
	if _, starts := command.Action.(rollout.Start); !starts && phase == before {
		return
	}
	reason := m.rollout.Reason
	if halt, ok := command.Action.(rollout.Halt); ok {
		reason = cmp.Or(halt.Reason, reason)
	}
	m.disruption.RecordHistory(index, command.AtMs, "release", m.rollout.ID+": "+phase.String(), command.RequestedBy, reason)
}

// syncGrants updates the grants according to the release's phase. If the phase blocks exits, or the release has just started to roll
// back (startsRollback), its requests are removed and its unconfirmed grants are revoked.
func (m *stateMachine) syncGrants(index uint64, atMs int64, startsRollback bool) {
	releaseID := m.rollout.ID
	m.disruption.BlockedRelease = ""
	if m.rollout.ExitsBlocked() {
		m.disruption.BlockedRelease = releaseID
	}
	if m.disruption.BlockedRelease != "" || startsRollback {
		m.withdrawExits(index, atMs)
	}
	if m.rollout.Phase == rollout.PhaseRolledBack || m.rollout.Phase == rollout.PhaseCompleted {
		clear(m.disruption.Unhealthy)
	}
}

// withdrawExits removes the release's pending requests and revokes its grants that are not confirmed.
func (m *stateMachine) withdrawExits(index uint64, atMs int64) {
	releaseID := m.rollout.ID
	m.disruption.Queue = slices.DeleteFunc(m.disruption.Queue, func(request *disruption.PendingRequest) bool {
		return request.ReleaseID == releaseID
	})
	for _, grant := range slices.Clone(m.disruption.Grants) {
		if grant.ReleaseID != releaseID || grant.Phase != disruption.PhaseGranted {
			continue
		}
		revoke := disruption.Revoke{Subject: grant.Subject, RequestedBy: "release", Reason: m.rollout.Phase.String()}
		m.disruption.Apply(index, &disruption.Command{AtMs: atMs, Action: revoke})
	}
}

// applySettings applies a command on the versions of the settings.
func (m *stateMachine) applySettings(index uint64, command *configversion.Command) Result {
	if err := m.settings.Apply(command); err != nil {
		return Result{Text: err.Error()}
	}
	current := m.settings.Current
	if content, err := configversion.Unpack(current.Body); err == nil {
		subject := "revision " + current.ID.String()
		m.disruption.RecordHistory(index, content.CreatedAtMs, "settings", subject, content.Author, content.Reason)
	}
	return versionCommitted(current.ID)
}

// versionCommitted returns the result of an operator's request for which a version of the settings was committed.
func versionCommitted(id configversion.ID) Result {
	return Result{OK: true, Number: id.Number, Text: fmt.Sprintf("revision %v is decided on", id), Version: &id}
}
