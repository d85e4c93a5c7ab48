package membership

import (
	"slices"
	"time"

	"swiftdeal/internal/membership/codec"
)

// Outgoing is a datagram to be sent.
type Outgoing struct {
	Addr   string
	Packet *codec.Packet
}

// Event is the kind of a membership change. Its text is written to logs and simulation traces.
type Event string

// Events of a Change.
const (
	EventJoined        Event = "joined"
	EventStateChanged  Event = "state" // the member announced another service state
	EventSuspected     Event = "suspected"
	EventRefuted       Event = "refuted"
	EventDied          Event = "died"
	EventLeft          Event = "left"
	EventReturned      Event = "returned"
	EventRestarted     Event = "restarted"
	EventReplaced      Event = "replaced" // by a successor process at the same address, in a handover
	EventForgotten     Event = "forgotten"
	EventConflict      Event = "conflict"  // two processes use the same name
	EventDisplaced     Event = "displaced" // this node takes no part in the fleet because another process uses its name
	EventNameTakenOver Event = "renamed"   // this node took its name over from another process
	EventStalled       Event = "stalled"   // this process did not run for several periods
)

// Change is a membership change, for logs.
type Change struct {
	Time        time.Duration
	Name        string
	InstanceID  uint64 // instance of the member after the change; 0 if the member is no longer known
	Incarnation uint64
	Event       Event
	Reason      string
	ReportedBy  string
}

// MemberObservations holds the observations of workers in a member's new record.
type MemberObservations struct {
	Member       string
	Observations []codec.Observation
}

// Counters holds totals since the start.
type Counters struct {
	Suspicions              int64 `json:"Suspicions"`
	Refutations             int64 `json:"Refutations"` // refuted claims that this node is suspect, dead or has left
	Deaths                  int64 `json:"Deaths"`
	Probes                  int64 `json:"Probes"`
	FailedProbes            int64 `json:"Failed"`
	UnknownSenders          int64 `json:"Strangers"` // packets not from a member with that instance and address; unexpected Hello replies
	Rejected                int64 `json:"Refused"`   // invalid records, Hellos and digests
	ImplausibleIncarnations int64 `json:"Lies"`
	TableFull               int64 `json:"Full"` // members not added because the table was full or their incarnation implausible
	Syncs                   int64 `json:"Syncs"`
	Stalls                  int64 `json:"Slept"`
	NameTakeovers           int64 `json:"Renamed"`
}

// output holds the results that the host has not taken yet.
type output struct {
	datagrams    []Outgoing
	changes      []Change
	observations []MemberObservations
	changedAt    time.Duration
}

// addObservations queues the observations of a record for the host. They are dropped if the queue is full.
func (o *output) addObservations(record *codec.Record) {
	if len(record.Observations) > 0 && len(o.observations) < maxPendingObservations {
		o.observations = append(o.observations, MemberObservations{record.Name, record.Observations})
	}
}

// addChange queues a change for the host. If the queue is full, the oldest change is dropped.
func (c *Core) addChange(name string, incarnation uint64, event Event, reason, reporter string) {
	o := &c.output
	o.changedAt = c.now
	if len(o.changes) >= maxChanges {
		o.changes = slices.Delete(o.changes, 0, 1)
	}
	member, _ := c.Lookup(name)
	o.changes = append(o.changes, Change{c.now, name, member.InstanceID, incarnation, event, reason, reporter})
}

// TakeOutgoing returns the datagrams queued since the last call.
func (c *Core) TakeOutgoing() []Outgoing {
	datagrams := c.output.datagrams
	c.output.datagrams = nil
	return datagrams
}

// TakeChanges returns the changes since the last call, at most the newest maxChanges.
func (c *Core) TakeChanges() []Change {
	changes := c.output.changes
	c.output.changes = nil
	return changes
}

// TakeObservations returns the observations received since the last call, at most maxPendingObservations records.
func (c *Core) TakeObservations() []MemberObservations {
	observations := c.output.observations
	c.output.observations = nil
	return observations
}
