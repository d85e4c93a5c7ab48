package socketreader

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer has closed the connection, or the connection has failed, and the receive buffer
// holds no unread data. The caller must hold the owner's lock.
func (r *Reader) PeerClosed() bool {
	r.peerClosed = false
	return r.connCheck() != nil || r.peerClosed
}

// Silent reports whether the connection is open and its receive buffer is empty. The caller must hold the owner's
// lock.
func (r *Reader) Silent() bool {
	r.silent = false
	return r.connCheck() == nil && r.silent
}

// PeerClosed reports whether the peer has closed a connection, or the connection has failed, and its receive buffer
// holds no unread data. It returns false for a connection that is not a socket.
func PeerClosed(conn net.Conn) bool {
	var r Reader
	return r.Open(conn, nil) && r.PeerClosed()
}

// PeerState is what a check tells of the peer.
type PeerState int

// States of a peer.
const (
	PeerOpen   PeerState = iota // it has not closed the connection, and all that it has sent has been read
	PeerLeft                    // it has closed the connection, or the connection has failed; unread data may precede that
	PeerUnread                  // data is unread; a close may be behind what the peer's system still holds back
)

// PeerState checks the connection. The caller must hold the owner's lock.
func (r *Reader) PeerState() PeerState {
	r.silent = false
	if r.PeerClosed() {
		return PeerLeft
	}
	if r.silent {
		return PeerOpen
	}
	if hungUp, known := r.HungUp(); hungUp && known {
		return PeerLeft
	}
	return PeerUnread
}

// UnreadBytes returns how many bytes the receive buffer holds, 0 if the system cannot tell.
func (r *Reader) UnreadBytes() (count int) {
	r.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			count = n
		}
	})
	return count
}

// LimitReceiveBuffer sets the size of the receive buffer, which the system otherwise changes by itself. An error is ignored: the size
// then stays as it is.
func (r *Reader) LimitReceiveBuffer(bytes int) {
	r.raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
}

// connCheck examines the receive buffer without consuming data. An error means that the connection is closed on this
// side.
func (r *Reader) connCheck() error {
	if r.peekFunc == nil {
		r.peekFunc = r.peek
	}
	return r.raw.Control(r.peekFunc)
}

func (r *Reader) peek(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), r.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	for err == syscall.EINTR {
		n, _, err = syscall.Recvfrom(int(fd), r.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	// Data, the end of the stream and a reset all mean that the connection is not silent. A system that does not
	// support the check gives no information, and the connection is taken to be silent.
	r.silent = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.ENOSYS) || errors.Is(err, syscall.EINVAL)
	r.peerClosed = !r.silent && (err != nil || n == 0)
}

// HungUp reports whether the peer has closed the connection, or the connection has failed, even if the receive buffer
// still holds unread data. known is false if the system cannot tell.
func (r *Reader) HungUp() (hungUp, known bool) {
	var events int16
	err := r.raw.Control(func(fd uintptr) { events, known = pollHangUp(fd) })
	if err != nil { // closed on this side
		return true, true
	}
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0, known
}

// pollHangUp returns the events that poll(2) reports for a socket, without waiting. known is false if poll fails or
// does not support the descriptor.
func pollHangUp(fd uintptr) (events int16, known bool) {
	set := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(set, 0)
	for err == unix.EINTR {
		n, err = unix.Poll(set, 0)
	}
	events = set[0].Revents
	known = err == nil && n >= 0 && events&unix.POLLNVAL == 0
	return events, known
}
