package membership

import "swiftdeal/internal/membership/codec"

// handlePacket dispatches a packet according to its sender.
func (c *Core) handlePacket(from string, packet *codec.Packet) {
	if packet.From.Name == c.self.record.Name {
		c.handleSameName(from, packet)
		return
	}
	if c.names.displaced || c.self.left {
		return
	}
	switch m := packet.Message.(type) {
	case codec.Hello:
		c.handleHello(from, packet, m)
		return
	case codec.Challenge, codec.Welcome:
		c.handleHelloReply(from, packet)
		return
	}
	sender := c.members.byName[packet.From.Name]
	if sender == nil || sender.record.Addr != from || sender.instanceID != packet.From.InstanceID {
		c.handleUnknownSender(from, packet, sender)
		return
	}
	c.handleContact(sender, packet.From.Incarnation)
	if packet.Recipient != c.self.record.Name { // addressed to another member at this address
		return
	}
	c.applyUpdates(packet, sender.record.Name)
	c.handleMessage(from, sender, packet)
}

// handleContact records that a packet was received directly from a member, with the incarnation that it carried.
func (c *Core) handleContact(sender *peer, incarnation uint64) {
	sender.lastContact = c.now
	switch {
	case refutes(incarnation, sender.incarnation):
		c.markAlive(sender, incarnation, "direct contact", sender.record.Name)
		c.broadcasts.enqueue(sender.record.Name, claimBroadcast)
	case sender.status == codec.Dead: // it can refute only after it learns of the claim
		c.sendClaimAbout(sender)
	}
}

// handleMessage dispatches the message of a known member by type.
func (c *Core) handleMessage(from string, sender *peer, packet *codec.Packet) {
	switch m := packet.Message.(type) {
	case codec.Ping:
		c.send(from, c.packetWithGossip(sender, packet.Seq, codec.Ack{}))
	case codec.Ack:
		c.handleAck(sender, packet, m)
	case codec.Nack:
		c.handleNack(packet.Seq)
	case codec.PingRequest:
		c.handlePingRequest(from, packet.Seq, m)
	case codec.Digest:
		c.handleDigest(sender, m)
	case codec.Pull:
		c.sendDeltas(sender, m.Hashes, 0)
	case codec.Delta:
		if m.NextHash != 0 { // the sender reached its limit; request the rest
			c.sendDigests(sender, m.NextHash)
		}
	}
}

// handleUnknownSender handles a packet of a process that is not a member, or not in this instance or at this address. The
// reply holds no more than the process needs in order to join. known is the member with its name, if any.
func (c *Core) handleUnknownSender(from string, packet *codec.Packet, known *peer) {
	c.counters.UnknownSenders++
	_, isPing := packet.Message.(codec.Ping)
	switch {
	case known != nil && known.record.Addr == from && outranks(known.identity(), packet.From):
		// Another instance at the same address, for example after a restart: it is sent the known incarnation of its name,
		// so that it can choose a higher one.
		c.send(from, c.deltaAbout(known))
	case isPing && packet.Recipient == c.self.record.Name:
		c.send(from, c.packetTo(packet.From.Name, packet.Seq, codec.Ack{UnknownSender: true}))
	}
}
