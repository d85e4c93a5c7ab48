package membership

import (
	"time"

	"swiftdeal/internal/membership/codec"
)

// localMember holds what this node announces about itself.
type localMember struct {
	record    codec.Record
	rawRecord []byte // encoded record
	nameHash  uint64
	left      bool // Leave was called

	load         codec.Load
	observations []codec.Observation
	stale        bool // load or observations were set after the record was built
	nextLoadAt   time.Duration
}

func newLocalMember(record codec.Record, instanceID uint64) localMember {
	record.InstanceID = instanceID
	record.Incarnation = 1
	record.Seq = 0
	return localMember{record: record, nameHash: codec.NameHash(record.Name)}
}

// rebuildRecord builds and encodes the record with the current load and observations. It drops optional fields until the
// record fits codec.MaxRecordBytes.
func (m *localMember) rebuildRecord() {
	m.record.Seq++
	m.record.Load = m.load
	m.record.Observations = m.observations
	m.stale = false
	raw, err := codec.EncodeRecord(&m.record)
	for err == nil && len(raw) > codec.MaxRecordBytes {
		m.dropOptionalField()
		before := len(raw)
		raw, err = codec.EncodeRecord(&m.record)
		if len(raw) >= before {
			break
		}
	}
	if err == nil {
		m.rawRecord = raw
	}
}

// dropOptionalField removes the least important remaining part of the record: the oldest observation, or the free capacity
// once there are no observations left.
func (m *localMember) dropOptionalField() {
	if n := len(m.record.Observations); n > 0 {
		m.record.Observations = m.record.Observations[:n-1]
		return
	}
	m.record.Load.FreeCapacity = nil
}

// status returns the node's own status.
func (m *localMember) status() codec.Status {
	if m.left {
		return codec.Left
	}
	return codec.Alive
}

// claim returns the node's claim about itself.
func (m *localMember) claim() codec.Claim {
	return codec.Claim{Identity: m.record.Identity, Status: m.status()}
}

// digestEntry returns the node's own entry in a digest.
func (m *localMember) digestEntry() codec.DigestEntry {
	return codec.DigestEntry{
		NameHash:    m.nameHash,
		InstanceID:  m.record.InstanceID,
		Incarnation: m.record.Incarnation,
		Seq:         m.record.Seq,
	}
}

// SetLocalState sets what the node announces about itself. The Core retains load and observations, so the caller must not
// modify them afterwards. A change of the service state is broadcast immediately, load and observations with the next
// load broadcast. Observations beyond codec.MaxObservations are ignored.
func (c *Core) SetLocalState(
	now time.Duration, state codec.ServiceState, load codec.Load, observations []codec.Observation,
) {
	c.now = max(c.now, now)
	c.self.load = load
	c.self.observations = observations[:min(len(observations), codec.MaxObservations)]
	c.self.stale = true
	if state != c.self.record.State && !c.self.left {
		c.self.record.State = state
		c.broadcastRecord()
	}
}

// broadcastRecord rebuilds the node's record and queues it for broadcast.
func (c *Core) broadcastRecord() {
	c.self.rebuildRecord()
	c.broadcasts.enqueue(c.self.record.Name, recordBroadcast)
}

// broadcastLoad broadcasts the current load and observations if a load broadcast is due and they have changed.
func (c *Core) broadcastLoad() {
	if c.now < c.self.nextLoadAt {
		return
	}
	c.self.nextLoadAt = c.now + c.jitter(max(float64(c.config.MinLoadPeriods), float64(c.members.active)/membersPerLoadPeriod))
	if c.self.stale && c.members.active > 0 {
		c.broadcastRecord()
	}
}

// Leave announces to the fleet that this node is leaving. After that the Core neither probes nor answers other members; only
// a Ping or Hello of a process with the same name is still answered. The host may go on calling Step for some periods to
// gossip the announcement.
func (c *Core) Leave(now time.Duration) {
	c.now = max(c.now, now)
	if c.self.left {
		return
	}
	c.self.left = true
	c.probes.nextAt = now
	c.nextStepAt = now
	c.self.record.State = codec.Leaving
	if c.names.displaced {
		return // another process has the name
	}
	c.self.record.Incarnation++
	c.broadcastRecord()
	c.broadcasts.enqueue(c.self.record.Name, claimBroadcast)
	for range 2 { // twice and without waiting for the next period, because the process may exit right after this call
		for _, p := range c.members.randomActive(leaveFanout, nil, c.random) {
			c.send(p.record.Addr, c.packetWithGossip(p, 0, codec.Gossip{}))
		}
	}
}

// gossipDeparture gossips the departure of this node, for as long as the host calls Step.
func (c *Core) gossipDeparture() {
	if c.now >= c.probes.nextAt {
		c.probes.nextAt = c.now + c.config.Period/2
		c.gossip()
	}
	c.nextStepAt = c.probes.nextAt
}

// applyClaimAboutSelf refutes a claim that this process is suspect, dead or has left, by raising its own incarnation.
func (c *Core) applyClaimAboutSelf(claim codec.Claim, reporter string) {
	self := &c.self.record
	if c.self.left || c.names.displaced || claim.Incarnation < self.Incarnation {
		return
	}
	if claim.Incarnation == self.Incarnation && claim.Status == codec.Alive {
		return
	}
	if implausible(claim.Incarnation, self.Incarnation) {
		c.counters.ImplausibleIncarnations++
		return
	}
	self.Incarnation = claim.Incarnation
	if claim.Status == codec.Alive { // not an incarnation of this node's own, but incarnations must not decrease
		return
	}
	self.Incarnation++
	c.counters.Refutations++
	c.health.worsen(1)
	c.addChange(self.Name, self.Incarnation, EventRefuted, "reported "+claim.Status.String(), reporter)
	c.self.rebuildRecord()
	c.broadcasts.enqueue(self.Name, claimBroadcast)
}
