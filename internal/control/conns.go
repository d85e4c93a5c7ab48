package control

import (
	"net"
	"slices"
	"sync"
	"time"
)

// connTracker limits the number of connections. It may be used by any goroutine.
type connTracker struct {
	maxConns int
	closed   chan struct{} // has a value after a connection was closed

	mu    sync.Mutex
	conns []*trackedConn // the oldest first
}

// trackedConn is a connection that counts towards the limit.
type trackedConn struct {
	net.Conn
	tracker  *connTracker
	callRead bool // its call has been read; guarded by the tracker's mu
}

// track adds a connection. At the limit it closes the oldest connections whose calls have not been read completely, and returns
// nil if there are none.
func (t *connTracker) track(conn net.Conn) *trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.conns) >= t.maxConns {
		oldest := slices.IndexFunc(t.conns, func(c *trackedConn) bool { return !c.callRead })
		if oldest < 0 {
			return nil
		}
		t.conns[oldest].Conn.Close()
		t.conns = slices.Delete(t.conns, oldest, oldest+1)
	}
	tracked := &trackedConn{Conn: conn, tracker: t}
	t.conns = append(t.conns, tracked)
	return tracked
}

// markCallRead records that the call has been read. The connection is not closed to make room any more, since the call is answered
// at once.
func (c *trackedConn) markCallRead() {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.callRead = true
}

// CloseWrite closes the sending side. net/http calls it before Close, so that a reset does not discard the answer.
func (c *trackedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// remove removes a connection that was closed.
func (t *connTracker) remove(conn *trackedConn) {
	t.mu.Lock()
	if at := slices.Index(t.conns, conn); at >= 0 {
		t.conns = slices.Delete(t.conns, at, at+1)
	}
	t.mu.Unlock()
	select {
	case t.closed <- struct{}{}:
	default:
	}
}

// limitedListener limits the number of open connections to that of its tracker.
type limitedListener struct {
	net.Listener
	conns *connTracker
	wait  time.Duration // until the next try to track a connection, if none is closed before
}

// Accept implements net.Listener. At the limit, the oldest connection whose call has not been read completely is closed, since
// clients that send nothing or half a call would otherwise block all others. If all calls have been read, Accept waits for one of
// these connections to close: calls are answered at once.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		if tracked := l.conns.track(conn); tracked != nil {
			return tracked, nil
		}
		timer := time.NewTimer(l.wait)
		select {
		case <-l.conns.closed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
