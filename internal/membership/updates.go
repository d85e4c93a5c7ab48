package membership

import (
	"slices"
	"time"

	"swiftdeal/internal/membership/codec"
)

// This file applies records and claims to the member table. For the same instance, a higher incarnation overrides
// everything; at the same incarnation Suspect overrides Alive, Dead overrides Suspect, and Left, which only the member
// itself announces, overrides all others. Another instance of the same name replaces the known one only with a higher
// incarnation or, at the same incarnation, with a higher InstanceID.

// outranks reports whether instance a of a name replaces instance b of the same name.
func outranks(a, b codec.Identity) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.InstanceID > b.InstanceID
}

// implausible reports whether an incarnation is too far ahead of the known one to be accepted.
func implausible(incarnation, known uint64) bool {
	return incarnation > known && incarnation-known > maxIncarnationJump
}

// refutes reports whether an incarnation is plausible and higher than the known one.
func refutes(incarnation, known uint64) bool {
	return incarnation > known && !implausible(incarnation, known)
}

// claimAge returns how long ago the member died or left according to a claim.
func claimAge(claim *codec.Claim) time.Duration {
	return time.Duration(claim.AgeMs) * time.Millisecond
}

// applyUpdates applies the records and claims in a packet.
func (c *Core) applyUpdates(packet *codec.Packet, reporter string) {
	for _, raw := range packet.Records {
		r, err := codec.DecodeRecord(raw)
		if err != nil {
			c.counters.Rejected++
			continue
		}
		c.applyRecord(r, raw, reporter, claimOn(packet.Claims, r))
	}
	for _, claim := range packet.Claims {
		c.applyClaim(claim, reporter)
	}
}

// claimOn returns the first claim about the instance of a record; nil if there is none.
func claimOn(claims []codec.Claim, record *codec.Record) *codec.Claim {
	for i := range claims {
		if claim := &claims[i]; claim.Name == record.Name && claim.InstanceID == record.InstanceID {
			return claim
		}
	}
	return nil
}

// applyRecord applies a record that reporter has sent, together with the claim about the same instance from the same
// packet, if any. It copies raw if it stores it.
func (c *Core) applyRecord(record *codec.Record, raw []byte, reporter string, claim *codec.Claim) {
	if record.Name == c.self.record.Name {
		c.applyRecordAboutSelf(record, claim, reporter)
		return
	}
	p := c.members.byName[record.Name]
	if p == nil {
		c.addPeer(record, raw, reporter, claim)
		return
	}
	switch {
	case record.InstanceID != p.instanceID && !outranks(record.Identity, p.identity()):
		return // an earlier instance, or one that has not learned of the known instance yet
	case implausible(record.Incarnation, p.incarnation):
		c.counters.ImplausibleIncarnations++
		return
	case record.InstanceID != p.instanceID:
		c.replaceInstance(p, record, raw, reporter)
	default:
		c.updateRecord(p, record, raw, reporter)
	}
	if claim != nil {
		c.applyClaim(*claim, reporter)
	}
}

// updateRecord applies a record of the known instance.
func (c *Core) updateRecord(p *peer, record *codec.Record, raw []byte, reporter string) {
	if record.Seq > p.record.Seq {
		if p.record.State != record.State {
			c.addChange(record.Name, max(p.incarnation, record.Incarnation), EventStateChanged, record.State.String(), reporter)
		}
		c.setRecord(p, record, raw)
		c.output.addObservations(record)
		c.broadcasts.enqueue(record.Name, recordBroadcast)
	}
	if record.Incarnation > p.incarnation {
		c.markAlive(p, record.Incarnation, "newer record", reporter)
	}
}

// setRecord replaces a peer's record.
func (c *Core) setRecord(p *peer, record *codec.Record, raw []byte) {
	c.members.moveTo(p, record.Addr)
	p.record = record
	p.rawRecord = slices.Clone(raw)
	p.recordUpdatedAt = c.now
}

// addPeer adds a member that is not known yet. A member that departed longer than Config.ForgetAfter ago is not added.
func (c *Core) addPeer(record *codec.Record, raw []byte, reporter string, claim *codec.Claim) {
	sameInstance := claim != nil && claim.InstanceID == record.InstanceID
	departed := sameInstance && claim.Incarnation >= record.Incarnation && claim.Status >= codec.Dead
	if departed && claimAge(claim) >= c.config.ForgetAfter {
		return
	}
	if !c.ensureSpace() || record.Incarnation > maxFirstIncarnation {
		c.counters.TableFull++
		return
	}
	p := &peer{
		record:          record,
		rawRecord:       slices.Clone(raw),
		recordUpdatedAt: c.now,
		nameHash:        codec.NameHash(record.Name),
		instanceID:      record.InstanceID,
		incarnation:     record.Incarnation,
		statusSince:     c.now,
		reportedBy:      reporter,
		lastContact:     never,
	}
	c.members.insert(p)
	if departed { // the age from the claim counts, otherwise members would exchange the entry forever and none forget it
		p.incarnation = claim.Incarnation
		p.setStatus(claim.Status, c.now-claimAge(claim), claim.ReportedBy)
		return
	}
	if sameInstance && refutes(claim.Incarnation, p.incarnation) {
		p.incarnation = claim.Incarnation
	}
	c.activate(p)
	c.addChange(record.Name, p.incarnation, EventJoined, record.State.String(), reporter)
	c.broadcasts.enqueue(record.Name, recordBroadcast)
	if claim != nil && claim.Status == codec.Suspect {
		c.applyClaim(*claim, reporter)
	}
}

