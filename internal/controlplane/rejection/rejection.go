// Package rejection provides the error with which the state machines of the control plane reject a command.
package rejection

import "fmt"

// Error describes why a command was rejected. Its text is replicated and shown to operators unchanged. Callers that need to distinguish
// reasons use errors.Is with the reasons exported by the state machine's package.
type Error struct {
	Reason error
	Text   string
}

// New returns a rejection with a reason and a formatted text for operators.
func New(reason error, format string, args ...any) *Error {
	return &Error{Reason: reason, Text: fmt.Sprintf(format, args...)}
}

// Error returns the text for operators.
func (e *Error) Error() string { return e.Text }

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Reason }
