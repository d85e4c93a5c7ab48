package configversion

import "swiftdeal/internal/membership/codec"

// messageOp identifies the type of a message in its encoded form. The numbers must never be reused or reassigned.
type messageOp uint8

const (
	opAnnounce messageOp = 1 + iota
	opRequestChunks
	opChunk
)

// messageForm is the encoded form of every message between nodes. Which fields are used depends on Op.
type messageForm struct {
	Op           messageOp `cbor:"1,keyasint"`
	ID           ID        `cbor:"2,keyasint,omitempty"`
	Checksum     []byte    `cbor:"3,keyasint,omitempty"`
	Size         uint32    `cbor:"4,keyasint,omitempty"`
	ChunkIndexes []uint32  `cbor:"5,keyasint,omitempty"`
	ChunkIndex   uint32    `cbor:"6,keyasint,omitempty"`
	Data         []byte    `cbor:"7,keyasint,omitempty"`
	WantsReply   bool      `cbor:"8,keyasint,omitempty"`
}

// message is one of the types below.
type message interface {
	form() messageForm
}

// announcement announces the version that its sender holds.
type announcement struct {
	header     Header
	wantsReply bool // the sender has received no announcement yet and requests one even if the receiver holds the same version
}

// chunkRequest asks for chunks of a body.
type chunkRequest struct {
	checksum Checksum
	indexes  []uint32
}

// chunk is a part of a body.
type chunk struct {
	checksum Checksum // of the body
	index    int
	data     []byte
}

func (m announcement) form() messageForm {
	form := messageForm{Op: opAnnounce, ID: m.header.ID, Size: uint32(m.header.Size), WantsReply: m.wantsReply}
	if m.header != (Header{}) {
		form.Checksum = m.header.Checksum[:]
	}
	return form
}

func (m chunkRequest) form() messageForm {
	return messageForm{Op: opRequestChunks, Checksum: m.checksum[:], ChunkIndexes: m.indexes}
}

func (m chunk) form() messageForm {
	return messageForm{Op: opChunk, Checksum: m.checksum[:], ChunkIndex: uint32(m.index), Data: m.data}
}

func encodeMessage(m message) []byte { return codec.Encode(m.form()) }

// decodeMessage decodes a message. It returns false for a malformed message, and nil and true for a type that only a later version
// of the program knows.
func decodeMessage(encoded []byte) (message, bool) {
	var form messageForm
	if codec.Decode(encoded, &form) != nil {
		return nil, false
	}
	holdsNothing := form.Op == opAnnounce && form.ID.IsZero()
	if len(form.Checksum) != len(Checksum{}) && !holdsNothing {
		return nil, false
	}
	var checksum Checksum
	copy(checksum[:], form.Checksum)
	switch form.Op {
	case opAnnounce:
		header := Header{ID: form.ID, Checksum: checksum, Size: int(form.Size)}
		return announcement{header: header, wantsReply: form.WantsReply}, true
	case opRequestChunks:
		return chunkRequest{checksum: checksum, indexes: form.ChunkIndexes}, true
	case opChunk:
		return chunk{checksum: checksum, index: int(form.ChunkIndex), data: form.Data}, true
	}
	return nil, true
}
