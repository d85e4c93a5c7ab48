package ingress

import (
	"net"
	"time"
)

// pastDeadline is a read deadline that makes a read in progress fail at once.
var pastDeadline = time.Unix(1, 0)

// readDeadlines determines the read deadline of a connection: the earlier of the one that the server requested and,
// once a head has begun after the last response, the head's own. The latter is needed because the server applies its
// idle timeout until the first four bytes of a head have come. Guarded by the connection's lock.
type readDeadlines struct {
	requested    time.Time     // set by the server
	effective    time.Time     // set on the connection
	headTimeout  time.Duration // for the rest of a head, from its first bytes; 0: only the server's timeouts apply
	headDeadline time.Time     // when the rest of the current head must have come; zero if no head has begun
	interrupted  bool          // a read was ended before its deadline
}

// set applies the deadline that the server requests.
func (d *readDeadlines) set(conn net.Conn, t time.Time) error {
	d.requested = t
	if !d.headDeadline.IsZero() && (t.IsZero() || d.headDeadline.Before(t)) {
		t = d.headDeadline
	}
	d.effective = t
	d.interrupted = false
	return conn.SetReadDeadline(t)
}

// startHeadDeadline starts the deadline for the rest of a head whose first bytes are buffered. It does nothing if the
// deadline is already set.
func (d *readDeadlines) startHeadDeadline(conn net.Conn) {
	if d.headTimeout <= 0 || !d.headDeadline.IsZero() {
		return
	}
	d.headDeadline = time.Now().Add(d.headTimeout)
	if d.effective.IsZero() || d.headDeadline.Before(d.effective) {
		d.effective = d.headDeadline
		d.restore(conn)
	}
}

// clearHeadDeadline removes the head's deadline once the head is complete, and restores the one that the server
// requested, which may by now be for the body.
func (d *readDeadlines) clearHeadDeadline(conn net.Conn) {
	if d.headDeadline.IsZero() {
		return
	}
	d.headDeadline = time.Time{}
	d.effective = d.requested
	d.restore(conn)
}

// interruptRead makes a read in progress return.
func (d *readDeadlines) interruptRead(conn net.Conn) {
	d.interrupted = true
	conn.SetReadDeadline(pastDeadline)
}

// rearm restores the effective deadline after an interruption that hit a read that is to go on. It reports whether
// there was one.
func (d *readDeadlines) rearm(conn net.Conn) bool {
	if !d.interrupted {
		return false
	}
	d.interrupted = false
	d.restore(conn)
	return true
}

// restore sets the effective deadline again after a read was ended early.
func (d *readDeadlines) restore(conn net.Conn) { conn.SetReadDeadline(d.effective) }
