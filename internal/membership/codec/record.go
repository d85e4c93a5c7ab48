package codec

import "fmt"

// Identity identifies one process of a member, with its incarnation.
type Identity struct {
	Name        string `cbor:"1,keyasint"`
	InstanceID  uint64 `cbor:"2,keyasint"` // random number that distinguishes the processes with the same name
	Incarnation uint64 `cbor:"3,keyasint"` // SWIM's incarnation: only the member itself raises it, for example to refute a suspicion
}

// valid reports whether the name is not empty and within MaxNameBytes.
func (i *Identity) valid() bool {
	return i.Name != "" && len(i.Name) <= MaxNameBytes
}

// ServiceState is the state of its service that a member announces.
type ServiceState uint8

// Service states.
const (
	Starting ServiceState = iota
	Serving
	Draining
	Leaving
)

var stateNames = [...]string{"starting", "serving", "draining", "leaving"}

// String returns the name of the state that logs and reports use.
func (s ServiceState) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Load summarizes a member's load. Rates are averages over the time since the previous Load.
type Load struct {
	InFlight          uint32  `cbor:"1,keyasint,omitempty" json:"Open"` // requests accepted and not completed
	ServedPerSecond   float32 `cbor:"2,keyasint,omitempty" json:"Served"`
	RejectedPerSecond float32 `cbor:"3,keyasint,omitempty" json:"Refused"`
	FailedPerSecond   float32 `cbor:"4,keyasint,omitempty" json:"Failed"`
	// FreeCapacity is the number of further requests of each class that the workers can take, by their load reports.
	FreeCapacity    map[string]int32 `cbor:"5,keyasint,omitempty" json:"Room"`
	Workers         uint32           `cbor:"6,keyasint,omitempty" json:"Workers"` // workers known to the member
	ExcludedWorkers uint32           `cbor:"7,keyasint,omitempty" json:"Shunned"` // workers that are in backoff
}

// ObservationKind is the kind of an Observation.
type ObservationKind uint8

// Kinds of observation.
const (
	WorkerRestarted ObservationKind = 1 + iota // the worker's process was restarted
	WorkerUnhealthy                            // the worker fails requests or is unreachable
	WorkerDraining                             // the worker has announced a graceful shutdown
)

// Observation is an event that a member itself has observed at a worker.
type Observation struct {
	Worker string          `cbor:"1,keyasint" json:"Worker"`
	Kind   ObservationKind `cbor:"2,keyasint" json:"Kind"`
	AgeMs  uint32          `cbor:"3,keyasint" json:"AgeMs"` // age in milliseconds when the record was built
}

// Record holds what a member announces about itself. Only the member itself creates it. Of two records of the same instance
// the one with the higher Seq is newer.
type Record struct {
	Identity
	Seq            uint64        `cbor:"4,keyasint"`
	Site           string        `cbor:"5,keyasint,omitempty"`
	Addr           string        `cbor:"6,keyasint"` // address for datagrams, as reachable from other nodes
	ClientAddr     string        `cbor:"7,keyasint,omitempty"`
	ControlAddr    string        `cbor:"8,keyasint,omitempty"`
	ProgramVersion string        `cbor:"9,keyasint,omitempty"`
	State          ServiceState  `cbor:"10,keyasint,omitempty"`
	Replaces       bool          `cbor:"11,keyasint,omitempty"` // the process is the successor in a handover
	Load           Load          `cbor:"12,keyasint,omitempty"`
	Observations   []Observation `cbor:"13,keyasint,omitempty"`
}

// EncodeRecord encodes a record. Other members forward the encoded bytes unchanged.
func EncodeRecord(r *Record) ([]byte, error) { return marshal(r) }

// DecodeRecord decodes a member's record. Its error is or wraps ErrMalformed.
func DecodeRecord(raw []byte) (*Record, error) {
	r := new(Record)
	if err := unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if len(raw) > MaxRecordBytes || !r.valid() {
		return nil, ErrMalformed
	}
	return r, nil
}

// valid reports whether all fields are within their limits.
func (r *Record) valid() bool {
	return r.Identity.valid() &&
		r.Addr != "" && len(r.Addr) <= maxAddrBytes &&
		r.State <= Leaving &&
		len(r.Observations) <= MaxObservations
}

// Status is the membership status of a member.
type Status uint8

// Statuses. At the same incarnation, a later one overrides an earlier one.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // announced by the member itself
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name of the status that logs, metrics and reports use.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// Claim is a statement about the status of a member at an incarnation.
type Claim struct {
	Identity
	Status     Status `cbor:"4,keyasint,omitempty"`
	ReportedBy string `cbor:"5,keyasint,omitempty"` // member that first reported the status
	AgeMs      uint32 `cbor:"6,keyasint,omitempty"` // time since the member died or left, in milliseconds
}

// valid reports whether the claim has a valid name and a status that this version knows.
func (c *Claim) valid() bool {
	return c.Identity.valid() && c.Status <= Left
}
