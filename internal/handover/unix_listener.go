package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"swiftdeal/internal/listen"
)

// linkSuffix is added to the private path of a socket for the link that becomes the public path.
const linkSuffix = "-link"

// privateSocketMode allows only the owner to connect to the socket.
const privateSocketMode = 0o600

// unixSuccessorListener is the Unix socket that successors connect to.
type unixSuccessorListener struct {
	listener    *listen.Listener
	publicPath  string // the path that successors connect to, after Open
	privatePath string // the path of the socket while it is open
	sendTimeout time.Duration
	privateInfo os.FileInfo
}

// Listen creates the socket for processes that ask to take over from this one, which serves clients at address. They cannot
// connect to it until Open. A Send on an accepted link takes at most wait. The caller closes the listener.
func Listen(dir, address string, wait time.Duration) (SuccessorListener, error) {
	path, err := privateDir(dir, address)
	if err != nil {
		return nil, err
	}
	own := filepath.Join(path, fmt.Sprint(privatePrefix, os.Getpid()))
	os.Remove(own) // left by an earlier process with this process id
	listener, err := net.Listen("unix", own)
	if err != nil {
		return nil, err
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false)
	l := &unixSuccessorListener{
		listener: listen.New(listener, nil), publicPath: filepath.Join(path, publicName), privatePath: own, sendTimeout: wait,
	}
	if err = os.Chmod(own, privateSocketMode); err == nil {
		l.privateInfo, err = os.Lstat(own)
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Open implements SuccessorListener. It replaces the socket of another process atomically. The private path stays a link to the
// socket, so that it can be opened again.
func (l *unixSuccessorListener) Open() error {
	link := l.privatePath + linkSuffix
	os.Remove(link) // left by an earlier process with this process id
	if err := os.Link(l.privatePath, link); err != nil {
		return err
	}
	defer os.Remove(link) // where the socket is the public one already, renaming leaves it
	return os.Rename(link, l.publicPath)
}

// Accept implements SuccessorListener. Connections from processes of other users are closed and skipped.
func (l *unixSuccessorListener) Accept() (Link, error) {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return nil, err
		}
		if link, err := newLink(conn.(*net.UnixConn), l.sendTimeout); err == nil {
			return link, nil
		}
	}
}

// Close implements SuccessorListener. If another process has replaced the public socket, that socket is kept.
func (l *unixSuccessorListener) Close() error {
	if info, err := os.Lstat(l.publicPath); err == nil && l.privateInfo != nil && os.SameFile(info, l.privateInfo) {
		os.Remove(l.publicPath)
	}
	os.Remove(l.privatePath)
	return l.listener.Close()
}
