package codec

import (
	"encoding/binary"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Layout of the datagram header: two magic bytes, the version, the fleet tag and the checksum.
const (
	magicByte0     = 's'
	magicByte1     = 'f'
	versionOffset  = 2
	tagOffset      = 3
	checksumOffset = 7
	headerBytes    = 15
)

// envelope is the wire format of a Packet: a single map with the fields of all message types, of which each message sets
// only its own.
type envelope struct {
	Kind          Kind              `cbor:"1,keyasint"`
	Seq           uint64            `cbor:"2,keyasint,omitempty"`
	From          Identity          `cbor:"3,keyasint"`
	Recipient     string            `cbor:"4,keyasint,omitempty"`
	Target        string            `cbor:"5,keyasint,omitempty"`
	Subject       *Identity         `cbor:"6,keyasint,omitempty"`
	Token         []byte            `cbor:"7,keyasint,omitempty"`
	UnknownSender bool              `cbor:"8,keyasint,omitempty"`
	Claims        []Claim           `cbor:"9,keyasint,omitempty"`
	Records       []cbor.RawMessage `cbor:"10,keyasint,omitempty"`
	FirstHash     uint64            `cbor:"11,keyasint,omitempty"`
	LastHash      uint64            `cbor:"12,keyasint,omitempty"`
	Entries       []DigestEntry     `cbor:"13,keyasint,omitempty"`
	Hashes        []uint64          `cbor:"14,keyasint,omitempty"`
	Body          []byte            `cbor:"15,keyasint,omitempty"`
}

// envelopes reduces allocations, since a node encodes and decodes datagrams continuously.
var envelopes = sync.Pool{New: func() any { return new(envelope) }}

// release clears the envelope and returns it to the pool.
func (e *envelope) release() {
	*e = envelope{}
	envelopes.Put(e)
}

// fill sets the fields from a packet.
func (e *envelope) fill(p *Packet) {
	e.Kind = p.Message.Kind()
	e.Seq = p.Seq
	e.From = p.From
	e.Recipient = p.Recipient
	e.Claims = p.Claims
	e.Records = p.Records
	p.Message.fillEnvelope(e)
}

// packet returns the content of the envelope as a Packet.
func (e *envelope) packet() *Packet {
	return &Packet{
		Seq:       e.Seq,
		From:      e.From,
		Recipient: e.Recipient,
		Message:   e.message(),
		Claims:    e.Claims,
		Records:   e.Records,
	}
}

// message returns the envelope's message as the type for its kind.
func (e *envelope) message() Message {
	switch e.Kind {
	case 0:
		return InvalidMessage{}
	case KindPing:
		return Ping{}
	case KindAck:
		return Ack{Subject: e.Subject, UnknownSender: e.UnknownSender}
	case KindNack:
		return Nack{}
	case KindPingRequest:
		return PingRequest{Target: e.Target}
	case KindGossip:
		return Gossip{}
	case KindHello:
		return Hello{Token: e.Token}
	case KindChallenge:
		return Challenge{Token: e.Token}
	case KindWelcome:
		return Welcome{}
	case KindDigest:
		return Digest{FirstHash: e.FirstHash, LastHash: e.LastHash, Entries: e.Entries}
	case KindDelta:
		return Delta{NextHash: e.FirstHash}
	case KindPull:
		return Pull{Hashes: e.Hashes}
	}
	return SubprotocolMessage{Number: e.Kind, Body: e.Body}
}

// NewMessage returns a message of the given kind with no fields set.
func NewMessage(kind Kind) Message {
	e := envelope{Kind: kind}
	return e.message()
}

// EncodeDatagram encodes a packet as a datagram for the fleet with the given tag. It returns ErrTooLarge if the datagram
// would exceed MaxDatagramBytes.
func EncodeDatagram(fleet uint32, packet *Packet) ([]byte, error) {
	e := envelopes.Get().(*envelope)
	e.fill(packet)
	body, err := marshal(e)
	e.release()
	if err != nil {
		return nil, err
	}
	if headerBytes+len(body) > MaxDatagramBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, headerBytes+len(body), MaxDatagramBytes)
	}
	data := make([]byte, headerBytes, headerBytes+len(body))
	data[0], data[1], data[versionOffset] = magicByte0, magicByte1, Version
	binary.BigEndian.PutUint32(data[tagOffset:], fleet)
	data = append(data, body...)
	binary.BigEndian.PutUint64(data[checksumOffset:], checksum(data))
	return data, nil
}

// checksum returns the checksum of a datagram except for the checksum field. It detects corruption in transit but does not
// protect against forged datagrams.
func checksum(data []byte) uint64 {
	digest := xxhash.New()
	digest.Write(data[:checksumOffset])
	digest.Write(data[headerBytes:])
	return digest.Sum64()
}

// DecodeDatagram decodes a datagram for the fleet with the given tag. Its error is or wraps one of the errors of this
// package.
func DecodeDatagram(fleet uint32, data []byte) (*Packet, error) {
	if err := checkHeader(fleet, data); err != nil {
		return nil, err
	}
	e := envelopes.Get().(*envelope)
	defer e.release()
	if err := unmarshal(data[headerBytes:], e); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if !e.From.valid() {
		return nil, fmt.Errorf("%w: the sender's name has %d bytes, not 1 to %d", ErrMalformed, len(e.From.Name), MaxNameBytes)
	}
	for i := range e.Claims {
		if !e.Claims[i].valid() {
			return nil, fmt.Errorf("%w: claim %d has an invalid name or status", ErrMalformed, i)
		}
	}
	return e.packet(), nil
}

// checkHeader returns an error if the header is not that of an intact datagram of this version and fleet.
func checkHeader(fleet uint32, data []byte) error {
	switch {
	case len(data) > MaxDatagramBytes:
		return ErrTooLarge
	case len(data) < headerBytes || data[0] != magicByte0 || data[1] != magicByte1:
		return ErrMalformed
	case data[versionOffset] != Version:
		return fmt.Errorf("%w: %d, here %d", ErrVersion, data[versionOffset], Version)
	case binary.BigEndian.Uint32(data[tagOffset:]) != fleet:
		return ErrFleet
	case binary.BigEndian.Uint64(data[checksumOffset:]) != checksum(data):
		return ErrDamaged
	}
	return nil
}
