package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"swiftdeal/internal/membership/codec"
)

// tokenBytes is the length of the token in a Challenge.
const tokenBytes = 8

// joinState holds the state of joins in both directions: this node's Hellos to processes that do not know it, and the
// tokens for processes that ask to be added. A process becomes a member only after it has proved with a token that it
// receives datagrams at the address that it announces.
type joinState struct {
	seeds           []string
	nextReconnectAt time.Duration
	pendingHellos   map[string]uint64 // sequence number of the unanswered Hello by address
	tokenSecret     [2]uint64
}

func newJoinState(config *Config, random *rand.Rand) joinState {
	j := joinState{
		pendingHellos: map[string]uint64{},
		tokenSecret:   [2]uint64{random.Uint64(), random.Uint64()},
	}
	for _, addr := range config.Seeds {
		j.addSeed(addr, config.Self.Addr)
	}
	return j
}

// addSeed adds a seed address unless it is already known or the node's own.
func (j *joinState) addSeed(addr, ownAddr string) {
	if addr != ownAddr && !slices.Contains(j.seeds, addr) {
		j.seeds = append(j.seeds, addr)
	}
}

// takePendingHello reports whether a Hello with this sequence number to this address is unanswered, and removes it.
func (j *joinState) takePendingHello(addr string, seq uint64) bool {
	pending, ok := j.pendingHellos[addr]
	if !ok || pending != seq {
		return false
	}
	delete(j.pendingHellos, addr)
	return true
}

// token returns the token that a process at addr must repeat in its Hello: a keyed hash of the address and the epoch. It
// is accepted in its epoch and the next one.
func (j *joinState) token(addr string, epoch int64) []byte {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], j.tokenSecret[0])
	binary.LittleEndian.PutUint64(b[8:], j.tokenSecret[1])
	h := hmac.New(sha256.New, b[:])
	binary.LittleEndian.PutUint64(b[:], uint64(epoch))
	h.Write(b[:8])
	h.Write([]byte(addr))
	return h.Sum(nil)[:tokenBytes]
}

// AddSeed adds the address of a node, for example from discovery or an operator, to the seeds.
func (c *Core) AddSeed(addr string) {
	if len(c.joining.seeds) < c.config.MaxMembers {
		c.joining.addSeed(addr, c.self.record.Addr)
	}
}

// reconnect sends Hellos to seeds that no active member has and to dead members, which may be on the other side of a
// partition. It goes on as long as the node runs, and as soon as there is an active peer it sends no more than one Hello
// in minReconnectPeriods.
func (c *Core) reconnect() {
	if c.now < c.joining.nextReconnectAt {
		return
	}
	addrs := append(c.unreachedSeeds(), c.deadAddrs()...)
	maxHellos := 1
	randomDelay := time.Duration(c.random.Float64() * float64(c.config.Period) * (maxReconnectPeriods - minReconnectPeriods))
	c.joining.nextReconnectAt = c.now + c.config.Period*minReconnectPeriods + randomDelay
	if c.members.active == 0 {
		maxHellos = isolatedHellos
		c.joining.nextReconnectAt = c.now + c.jitter(1)
	}
	for range min(maxHellos, len(addrs)) {
		i := c.random.IntN(len(addrs))
		c.sendHello(addrs[i], nil)
		addrs = slices.Delete(addrs, i, i+1)
	}
}

