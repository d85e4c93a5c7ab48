package ingress

import "time"

const (
	// backlogBytes is how much unread data may have filled the receive buffer, so that the client's system holds more of it back: half of
	// the first window that Linux offers.
	backlogBytes = 32 << 10
	// windowParts is how many times what was unread the window must be for the client's system to hold nothing back.
	windowParts = 2
	// windowUpdateTime is how long, beside two round trips, data may take to come that the client's system has held back for want of room.
	windowUpdateTime = 10 * time.Millisecond
	// floodBytes is how much a client must have sent beyond usualBytesPerSecond for floodSettleTime to take the place of windowUpdateTime.
	floodBytes = 512 << 10
	// usualBytesPerSecond is how much a client may go on to send while it is read in time.
	usualBytesPerSecond = 2 << 20
	// floodSettleTime is how long data may take to come from a client whose system is busy with what the client sends. It notices a window
	// update that it has missed after 200 ms at first.
	floodSettleTime = 500 * time.Millisecond
	// resendTime is how long data may take to come once packets of the connection have been dropped for want of room. Linux sends them
	// again after 200 ms, then after twice as long each time, and sends less at once from then on.
	resendTime = 2 * time.Second
	// unknownDropsTime takes the place of resendTime on a system that does not tell of dropped packets. Linux sends them again after 200 ms
	// at first.
	unknownDropsTime = 250 * time.Millisecond
)

// backlog tells until when an empty receive buffer does not yet show that all has been read that the client has sent, because its system
// may hold the rest back.
type backlog struct {
	until       time.Time
	resentUntil time.Time // dropped packets are sent again by then; zero once data has come since
	drops       uint32    // packets of the connection that were dropped so far
	excess      int       // bytes that were read from a nearly full receive buffer, beyond usualBytesPerSecond
	emptiedAt   time.Time // when the receive buffer was found empty; zero if data has come since
}

// extend moves the end.
func (b *backlog) extend(until time.Time) {
	if until.After(b.until) {
		b.until = until
	}
}

// dataCame records that data has come. If the receive buffer had been found empty before, the client's system knows of the room there is.
func (b *backlog) dataCame(now time.Time) {
	b.resentUntil = time.Time{}
	if b.emptiedAt.IsZero() {
		return
	}
	b.excess = max(0, b.excess-int(now.Sub(b.emptiedAt).Seconds()*usualBytesPerSecond))
	b.emptiedAt = time.Time{}
	if soon := now.Add(windowUpdateTime); b.until.After(soon) {
		b.until = soon
	}
}

// observeBacklog records that a read behind the open request returned that many bytes. The caller holds mu.
func (c *Conn) observeBacklog(bytes int, now time.Time) {
	if bytes == 0 {
		return
	}
	c.ahead.backlog.dataCame(now)
	if bytes < backlogBytes {
		return
	}
	_, known := c.observeDrops(now)
	if !known {
		c.ahead.backlog.extend(now.Add(unknownDropsTime))
		return
	}
	path, known := c.reader.Path()
	if known && path.Window > windowParts*(bytes+c.reader.UnreadBytes()) {
		return
	}
	c.ahead.backlog.excess += bytes
	if c.ahead.backlog.excess > floodBytes {
		c.ahead.backlog.extend(now.Add(floodSettleTime))
	} else {
		c.ahead.backlog.extend(now.Add(windowUpdateTime + 2*path.RoundTrip))
	}
}

// observeDrops records whether packets have been dropped, and returns how much of those that came after a lost one the system holds if
// no data is unread. known is false if the system cannot tell. The caller holds mu.
func (c *Conn) observeDrops(now time.Time) (heldBytes uint32, known bool) {
	if !c.isSocket {
		return 0, false
	}
	memory, known := c.reader.ReceiveMemory()
	if known && memory.Drops != c.ahead.backlog.drops {
		c.ahead.backlog.drops = memory.Drops
		c.ahead.backlog.resentUntil = now.Add(resendTime)
	}
	return memory.HeldBytes, known
}

// unsettledFor returns for how long an empty receive buffer does not yet show that all has been read that the client has sent. The caller
// holds mu, and has found the receive buffer empty.
func (c *Conn) unsettledFor() time.Duration {
	if c.ahead == nil || c.ahead.received == 0 {
		return 0
	}
	now := time.Now()
	heldBytes, _ := c.observeDrops(now)
	if heldBytes > 0 || c.windowClosed() {
		c.ahead.backlog.extend(now.Add(windowUpdateTime))
	}
	until := c.ahead.backlog.until
	if c.ahead.backlog.resentUntil.After(until) {
		until = c.ahead.backlog.resentUntil
	}
	return until.Sub(now)
}

// windowClosed reports whether the client's system was told that there is no room for a whole packet. It then holds back what the client
// has sent, and may try again only after seconds. The caller holds mu.
func (c *Conn) windowClosed() bool {
	if !c.isSocket {
		return false
	}
	path, known := c.reader.Path()
	return known && path.Window < path.LargestPacket
}
