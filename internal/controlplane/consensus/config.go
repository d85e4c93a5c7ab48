package consensus

import (
	"cmp"
	"fmt"
	"time"
)

// GroupID identifies a group of voters. It orders all groups that were ever founded.
type GroupID struct {
	Number uint64 `cbor:"1,keyasint,omitempty" json:"Number"`
	Nonce  uint64 `cbor:"2,keyasint,omitempty" json:"Mark"` // distinguishes groups that were founded at the same time
}

// Compare orders groups by number, then by nonce. Of two groups the later one is valid.
func (g GroupID) Compare(other GroupID) int {
	return cmp.Or(cmp.Compare(g.Number, other.Number), cmp.Compare(g.Nonce, other.Nonce))
}

// IsZero reports whether g identifies no group.
func (g GroupID) IsZero() bool { return g == GroupID{} }

// String returns the short form for logs and reports: the number and the last four hexadecimal digits of the nonce.
func (g GroupID) String() string { return fmt.Sprintf("%d.%04x", g.Number, g.Nonce&0xffff) }

// Voter is one instance (process) of a node that has a vote in the group.
type Voter struct {
	Node string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"` // random; never 0
}

// StateMachine is the replicated state. It must be deterministic: the same commands lead to the same state and the same snapshot
// on every replica.
type StateMachine interface {
	// Apply executes a committed command; index is its position in the log.
	Apply(index uint64, command []byte) (result any)
	// Snapshot returns the encoded state.
	Snapshot() []byte
	// Restore replaces the state with one that Snapshot has encoded.
	Restore(snapshot []byte) error
	// Reset returns to the empty state, in which each group begins.
	Reset()
}

// Config configures a Replica.
type Config struct {
	Name            string           // this node's name, one of Replicas or Standbys
	Replicas        []string         // nodes that found a group; all of them have to take part in that
	Standbys        []string         // nodes that replace voters after a long absence
	ID              uint64           // this instance's voter ID: a random number, unique to the process
	TickInterval    time.Duration    // duration of a Raft tick
	ReplaceAfter    time.Duration    // absence after which a standby replaces a voter; 0: only at an operator's request
	SnapshotEntries int              // log entries after which a snapshot is taken; 0: defaultSnapshotEntries
	Persisted       *PersistentState // state read from disk; nil or empty: none
	Durable         bool             // emit PersistActions
}

// PeerStatus is what membership knows of a node that is eligible as a voter.
type PeerStatus struct {
	Name      string
	Reachable bool // alive, or suspect for a short time only
}

// Stats holds totals since the replica was created.
type Stats struct {
	Elections         int64 `json:"Elections"` // called by this replica
	ElectionsWon      int64 `json:"Led"`
	GroupsJoined      int64 `json:"Groups"`
	VotersReplaced    int64 `json:"Replaced"`
	SnapshotsRestored int64 `json:"Snapshots"`
	StateDiscarded    int64 `json:"Forgotten"`
}

// Intervals and timeouts, in Raft ticks.
const (
	electionTicks = 10 // least election timeout; a random part of up to the same length is added
	helloTicks    = 5  // interval between hellos
	stallTicks    = 4  // a tick that is late by more than this means that the process itself was stalled

	// leaderLostTicks is how long no leader must have been heard before a replica trusts other evidence that its vote or its group
	// is gone.
	leaderLostTicks = 2 * electionTicks
	// joinTicks is how long a replica without a leader waits for the state of a group that it has joined.
	joinTicks = 4 * electionTicks
)

const (
	defaultSnapshotEntries = 256
	// catchUpEntries is how many entries a replica may lag behind and still count as caught up.
	catchUpEntries = 64
)
