package configversion

import (
	"errors"

	"swiftdeal/internal/controlplane/rejection"
)

// Reasons for rejecting a command, for use with errors.Is.
var (
	ErrInvalidBody    = errors.New("missing or oversized body")
	ErrStaleBase      = errors.New("the base is not the current version")
	ErrNotLater       = errors.New("not later than the current version")
	ErrUnknownCommand = errors.New("unknown command")
)

// State is the replicated state of the control plane: the version that nodes are to activate, and the previous one, for a rollback.
// All replicas that apply the same commands have the same state. It is not safe for concurrent use.
type State struct {
	Current  *Version `cbor:"1,keyasint,omitempty"` // nil if none has been decided on yet
	Previous *Version `cbor:"2,keyasint,omitempty"` // nil if there is none or it is not known
}

// Op is the operation of a command. The values are stored.
type Op uint8

// Operations.
const (
	OpSet       Op = 1 + iota // replaces Base by Next
	OpCarryOver               // keeps Next, which an earlier group decided on and which nodes have activated
)

// Command is a log entry of the control plane about the configuration. The leader assigns the ID of Next.
type Command struct {
	Op   Op       `cbor:"1,keyasint"`
	Base ID       `cbor:"2,keyasint,omitempty"` // for OpSet: the version that the operator's change is based on
	Next *Version `cbor:"3,keyasint"`
}

// Apply executes a command. An error is a *rejection.Error and means that nothing has changed.
func (s *State) Apply(c *Command) error {
	currentID := s.Current.Header().ID
	switch {
	case c.Next == nil || len(c.Next.Body) == 0 || len(c.Next.Body) > MaxBodyBytes:
		return rejection.New(ErrInvalidBody, "a revision without a body, or with one that is too large")
	case c.Op == OpSet && c.Base != currentID:
		// Without this check, the second of two concurrent changes to the same base would silently undo the first.
		return rejection.New(ErrStaleBase, "revision %v is the latest, not %v: look at it and ask again", currentID, c.Base)
	case c.Next.ID.Compare(currentID) <= 0:
		return rejection.New(ErrNotLater, "revision %v is the latest; %v does not come after it", currentID, c.Next.ID)
	case c.Op != OpSet && c.Op != OpCarryOver:
		return rejection.New(ErrUnknownCommand, "a command that this version does not know")
	}
	s.Previous = s.Current
	s.Current = c.Next
	return nil
}
