// Package disruption decides which nodes and workers may leave service, so that the number of those unavailable at once stays
// within the disruption budgets.
//
// State is a replicated state machine: it applies commands in the order of the control plane's log and reaches the same state on
// every replica. It does no I/O, reads no clock and uses no random numbers. A subject requests a grant and confirms it
// immediately before it leaves service. The grant counts against the budgets until the subject is observed in service again.
// docs/design/release.md explains why this is safe.
//
// The package has one file per concern: commands (command.go, codec.go), pending requests (queue.go), grants (grant.go), budgets
// and what counts against them (budgets.go, availability.go), draining of workers (quiesce.go), nodes registered with the control
// plane (members.go) and the history (history.go).
package disruption

// SubjectKind distinguishes nodes from workers. Its values are stored.
type SubjectKind uint8

// Kinds of subject.
const (
	KindNode SubjectKind = iota
	KindWorker
)

// String returns the kind as operators read and write it.
func (k SubjectKind) String() string {
	if k == KindWorker {
		return "worker"
	}
	return "node"
}

// Subject identifies a node or worker that leaves service.
type Subject struct {
	Kind SubjectKind `cbor:"1,keyasint,omitempty" json:"kind"`
	Name string      `cbor:"2,keyasint" json:"name"`
}

// String returns the kind and name of the subject, such as "worker w1".
func (s Subject) String() string { return s.Kind.String() + " " + s.Name }

// State holds the control plane's decisions about nodes and workers that leave service. It is not safe for concurrent use. Its
// CBOR form is part of the control plane's snapshots.
type State struct {
	Budgets Budgets            `cbor:"1,keyasint"`
	Members map[string]*Member `cbor:"2,keyasint"` // by node name; a member is replaced, never modified
	Queue   []*PendingRequest  `cbor:"3,keyasint"` // in order of arrival
	Grants  []*Grant           `cbor:"4,keyasint"` // in the order in which they were issued

	// Observed is the observation of the last command that carried one.
	Observed Observed `cbor:"5,keyasint"`
	// Unhealthy has the reason for each node that counts as unavailable although it is in service.
	Unhealthy map[string]string `cbor:"6,keyasint"`
	// BlockedRelease is the ID of the release whose exits are blocked; empty if there is none.
	BlockedRelease string `cbor:"7,keyasint"`
	// History has the last maxHistoryEntries events, oldest first.
	History []HistoryEntry `cbor:"8,keyasint"`
	// WrittenOff has the nodes that were written off and have not registered since.
	WrittenOff map[string]bool `cbor:"10,keyasint,omitempty"`
}

// New returns an empty state. It has no members, and its budgets forbid all exits.
func New() *State {
	return &State{Members: map[string]*Member{}, Unhealthy: map[string]string{}, WrittenOff: map[string]bool{}}
}

// Apply executes the command at the given index of the log. An error is a *rejection.Error and means that the command's action
// changed nothing. An observation that the command carries is stored all the same, and pending requests are evaluated with it,
// except after ConfirmExit and after an unknown action.
func (s *State) Apply(index uint64, c *Command) (Result, error) {
	if c.Observed != nil {
		s.Observed = *c.Observed
	}
	if unknown, ok := c.Action.(unknownAction); ok {
		return unknown.apply(s, logPosition{})
	}
	at := logPosition{index: index, atMs: c.AtMs, observed: c.Observed != nil}
	result, err := c.Action.apply(s, at)
	if _, confirms := c.Action.(ConfirmExit); confirms {
		return result, err // the observation was made for this exit only, so no pending request is granted based on it
	}
	if at.observed { // pending requests are never granted based on an older observation
		s.grantPending(index, c.AtMs)
	}
	if request, ok := c.Action.(RequestGrant); ok && err == nil {
		return s.requestOutcome(request.Request.Subject), nil
	}
	return result, err
}

// Result is the outcome of a command that was accepted.
type Result struct {
	GrantID uint64 // the grant that the command is about; 0 if there is none
	Text    string // shown to operators
	Ended   *Grant // the grant that the command ended; set by ReturnToService only
}
