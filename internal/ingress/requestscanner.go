package ingress

import (
	"bytes"
	"strconv"
	"strings"

	"swiftdeal/internal/httphead"
)

// requestEnd is what is known of the end of a request.
type requestEnd int

const (
	endKnown   requestEnd = iota // it ends with its head, or with a body of known length
	endUnknown                   // it has a chunked body, which is not parsed; the server closes the connection after it
	endInvalid                   // the server refuses the request once it has read its head, and closes the connection
)

const (
	// maxFieldText is how much of a header field is looked at: more than a Content-Length that is within the limit.
	maxFieldText = 64
	// maxEmptyLineBytes is how much of empty lines the server skips before a request.
	maxEmptyLineBytes = 4
	// noBodyLength says that a head has no Content-Length so far.
	noBodyLength = -1
)

// requestScanner finds the ends of the requests in a stream, without keeping them.
type requestScanner struct {
	maxHead httphead.Limits
	maxBody int64

	end        requestEnd
	headBytes  int
	lines      int   // of the head that have ended, without empty ones before it
	lineBytes  int   // of the current line, where it comes in pieces
	bodyLength int64 // as the head gives it, or noBodyLength
	inBody     bool
	bodyLeft   int64              // bytes of the body that have not been scanned
	lineStart  [maxFieldText]byte // of that line
}

// newRequestScanner returns a scanner at the start of a request.
func newRequestScanner(maxHead httphead.Limits, maxBody int64) requestScanner {
	return requestScanner{maxHead: maxHead, maxBody: maxBody, bodyLength: noBodyLength}
}

// scan scans the next part of the stream, up to the end of the current request at most. It returns how many bytes it has scanned,
// and whether they end the request; it is then at the start of the next one. If the end is not known, it scans all bytes.
func (s *requestScanner) scan(part []byte) (scanned int, ended bool) {
	for s.end == endKnown && scanned < len(part) {
		if s.inBody {
			n := min(s.bodyLeft, int64(len(part)-scanned))
			s.bodyLeft -= n
			scanned += int(n)
		} else {
			scanned += s.scanLine(part[scanned:])
		}
		if s.inBody && s.bodyLeft == 0 {
			*s = newRequestScanner(s.maxHead, s.maxBody)
			return scanned, true
		}
	}
	if s.end != endKnown {
		return len(part), false
	}
	return scanned, false
}

// scanLine scans the rest of the current line of a head, as far as it has come, and returns its length.
func (s *requestScanner) scanLine(part []byte) (scanned int) {
	scanned = bytes.IndexByte(part, '\n') + 1
	lineEnded := scanned > 0
	if !lineEnded {
		scanned = len(part)
	}
	s.headBytes += scanned
	wholeLine := lineEnded && s.lineBytes == 0 // it has come in one piece
	switch {
	case s.headBytes > s.maxHead.Bytes:
		s.end = endInvalid
	case wholeLine && s.lines > 0 && isOtherField(part[0]):
		s.countLine()
	case wholeLine:
		s.endLine(part[:min(scanned, maxFieldText)], scanned > maxFieldText)
	default:
		s.collectLine(part[:scanned], lineEnded)
	}
	return scanned
}

// collectLine adds a piece to a line that comes in several.
func (s *requestScanner) collectLine(piece []byte, lineEnded bool) {
	if s.lineBytes < maxFieldText {
		copy(s.lineStart[s.lineBytes:], piece)
	}
	s.lineBytes += len(piece)
	if !lineEnded {
		return
	}
	lineBytes := s.lineBytes
	s.lineBytes = 0
	s.endLine(s.lineStart[:min(lineBytes, maxFieldText)], lineBytes > maxFieldText)
}

// endLine interprets a line of a head that has ended. long says that only its start is given.
func (s *requestScanner) endLine(line []byte, long bool) {
	for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
		line = line[:len(line)-1]
	}
	switch {
	case len(line) > 0:
		s.addLine(line, long)
	case s.lines > 0:
		s.inBody = true
		s.bodyLeft = max(s.bodyLength, 0)
	case s.headBytes > maxEmptyLineBytes:
		s.end = endInvalid
	}
}

// addLine adds a request line or a header field, of which long says that only the start is given.
func (s *requestScanner) addLine(line []byte, long bool) {
	s.countLine()
	if s.lines == requestLines || s.end != endKnown || isOtherField(line[0]) {
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case isName(name, "Transfer-Encoding"):
		s.end = endUnknown
	case isName(name, "Content-Length"):
		s.setBodyLength(strings.TrimSpace(string(value)), long)
	}
}

// requestLines is how many lines of a head are before its fields.
const requestLines = 1

// countLine counts a request line or a header field.
func (s *requestScanner) countLine() {
	s.lines++
	if s.lines > s.maxHead.Fields+requestLines {
		s.end = endInvalid
	}
}

// isOtherField reports whether a line that begins with the given byte is neither empty nor a field that tells the end of the request.
func isOtherField(first byte) bool {
	const lowerCase = 'a' - 'A'
	lower := first | lowerCase
	return lower != 't' && lower != 'c' && first != '\r' && first != '\n'
}

// isName reports whether a field has the given name.
func isName(name []byte, canonical string) bool {
	return len(name) == len(canonical) && strings.EqualFold(string(name), canonical)
}

// setBodyLength takes the length of the body from a Content-Length.
func (s *requestScanner) setBodyLength(text string, long bool) {
	length, err := strconv.ParseUint(text, 10, 63)
	repeated := s.bodyLength != noBodyLength && s.bodyLength != int64(length)
	if err != nil || long || repeated || int64(length) > s.maxBody {
		s.end = endInvalid
		return
	}
	s.bodyLength = int64(length)
}
