package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dial connects to the process that serves clients at listen. It fails if there is none. Connecting, and each Send, takes at most
// wait. The caller closes the link.
func Dial(dir, listen string, wait time.Duration) (Link, error) {
	path, err := privateDir(dir, listen)
	if err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("unix", filepath.Join(path, publicName), wait)
	if err != nil {
		return nil, err
	}
	return newLink(conn.(*net.UnixConn), wait)
}

// unixLink is a link over a Unix socket.
type unixLink struct {
	conn        *net.UnixConn
	sendTimeout time.Duration
	sendMu      sync.Mutex
	descriptors []int // received, but not yet assigned to a message; used by the receiving goroutine only
}

// newLink returns a link over a connection. If the process at the other end runs as another user, it closes the connection and
// returns a *UserError.
func newLink(conn *net.UnixConn, wait time.Duration) (Link, error) {
	uid, err := otherUser(conn)
	if err == nil && uid != os.Geteuid() {
		err = &UserError{uid}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &unixLink{conn: conn, sendTimeout: wait}, nil
}

// otherUser returns the user id of the process at the other end.
func otherUser(conn *net.UnixConn) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var credentials *syscall.Ucred
	var credentialsErr error
	err = raw.Control(func(fd uintptr) {
		credentials, credentialsErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err = errors.Join(err, credentialsErr); err != nil {
		return 0, err
	}
	return int(credentials.Uid), nil
}

// Send implements Link.
func (l *unixLink) Send(m Message, pass ...any) error {
	descriptors, err := duplicate(pass)
	defer closeAll(descriptors)
	if err != nil {
		return err
	}
	var rights []byte
	if len(descriptors) > 0 {
		rights = syscall.UnixRights(descriptors...)
	}
	frame, err := encode(m, len(descriptors))
	if err != nil {
		return err
	}
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(l.sendTimeout))
	written, _, err := l.conn.WriteMsgUnix(frame, rights, nil)
	if err == nil && written < len(frame) { // the descriptors went with the first bytes
		_, err = l.conn.Write(frame[written:])
	}
	if err != nil {
		l.conn.Close() // part of the frame may have been written: the stream cannot be resynchronized
	}
	return err
}

// duplicate returns duplicates of the sockets' descriptors. Sending the originals would hold the sockets' locks during the write
// and block their readers. On an error it returns the duplicates made so far.
func duplicate(sockets []any) ([]int, error) {
	var descriptors []int
	for _, socket := range sockets {
		conn, ok := socket.(syscall.Conn)
		if !ok {
			return descriptors, fmt.Errorf("cannot pass a %T over a link", socket)
		}
		raw, err := conn.SyscallConn()
		if err != nil {
			return descriptors, err
		}
		var duplicateErr error
		err = raw.Control(func(fd uintptr) {
			var own int
			own, duplicateErr = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0)
			if duplicateErr == nil {
				descriptors = append(descriptors, own)
			}
		})
		if err = errors.Join(err, duplicateErr); err != nil {
			return descriptors, err
		}
	}
	return descriptors, nil
}

func closeAll(descriptors []int) {
	for _, fd := range descriptors {
		syscall.Close(fd)
	}
}

const (
	// maxDescriptorsPerRead is the number of descriptors that one read has room for.
	maxDescriptorsPerRead = 4
	// descriptorBytes is the size of a descriptor in a control message.
	descriptorBytes = 4
)

// controlBytes is the size of the buffer for the control message of one read.
var controlBytes = syscall.CmsgSpace(maxDescriptorsPerRead * descriptorBytes)

// Read implements io.Reader for decode: it keeps the descriptors received with the bytes.
func (l *unixLink) Read(p []byte) (int, error) {
	control := make([]byte, controlBytes)
	read, controlRead, _, _, err := l.conn.ReadMsgUnix(p, control)
	if controlRead > 0 {
		err = errors.Join(err, l.keepDescriptors(control[:controlRead]))
	}
	if read == 0 && err == nil {
		err = net.ErrClosed // closed by the other process
	}
	return read, err
}

// keepDescriptors appends the descriptors of a control message to those not yet assigned to a message.
func (l *unixLink) keepDescriptors(control []byte) error {
	list, err := syscall.ParseSocketControlMessage(control)
	for _, message := range list {
		descriptors, rightsErr := syscall.ParseUnixRights(&message)
		if rightsErr == nil {
			l.descriptors = append(l.descriptors, descriptors...)
		}
	}
	return err
}

// Receive implements Link.
func (l *unixLink) Receive(wait time.Duration) (Message, []any, error) {
	var deadline time.Time
	if wait > 0 {
		deadline = time.Now().Add(wait)
	}
	l.conn.SetReadDeadline(deadline)
	message, descriptors, err := decode(l)
	if err != nil || descriptors == 0 {
		return message, nil, err
	}
	if len(l.descriptors) < descriptors {
		return message, nil, fmt.Errorf("%w: received %d of %d descriptors", ErrIncomplete, len(l.descriptors), descriptors)
	}
	var passed []any
	for _, fd := range l.descriptors[:descriptors] {
		socket, socketErr := openSocket(fd, message.Kind == KindWelcome)
		if socketErr == nil {
			passed = append(passed, socket)
		}
		err = errors.Join(err, socketErr)
	}
	l.descriptors = l.descriptors[descriptors:]
	return message, passed, err
}

// openSocket returns a net.Listener or a net.Conn for a descriptor, and closes the descriptor, which both duplicate.
func openSocket(fd int, listens bool) (any, error) {
	file := os.NewFile(uintptr(fd), "passed")
	defer file.Close()
	if listens {
		return net.FileListener(file)
	}
	return net.FileConn(file)
}

// Close implements Link.
func (l *unixLink) Close() error { return l.conn.Close() }
