package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"swiftdeal/internal/listen"
)

// handoverListener is a listener that can be paused without closing its socket, which another process shares. It also
// returns connections that were received from another process.
type handoverListener struct {
	net.Listener
	socket    *listen.Listener // accepts from the socket
	arrivals  chan arrivedConn
	done      chan struct{} // closed when the listener is closed or its socket has failed
	closeOnce sync.Once     // closes done
	queueTime time.Duration // of the connection that Accept returned last; used by the accepting goroutine only

	mu     sync.Mutex
	active chan struct{} // closed while the listener is not paused
	err    error         // why the socket failed
}

// arrivedConn is a connection that waits to be returned by Accept.
type arrivedConn struct {
	net.Conn
	queueTime  time.Duration // upper bound of the time in the kernel's accept queue
	acceptedAt time.Time     // when it was taken from that queue
}

// newHandoverListener returns a listener that accepts from a socket at once. failed is called with each accept error
// after which it goes on accepting.
func newHandoverListener(socket net.Listener, failed func(error)) *handoverListener {
	l := &handoverListener{
		Listener: socket,
		socket:   listen.New(socket, failed),
		arrivals: make(chan arrivedConn),
		done:     make(chan struct{}),
		active:   make(chan struct{}),
	}
	close(l.active)
	go l.acceptLoop()
	return l
}

// acceptLoop accepts from the socket until it fails.
func (l *handoverListener) acceptLoop() {
	for {
		l.mu.Lock()
		active := l.active
		l.mu.Unlock()
		select {
		case <-active:
		case <-l.done:
			return
		}
		conn, err := l.socket.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // pause interrupted it
		}
		if err != nil {
			l.fail(err)
			return
		}
		l.offer(arrivedConn{conn, l.socket.Waited(), time.Now()})
	}
}

// fail ends the listener after an error of its socket.
func (l *handoverListener) fail(err error) {
	l.mu.Lock()
	l.err = err
	l.mu.Unlock()
	l.closeOnce.Do(func() { close(l.done) })
}

// inject passes a connection that did not come from the socket to Accept. It waits until the connection is accepted.
func (l *handoverListener) inject(conn net.Conn) { l.offer(arrivedConn{conn, 0, time.Now()}) }

// offer passes a connection to Accept, or closes it if the listener is done.
func (l *handoverListener) offer(arrived arrivedConn) {
	select {
	case l.arrivals <- arrived:
	case <-l.done:
		arrived.Close()
	}
}

// Waited returns how long the connection that Accept returned last may have waited before. It must be called on the
// goroutine that calls Accept.
func (l *handoverListener) Waited() time.Duration { return l.queueTime }

// pause stops accepting from the socket.
func (l *handoverListener) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.active:
		l.active = make(chan struct{})
		l.setDeadline(time.Unix(1, 0)) // in the past, so that a blocked accept returns
	default:
	}
}

// resume continues to accept from the socket.
func (l *handoverListener) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.active:
	default:
		l.setDeadline(time.Time{})
		close(l.active)
	}
}

// setDeadline sets the deadline of accept on the socket, if the socket supports deadlines.
func (l *handoverListener) setDeadline(at time.Time) {
	if socket, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		socket.SetDeadline(at)
	}
}

// Accept implements net.Listener.
func (l *handoverListener) Accept() (net.Conn, error) {
	select {
	case arrived := <-l.arrivals:
		l.queueTime = arrived.queueTime + time.Since(arrived.acceptedAt)
		return arrived.Conn, nil
	case <-l.done:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		return nil, net.ErrClosed
	}
	return nil, l.err
}

// Close implements net.Listener.
func (l *handoverListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.socket.Close()
}
