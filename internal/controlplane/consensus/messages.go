package consensus

import (
	"swiftdeal/internal/membership/codec"
)

// message is the wire format between replicas: a header, and the fields of one kind of content. Field numbers never change.
type message struct {
	From           Voter           `cbor:"1,keyasint"`
	Group          GroupID         `cbor:"2,keyasint,omitempty"`
	Epoch          GroupID         `cbor:"12,keyasint,omitempty"` // of the sender's group
	HighestEpoch   GroupID         `cbor:"3,keyasint,omitempty"`  // of any group that the sender has heard of
	RecipientID    uint64          `cbor:"4,keyasint,omitempty"`  // voter ID of the addressed instance; 0: any
	Founding       *foundingNotice `cbor:"5,keyasint,omitempty"`
	RaftData       []byte          `cbor:"6,keyasint,omitempty"`  // raftData, chunk
	MessageNumber  uint64          `cbor:"7,keyasint,omitempty"`  // chunk, chunkAck
	ChunkIndex     int             `cbor:"8,keyasint,omitempty"`  // chunk
	ChunkCount     int             `cbor:"9,keyasint,omitempty"`  // chunk
	ReceivedChunks []uint8         `cbor:"10,keyasint,omitempty"` // chunkAck
	Hello          bool            `cbor:"11,keyasint,omitempty"`
	Removed        bool            `cbor:"13,keyasint,omitempty"`
}

// content is the content of a message: one of the types below.
type content interface {
	// fill sets the fields of the content in a message.
	fill(m *message)
}

// helloNotice announces the sender, its group and its highest epoch to whatever instance of a node receives it.
type helloNotice struct{}

// removalNotice is the leader's notice that another voter has replaced the recipient.
type removalNotice struct{}

// raftData is an encoded raftpb.Message.
type raftData []byte

// chunk is a part of an encoded raftpb.Message: of a snapshot, or of a message that is too long for a datagram.
type chunk struct {
	number uint64 // of the message; the sender numbers its chunked messages
	index  int    // from 0
	count  int
	data   []byte
}

// chunkAck acknowledges chunks.
type chunkAck struct {
	number   uint64
	received []uint8 // bitmap of all chunks that have arrived
}

// foundingNotice announces a new group and the voters that found it.
type foundingNotice struct {
	Group  GroupID `cbor:"1,keyasint"`
	Voters []Voter `cbor:"2,keyasint"`
}

// proposal is the data of a log entry: a command, with a nonce by which its proposer recognizes it, or a new epoch of the group.
type proposal struct {
	Nonce   uint64  `cbor:"1,keyasint"`
	Command []byte  `cbor:"2,keyasint,omitempty"`
	Epoch   GroupID `cbor:"3,keyasint,omitempty"` // of the group from this entry on; zero: the entry is a command
}

// snapshotData is the content of a snapshot.
type snapshotData struct {
	Voters []Voter `cbor:"1,keyasint"`
	State  []byte  `cbor:"2,keyasint"`
	Epoch  GroupID `cbor:"3,keyasint,omitempty"`
}

func (helloNotice) fill(m *message) { m.Hello = true }

func (removalNotice) fill(m *message) { m.Removed = true }

func (f *foundingNotice) fill(m *message) { m.Founding = f }

func (d raftData) fill(m *message) { m.RaftData = d }

func (c chunk) fill(m *message) {
	m.MessageNumber = c.number
	m.ChunkIndex = c.index
	m.ChunkCount = c.count
	m.RaftData = c.data
}

func (a chunkAck) fill(m *message) {
	m.MessageNumber = a.number
	m.ReceivedChunks = a.received
}

// content returns the content of a message; nil if this version does not know its kind.
func (m *message) content() content {
	switch {
	case m.Hello:
		return helloNotice{}
	case m.Removed:
		return removalNotice{}
	case m.Founding != nil:
		return m.Founding
	case len(m.ReceivedChunks) > 0:
		return chunkAck{number: m.MessageNumber, received: m.ReceivedChunks}
	case m.ChunkCount > 0:
		return chunk{number: m.MessageNumber, index: m.ChunkIndex, count: m.ChunkCount, data: m.RaftData}
	case m.RaftData != nil:
		return raftData(m.RaftData)
	}
	return nil
}

// send sends content to a voter; an ID of 0 addresses any instance of the node.
func (r *Replica) send(recipient Voter, c content) {
	m := &message{
		From:         r.self(),
		Group:        r.group.id,
		Epoch:        r.group.epoch,
		HighestEpoch: r.group.highestEpoch,
		RecipientID:  recipient.ID,
	}
	c.fill(m)
	r.out.emit(SendAction{Recipient: recipient.Node, Payload: codec.Encode(m)})
}
