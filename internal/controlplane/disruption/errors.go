package disruption

import (
	"errors"

	"swiftdeal/internal/controlplane/rejection"
)

// Reasons for rejecting a command, for use with errors.Is.
var (
	ErrUnknownCommand = errors.New("unknown command")
	ErrInvalid        = errors.New("invalid command")
	ErrUnknownSubject = errors.New("unknown subject")
	ErrNoGrant        = errors.New("no such grant")
	ErrGrantVoid      = errors.New("grant void")           // the grant can no longer be used; a retry will not succeed
	ErrOtherInstance  = errors.New("another process")      // another process of that name is registered
	ErrWrongPhase     = errors.New("wrong phase of grant") // the command does not apply to the grant's current phase
	ErrBudgetExceeded = errors.New("budget exceeded")      // temporary: a retry may succeed
	ErrLimitReached   = errors.New("limit reached")
)

func reject(reason error, format string, args ...any) (Result, error) {
	return Result{}, rejection.New(reason, format, args...)
}
