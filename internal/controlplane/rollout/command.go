package rollout

// Command is a log entry of the control plane about releases. Its encoded form is in codec.go.
type Command struct {
	AtMs        int64  // Unix time in milliseconds on the leader's wall clock; for display only, no decision depends on it
	RequestedBy string // an operator; empty if it was the leader itself
	ReleaseID   string // the release that is meant, so that a late command does not affect the next one; empty for the open one
	Action      Action
}

// Action is what a command does. The types that implement it are in this file.
type Action interface {
	// apply changes the state, or returns a *rejection.Error and leaves the state unchanged.
	apply(s *State, c commandContext) (Effects, error)
	// encode sets the fields that the action uses in the command's encoded form.
	encode(form *commandForm)
}

// commandContext has the fields of a command that its action uses.
type commandContext struct {
	index       uint64 // in the log
	atMs        int64
	requestedBy string
}

// Start starts a release. Start, Pause, Continue and RollBack are requested by operators.
type Start struct {
	Plan       *Plan
	Nodes      map[string]NodeInfo // all known nodes, by name
	Baseline   map[string]Count    // by class, from before the release
	UpdateLast []string            // nodes to update last: the control plane's replicas
}

// NodeInfo describes a node at the start of a release.
type NodeInfo struct {
	_       struct{} `cbor:",toarray"`
	Site    string
	Version string
}

// Pause keeps further batches from starting.
type Pause struct{}

// Continue resumes a paused release, starts the next batch although the gate is still waiting, or retries the current batch after a
// halt.
type Continue struct{}

// RollBack returns the nodes that were updated, or may have been, to the earlier version.
type RollBack struct{}

// Halt stops further exits, on behalf of an operator or the leader. If the leader halts a release whose plan has AutoRollback set,
// the rollback starts at once.
type Halt struct {
	Reason      string
	Comparisons []Comparison
	Unhealthy   map[string]string // nodes that count as unavailable although in service, with the reason
}

// NextBatch starts the batch after the current one.
type NextBatch struct {
	Batch int // the current one
}

// PassGate records that the current batch has passed its gate, and starts the next one.
type PassGate struct {
	Batch       int // the current one
	Verdict     string
	Comparisons []Comparison
}

// RemoveNode removes a node that was written off from the release.
type RemoveNode struct {
	Node string
}

// MarkUnhealthy marks nodes that count as unavailable although they are in service, each with a reason.
type MarkUnhealthy struct {
	Nodes map[string]string
}

// unknownAction is an action that only a later version of the program knows. It is always rejected.
type unknownAction struct {
	op op
}
