package handover

import (
	"errors"
	"fmt"
)

// Errors of a handshake and of a link.
var (
	// ErrVersion means that the other process speaks another version of the protocol.
	ErrVersion = errors.New("the other process speaks another version of the protocol")
	// ErrIncomplete means that a message lacks a field or a descriptor that its kind requires.
	ErrIncomplete = errors.New("message lacks a required field or descriptor")
	// ErrNoDirectory means that no directory for the socket is configured.
	ErrNoDirectory = errors.New("TMPDIR is not set")
)

// RefusedError reports that the other process refused the handover.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// KindError reports a message of an unknown kind, or of a kind that is not expected at this point.
type KindError struct {
	Got  Kind
	Want Kind // empty: any known kind
}

// Error implements error.
func (e *KindError) Error() string {
	if e.Want == "" {
		return fmt.Sprintf("message of unknown kind %q", e.Got)
	}
	return fmt.Sprintf("message of kind %q, want %q", e.Got, e.Want)
}

// SizeError reports a message whose size or number of descriptors exceeds the limits of the protocol.
type SizeError struct{ Bytes, Descriptors int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes with %d descriptors exceeds the limits of %d bytes and %d descriptors",
		e.Bytes, e.Descriptors, maxMessageBytes, maxDescriptors)
}

// DirectoryError reports a directory that cannot be used for the socket.
type DirectoryError struct{ Path, Problem string }

// Error implements error.
func (e *DirectoryError) Error() string { return e.Path + " " + e.Problem }

// UserError reports that the process at the other end of a link runs as another user.
type UserError struct{ UID int }

// Error implements error.
func (e *UserError) Error() string { return fmt.Sprintf("the other process runs as user %d", e.UID) }
