package ingress

import "net"

// handoverState is the state of handing an idle connection over to another process. The server's read fails as if its
// deadline had passed, the server then closes the connection, and Close passes it to the recipient instead. Guarded
// by the connection's lock.
type handoverState struct {
	recipient func(net.Conn) // receives the connection instead of a close; nil if no handover is requested
	started   bool           // the connection is no longer read and will be handed over
}

// takeRecipient returns the recipient of a handover that has started, or nil. It returns the recipient only once.
func (h *handoverState) takeRecipient() func(net.Conn) {
	recipient := h.recipient
	h.recipient = nil
	if !h.started {
		return nil
	}
	return recipient
}

// HandOver requests that an idle connection is handed over as soon as no byte of a request has been read. The
// server's read then fails, and its close passes the connection to recipient, which owns it from then on.
// CancelHandOver withdraws the request; the caller must do so when a request begins.
func (c *Conn) HandOver(recipient func(net.Conn)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handover.started {
		return
	}
	c.handover.recipient = recipient
	c.deadlines.interruptRead(c.Conn)
}

// CancelHandOver withdraws a HandOver that has not started yet.
func (c *Conn) CancelHandOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handover.started {
		c.handover.recipient = nil
	}
}

// tryHandOver starts a requested handover if no byte of a request has been read, and reports whether one has started.
// If so, the connection must not be read any more.
func (c *Conn) tryHandOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handover.recipient != nil && c.head.atBoundary() && c.ahead.empty() {
		c.handover.started = true
	}
	return c.handover.started
}
