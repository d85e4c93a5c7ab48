package rollout

import (
	"errors"

	"swiftdeal/internal/controlplane/rejection"
)

// Reasons for rejecting a command, for use with errors.Is.
var (
	ErrUnknownCommand = errors.New("unknown command")
	ErrNoRelease      = errors.New("no release is open")
	ErrReleaseOpen    = errors.New("a release is open already")
	ErrOtherRelease   = errors.New("command of another release")
	ErrWrongPhase     = errors.New("not possible in this phase of the release")
	ErrBatchNotDue    = errors.New("the batch is not due") // it is not the current one, or some of its nodes are not updated
	ErrInvalidPlan    = errors.New("invalid plan")
	ErrUnknownVersion = errors.New("a node runs a version that the plan does not name")
	ErrUnknownNode    = errors.New("the node is not part of the release")
)

func reject(reason error, format string, args ...any) (Effects, error) {
	return Effects{}, rejection.New(reason, format, args...)
}
