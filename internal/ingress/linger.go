package ingress

import (
	"io"
	"net"
	"time"
)

// maxLingerBytes limits how many bytes a lingering close reads and discards.
const maxLingerBytes = 256 << 10

// lingeringClose is the state of a close after a response: the sending side is shut down, and incoming data is
// discarded for a limited time. Closing a socket with unread data resets the connection, and the client could lose a
// response that it has not read yet. Guarded by the connection's lock.
type lingeringClose struct {
	timeout          time.Duration // for the client to stop sending; 0: closes do not linger
	responseInFlight bool          // written to and not read since, so the client may not have read the last response
	active           bool
	onDone           func()
}

// startLinger starts a lingering close if the last response may still be in flight, and reports whether it did. The
// caller holds mu.
func (c *Conn) startLinger() bool {
	l := &c.linger
	if !l.responseInFlight || !c.isSocket || l.timeout <= 0 || c.evicted || l.active {
		return false
	}
	if c.closeWrite() != nil {
		return false
	}
	l.active = true
	return true
}

// closeAfterLinger discards incoming data within the limits of Linger, then closes the connection.
func (c *Conn) closeAfterLinger() {
	c.stopReadAhead()
	Linger(c.Conn, c.linger.timeout)
	c.Conn.Close()
	c.mu.Lock()
	onDone := c.linger.onDone
	c.linger.active = false
	c.linger.onDone = nil
	c.mu.Unlock()
	if onDone != nil {
		onDone()
	}
}

// Linger shuts down the sending side of a connection and discards incoming data until the peer closes, the timeout
// has passed or maxLingerBytes have been read. The caller closes the connection.
func Linger(conn net.Conn, timeout time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || timeout <= 0 || tcp.CloseWrite() != nil {
		return
	}
	conn.SetReadDeadline(time.Now().Add(timeout))
	io.Copy(io.Discard, io.LimitReader(conn, maxLingerBytes))
}

// Lingering reports whether a lingering close is in progress. If so, onDone is called when it ends.
func (c *Conn) Lingering(onDone func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.linger.active {
		c.linger.onDone = onDone
	}
	return c.linger.active
}

// CloseNow closes the connection at once, which also ends a lingering close.
func (c *Conn) CloseNow() { c.Conn.Close() }
