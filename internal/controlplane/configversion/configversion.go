// Package configversion distributes one configuration to all nodes of a fleet, as a sequence of versions that the control plane
// decides on. Operators know a version as a revision of the fleet's settings.
//
// State is replicated by the control plane and decides on versions (state.go). Distributor runs on each node and spreads them: nodes
// announce the version that they hold to one another, fetch a later one in chunks from any node that has it, and pass it to the
// host to be applied when it is complete (distributor.go, announce.go, fetch.go; messages in message.go). Both are state machines:
// they take events and return actions, do no I/O and read no clock, and the source of random numbers is passed in. The content of
// a version is in content.go. docs/design/revision.md explains the design.
package configversion

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"swiftdeal/internal/controlplane/consensus"
)

// ID identifies a version and orders all versions. The versions of a later group of the control plane come after those of an
// earlier group, which the later group may not know.
type ID struct {
	Group  consensus.GroupID `cbor:"1,keyasint,omitempty"`
	Number uint64            `cbor:"2,keyasint,omitempty"`
}

// Compare compares two IDs as cmp.Compare does. A node that holds a version ignores earlier ones.
func (i ID) Compare(o ID) int {
	return cmp.Or(i.Group.Compare(o.Group), cmp.Compare(i.Number, o.Number))
}

// IsZero reports whether the ID identifies no version.
func (i ID) IsZero() bool { return i == ID{} }

// noVersion is the text form of the zero ID.
const noVersion = "none"

// String returns the ID as operators read and write it, such as 12@1.3fa9: the version's number and the group's number and nonce.
func (i ID) String() string {
	if i.IsZero() {
		return noVersion
	}
	return fmt.Sprintf("%d@%d.%x", i.Number, i.Group.Number, i.Group.Nonce)
}

// ParseID parses the form that String returns.
func ParseID(text string) (ID, error) {
	if text == noVersion {
		return ID{}, nil
	}
	number, group, hasGroup := strings.Cut(text, "@")
	groupNumber, groupNonce, hasNonce := strings.Cut(group, ".")
	var id ID
	var problems [3]error
	id.Number, problems[0] = strconv.ParseUint(number, 10, 64)
	id.Group.Number, problems[1] = strconv.ParseUint(groupNumber, 10, 64)
	id.Group.Nonce, problems[2] = strconv.ParseUint(groupNonce, 16, 64)
	if !hasGroup || !hasNonce || errors.Join(problems[:]...) != nil {
		return ID{}, &ParseError{Text: text}
	}
	return id, nil
}

// ParseError is the error of ParseID for a text that is not an ID.
type ParseError struct {
	Text string
}

// Error returns the text and an example of an ID.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%q is no revision: they read like 12@1.3fa9, as status shows them", e.Text)
}

// MarshalText implements encoding.TextMarshaler, for reports.
func (i ID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *ID) UnmarshalText(text []byte) (err error) {
	*i, err = ParseID(string(text))
	return err
}

// Checksum is the SHA-256 hash of a body.
type Checksum [sha256.Size]byte

// ChecksumOf returns the checksum of a body.
func ChecksumOf(body []byte) Checksum { return sha256.Sum256(body) }

// Version is a configuration with its ID. It is immutable.
type Version struct {
	ID   ID     `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"` // as encoded by Pack
}

// Header is what nodes announce about a version: everything but its body.
type Header struct {
	ID       ID
	Checksum Checksum
	Size     int // of the body, in bytes
}

// Header returns the version's header; the zero Header for nil.
func (v *Version) Header() Header {
	if v == nil {
		return Header{}
	}
	return Header{ID: v.ID, Checksum: ChecksumOf(v.Body), Size: len(v.Body)}
}
