// Package socketreader reads sockets in a way that leaves no moment at which received data goes unnoticed: either the
// data is still in the socket's receive buffer, where a check finds it without reading it, or the owner has been
// notified. With a plain read there is a gap in which the receive buffer is already empty and the reading goroutine
// has not yet processed the data.
package socketreader

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// ErrNoData is returned by TryRead while the receive buffer is empty.
var ErrNoData = errors.New("no data has been received")

// Owner is notified of what a Reader reads. Its lock is held from before each read system call until OnRead has
// returned.
type Owner interface {
	sync.Locker
	// OnRead is called with the data read, which is valid only until it returns. It is empty at the end of the stream
	// or on an error.
	OnRead(p []byte)
}

// Reader reads a connection. It is initialized once per connection, so that a read or a check does not allocate.
type Reader struct {
	raw   syscall.RawConn
	owner Owner

	// State of the read in progress.
	buf      []byte
	count    int
	readErr  error
	readFunc func(fd uintptr) bool
	noWait   bool

	// State of a check; guarded by the owner's lock.
	silent     bool
	peerClosed bool
	peekBuf    [1]byte
	peekFunc   func(fd uintptr)
}

// Open initializes the reader for a connection. owner may be nil if the reader is used only for checks. Open returns
// false if the connection is not a socket.
func (r *Reader) Open(conn net.Conn, owner Owner) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	r.raw = raw
	r.owner = owner
	r.readFunc = r.readOnce
	return true
}

// Read implements io.Reader. Only one goroutine at a time may call it or TryRead.
func (r *Reader) Read(p []byte) (int, error) { return r.read(p, false) }

// TryRead is Read, but returns ErrNoData in place of waiting.
func (r *Reader) TryRead(p []byte) (int, error) { return r.read(p, true) }

func (r *Reader) read(p []byte, noWait bool) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	r.buf = p
	r.count = 0
	r.readErr = nil
	r.noWait = noWait
	err := r.raw.Read(r.readFunc)
	r.buf = nil
	switch {
	case err != nil: // closed, or its deadline has passed
		return 0, err
	case r.readErr == syscall.EAGAIN:
		return 0, ErrNoData
	case r.readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", r.readErr)}
	case r.count == 0:
		return 0, io.EOF
	}
	return r.count, nil
}

// readOnce makes one read system call and reports whether the read is done. If it returns false, the runtime waits
// until the socket is readable and calls it again.
func (r *Reader) readOnce(fd uintptr) (done bool) {
	r.owner.Lock()
	defer r.owner.Unlock()
	r.count, r.readErr = syscall.Read(int(fd), r.buf)
	for r.readErr == syscall.EINTR {
		r.count, r.readErr = syscall.Read(int(fd), r.buf)
	}
	if r.readErr == syscall.EAGAIN {
		return r.noWait
	}
	r.count = max(r.count, 0)
	r.owner.OnRead(r.buf[:r.count])
	return true
}
