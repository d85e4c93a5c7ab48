package discovery

import (
	"errors"
	"fmt"
)

// ErrMessageTooLong means that a message of a watch is longer than the limit for endpoint lists.
var ErrMessageTooLong = errors.New("message of the watch exceeds the size limit of endpoint lists")

// StatusError reports an answer of discovery with a status other than 200.
type StatusError struct{ Status string }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery answered with status %s", e.Status)
}
