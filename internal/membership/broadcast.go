package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"swiftdeal/internal/membership/codec"
)

// broadcastKind is what a broadcast carries about a member.
type broadcastKind int

const (
	claimBroadcast broadcastKind = iota
	recordBroadcast
	numBroadcastKinds
)

// broadcast is an update about a member that is piggybacked on other messages.
type broadcast struct {
	member    string
	kind      broadcastKind
	transmits int // number of transmissions so far
}

// broadcastQueue holds the pending broadcasts, at most one for each member and kind.
type broadcastQueue struct {
	queued   []*broadcast
	byMember [numBroadcastKinds]map[string]*broadcast
}

func newBroadcastQueue() broadcastQueue {
	var q broadcastQueue
	for kind := range q.byMember {
		q.byMember[kind] = map[string]*broadcast{}
	}
	return q
}

// enqueue adds a broadcast about a member. If one is already queued, its transmission count is reset.
func (q *broadcastQueue) enqueue(member string, kind broadcastKind) {
	if b := q.byMember[kind][member]; b != nil {
		b.transmits = 0
		return
	}
	b := &broadcast{member: member, kind: kind}
	q.byMember[kind][member] = b
	q.queued = append(q.queued, b)
}

// remove deletes the broadcasts about a member.
func (q *broadcastQueue) remove(member string) {
	for kind := range q.byMember {
		if b := q.byMember[kind][member]; b != nil {
			delete(q.byMember[kind], member)
			q.queued = slices.DeleteFunc(q.queued, func(o *broadcast) bool { return o == b })
		}
	}
}

// sortByTransmits sorts the queue by the number of transmissions, lowest first.
func (q *broadcastQueue) sortByTransmits() {
	slices.SortStableFunc(q.queued, func(a, b *broadcast) int { return cmp.Compare(a.transmits, b.transmits) })
}

// transmitted counts a transmission of a broadcast, and reports whether the limit is reached. If so, the caller must call
// removeDone.
func (q *broadcastQueue) transmitted(b *broadcast, limit int) (done bool) {
	b.transmits++
	if b.transmits < limit {
		return false
	}
	delete(q.byMember[b.kind], b.member)
	return true
}

// removeDone deletes the broadcasts that have reached the transmission limit from the queue.
func (q *broadcastQueue) removeDone(limit int) {
	q.queued = slices.DeleteFunc(q.queued, func(b *broadcast) bool { return b.transmits >= limit })
}

// update is the content of a broadcast.
type update struct {
	record   []byte // encoded record; nil if there is none
	claim    codec.Claim
	hasClaim bool
}

// bytes returns an upper bound on the space that the update takes in a datagram.
func (u *update) bytes() int {
	n := 0
	if u.hasClaim {
		n += claimBytes(&u.claim)
	}
	if u.record != nil {
		n += len(u.record) + recordOverhead
	}
	return n
}

// claimBytes returns an upper bound on the space that a claim takes in a datagram.
func claimBytes(claim *codec.Claim) int {
	return len(claim.Name) + len(claim.ReportedBy) + claimOverhead
}

// packetWithGossip returns a packet for a peer with piggybacked gossip. If the peer is suspect or dead, the claim about it
// comes first, so that it can refute; the remaining space is filled with broadcasts.
func (c *Core) packetWithGossip(to *peer, seq uint64, m codec.Message) *codec.Packet {
	p := c.packetTo(to.record.Name, seq, m)
	room := codec.MaxDatagramBytes - reservedBytes
	if to.status == codec.Suspect || to.status == codec.Dead {
		p.Claims = append(p.Claims, c.claimAbout(to))
		room -= claimBytes(&p.Claims[0])
	}
	c.piggyback(p, room)
	return p
}

// piggyback adds broadcasts of at most room bytes to a packet, the least transmitted first.
func (c *Core) piggyback(packet *codec.Packet, room int) {
	if len(c.broadcasts.queued) == 0 {
		return
	}
	c.broadcasts.sortByTransmits()
	limit := int(math.Ceil(c.config.RetransmitMult * c.logMembers()))
	done := false
	for _, b := range c.broadcasts.queued {
		if b.member == packet.Recipient { // it knows its own updates, and packetWithGossip adds a claim that it must refute
			continue
		}
		u := c.updateOf(b)
		size := u.bytes()
		if size > room {
			if room < minGossipBytes {
				break
			}
			continue
		}
		room -= size
		if u.record != nil {
			packet.Records = append(packet.Records, u.record)
		}
		if u.hasClaim {
			packet.Claims = append(packet.Claims, u.claim)
		}
		if c.broadcasts.transmitted(b, limit) {
			done = true
		}
	}
	if done {
		c.broadcasts.removeDone(limit)
	}
}

// updateOf returns the current content of a broadcast: a claim or a record. A record comes with a claim if the record
// alone does not show the member's current status or incarnation.
func (c *Core) updateOf(b *broadcast) (u update) {
	if b.member == c.self.record.Name {
		if b.kind == recordBroadcast {
			u.record = c.self.rawRecord
		} else {
			u.claim, u.hasClaim = c.self.claim(), true
		}
		return u
	}
	p := c.members.byName[b.member]
	if b.kind == recordBroadcast {
		u.record = p.rawRecord
	}
	if b.kind == claimBroadcast || p.status != codec.Alive || p.incarnation > p.record.Incarnation {
		u.claim, u.hasClaim = c.claimAbout(p), true
	}
	return u
}

// claimAbout returns a claim with the known status of a peer.
func (c *Core) claimAbout(p *peer) codec.Claim {
	claim := codec.Claim{Identity: p.identity(), Status: p.status, ReportedBy: p.reportedBy}
	if !p.active() {
		age := (c.now - p.statusSince) / time.Millisecond
		claim.AgeMs = uint32(min(int64(age), math.MaxUint32))
	}
	return claim
}

// gossip sends pending broadcasts to random members.
func (c *Core) gossip() {
	if len(c.broadcasts.queued) == 0 {
		return
	}
	for _, p := range c.members.randomActive(gossipFanout, nil, c.random) {
		g := c.packetWithGossip(p, 0, codec.Gossip{})
		if len(g.Claims)+len(g.Records) > 0 {
			c.send(p.record.Addr, g)
		}
	}
}
