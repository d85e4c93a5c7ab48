package ingress

// Progress is how far a connection has come with a request that the server has begun to read.
type Progress int

// Progress of a connection.
const (
	ProgressIncomplete Progress = iota // the rest of the request is still being read
	ProgressComplete                   // the request has been read whole, or it is not known yet whether it has
	ProgressClosing                    // the last response has been written
)

// Progress returns the connection's progress.
func (c *Conn) Progress() Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.request.closing:
		return ProgressClosing
	case c.request.incomplete():
		return ProgressIncomplete
	}
	return ProgressComplete
}

// bodyArrived reports whether the receive buffer holds the rest of the body that is being read. The caller holds mu.
func (c *Conn) bodyArrived() bool {
	return c.isSocket && !c.head.framingLost && int64(c.reader.UnreadBytes()) >= c.head.bodyBytesLeft
}

// Evict closes the connection unless a whole request has been received on it, which is then answered. It reports whether it
// did. A request of which a part has been read is refused, as its client may go on to send the rest.
func (c *Conn) Evict() bool {
	requestBegun, evicted := c.markEvicted()
	if !evicted {
		return false
	}
	if requestBegun && c.isSocket && c.options.EvictionAnswer != nil {
		c.reader.TryWrite(c.options.EvictionAnswer())
	}
	// mu must not be held here: closing the socket waits for a read in progress, and that read needs mu.
	c.Conn.Close()
	return true
}

// markEvicted marks the connection as evicted unless a whole request has been received on it. Data read after that is
// discarded. requestBegun says that a part of a request has been read, and none of its response written.
func (c *Conn) markEvicted() (requestBegun, evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handover.started || !c.evictable() {
		return false, false
	}
	c.evicted = true
	return !c.request.closing && (c.request.incomplete() || !c.request.open && !c.head.empty()), true
}

// evictable reports whether no whole request has been received, as far as that is known of heads. The caller holds mu.
func (c *Conn) evictable() bool {
	if c.request.closing {
		return true
	}
	if c.request.incomplete() {
		return !c.bodyArrived()
	}
	return !c.request.open && !c.head.holdsRequest() && c.ahead.empty()
}
