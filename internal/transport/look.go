package transport

import (
	"net"
	"sync"

	"swiftdeal/internal/sockread"
)

// look reads a connection to a peer, and knows whether anything has come on it since the last answer.
type look struct {
	in   sockread.Reader
	hook func() // for tests: called after each read, before the reader has what was read

	sync.Mutex
	came bool
}

// newLook returns nil for a connection that is no socket.
func newLook(c net.Conn, hook func()) *look {
	l := &look{hook: hook}
	if !l.in.Open(c, l) {
		return nil
	}
	return l
}

// Took implements peek.Owner.
func (l *look) Took([]byte) { l.came = true }

// Read implements io.Reader.
func (l *look) Read(p []byte) (int, error) {
	n, err := l.in.Read(p)
	if l.hook != nil {
		l.hook()
	}
	return n, err
}

// next says that the answer in hand has been read to its end: whatever comes now was not asked for.
func (l *look) next() {
	if l != nil {
		l.Lock()
		defer l.Unlock()
		l.came = false
	}
}

// silent reports whether nothing has come since the last answer. The connection's reader may be a moment late: it must not
// find what came before a request was written, and take it for the answer.
func (l *look) silent() bool {
	if l == nil {
		return true
	}
	l.Lock()
	defer l.Unlock()
	return !l.came && l.in.Silent()
}
