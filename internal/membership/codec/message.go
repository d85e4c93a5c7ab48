package codec

import "github.com/fxamacker/cbor/v2"

// Packet is the content of one datagram: a message with common header fields and piggybacked gossip.
type Packet struct {
	Seq       uint64   // matches a reply with its request; 0 if no reply is expected
	From      Identity // sender
	Recipient string   // name of the addressed member; empty in a Hello, whose sender does not know it yet
	Message   Message

	// Gossip that is piggybacked on the message.
	Claims  []Claim
	Records []cbor.RawMessage // records as encoded by their owners
}

// Kind returns the kind of the packet's message.
func (p *Packet) Kind() Kind { return p.Message.Kind() }

// Message is the message in a packet. All of its implementations are in this file.
type Message interface {
	// Kind returns the number of the message type on the wire.
	Kind() Kind
	// fillEnvelope sets those fields of the envelope that are specific to the message.
	fillEnvelope(e *envelope)
}

// Ping checks whether the recipient is alive. It is answered with an Ack.
type Ping struct{}

// Ack answers a Ping.
type Ack struct {
	Subject       *Identity // set by a helper: the target that answered the indirect probe
	UnknownSender bool      // the receiver of the Ping does not have its sender as a member
}

// Nack is sent by a helper if the target of a PingRequest has not answered in time. It shows that the helper is alive and
// reachable.
type Nack struct{}

// PingRequest asks a helper to ping a member: SWIM's indirect probe. It is answered with an Ack or a Nack.
type PingRequest struct {
	Target string // name of the member to ping
}

// Gossip has no content of its own: it only carries the packet's claims and records.
type Gossip struct{}

// Hello asks the recipient to add the sender as a member. The packet holds exactly one record, that of the sender.
type Hello struct {
	Token []byte // token from the Challenge; empty in the first Hello
}

// Challenge answers a Hello without a valid token. A Hello that repeats the token proves that its sender receives
// datagrams at its address.
type Challenge struct {
	Token []byte
}

// Welcome answers a Hello with a valid token: the sender of the Hello has been added as a member.
type Welcome struct{}

// Digest summarizes the sender's view of all members whose name hashes are in a range. The recipient compares it with its
// own view and answers with Delta messages and a Pull where they differ.
type Digest struct {
	FirstHash uint64
	LastHash  uint64
	Entries   []DigestEntry
}

// DigestEntry summarizes what the sender of a Digest knows about one member.
type DigestEntry struct {
	_           struct{} `cbor:",toarray"`
	NameHash    uint64
	InstanceID  uint64
	Incarnation uint64
	Seq         uint64 // sequence number of the member's record
	Status      Status
}

// Delta carries records and claims that are newer than those of the recipient.
type Delta struct {
	NextHash uint64 // if not 0, there are more from this hash on, and the recipient may send a Digest that starts there
}

// Pull requests a Delta with the members that have these name hashes.
type Pull struct {
	Hashes []uint64
}

// SubprotocolMessage belongs to another protocol that shares the socket. Its kind is KindConsensus or higher, including
// kinds that this version does not know.
type SubprotocolMessage struct {
	Number Kind
	Body   []byte
}

// InvalidMessage is a message of the invalid kind 0. Only the common fields of its packet are decoded.
type InvalidMessage struct {
	Number Kind
}

// Kind implements Message.
func (Ping) Kind() Kind { return KindPing }

// Kind implements Message.
func (Ack) Kind() Kind { return KindAck }

// Kind implements Message.
func (Nack) Kind() Kind { return KindNack }

// Kind implements Message.
func (PingRequest) Kind() Kind { return KindPingRequest }

// Kind implements Message.
func (Gossip) Kind() Kind { return KindGossip }

// Kind implements Message.
func (Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (Challenge) Kind() Kind { return KindChallenge }

// Kind implements Message.
func (Welcome) Kind() Kind { return KindWelcome }

// Kind implements Message.
func (Digest) Kind() Kind { return KindDigest }

// Kind implements Message.
func (Delta) Kind() Kind { return KindDelta }

// Kind implements Message.
func (Pull) Kind() Kind { return KindPull }

// Kind implements Message.
func (m SubprotocolMessage) Kind() Kind { return m.Number }

// Kind implements Message.
func (m InvalidMessage) Kind() Kind { return m.Number }

func (Ping) fillEnvelope(*envelope)                   {}
func (Nack) fillEnvelope(*envelope)                   {}
func (Gossip) fillEnvelope(*envelope)                 {}
func (Welcome) fillEnvelope(*envelope)                {}
func (InvalidMessage) fillEnvelope(*envelope)         {}
func (m PingRequest) fillEnvelope(e *envelope)        { e.Target = m.Target }
func (m Hello) fillEnvelope(e *envelope)              { e.Token = m.Token }
func (m Challenge) fillEnvelope(e *envelope)          { e.Token = m.Token }
func (m Delta) fillEnvelope(e *envelope)              { e.FirstHash = m.NextHash }
func (m Pull) fillEnvelope(e *envelope)               { e.Hashes = m.Hashes }
func (m SubprotocolMessage) fillEnvelope(e *envelope) { e.Body = m.Body }

func (m Ack) fillEnvelope(e *envelope) {
	e.Subject = m.Subject
	e.UnknownSender = m.UnknownSender
}

func (m Digest) fillEnvelope(e *envelope) {
	e.FirstHash = m.FirstHash
	e.LastHash = m.LastHash
	e.Entries = m.Entries
}
