package ingress

import (
	"bufio"
	"bytes"
	"net/textproto"

	"swiftdeal/internal/httphead"
)

// headBuffer keeps the head of the current request as it was received. net/http drops a Content-Length that
// accompanies a Transfer-Encoding before any handler sees it, although the combination can smuggle a second request
// in the body of the first. The cost for an ordinary request is one copy of its head.
type headBuffer struct {
	maxBytes      int    // maximum length of data
	maxFields     int    // maximum number of header fields
	data          []byte // received since the head began
	lines         httphead.LineCounter
	bodyBytesLeft int64 // bytes of the current body that have not been received
	framingLost   bool  // the start of the next head is not known
}

// write appends received bytes. It reports whether they begin a head: the buffer was empty and no longer is.
func (b *headBuffer) write(p []byte) (headStarted bool) {
	bodyBytes := min(b.bodyBytesLeft, int64(len(p)))
	b.bodyBytesLeft -= bodyBytes
	p = p[bodyBytes:]
	headStarted = len(b.data) == 0 && len(p) > 0
	room := max(b.maxBytes-len(b.data), 0)
	p = p[:min(len(p), room)]
	b.data = append(b.data, p...)
	b.lines.Add(p)
	return headStarted
}

// tooManyFields reports whether the head has more header fields than allowed.
func (b *headBuffer) tooManyFields() bool { return b.lines.Exceeds(b.maxFields) }

// empty reports whether no byte of a head is buffered.
func (b *headBuffer) empty() bool { return len(b.data) == 0 }

// atBoundary reports whether everything received has been taken, so that no byte of a request is pending.
func (b *headBuffer) atBoundary() bool { return b.empty() && b.bodyBytesLeft == 0 && !b.framingLost }

// holdsRequest reports whether a complete head is buffered or part of a body is still to come.
func (b *headBuffer) holdsRequest() bool { return headEnd(b.data) >= 0 || b.bodyBytesLeft > 0 }

// take returns the buffered head, which the server has read completely, and advances to the next one, after a body of
// the given length. A negative length says that the end of the body is unknown. known is false if the head cannot be
// determined.
func (b *headBuffer) take(bodyLength int64) (head []byte, known bool) {
	end := headEnd(b.data)
	if b.framingLost || end < 0 {
		b.framingLost = true
		b.data = nil
		return nil, false
	}
	head = b.data[:end:end]
	rest := b.data[end:]
	b.framingLost = bodyLength < 0
	b.bodyBytesLeft = max(bodyLength-int64(len(rest)), 0)
	bodyBytes := min(max(bodyLength, 0), int64(len(rest)))
	b.data = append([]byte(nil), rest[bodyBytes:]...)
	b.lines = httphead.LineCounter{}
	b.lines.Add(b.data)
	return head, true
}

// headEnd returns the index after the first empty line, or -1. As in net/http, a line ends with LF and an optional CR
// before it.
func headEnd(text []byte) int {
	for start := 0; ; {
		lineEnd := bytes.IndexByte(text[start:], '\n')
		if lineEnd < 0 {
			return -1
		}
		start += lineEnd + 1
		rest := bytes.TrimPrefix(text[start:], []byte("\r"))
		if len(rest) > 0 && rest[0] == '\n' {
			return len(text) - len(rest) + 1
		}
	}
}

// hasConflictingLengths reports whether a head has both Content-Length and Transfer-Encoding, or cannot be parsed.
func hasConflictingLengths(head []byte) bool {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := reader.ReadLine(); err != nil {
		return true
	}
	header, err := reader.ReadMIMEHeader()
	return err != nil || (len(header["Content-Length"]) > 0 && len(header["Transfer-Encoding"]) > 0)
}
