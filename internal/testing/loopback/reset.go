package loopback

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// resetPollInterval is how often Reset looks at the connection.
const resetPollInterval = time.Millisecond

// ConnPair opens a TCP connection and returns both ends. The caller closes them.
func ConnPair() (dialed, accepted *net.TCPConn, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	other, err := listener.Accept()
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn.(*net.TCPConn), other.(*net.TCPConn), nil
}

// Reset closes one end of a connection with a reset, as the end of a process does, and waits until the other end has received it. From
// then on the system no longer knows the other end's peer; what was received before can still be read.
func Reset(end, other *net.TCPConn) error {
	if err := end.SetLinger(0); err != nil {
		return err
	}
	if err := end.Close(); err != nil {
		return err
	}
	raw, err := other.SyscallConn()
	if err != nil {
		return err
	}
	for {
		var peerErr error
		if err := raw.Control(func(fd uintptr) { _, peerErr = unix.Getpeername(int(fd)) }); err != nil {
			return err
		}
		if peerErr == unix.ENOTCONN {
			return nil
		}
		time.Sleep(resetPollInterval)
	}
}
