package send

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// look reads a connection so that at any moment it is known whether anything has come on it: either the system still holds
// it, and can be asked without reading, or came is set. It is made once for a connection, so that a look allocates nothing.
type look struct {
	raw  syscall.RawConn
	hook func() // for tests: called with what was read, before the reader has it

	mu    sync.Mutex // held from before a read until came is set
	came  bool       // something was read, or the end found, since the last answer ended
	quiet bool
	b     [1]byte

	p    []byte // the reader's own
	n    int
	err  error
	take func(fd uintptr) bool
	see  func(fd uintptr)
}

// newLook returns nil for a connection that is no socket.
func newLook(c net.Conn) *look {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	l := &look{raw: raw}
	l.take = func(fd uintptr) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.n, l.err = syscall.Read(int(fd), l.p)
		for l.err == syscall.EINTR {
			l.n, l.err = syscall.Read(int(fd), l.p)
		}
		if l.err == syscall.EAGAIN {
			return false
		}
		l.came = true
		return true
	}
	l.see = func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), l.b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// Bytes, the end and a reset are all no silence; a system that cannot look says nothing.
		l.quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.ENOSYS) || errors.Is(err, syscall.EINVAL)
	}
	return l
}

// Read implements io.Reader. Only the connection's reader calls it.
func (l *look) Read(p []byte) (int, error) {
	l.p = p
	err := l.raw.Read(l.take)
	l.p = nil
	if l.hook != nil {
		l.hook()
	}
	switch {
	case err != nil: // closed, or a deadline
		return 0, err
	case l.err != nil:
		return 0, l.err
	case l.n == 0:
		return 0, io.EOF
	}
	return l.n, nil
}

// next says that the answer in hand has been read to its end: whatever comes now was not asked for.
func (l *look) next() {
	if l != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.came = false
	}
}

// silent reports whether nothing has come on a connection since the last answer. Its reader may be a moment late: it must not
// find what came before a request was written, and take it for the answer.
func (l *look) silent() bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quiet = false
	return !l.came && l.raw.Control(l.see) == nil && l.quiet
}
