package storage

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"swiftdeal/internal/controlplane/consensus"
)

// FormatVersion is the version of the file format.
const FormatVersion = 1

// Reasons to reject a file, to be matched with errors.Is.
var (
	ErrFormat     = errors.New("unsupported file format") // another FormatVersion
	ErrCorrupt    = errors.New("damaged")                 // wrong checksum, key or page
	ErrWrongOwner = errors.New("file of another node")    // written under another owner
	ErrLocked     = errors.New("held by another process") // and not released within the lock timeout
)

const fileName = "council.db"

// Buckets and keys of the file. Each value in both buckets is preceded by its checksum.
var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log") // log entries by index

	keyFormat    = []byte("form")     // FormatVersion
	keyOwner     = []byte("seat")     // node name
	keyGroup     = []byte("group")    // groupRecord
	keyHardState = []byte("hard")     // raftpb.HardState
	keySnapshot  = []byte("snapshot") // raftpb.Snapshot
)

// groupRecord describes the replica's membership in a group, and the range of its log entries.
type groupRecord struct {
	Group      consensus.GroupID `cbor:"1,keyasint"`
	Epoch      consensus.GroupID `cbor:"2,keyasint"`
	VoterID    uint64            `cbor:"3,keyasint"`
	Voters     []consensus.Voter `cbor:"4,keyasint"`
	FirstIndex uint64            `cbor:"5,keyasint"` // of the log entries; 0: there are none
	LastIndex  uint64            `cbor:"6,keyasint"`
}

// matches reports whether state belongs to the same voter of the same group as the record.
func (g *groupRecord) matches(state *consensus.PersistentState) bool {
	return state.Group == g.Group && state.ID == g.VoterID
}

const checksumBytes = 8

// withChecksum returns the value preceded by a checksum over key and value, which also detects a value under the wrong key.
func withChecksum(key, value []byte) []byte {
	stored := binary.BigEndian.AppendUint64(nil, checksum(key, value))
	return append(stored, value...)
}

func checksum(key, value []byte) uint64 {
	digest := xxhash.New()
	digest.Write(key)
	digest.Write([]byte{0})
	digest.Write(value)
	return digest.Sum64()
}

// verifyChecksum returns a stored value without its checksum. It fails with ErrCorrupt if the checksum does not match.
func verifyChecksum(key, stored []byte) ([]byte, error) {
	if len(stored) < checksumBytes || binary.BigEndian.Uint64(stored) != checksum(key, stored[checksumBytes:]) {
		return nil, fmt.Errorf("%w: %s", ErrCorrupt, key)
	}
	return stored[checksumBytes:], nil
}

// indexKey returns the key of a log entry. Its byte order sorts entries by index.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
