package consensus

import (
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftdeal/internal/membership/codec"
)

// Bounds of messages that are sent in chunks.
const (
	messageOverhead    = 80                                   // bytes of a message around the data of a chunk
	chunkBytes         = codec.MaxBodyBytes - messageOverhead // data in one chunk
	maxMessageBytes    = 4 << 20
	maxChunkedMessages = 8   // under way to each node, and from each node
	maxChunksAtOnce    = 64  // of one message, sent or resent together
	resendTicks        = 2   // after the last transmission, until chunks without an acknowledgement are resent
	maxResends         = 40  // before the sender gives up a message
	reassemblyTicks    = 100 // without a chunk, until an incoming message is dropped
)

// chunkSet is a message in chunks, with a record of those that the recipient has.
type chunkSet struct {
	chunks    [][]byte
	received  []bool
	remaining int
}

func newChunkSet(chunks [][]byte) chunkSet {
	return chunkSet{chunks: chunks, received: make([]bool, len(chunks)), remaining: len(chunks)}
}

// markReceived marks a chunk as received, and reports whether it is new.
func (s *chunkSet) markReceived(index int) bool {
	if s.received[index] {
		return false
	}
	s.received[index] = true
	s.remaining--
	return true
}

// bitmap returns the received chunks as a bitmap: chunk i is bit i%8 of byte i/8.
func (s *chunkSet) bitmap() []uint8 {
	bits := make([]uint8, (len(s.received)+7)/8)
	for i, received := range s.received {
		if received {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// acknowledge marks the chunks that are set in a bitmap as received.
func (s *chunkSet) acknowledge(bits []uint8) {
	for i := range s.received {
		if i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 {
			s.markReceived(i)
		}
	}
}

// outgoingMessage is a message whose chunks are resent until they are acknowledged.
type outgoingMessage struct {
	chunkSet
	recipient  Voter
	number     uint64
	resends    int
	lastSent   int // tick
	isSnapshot bool
}

// incomingMessage is a message in reassembly.
type incomingMessage struct {
	chunkSet
	sender    Voter
	number    uint64
	lastChunk int // tick
}

// chunkTransfers holds the chunked messages that are under way.
type chunkTransfers struct {
	outgoing   []*outgoingMessage
	incoming   []*incomingMessage
	lastNumber uint64
}

// reset drops all messages under way. Message numbers are not reused.
func (t *chunkTransfers) reset() { t.outgoing, t.incoming = nil, nil }

// enqueue numbers and adds an outgoing message. A snapshot replaces earlier snapshots to the same node. If too many messages to the
// node are under way, the latest of them, but no snapshot, are dropped.
func (t *chunkTransfers) enqueue(m *outgoingMessage) {
	t.lastNumber++
	m.number = t.lastNumber
	toSameNode := 0
	t.outgoing = slices.DeleteFunc(t.outgoing, func(other *outgoingMessage) bool {
		if other.recipient.Node != m.recipient.Node {
			return false
		}
		toSameNode++
		return !other.isSnapshot && toSameNode >= maxChunkedMessages || other.isSnapshot && m.isSnapshot
	})
	t.outgoing = append(t.outgoing, m)
}

// reassembly returns the incoming message of a chunk, and adds it if it is new. If a node already has maxChunkedMessages messages
// in reassembly, its oldest is dropped.
func (t *chunkTransfers) reassembly(sender Voter, c chunk) *incomingMessage {
	fromSameNode := 0
	var found *incomingMessage
	for _, other := range t.incoming {
		if other.sender.Node != sender.Node {
			continue
		}
		fromSameNode++
		if other.sender.ID == sender.ID && other.number == c.number && len(other.chunks) == c.count {
			found = other
		}
	}
	if found != nil {
		return found
	}
	if fromSameNode >= maxChunkedMessages {
		oldest := slices.IndexFunc(t.incoming, func(other *incomingMessage) bool { return other.sender.Node == sender.Node })
		t.incoming = slices.Delete(t.incoming, oldest, oldest+1)
	}
	added := &incomingMessage{chunkSet: newChunkSet(make([][]byte, c.count)), sender: sender, number: c.number}
	t.incoming = append(t.incoming, added)
	return added
}

// sendRaftMessage sends a Raft message: in chunks if it is a snapshot or too long for a datagram.
func (r *Replica) sendRaftMessage(m *raftpb.Message) {
	recipient := Voter{Node: r.group.nodeName(m.GetTo()), ID: m.GetTo()}
	data, err := proto.Marshal(m)
	if recipient.Node == "" || err != nil || len(data) > maxMessageBytes {
		return
	}
	isSnapshot := m.GetType() == raftpb.MsgSnap
	if len(data) <= chunkBytes && !isSnapshot { // a snapshot needs an acknowledgement, or Raft pauses that peer forever
		r.send(recipient, raftData(data))
		return
	}
	outgoing := &outgoingMessage{
		chunkSet:   newChunkSet(slices.Collect(slices.Chunk(data, chunkBytes))),
		recipient:  recipient,
		lastSent:   r.clock.ticks,
		isSnapshot: isSnapshot,
	}
	r.chunks.enqueue(outgoing)
	r.sendChunks(outgoing)
}

// sendChunks sends the chunks that are not acknowledged yet, at most maxChunksAtOnce.
func (r *Replica) sendChunks(m *outgoingMessage) {
	sent := 0
	for i, data := range m.chunks {
		if m.received[i] || sent >= maxChunksAtOnce {
			continue
		}
		sent++
		r.send(m.recipient, chunk{number: m.number, index: i, count: len(m.chunks), data: data})
	}
}

// resendChunks resends chunks without an acknowledgement, gives up messages after maxResends, and drops stale incoming messages.
func (r *Replica) resendChunks() {
	r.chunks.outgoing = slices.DeleteFunc(r.chunks.outgoing, func(m *outgoingMessage) bool {
		if r.clock.ticks-m.lastSent < resendTicks {
			return false
		}
		m.lastSent = r.clock.ticks
		m.resends++
		if m.resends > maxResends {
			r.reportSnapshot(m, raft.SnapshotFailure)
			return true
		}
		r.sendChunks(m)
		return false
	})
	r.chunks.incoming = slices.DeleteFunc(r.chunks.incoming, func(m *incomingMessage) bool {
		return r.clock.ticks-m.lastChunk > reassemblyTicks
	})
}

// reportSnapshot reports to Raft whether a snapshot has arrived. Until then Raft sends nothing else to that peer.
func (r *Replica) reportSnapshot(m *outgoingMessage, status raft.SnapshotStatus) {
	if m.isSnapshot && r.raft.node != nil {
		r.raft.node.ReportSnapshot(m.recipient.ID, status)
	}
}

// handleChunk stores a chunk, acknowledges all that have arrived, and handles the message once it is complete.
func (r *Replica) handleChunk(m *message, c chunk) {
	if c.index < 0 || c.index >= c.count || c.count > maxMessageBytes/chunkBytes+1 || len(c.data) > chunkBytes {
		return
	}
	incoming := r.chunks.reassembly(m.From, c)
	incoming.lastChunk = r.clock.ticks
	isNew := incoming.markReceived(c.index)
	if isNew {
		incoming.chunks[c.index] = c.data
	}
	r.send(m.From, chunkAck{number: c.number, received: incoming.bitmap()})
	if !isNew || incoming.remaining > 0 {
		return
	}
	r.handleRaftMessage(m, slices.Concat(incoming.chunks...))
	clear(incoming.chunks) // the message is kept for a while, to acknowledge resent chunks
}

// handleChunkAck records which chunks of a message have arrived at a node.
func (r *Replica) handleChunkAck(node string, ack chunkAck) {
	r.chunks.outgoing = slices.DeleteFunc(r.chunks.outgoing, func(outgoing *outgoingMessage) bool {
		if outgoing.recipient.Node != node || outgoing.number != ack.number {
			return false
		}
		outgoing.acknowledge(ack.received)
		if outgoing.remaining > 0 {
			return false
		}
		r.reportSnapshot(outgoing, raft.SnapshotFinish)
		return true
	})
}
