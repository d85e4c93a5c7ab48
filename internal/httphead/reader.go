package httphead

import (
	"errors"
	"io"
)

// ErrTooLong reports a head with more bytes or header fields than allowed.
var ErrTooLong = errors.New("the head of the message is too long")

// Reader reads messages from a source and limits their heads. What follows a head has limits of its own.
type Reader struct {
	Source io.Reader

	inHead    bool
	bytesLeft int
	maxFields int
	lines     LineCounter
}

// BeginHead limits what is read from now on, until EndHead. received is what has been read of the message already. It returns
// ErrTooLong if the head has too many fields.
func (r *Reader) BeginHead(l Limits, received []byte) error {
	r.inHead = true
	r.bytesLeft = l.Bytes - len(received)
	r.maxFields = l.Fields
	return r.ContinueHead(received)
}

// ContinueHead is BeginHead for another head within the same limit of bytes, after an interim response.
func (r *Reader) ContinueHead(received []byte) error {
	r.lines = LineCounter{}
	return r.count(received)
}

// count counts the header fields of the next part of the head.
func (r *Reader) count(part []byte) error {
	r.lines.Add(part)
	if r.lines.Exceeds(r.maxFields) {
		return ErrTooLong
	}
	return nil
}

// EndHead ends the limits.
func (r *Reader) EndHead() { r.inHead = false }

// Read implements io.Reader. It returns ErrTooLong once the head exceeds a limit.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.Source.Read(p)
	}
	if r.bytesLeft <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.Source.Read(p[:min(len(p), r.bytesLeft)])
	r.bytesLeft -= n
	if tooLong := r.count(p[:n]); tooLong != nil {
		return 0, tooLong
	}
	return n, err
}
