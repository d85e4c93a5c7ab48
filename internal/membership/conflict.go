package membership

import (
	"slices"
	"time"

	"swiftdeal/internal/membership/codec"
)

// Conflict describes two processes that use the same name.
type Conflict struct {
	Name      string
	Addr      string
	OtherAddr string
	LastSeen  time.Duration
}

// rival is another process that may be using this node's name. It is probed to find out whether it is alive.
type rival struct {
	record        *codec.Record
	incarnation   uint64
	seq           uint64 // sequence number of the unanswered Ping; 0 if the last one was answered
	attempts      int    // consecutive unanswered Pings
	nextAttemptAt time.Duration
}

// nameConflicts holds the state of name conflicts.
type nameConflicts struct {
	rival            *rival // rival for this node's own name; nil if there is none
	displaced        bool   // the rival is alive and outranks this node, which takes no part in the fleet
	unansweredRivals int    // number of takeovers from rivals that did not answer

	conflicts []Conflict // conflicts over any name, for the view
}

// expire removes the conflicts that were last seen at or before the given time.
func (n *nameConflicts) expire(since time.Duration) {
	n.conflicts = slices.DeleteFunc(n.conflicts, func(conflict Conflict) bool { return conflict.LastSeen <= since })
}

// postpone delays the next probe of the rival.
func (n *nameConflicts) postpone(by time.Duration) {
	if n.rival != nil {
		n.rival.nextAttemptAt += by
	}
}

// probesBeforeTakeover returns how many consecutive probes of a rival must be unanswered before this node takes the name
// over. The number doubles with each takeover: otherwise two live processes that cannot reach each other would take the
// name from each other again and again.
func (n *nameConflicts) probesBeforeTakeover() int {
	return conflictProbes << min(n.unansweredRivals, maxConflictProbeDoublings)
}

// recordConflict records that two processes may use the same name. The conflict stays in the view until it has not been
// seen for conflictRetentionPeriods.
func (c *Core) recordConflict(name, addr, other string) {
	conflicts := &c.names.conflicts
	i := slices.IndexFunc(*conflicts, func(conflict Conflict) bool { return conflict.Name == name })
	if i < 0 {
		if len(*conflicts) >= maxConflicts {
			return
		}
		*conflicts = append(*conflicts, Conflict{Name: name})
		i = len(*conflicts) - 1
		c.addChange(name, 0, EventConflict, addr+" and "+other, "")
	}
	(*conflicts)[i] = Conflict{name, addr, other, c.now}
}

// applyRecordAboutSelf applies a record with this node's name. If it is of another instance that outranks this one, this
// node takes the name over from a departed or previous process, and treats any other process as a rival.
func (c *Core) applyRecordAboutSelf(record *codec.Record, claim *codec.Claim, reporter string) {
	self := &c.self.record
	if record.InstanceID == self.InstanceID {
		if claim != nil {
			c.applyClaimAboutSelf(*claim, reporter)
		}
		return
	}
	if c.self.left || c.names.displaced {
		return
	}
	other, departed := record.Identity, false
	if claim != nil && claim.InstanceID == record.InstanceID {
		other.Incarnation = max(other.Incarnation, claim.Incarnation)
		departed = claim.Status >= codec.Dead
	}
	if outranks(self.Identity, other) {
		return
	}
	if other.Incarnation-self.Incarnation > maxFirstIncarnation {
		c.counters.ImplausibleIncarnations++
		return
	}
	if record.Addr == self.Addr || departed {
		c.takeOverName(other.Incarnation, "earlier process of this name", reporter)
		return
	}
	c.trackRival(record, other.Incarnation)
}

// trackRival starts to probe another process that uses this node's name, or updates the known rival.
func (c *Core) trackRival(record *codec.Record, incarnation uint64) {
	if c.names.rival == nil {
		c.names.rival = &rival{record: record, nextAttemptAt: c.now}
	}
	known := c.names.rival
	if known.record.InstanceID == record.InstanceID {
		known.incarnation = max(known.incarnation, incarnation)
		return
	}
	if incarnation > known.incarnation {
		known.record = record
		known.incarnation = incarnation
		known.attempts = 0
		known.nextAttemptAt = c.now
	}
}

