package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Monitor counts violations and suppressed attempts. The Violated and Suppressed methods of a nil Monitor do nothing. It
// is safe for concurrent use.
type Monitor struct {
	log        *slog.Logger
	violations [kindCount]atomic.Int64
	suppressed [reasonCount]atomic.Int64
}

// NewMonitor returns a monitor that logs to log.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// maxLogged is the maximum number of logged violations per invariant; further ones are only counted.
const maxLogged = 100

// Violated counts and logs a violation. args are key-value pairs for the log line.
func (m *Monitor) Violated(k Kind, args ...any) {
	if m == nil || m.violations[k].Add(1) > maxLogged {
		return
	}
	m.log.Error("invariant violated", append([]any{"invariant", k.String()}, args...)...)
}

// Suppressed counts and logs a suppressed attempt.
func (m *Monitor) Suppressed(reason SuppressReason, request string, attempt int, worker string) {
	if m == nil {
		return
	}
	m.suppressed[reason].Add(1)
	m.log.Debug("attempt suppressed", "id", request, "attempt", attempt, "worker", worker, "reason", reason.String())
}

// Count is a named counter value.
type Count struct {
	Name  string
	Value int64
}

// Violations returns the number of violations of each invariant, in the order of the kinds.
func (m *Monitor) Violations() []Count { return counts(kindNames[:], m.violations[:]) }

// AttemptsSuppressed returns the number of suppressed attempts by reason, in the order of the reasons.
func (m *Monitor) AttemptsSuppressed() []Count { return counts(reasonNames[:], m.suppressed[:]) }

func counts(names []string, values []atomic.Int64) []Count {
	list := make([]Count, len(names))
	for i, name := range names {
		list[i] = Count{name, values[i].Load()}
	}
	return list
}
