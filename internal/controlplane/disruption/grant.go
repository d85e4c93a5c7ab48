package disruption

import "slices"

// Phase is the phase of a grant. The values are stored.
type Phase uint8

// Phases of a grant. A grant counts against the budgets in all phases.
const (
	PhaseGranted   Phase = iota // not confirmed yet; it may be revoked
	PhaseConfirmed              // the exit may have begun
	PhaseReturning              // the subject was asked to return to service
)

// String returns the phase as it appears in output for operators and in metrics.
func (p Phase) String() string {
	if p > PhaseReturning {
		return "unknown"
	}
	return [...]string{"granted", "used", "returning"}[p]
}

// Grant is the permission for one subject to be out of service.
type Grant struct {
	Request
	ID          uint64 `cbor:"20,keyasint" json:"no"`              // derived from the index of the command that issued it
	AtMs        int64  `cbor:"21,keyasint,omitempty" json:"at_ms"` // Unix time of its issue, later of its confirmation; display only
	Phase       Phase  `cbor:"22,keyasint,omitempty" json:"phase"`
	InstanceID  uint64 `cbor:"23,keyasint,omitempty" json:"life,omitempty,string"` // of the process that confirmed it
	Incarnation uint64 `cbor:"24,keyasint,omitempty" json:"incarnation,omitempty"`

	// PendingNodes and Quiesced are set for workers only: the nodes that have not yet reported that they send nothing to the
	// worker, and whether all have.
	PendingNodes []string `cbor:"25,keyasint,omitempty" json:"waits_for,omitempty"`
	Quiesced     bool     `cbor:"26,keyasint,omitempty" json:"quiet,omitempty"`
}

// GrantOf returns the grant of a subject; nil if it has none.
func (s *State) GrantOf(subject Subject) *Grant {
	for _, grant := range s.Grants {
		if grant.Subject == subject {
			return grant
		}
	}
	return nil
}

func (s *State) grantByID(id uint64) *Grant {
	for _, grant := range s.Grants {
		if grant.ID == id {
			return grant
		}
	}
	return nil
}

func (s *State) removeGrant(grant *Grant) {
	s.Grants = slices.DeleteFunc(s.Grants, func(other *Grant) bool { return other == grant })
}

// apply lets a node begin its exit if the budgets still allow it. A repeated confirmation gets the same answer.
func (a ConfirmExit) apply(s *State, at logPosition) (Result, error) {
	grant := s.GrantOf(a.Subject)
	switch {
	case grant == nil || grant.ID != a.GrantID:
		return reject(ErrGrantVoid, "void: no such permit")
	case grant.Phase == PhaseReturning:
		return reject(ErrGrantVoid, "void: it is to come back")
	case grant.Phase == PhaseConfirmed && grant.InstanceID == a.InstanceID:
		return Result{GrantID: grant.ID, Text: "confirmed"}, nil
	case grant.Phase == PhaseConfirmed:
		return reject(ErrGrantVoid, "void: another process has used it")
	case grant.ReleaseID != "" && grant.ReleaseID == s.BlockedRelease:
		return reject(ErrGrantVoid, "void: its release is halted")
	case !at.observed:
		return reject(ErrInvalid, "nothing was seen")
	}
	if member := s.Members[grant.Name]; member == nil || member.InstanceID != a.InstanceID {
		return reject(ErrGrantVoid, "void: another process of %s is known to the council", grant.Name)
	}
	if reason := s.exceededBudget(grant); reason != "" && !s.unavailableAnyway(grant) {
		return reject(ErrBudgetExceeded, "not now: %s", reason)
	}
	grant.Phase = PhaseConfirmed
	grant.InstanceID = a.InstanceID
	grant.Incarnation = a.Incarnation
	grant.AtMs = at.atMs
	s.RecordHistory(at.index, at.atMs, "begun", grant.Subject.String(), grant.RequestedBy, grant.Reason)
	return Result{GrantID: grant.ID, Text: "confirmed"}, nil
}

// apply ends a grant. A node's grant must not be in PhaseGranted any more, so that a message from before the exit does not end
// it, and the sender must be the registered process of the node; whether that process confirmed the exit is not checked. A
// worker must have been asked to return.
func (a ReturnToService) apply(s *State, at logPosition) (Result, error) {
	grant := s.GrantOf(a.Subject)
	if grant == nil || grant.ID != a.GrantID {
		return reject(ErrNoGrant, "no such permit")
	}
	if grant.Kind == KindNode {
		member := s.Members[grant.Name]
		switch {
		case grant.Phase == PhaseGranted:
			return reject(ErrWrongPhase, "not used yet")
		case member == nil || member.InstanceID != a.InstanceID:
			return reject(ErrOtherInstance, "another process of %s is known to the council", grant.Name)
		}
	} else if grant.Phase != PhaseReturning {
		return reject(ErrWrongPhase, "it is still drained")
	}
	s.removeGrant(grant)
	s.RecordHistory(at.index, at.atMs, "back", grant.Subject.String(), a.RequestedBy, "")
	return Result{GrantID: grant.ID, Text: "back in service", Ended: grant}, nil
}

// apply withdraws a request or an unconfirmed grant. A subject that may be out of service already is asked to return.
func (a Resume) apply(s *State, at logPosition) (Result, error) {
	if s.RequestOf(a.Subject) != nil {
		s.removeRequest(a.Subject)
		s.RecordHistory(at.index, at.atMs, "withdrawn", a.Subject.String(), a.RequestedBy, "")
		return Result{Text: "its request is withdrawn"}, nil
	}
	grant := s.GrantOf(a.Subject)
	switch {
	case grant == nil:
		return reject(ErrNoGrant, "%v has no permit and waits for none", a.Subject)
	case grant.Phase == PhaseGranted:
		s.removeGrant(grant)
		s.RecordHistory(at.index, at.atMs, "withdrawn", a.Subject.String(), a.RequestedBy, "")
		return Result{Text: "its permit, not used yet, is withdrawn"}, nil
	case grant.Phase == PhaseConfirmed:
		grant.Phase = PhaseReturning
		s.RecordHistory(at.index, at.atMs, "called back", a.Subject.String(), a.RequestedBy, "")
	}
	return Result{GrantID: grant.ID, Text: "called back"}, nil
}

// apply withdraws an unconfirmed grant.
func (a Revoke) apply(s *State, at logPosition) (Result, error) {
	grant := s.GrantOf(a.Subject)
	if grant == nil || grant.Phase != PhaseGranted {
		return reject(ErrNoGrant, "%v has no permit that is not used", a.Subject)
	}
	s.removeGrant(grant)
	s.RecordHistory(at.index, at.atMs, "taken back", a.Subject.String(), a.RequestedBy, a.Reason)
	return Result{Text: "taken back"}, nil
}
