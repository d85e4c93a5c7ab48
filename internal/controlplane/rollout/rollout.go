// Package rollout updates the nodes of a fleet to a version of the program in steps: first a canary, then batches of growing
// size, each followed by a soak time and a gate. A release that fails a gate is halted and, if its plan says so, rolled back.
//
// State is a replicated state machine that applies commands in the order of the control plane's log. Controller runs on the
// leader: it monitors the open release and determines which command is due. Neither does I/O, reads a clock or uses random
// numbers, and neither starts processes: nodes are restarted by whatever supervises them, under grants of package disruption.
// docs/design/release.md discusses the alternatives.
//
// The commands are in command.go and codec.go, the course of a release in release.go, batches.go and nodes.go, and the plan in
// plan.go. The leader's part is in controller.go and observation.go, the gate in gate.go, count.go and statistics.go.
package rollout

import "swiftdeal/internal/controlplane/disruption"

// Phase is the phase of a release. The values are stored.
type Phase uint8

// Phases of a release.
const (
	PhaseNone        Phase = iota
	PhaseRunning           // batches are updated one after the other
	PhasePaused            // no further batch starts; requested by an operator
	PhaseHalted            // no further node may leave service
	PhaseRollingBack       // nodes are returned to the earlier version
	PhaseStuck             // halted while rolling back; an operator must intervene
	PhaseCompleted         // all nodes run the new version
	PhaseRolledBack        // all nodes run the earlier version again
)

// String returns the phase as it is shown to operators.
func (p Phase) String() string {
	if p > PhaseRolledBack {
		return "unknown"
	}
	return [...]string{"none", "running", "paused", "halted", "going back", "stuck", "done", "undone"}[p]
}

// Open reports whether a release is in progress. No other release can start until it ends.
func (p Phase) Open() bool { return p != PhaseNone && p != PhaseCompleted && p != PhaseRolledBack }

// NodeStatus is the progress of a node in a release. The values are stored.
type NodeStatus uint8

// Statuses of a node.
const (
	StatusPending   NodeStatus = iota
	StatusRequested            // its exit was requested
	StatusUpdated              // it is in service with the new version
	StatusReverted             // it is in service with the earlier version again
)

// String returns the status as it is shown to operators.
func (s NodeStatus) String() string {
	if s > StatusReverted {
		return "unknown"
	}
	return [...]string{"to do", "asked", "new", "reverted"}[s]
}

// NodeProgress is the state of a node in a release.
type NodeProgress struct {
	Status      NodeStatus `cbor:"1,keyasint,omitempty" json:"status"`
	Batch       int        `cbor:"2,keyasint,omitempty" json:"batch"` // 0 is the canary
	Site        string     `cbor:"3,keyasint,omitempty" json:"site"`
	UpdateOrder int        `cbor:"4,keyasint,omitempty" json:"order"` // position among the updated nodes, from 1; 0 if not updated
	UpdateLast  bool       `cbor:"6,keyasint,omitempty" json:"last"`  // updated after all other nodes
	Attempted   bool       `cbor:"5,keyasint,omitempty" json:"tried"` // it may have been restarted with the new version
}

// BatchResult records the outcome of a batch's gate or halt.
type BatchResult struct {
	Batch       int          `cbor:"1,keyasint" json:"batch"`
	Nodes       []string     `cbor:"2,keyasint,omitempty" json:"nodes"`
	AtMs        int64        `cbor:"3,keyasint,omitempty" json:"at_ms"`
	Verdict     string       `cbor:"4,keyasint" json:"verdict"`
	Comparisons []Comparison `cbor:"5,keyasint,omitempty" json:"figures,omitempty"`
}

const maxBatchResults = 64

// State holds the open release, or the last one if none is open. It is not safe for concurrent use. Its CBOR form is part of the
// control plane's snapshots. Times are Unix time in milliseconds on the clock of the leader that proposed the command.
type State struct {
	Plan         *Plan                    `cbor:"1,keyasint,omitempty"`
	ID           string                   `cbor:"2,keyasint,omitempty"` // the plan's name and the log index of the Start command
	Phase        Phase                    `cbor:"3,keyasint,omitempty"`
	Reason       string                   `cbor:"4,keyasint,omitempty"`  // for the current phase
	ActionNeeded string                   `cbor:"5,keyasint,omitempty"`  // what an operator must do to continue
	Nodes        map[string]*NodeProgress `cbor:"6,keyasint,omitempty"`  // by name
	Batch        int                      `cbor:"7,keyasint,omitempty"`  // in progress; 0 is the canary
	UpdateCount  int                      `cbor:"8,keyasint,omitempty"`  // the last UpdateOrder assigned
	BatchResults []BatchResult            `cbor:"9,keyasint,omitempty"`  // the last maxBatchResults, oldest first
	Baseline     map[string]Count         `cbor:"10,keyasint,omitempty"` // by class, before the release
	StartedBy    string                   `cbor:"11,keyasint,omitempty"`
	StartedAtMs  int64                    `cbor:"12,keyasint,omitempty"`
	HaltCount    int                      `cbor:"13,keyasint,omitempty"`
	// PendingRequests is not set by any version. The field reserves its number.
	PendingRequests  []string `cbor:"14,keyasint,omitempty"`
	PhaseChangedAtMs int64    `cbor:"15,keyasint,omitempty"`
}

// New returns a state without a release.
func New() *State { return &State{} }

// ExitsBlocked reports whether nodes are prevented from leaving service for the release.
func (s *State) ExitsBlocked() bool {
	return s.Phase == PhaseHalted || s.Phase == PhaseStuck || !s.Phase.Open()
}

// Effects are the consequences of a command for package disruption.
type Effects struct {
	Requests     []disruption.Request // exits that the release needs next
	ExitsBlocked bool                 // see State.ExitsBlocked
	Unhealthy    map[string]string    // nodes that count as unavailable although in service, with the reason
}

// Apply executes the command at the given index of the log. An error is a *rejection.Error and means that nothing has changed.
func (s *State) Apply(index uint64, c *Command) (Effects, error) {
	if c.ReleaseID != "" && c.ReleaseID != s.ID {
		return reject(ErrOtherRelease, "of another release")
	}
	if _, starts := c.Action.(Start); !starts && !s.Phase.Open() {
		return reject(ErrNoRelease, "no release is open")
	}
	before := s.Phase
	effects, err := c.Action.apply(s, commandContext{index: index, atMs: c.AtMs, requestedBy: c.RequestedBy})
	if err != nil {
		return Effects{}, err
	}
	if s.Phase != before {
		s.PhaseChangedAtMs = c.AtMs
	}
	effects.ExitsBlocked = s.ExitsBlocked()
	return effects, nil
}
