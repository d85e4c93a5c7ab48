package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/invariant"
)

// writePermission is the decision whether the first byte of an exchange may be written to a connection.
type writePermission int

const (
	mayWrite     writePermission = iota
	suppressed                   // the exchange is no longer wanted; the connection can be reused
	connUnusable                 // the worker has closed the connection or sent unsolicited data
	clientUnread                 // the client may have left, behind what has not been read
)

// acquire returns a connection to which the request may be written, with the exchange's writeLock held. It returns nil
// if there is none: the exchange has then ended, or ends with its context.
func (x *exchange) acquire(ctx context.Context, p *pool, reserved slot) *conn {
	for {
		c, err := p.connect(ctx, x, reserved)
		if err != nil {
			x.connectFailed(ctx, err)
			return nil
		}
		permission := x.beginWrite(ctx, c, time.Time{})
		for permission == clientUnread { // again if reading took long: the client may have left meanwhile
			permission = x.beginWrite(ctx, c, x.check.awaitClient(ctx))
		}
		switch permission {
		case mayWrite:
			return c
		case suppressed:
			if !p.release(c) {
				c.Close()
			}
			if ctx.Err() == nil { // otherwise the context's end ends the exchange
				x.end(exchangeEnd{result: balance.Suppressed})
			}
			return nil
		case connUnusable:
			c.Close()
		}
		if reserved.conn == nil { // the worker sent data first, or closed a connection that it had just accepted
			x.end(exchangeEnd{result: balance.ConnectFailed})
			return nil
		}
		reserved = p.reserve(x) // nothing was written, so another connection causes no second copy
	}
}

// connectFailed ends an exchange for which no connection could be opened.
func (x *exchange) connectFailed(ctx context.Context, err error) {
	switch {
	case errors.Is(err, errNoConnection):
		x.end(exchangeEnd{result: balance.Suppressed})
	case ctx.Err() == nil: // otherwise the context's end ends the exchange
		x.end(exchangeEnd{result: balance.ConnectFailed})
	}
}

// beginWrite decides whether the first byte may be written to a connection. If so, it locks writeLock, sets the
// exchange's connection and marks the exchange as begun. The check covers events since the routing decision, mostly
// during a dial: the client has disconnected, the worker is draining, the retry window is over, the attempt was
// canceled, or the worker has closed an idle connection or sent unsolicited data on it, which must not be taken for an
// answer. clientThereAt is when the client was surely there.
func (x *exchange) beginWrite(ctx context.Context, c *conn, clientThereAt time.Time) writePermission {
	silent := c.connCheck.silent()
	why, wanted := x.stillWanted(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.stale || !silent {
		return connUnusable
	}
	if x.state.ended || !wanted {
		if x.check != nil {
			x.check.suppressed(why)
		}
		return suppressed
	}
	if x.check != nil && x.check.mayHaveLeft(clientThereAt) {
		return clientUnread
	}
	if x.check != nil && !x.check.begin() {
		return suppressed
	}
	x.writeLock.Lock()
	x.state.conn = c
	x.state.begun = true
	return mayWrite
}

// stillWanted reports whether the exchange is still wanted, and if not, the reason. It checks the context because a
// cancellation reaches that before it ends the exchange.
func (x *exchange) stillWanted(ctx context.Context) (why invariant.SuppressReason, wanted bool) {
	if ctx.Err() != nil {
		return invariant.AttemptCanceled, false
	}
	if x.check != nil {
		if why, wanted = x.check.wanted(); !wanted {
			return why, false
		}
	}
	return invariant.RetryWindowOver, x.writeDeadline.IsZero() || time.Now().Before(x.writeDeadline)
}

// send writes the request to the connection that acquire returned, and reports whether it was written completely. The
// connection's reader ends the exchange, unless writing fails or the connection has ended in the meantime.
func (x *exchange) send(c *conn, head, body []byte) (written bool) {
	connBroken, err := x.write(c, head, body)
	switch {
	case err != nil:
		x.end(exchangeEnd{result: balance.ConnectFailed})
		c.Close()
	case connBroken:
		x.end(exchangeEnd{result: balance.ConnectionReset})
	}
	return err == nil
}

// write writes the request. connBroken reports whether the connection has ended in the meantime.
func (x *exchange) write(c *conn, head, body []byte) (connBroken bool, err error) {
	defer x.writeLock.Unlock() // locked by beginWrite
	if !x.writeDeadline.IsZero() {
		c.SetWriteDeadline(x.writeDeadline)
	}
	x.writeStartedAt = time.Now()
	// A single vectored write avoids copying the body behind its head.
	_, err = (&net.Buffers{head, body}).WriteTo(c.Conn)
	if !x.writeDeadline.IsZero() {
		c.SetWriteDeadline(time.Time{})
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.written = err == nil
	return x.state.connBroken, err
}

// awaitWritten waits at most the given time for the request to be written, and reports whether it was written
// completely. A worker may answer before it has read the whole request; on a reused connection the rest of that request
// would precede the next one.
func (x *exchange) awaitWritten(c *conn, timeout time.Duration) bool {
	if x.isWritten() {
		return true
	}
	c.SetWriteDeadline(time.Now().Add(timeout))
	x.writeLock.Lock()
	defer x.writeLock.Unlock()
	c.SetWriteDeadline(time.Time{})
	return x.isWritten()
}

// isWritten reports whether the last byte of the request has been written.
func (x *exchange) isWritten() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.written
}
