// Package codec implements the wire format between the nodes of a fleet: datagrams with a CBOR body after a header that
// holds the version, the fleet tag and a checksum.
//
// The package does no I/O and keeps no state; all functions may be called concurrently. Fields are numbered, and a number
// never changes its meaning. Readers skip unknown numbers, and members forward a record as the bytes that its owner
// encoded, so that older nodes preserve the fields of newer ones. A format that older readers would misinterpret must use
// another Version.
package codec

import (
	"errors"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the wire format.
const Version = 1

// Limits on encoded and decoded data.
const (
	// MaxDatagramBytes fits the usual MTU of 1500 bytes and leaves room for the headers of tunnels.
	MaxDatagramBytes = 1400
	// MaxBodyBytes is the maximum size of the body of a SubprotocolMessage.
	MaxBodyBytes = 1080
	// MaxRecordBytes is the maximum size of an encoded record. Two records with their claims fit into a datagram.
	MaxRecordBytes = 560
	// MaxNameBytes is the maximum length of a member's name. It ensures that a claim always fits into a datagram.
	MaxNameBytes = 64
	// MaxObservations is the maximum number of observations in a record.
	MaxObservations = 8

	maxAddrBytes = 64
)

// Errors of this package. Each error that a function returns is or wraps one of them.
var (
	ErrMalformed = errors.New("malformed")
	ErrVersion   = errors.New("another version")
	ErrFleet     = errors.New("another fleet")
	ErrDamaged   = errors.New("damaged")
	ErrTooLarge  = errors.New("too large")
)

// datagramModes returns the CBOR modes for datagrams. They are created on first use, since a node without a fleet does not
// need them. Decoding limits nesting and sizes, because anyone who can reach the socket can send a datagram.
var datagramModes = sync.OnceValues(func() (cbor.EncMode, cbor.DecMode) {
	decoding := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: 256,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
		UTF8:             cbor.UTF8RejectInvalid,
	}
	return must(cbor.CoreDetEncOptions().EncMode()), must(decoding.DecMode())
})

// bodyDecMode returns the CBOR mode for message bodies. Its limits are higher than those for datagrams, because bodies come
// from members of the fleet only and may be assembled from several datagrams.
var bodyDecMode = sync.OnceValue(func() cbor.DecMode {
	decoding := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 16,
		MaxNestedLevels:  12,
		UTF8:             cbor.UTF8RejectInvalid,
	}
	return must(decoding.DecMode())
})

// Encode returns the deterministic CBOR encoding of a value that is sent in the body of a SubprotocolMessage or stored. It
// panics if the type of v cannot be encoded.
func Encode(v any) []byte {
	return must(marshal(v))
}

// Decode decodes the output of Encode into v, which must be a pointer. Its error wraps ErrMalformed.
func Decode(b []byte, v any) error {
	if err := bodyDecMode().Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return nil
}

func marshal(v any) ([]byte, error) {
	enc, _ := datagramModes()
	return enc.Marshal(v)
}

func unmarshal(b []byte, v any) error {
	_, dec := datagramModes()
	return dec.Unmarshal(b, v)
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // a programming error: the options are the constants above, and the types are from this module
	}
	return v
}

// NameHash returns the hash by which digests identify and order members. It is never 0.
func NameHash(name string) uint64 {
	return max(xxhash.Sum64String(name), 1)
}

// FleetTag returns the hash of the fleet's name that is sent in the header of its datagrams.
func FleetTag(fleet string) uint32 {
	return uint32(xxhash.Sum64String("fleet " + fleet))
}