// ensureSpace reports whether another member can be added. If the table is full, it removes the peer that departed first.
func (c *Core) ensureSpace() bool {
	if len(c.members.byHash)+1 < c.config.MaxMembers {
		return true
	}
	oldest := c.members.oldestDeparted()
	if oldest == nil {
		return false
	}
	c.forget(oldest)
	return true
}

// activate adds a peer to the active members and to the probe order.
func (c *Core) activate(p *peer) {
	c.members.activate(p)
	c.probes.insertAtRandom(p, c.random)
}

// deactivate removes a peer from the active members and the probe order.
func (c *Core) deactivate(p *peer) {
	c.members.deactivate(p)
	c.probes.drop(p)
}

// forget removes a peer and all state about it.
func (c *Core) forget(p *peer) {
	if p.active() {
		c.deactivate(p)
	}
	c.members.remove(p)
	c.broadcasts.remove(p.record.Name)
	c.addChange(p.record.Name, p.incarnation, EventForgotten, p.status.String(), "")
}

// markAlive applies a higher incarnation of the known instance. Only the member itself raises it, so the member is alive.
func (c *Core) markAlive(p *peer, incarnation uint64, reason, reporter string) {
	was := p.status
	p.incarnation = incarnation
	if was == codec.Alive {
		p.reportedBy = reporter
		return
	}
	p.setStatus(codec.Alive, c.now, reporter)
	if was == codec.Suspect {
		c.addChange(p.record.Name, incarnation, EventRefuted, reason, reporter)
		return
	}
	c.activate(p)
	c.addChange(p.record.Name, incarnation, EventReturned, reason, reporter)
	if reporter == p.record.Name { // after a partition it may know members that this node does not
		c.sendDigests(p, 0)
	}
}

// replaceInstance replaces the known instance of a name by another one.
func (c *Core) replaceInstance(p *peer, record *codec.Record, raw []byte, reporter string) {
	wasActive, old := p.active(), p.record
	c.setRecord(p, record, raw)
	p.instanceID = record.InstanceID
	p.incarnation = record.Incarnation
	p.setStatus(codec.Alive, c.now, reporter)
	p.lastContact = never
	c.probes.cancel(p)
	if !wasActive {
		c.activate(p)
	} else if old.Addr != record.Addr {
		c.recordConflict(record.Name, record.Addr, old.Addr)
	}
	c.addChange(record.Name, record.Incarnation, replacementEvent(old, record, wasActive), "another process of this name", reporter)
	c.broadcasts.enqueue(record.Name, recordBroadcast)
}

// replacementEvent returns the event for the replacement of an instance by another one of the same name.
func replacementEvent(old, record *codec.Record, wasActive bool) Event {
	switch {
	case record.Replaces && record.Addr == old.Addr:
		return EventReplaced
	case !wasActive:
		return EventReturned
	}
	return EventRestarted
}

// applyClaim applies a claim about a member that the member from has sent.
func (c *Core) applyClaim(claim codec.Claim, from string) {
	reporter := claim.ReportedBy
	if reporter == "" {
		reporter = from
	}
	if claim.Name == c.self.record.Name {
		if claim.InstanceID == c.self.record.InstanceID {
			c.applyClaimAboutSelf(claim, reporter)
		}
		return
	}
	p := c.members.byName[claim.Name]
	if p == nil || claim.InstanceID != p.instanceID || claim.Incarnation < p.incarnation {
		return // outdated, or about an instance not known here, whose record the next anti-entropy sync brings
	}
	if implausible(claim.Incarnation, p.incarnation) {
		c.counters.ImplausibleIncarnations++
		return
	}
	if claim.Incarnation > p.incarnation && claim.Status == codec.Alive {
		c.markAlive(p, claim.Incarnation, "refutation received", reporter)
		c.broadcasts.enqueue(claim.Name, claimBroadcast)
		return
	}
	if p.status == codec.Left || claim.Status == codec.Alive {
		return
	}
	p.incarnation = claim.Incarnation
	switch claim.Status {
	case codec.Suspect:
		c.markSuspect(p, reporter, "reported", false)
	case codec.Dead:
		c.applyDeath(p, &claim, reporter)
	case codec.Left:
		c.markDeparted(p, codec.Left, claimAge(&claim), "announced", reporter)
	}
}

// applyDeath applies a claim that a peer is dead. The claim may come from a member that was partitioned, so a peer from
// which this node has recently received a packet is only marked as suspect, which leaves it time to refute.
func (c *Core) applyDeath(p *peer, claim *codec.Claim, reporter string) {
	if p.status == codec.Alive && c.now-p.lastContact < c.minSuspicionTimeout() {
		c.markSuspect(p, reporter, "reported dead", false)
		c.sendClaimAbout(p)
		return
	}
	c.markDeparted(p, codec.Dead, claimAge(claim), "reported", reporter)
}

// markDeparted marks a peer as Dead or Left since the given age ago.
func (c *Core) markDeparted(p *peer, status codec.Status, age time.Duration, reason, reporter string) {
	if p.status >= status {
		return
	}
	wasActive := p.active()
	p.setStatus(status, c.now-min(age, c.config.ForgetAfter), reporter)
	if wasActive {
		c.deactivate(p)
	}
	event := EventLeft
	if status == codec.Dead {
		event = EventDied
		c.counters.Deaths++
	}
	c.addChange(p.record.Name, p.incarnation, event, reason, reporter)
	c.broadcasts.enqueue(p.record.Name, claimBroadcast)
}
