package fake

import (
	"bytes"
	"io"
)

// message is one HTTP/1.1 message from a stream: the head including its empty line, and the body.
type message struct{ head, body []byte }

// cutMessage splits a whole message off the front of text; ok is false if text does not hold one yet. It supports
// Content-Length and chunked bodies only: the node writes no others.
func cutMessage(text []byte) (m message, rest []byte, ok bool) {
	end := bytes.Index(text, []byte("\r\n\r\n"))
	if end < 0 {
		return m, text, false
	}
	m.head, rest = text[:end+4], text[end+4:]
	if headerField(m.head, "Transfer-Encoding") == "chunked" {
		for {
			line, after, found := bytes.Cut(rest, []byte("\r\n"))
			n := 0
			for _, d := range line {
				n = n*16 + int(hexDigit(d))
			}
			if !found || len(after) < n+2 {
				return m, text, false
			}
			m.body, rest = append(m.body, after[:n]...), after[n+2:]
			if n == 0 {
				return m, rest, true
			}
		}
	}
	n := 0
	for _, d := range headerField(m.head, "Content-Length") {
		n = n*10 + int(d-'0')
	}
	if len(rest) < n {
		return m, text, false
	}
	m.body = rest[:n]
	return m, rest[n:], true
}

func hexDigit(d byte) byte {
	switch {
	case d >= 'a':
		return d - 'a' + 10
	case d >= 'A':
		return d - 'A' + 10
	}
	return d - '0'
}

// headerField returns the value of a header field. Names must be in canonical form, as the node writes them.
func headerField(head []byte, name string) string {
	key := append(append(make([]byte, 0, 40), "\r\n"...), name...)
	key = append(key, ": "...)
	at := bytes.Index(head, key)
	if at < 0 {
		return ""
	}
	value, _, _ := bytes.Cut(head[at+len(key):], []byte("\r\n"))
	return string(value)
}

// requestLine returns the three parts of a head's first line.
func requestLine(head []byte) (a, b, c string) {
	line, _, _ := bytes.Cut(head, []byte("\r\n"))
	x, rest, _ := bytes.Cut(line, []byte(" "))
	y, z, _ := bytes.Cut(rest, []byte(" "))
	return string(x), string(y), string(z)
}

// HeaderField returns a header field of a message that the node has written; text may hold only its first bytes.
func HeaderField(text []byte, name string) string { return headerField(text, name) }

// RequestLine returns the three parts of the first line of a message.
func RequestLine(text []byte) (a, b, c string) { return requestLine(text) }

// Complete reports whether text holds a whole message.
func Complete(text []byte) bool {
	_, _, ok := cutMessage(text)
	return ok
}

// chunk writes p as one chunk of a chunked body.
func chunk(w io.Writer, p []byte) {
	const digits = "0123456789abcdef"
	var size [16]byte
	i := len(size)
	for n := len(p); n > 0 || i == len(size); n >>= 4 {
		i--
		size[i] = digits[n&15]
	}
	w.Write(size[i:])
	io.WriteString(w, "\r\n")
	w.Write(p)
	io.WriteString(w, "\r\n")
}
