package membership

import (
	"time"

	"swiftdeal/internal/membership/codec"
)

// Config holds the settings of a Core. SetDefaults replaces zero values.
type Config struct {
	// Self is the node's own record: Name, Site, Addr, ClientAddr, ControlAddr, ProgramVersion and Replaces are used.
	Self       codec.Record
	InstanceID uint64   // a random number that is unique to this process
	Seeds      []string // addresses that are contacted as long as no active member has them

	Period         time.Duration // SWIM's protocol period: the time between two probes
	MaxMembers     int           // maximum size of the member table, including departed members and this node
	ForgetAfter    time.Duration // how long members that are dead or have left are retained
	IndirectProbes int           // number of helpers that are sent a PingRequest
	SuspicionMult  float64       // minimum suspicion timeout in periods, for a fleet of ten members or fewer
	RetransmitMult float64       // a broadcast is transmitted about RetransmitMult*log2(members) times
	SyncPeriods    int           // mean number of periods between two anti-entropy syncs
	// MinLoadPeriods is the mean number of periods between two broadcasts of the node's load. In large fleets a quarter
	// of the number of active members is used instead, if that is more.
	MinLoadPeriods int
}

// SetDefaults sets all fields that are zero to their defaults.
func (c *Config) SetDefaults() {
	setDefault(&c.Period, time.Second)
	setDefault(&c.ForgetAfter, time.Hour)
	setDefault(&c.SuspicionMult, 3)
	setDefault(&c.RetransmitMult, 2)
	setDefault(&c.MaxMembers, 1024)
	setDefault(&c.IndirectProbes, 3)
	setDefault(&c.SyncPeriods, 10)
	setDefault(&c.MinLoadPeriods, 5)
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Limits on stored state and on traffic. They hold for any input.
const (
	maxDigestEntries       = 60                   // members in one digest that this node sends
	maxReceivedEntries     = 4 * maxDigestEntries // members in one digest that this node accepts
	maxDeltasPerDigest     = 12                   // deltas sent in reply to one digest
	maxDeltasPerPeriod     = 64                   // deltas sent in one period
	maxPulledHashes        = 120
	maxChanges             = 256
	maxConflicts           = 8
	maxPendingObservations = 64 // records with observations that the host has not taken yet
	maxPendingHellos       = 64
	maxRelayedProbes       = 64
	maxReprobes            = 4 // suspects that are probed again in a period

	reservedBytes    = 160 // bytes of a datagram that are not available for gossip
	minGossipBytes   = 60  // piggybacking stops at a broadcast that does not fit if less space than this is left
	recordOverhead   = 3   // bytes that a record takes in a datagram in addition to its encoding
	claimOverhead    = 40  // bytes that a claim takes in a datagram in addition to its names
	maxConfirmations = 3   // number of further reporters that reduce a suspicion timeout to its minimum
)

// Limits on accepted incarnations. One that is further ahead of the known incarnation is ignored as implausible.
const (
	maxIncarnationJump  = 1 << 20                  // above the known incarnation
	maxFirstIncarnation = maxIncarnationJump << 20 // of a member that is not known yet
)

// Intervals in protocol periods, and counts of probes.
const (
	reportedStallPeriods      = 2 // a stall of more periods than this is recorded as a change
	minReconnectPeriods       = 2 // between two attempts to reach seeds and dead members
	maxReconnectPeriods       = 6
	conflictRecheckPeriods    = 10 // mean time between two probes of a live rival
	conflictRetentionPeriods  = 60 // a name conflict is listed for this long after it was last seen
	tokenEpochPeriods         = 10 // length of a token epoch, and so the minimum validity of a token
	conflictProbes            = 3  // unanswered probes after which this node takes its name over from a rival
	maxConflictProbeDoublings = 6  // each takeover from an unresponsive rival doubles the probes before the next, at most so often
)

// Group sizes of gossip and probes.
const (
	gossipFanout         = 2 // random members that are sent pending broadcasts in each period
	leaveFanout          = 4 // random members that are sent each announcement of this node's departure
	suspectHelpersFactor = 2 // suspects are probed through this many times Config.IndirectProbes helpers
	isolatedHellos       = 3 // Hellos sent at once while this node has no active peers
)

// Timeouts as parts and multiples of other ones.
const (
	probeTimeoutsPerPeriod  = 8 // the probe timeout at full health is the period divided by this
	maxSuspicionFactor      = 3 // ratio of the maximum to the minimum suspicion timeout
	indirectSuspicionFactor = 2 // applied to the suspicion timeout if this node has not found the member unresponsive itself
	membersPerLoadPeriod    = 4 // the mean interval of load broadcasts is at least one period per this many active members
)

// never is a time before all others.
const never = -1 << 60