// unreachedSeeds returns the seed addresses that no active member has.
func (c *Core) unreachedSeeds() (addrs []string) {
	for _, addr := range c.joining.seeds {
		if c.members.byAddr[addr] == nil {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// deadAddrs returns the addresses of dead members, except those that an active member or this node now has.
func (c *Core) deadAddrs() (addrs []string) {
	for _, p := range c.members.byHash {
		addr := p.record.Addr
		if p.status == codec.Dead && c.members.byAddr[addr] == nil && addr != c.self.record.Addr {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// sendHello asks the process at addr to add this node as a member.
func (c *Core) sendHello(addr string, token []byte) {
	if len(c.joining.pendingHellos) > maxPendingHellos {
		clear(c.joining.pendingHellos)
	}
	seq := c.nextSeq()
	c.joining.pendingHellos[addr] = seq
	p := c.packetTo("", seq, codec.Hello{Token: token})
	p.Records = []cbor.RawMessage{c.self.rawRecord}
	c.send(addr, p)
}

// token returns the token for an address in the current epoch or an earlier one.
func (c *Core) token(addr string, epochsAgo int64) []byte {
	epoch := int64(c.now / c.periods(tokenEpochPeriods))
	return c.joining.token(addr, epoch-epochsAgo)
}

// validToken reports whether a token was issued for addr in the current or the previous epoch.
func (c *Core) validToken(addr string, token []byte) bool {
	return hmac.Equal(token, c.token(addr, 0)) || hmac.Equal(token, c.token(addr, 1))
}

// sendChallenge answers a Hello without a valid token with the token for its source address.
func (c *Core) sendChallenge(addr string, hello *codec.Packet) {
	challenge := codec.Challenge{Token: c.token(addr, 0)}
	c.send(addr, c.packetTo(hello.From.Name, hello.Seq, challenge))
}

// welcomeFor returns the answer to a Hello with a valid token.
func (c *Core) welcomeFor(hello *codec.Packet) *codec.Packet {
	p := c.packetTo(hello.From.Name, hello.Seq, codec.Welcome{})
	p.Records = append(p.Records, c.self.rawRecord)
	return p
}

// handleHello adds the sender as a member if its Hello carries a valid token. Without that proof a sender with a spoofed
// address could make all members send datagrams to a victim.
func (c *Core) handleHello(from string, packet *codec.Packet, hello codec.Hello) {
	if !c.validToken(from, hello.Token) {
		c.sendChallenge(from, packet)
		return
	}
	if len(packet.Records) != 1 {
		c.counters.Rejected++
		return
	}
	record, err := codec.DecodeRecord(packet.Records[0])
	if err != nil || record.Identity != packet.From || record.Addr != from {
		c.counters.Rejected++
		return
	}
	c.applyRecord(record, packet.Records[0], record.Name, nil)
	welcome := c.welcomeFor(packet)
	known := c.members.byName[record.Name]
	switch {
	case known == nil:
	case known.instanceID != record.InstanceID: // the sender can choose an incarnation above that of the known instance
		welcome.Claims = append(welcome.Claims, c.claimAbout(known))
		welcome.Records = append(welcome.Records, known.rawRecord)
	case known.incarnation > record.Incarnation || known.status != codec.Alive:
		welcome.Claims = append(welcome.Claims, c.claimAbout(known))
	default:
		known.lastContact = c.now
	}
	c.send(from, welcome)
}

// handleHelloReply handles a Challenge or a Welcome.
func (c *Core) handleHelloReply(from string, packet *codec.Packet) {
	if !c.joining.takePendingHello(from, packet.Seq) {
		c.counters.UnknownSenders++
		return
	}
	if challenge, ok := packet.Message.(codec.Challenge); ok {
		c.sendHello(from, challenge.Token)
		return
	}
	c.handleWelcome(from, packet)
}

// handleWelcome adds the process that has accepted this node's Hello as a member, and syncs the view with it.
func (c *Core) handleWelcome(from string, packet *codec.Packet) {
	c.applyUpdates(packet, packet.From.Name)
	sender := c.members.byName[packet.From.Name]
	if sender == nil || sender.record.Addr != from {
		return
	}
	sameInstance := sender.instanceID == packet.From.InstanceID
	if !sameInstance || sender.status == codec.Dead {
		c.send(from, c.deltaAbout(sender))
	}
	if !sameInstance {
		return
	}
	sender.lastContact = c.now
	c.sendDigests(sender, 0)
}

// deltaAbout returns a Delta with the record and claim that are known about a peer, to inform the process that now uses its
// name. It must be sent only to the peer's known address.
func (c *Core) deltaAbout(p *peer) *codec.Packet {
	packet := c.packetTo(p.record.Name, 0, codec.Delta{})
	packet.Claims = []codec.Claim{c.claimAbout(p)}
	packet.Records = []cbor.RawMessage{p.rawRecord}
	return packet
}
