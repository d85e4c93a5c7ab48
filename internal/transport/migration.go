package transport

import (
	"bytes"
	"context"
	"io"
	"net"

	"swiftdeal/internal/request"
)

// DetachedConn is a connection to a worker with an attempt in flight. The caller owns it, and either closes it or passes
// it to another process that resumes the attempt.
type DetachedConn struct {
	Conn     net.Conn
	Received []byte // the part of the answer received so far
}

// EnableMigration allows attempts to be moved to another process. Without it no answer data is recorded. It must be
// called before the first attempt.
func (t *Transport) EnableMigration() { t.pool.attempts = map[string]*exchange{} }

// DetachAttempt detaches the connection of the latest attempt of a request and returns it with the part of the answer
// received so far. The attempt ends without an event. DetachAttempt returns nil if the attempt cannot be detached: its
// request is not completely written, it has ended, or more of its answer was received than is recorded. It waits for
// the connection's reader, at most DetachTimeout.
func (t *Transport) DetachAttempt(id string) *DetachedConn {
	t.pool.mu.Lock()
	x := t.pool.attempts[id]
	t.pool.mu.Unlock()
	if x == nil {
		return nil
	}
	x.mu.Lock()
	state := x.state
	x.mu.Unlock()
	if !state.written || state.ended || state.conn == nil || state.conn.recorder == nil {
		return nil
	}
	recorder := state.conn.recorder
	return recorder.awaitDetach(recorder.requestDetach(), t.limits.DetachTimeout)
}

// ResumeAttempt continues an attempt that another process started; the answer is read again from its start.
func (t *Transport) ResumeAttempt(c *request.Context, attempt int, worker string, d DetachedConn) (cancel func()) {
	x := t.newAttempt(c, attempt, worker)
	x.state.begun = true
	x.state.written = true
	x.startClock(c.Deadline)
	t.pool.resume(x, d)
	return func() { x.cancel(errCanceled) }
}

// resume adds a connection with an exchange in flight to the pool, even above the connection limit: the other process
// has already given it up.
func (p *pool) resume(x *exchange, d DetachedConn) {
	p.mu.Lock()
	p.connCount++
	c := p.newConn(d.Conn, x, peerAddress(d.Conn))
	p.mu.Unlock()
	c.heads.Source = io.MultiReader(bytes.NewReader(d.Received), c.heads.Source)
	if c.recorder != nil {
		c.recorder.received = append(c.recorder.received, d.Received...)
	}
	x.mu.Lock()
	x.state.conn = c
	ended := x.state.ended
	x.mu.Unlock()
	if ended { // canceled or timed out
		c.Close()
	}
	go c.readLoop()
}

// peerAddress returns the address of a connection's peer, or "" if it is not known. The system no longer knows the peer of a
// connection that was reset before this process received it.
func peerAddress(conn net.Conn) string {
	peer := conn.RemoteAddr()
	if peer == nil {
		return ""
	}
	return peer.String()
}

// connDetached reports whether the exchange's connection has been detached.
func (x *exchange) connDetached() bool {
	x.mu.Lock()
	c := x.state.conn
	x.mu.Unlock()
	return c != nil && c.recorder.isDetached()
}

// endDetached ends an exchange whose connection was detached, without calling onEnd: another process continues it.
func (x *exchange) endDetached() {
	x.mu.Lock()
	first := !x.state.ended
	x.state.ended = true
	x.state.aborted = true
	x.mu.Unlock()
	if first {
		x.cancel(context.Canceled)
	}
}
