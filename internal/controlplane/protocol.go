package controlplane

import (
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
	"swiftdeal/internal/membership/codec"
)

// Datagrams between a node and a replica. Fields are identified by their numbers, which must not change.

// pollRequest is sent from a node to a replica once per period. It carries the node's state and its requests.
type pollRequest struct {
	Seq            uint64                   `cbor:"1,keyasint"`
	InstanceID     uint64                   `cbor:"2,keyasint"`
	Incarnation    uint64                   `cbor:"3,keyasint"`
	Epoch          consensus.GroupID        `cbor:"4,keyasint,omitempty"` // highest that the node has seen; it accepts no lower one
	State          codec.ServiceState       `cbor:"5,keyasint,omitempty"`
	Site           string                   `cbor:"6,keyasint,omitempty"`
	Version        string                   `cbor:"7,keyasint,omitempty"`  // of the program
	QuiescedGrants []uint64                 `cbor:"8,keyasint,omitempty"`  // of drained workers at which it has no attempt in flight
	RequestCounts  map[string]rollout.Count `cbor:"9,keyasint,omitempty"`  // by class
	ConfirmGrant   uint64                   `cbor:"10,keyasint,omitempty"` // grant to confirm
	ReturnedGrant  uint64                   `cbor:"11,keyasint,omitempty"` // grant to end, as the node has returned
	Operator       *OperatorRequest         `cbor:"12,keyasint,omitempty"`
	OutOfRotation  bool                     `cbor:"13,keyasint,omitempty"`
	Resumable      bool                     `cbor:"14,keyasint,omitempty"`
	Settings       *settingsStatus          `cbor:"15,keyasint,omitempty"` // nil if its program or its fleet file has no managed settings
}

// nodeGrant is the polling node's grant.
type nodeGrant struct {
	ID            uint64           `cbor:"1,keyasint"`
	Phase         disruption.Phase `cbor:"2,keyasint,omitempty"`
	InstanceID    uint64           `cbor:"3,keyasint,omitempty"` // instance for which it was confirmed
	TargetVersion string           `cbor:"4,keyasint,omitempty"` // program version to return with
	ReleaseID     string           `cbor:"5,keyasint,omitempty"`
	Handover      bool             `cbor:"6,keyasint,omitempty"` // the process hands over to its successor
}

// workerDrain is a drained worker, which gets no new jobs.
type workerDrain struct {
	GrantID uint64 `cbor:"1,keyasint"`
	Worker  string `cbor:"2,keyasint"`
}

// pollReply is a replica's reply. The leader sends a second reply once the command that the node requested is applied.
type pollReply struct {
	Seq            uint64            `cbor:"1,keyasint"`           // of the request
	Epoch          consensus.GroupID `cbor:"2,keyasint,omitempty"` // if zero, the reply carries no state
	Leader         string            `cbor:"3,keyasint,omitempty"`
	FromLeader     bool              `cbor:"4,keyasint,omitempty"`
	AppliedIndex   uint64            `cbor:"5,keyasint,omitempty"`
	WorkerDrains   []workerDrain     `cbor:"6,keyasint,omitempty"`
	Grant          *nodeGrant        `cbor:"7,keyasint,omitempty"`
	ConfirmedGrant uint64            `cbor:"8,keyasint,omitempty"`
	Voided         bool              `cbor:"9,keyasint,omitempty"` // sent by earlier program versions: the grant to confirm is void
	Result         *Result           `cbor:"10,keyasint,omitempty"`
	Registered     bool              `cbor:"11,keyasint,omitempty"` // this instance of the node is registered
	ReleaseBlocked bool              `cbor:"12,keyasint,omitempty"` // the release of the node's grant is halted
}

// settingsStatus is a node's status of the fleet's settings.
type settingsStatus struct {
	Latest       configversion.ID `cbor:"1,keyasint,omitempty"` // latest version that it has
	Active       configversion.ID `cbor:"2,keyasint,omitempty"` // version in effect
	Rejected     configversion.ID `cbor:"3,keyasint,omitempty"` // version that it could not apply
	RejectReason string           `cbor:"4,keyasint,omitempty"`
}

// BodyReference identifies a body of settings. Bodies do not fit into a datagram, so the leader fetches it from the node that sent the
// request.
type BodyReference struct {
	Checksum []byte `cbor:"1,keyasint"` // a configversion.Checksum
	Size     int    `cbor:"2,keyasint"` // bytes
}

// isValid reports whether r is well-formed and its size within the limit.
func (r *BodyReference) isValid() bool {
	return r != nil && len(r.Checksum) == len(configversion.Checksum{}) && r.Size > 0 && r.Size <= configversion.MaxBodyBytes
}