// takeOverName raises this node's incarnation above that of another instance of its name.
func (c *Core) takeOverName(incarnation uint64, reason, reporter string) {
	self := &c.self.record
	self.Incarnation = incarnation + 1
	c.names.rival = nil
	c.names.displaced = false
	c.addChange(self.Name, self.Incarnation, EventNameTakenOver, reason, reporter)
	c.counters.NameTakeovers++
	c.broadcastRecord()
}

// checkNameConflict probes the rival if that is due. If enough probes were unanswered, it takes the name over.
func (c *Core) checkNameConflict() {
	rival, self := c.names.rival, &c.self.record
	if rival == nil || c.now < rival.nextAttemptAt {
		return
	}
	if rival.attempts >= c.names.probesBeforeTakeover() {
		c.names.unansweredRivals++
		incarnation := max(rival.incarnation, self.Incarnation)
		c.takeOverName(incarnation, "other process of this name does not answer", self.Name)
		c.joining.nextReconnectAt = c.now
		return
	}
	rival.attempts++
	rival.seq = c.nextSeq()
	rival.nextAttemptAt = c.now + c.config.Period
	c.send(rival.record.Addr, c.packetTo(self.Name, rival.seq, codec.Ping{}))
}

// handleSameName handles a packet whose sender has this node's name.
func (c *Core) handleSameName(from string, packet *codec.Packet) {
	if packet.From.InstanceID == c.self.record.InstanceID || from == c.self.record.Addr { // sent by this node itself
		return
	}
	switch m := packet.Message.(type) {
	case codec.Ping:
		c.recordRivalContact(packet.From, from)
		c.send(from, c.packetTo(packet.From.Name, packet.Seq, codec.Ack{}))
	case codec.Ack:
		if rival := c.names.rival; rival != nil && rival.seq == packet.Seq && rival.record.Addr == from {
			c.recordRivalContact(packet.From, from)
		}
	case codec.Hello: // the Welcome carries this node's record, which reveals the conflict to the sender
		if c.validToken(from, m.Token) {
			c.send(from, c.welcomeFor(packet))
			return
		}
		c.sendChallenge(from, packet)
	case codec.Challenge:
		if c.joining.takePendingHello(from, packet.Seq) {
			c.sendHello(from, m.Token)
		}
	case codec.Welcome:
		if c.joining.takePendingHello(from, packet.Seq) {
			c.applyUpdates(packet, packet.From.Name)
		}
	}
}

// recordRivalContact records that a packet was received from another live process with this node's name. If that process
// outranks this one, this node becomes displaced.
func (c *Core) recordRivalContact(identity codec.Identity, addr string) {
	self := &c.self.record
	if addr == self.Addr || c.self.left {
		return
	}
	c.recordConflict(self.Name, self.Addr, addr)
	rival := c.names.rival
	if rival == nil || rival.record.InstanceID != identity.InstanceID {
		return
	}
	rival.attempts = 0
	rival.seq = 0
	rival.nextAttemptAt = c.now + c.jitter(conflictRecheckPeriods)
	rival.incarnation = max(rival.incarnation, identity.Incarnation)
	if outranks(identity, self.Identity) && !c.names.displaced {
		c.withdraw(identity.Name, addr)
	}
}

// withdraw makes this node displaced: it takes no part in the fleet while another process uses its name at addr.
func (c *Core) withdraw(name, addr string) {
	self := &c.self.record
	c.names.displaced = true
	c.addChange(self.Name, self.Incarnation, EventDisplaced, "name in use at "+addr, name)
	for _, p := range c.members.all() { // a displaced node maintains no view
		c.forget(p)
	}
	changes := &c.output.changes
	*changes = slices.DeleteFunc(*changes, func(change Change) bool { return change.Event == EventForgotten })
	c.broadcasts = newBroadcastQueue()
}
