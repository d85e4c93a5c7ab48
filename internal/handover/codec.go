package handover

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// maxMessageBytes limits the JSON text of a message.
	maxMessageBytes = 4 << 20
	// maxDescriptors limits the file descriptors passed with one message.
	maxDescriptors = 2
	// lengthBytes is the size of the header's first field, the length of the text, big-endian.
	lengthBytes = 4
	// headerBytes is the size of the header: the length of the text and a byte with the number of descriptors.
	headerBytes = lengthBytes + 1
)

// encode returns a message as a frame: a header, and the message in JSON.
func encode(m Message, descriptors int) ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(text) > maxMessageBytes {
		return nil, &SizeError{Bytes: len(text), Descriptors: descriptors}
	}
	frame := make([]byte, 0, headerBytes+len(text))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(text)))
	frame = append(frame, byte(descriptors))
	return append(frame, text...), nil
}

// decode reads a frame and returns its message and the number of descriptors passed with it. A message of unknown kind or with an
// invalid endpoint list or address of discovery is an error.
func decode(r io.Reader) (m Message, descriptors int, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return m, 0, err
	}
	length := binary.BigEndian.Uint32(header[:lengthBytes])
	descriptors = int(header[lengthBytes])
	if length > maxMessageBytes || descriptors > maxDescriptors {
		return m, 0, &SizeError{Bytes: int(length), Descriptors: descriptors}
	}
	text, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return m, 0, err
	}
	if len(text) < int(length) {
		return m, 0, io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return m, 0, err
	}
	if !m.Kind.known() {
		return m, 0, &KindError{Got: m.Kind}
	}
	if m.Group != nil {
		if err := m.Group.Validate(); err != nil {
			return m, 0, fmt.Errorf("group: %w", err)
		}
	}
	if m.Discovery != nil {
		if err := m.Discovery.Validate(); err != nil {
			return m, 0, err
		}
	}
	return m, descriptors, nil
}
