package ingress

import (
	"context"
	"slices"
	"time"

	"swiftdeal/internal/socketreader"
)

const (
	// checkpointInterval is the least time between two checkpoints.
	checkpointInterval = 4 * time.Millisecond
	// maxCheckpoints is how many checkpoints a connection has at most.
	maxCheckpoints = 64
)

// checkpoint is a position in a client's stream before which all is what it had sent at some time. A client that does not stop sending
// passes it too.
type checkpoint struct {
	position int64
	setAt    time.Time
}

// readWaiter waits until all that the client had sent at some time has been read.
type readWaiter struct {
	since  time.Time
	urgent bool           // an attempt waits, and counts against its worker meanwhile
	done   chan time.Time // has a value then: the latest time for which it holds
}

// addCheckpoint sets a checkpoint that many bytes ahead, unless the latest one is recent.
func (a *readAhead) addCheckpoint(bytes int, now time.Time) {
	if n := len(a.checkpoints); n > 0 && now.Sub(a.checkpoints[n-1].setAt) < checkpointInterval {
		return
	}
	if len(a.checkpoints) == maxCheckpoints { // reading is slow: half of them will do
		for i := range maxCheckpoints / 2 {
			a.checkpoints[i] = a.checkpoints[2*i+1]
		}
		a.checkpoints = a.checkpoints[:maxCheckpoints/2]
	}
	a.checkpoints = append(a.checkpoints, checkpoint{a.received + int64(bytes), now})
}

// passCheckpoints takes note of the checkpoints that reading has passed.
func (a *readAhead) passCheckpoints() {
	passed := 0
	for passed < len(a.checkpoints) && a.checkpoints[passed].position <= a.received {
		passed++
	}
	if passed > 0 {
		a.allReadUntil(a.checkpoints[passed-1].setAt)
		a.checkpoints = slices.Delete(a.checkpoints, 0, passed)
	}
}

// allReadUntil records that all that the client had sent at the given time has been read, or that nothing more will be.
func (a *readAhead) allReadUntil(at time.Time) {
	a.readUntil = at
	a.waiters = slices.DeleteFunc(a.waiters, func(w *readWaiter) bool {
		done := !at.Before(w.since)
		if done {
			w.done <- at
		}
		return done
	})
}

// allRead is allReadUntil for now.
func (a *readAhead) allRead() {
	a.checkpoints = nil
	a.allReadUntil(time.Now())
}

// isUrgent reports whether an attempt waits for what is read.
func (a *readAhead) isUrgent() bool {
	return slices.ContainsFunc(a.waiters, func(w *readWaiter) bool { return w.urgent })
}

// AwaitRead implements request.Client. Reading comes before that of other connections and does not keep to its pace meanwhile.
func (c *Conn) AwaitRead(ctx context.Context, since time.Time) (sentBefore time.Time) {
	return c.awaitRead(ctx, &readWaiter{since, true, make(chan time.Time, 1)})
}

// AwaitTurnToRead is AwaitRead for a request that no attempt has been decided for: reading waits for its turn among other connections.
func (c *Conn) AwaitTurnToRead(ctx context.Context, since time.Time) (sentBefore time.Time) {
	return c.awaitRead(ctx, &readWaiter{since, false, make(chan time.Time, 1)})
}

func (c *Conn) awaitRead(ctx context.Context, waiter *readWaiter) (sentBefore time.Time) {
	c.addWaiter(waiter)
	select {
	case sentBefore = <-waiter.done:
		return sentBefore
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.waiters = slices.DeleteFunc(c.ahead.waiters, func(other *readWaiter) bool { return other == waiter })
	return time.Time{}
}

// addWaiter has a waiter told once all that the client had sent at its time has been read. Reading ahead begins without a delay.
func (c *Conn) addWaiter(waiter *readWaiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead == nil {
		c.ahead = &readAhead{options: c.options}
	}
	if task := c.ahead.run; task != nil && task.timer.Stop() {
		task.timer.Reset(0)
	}
	c.ahead.wait(waiter)
	c.settle()
}

// wait adds a waiter. One that waits in vain is told at once.
func (a *readAhead) wait(waiter *readWaiter) {
	switch {
	case a.released || a.err != nil:
		waiter.done <- time.Now()
		return
	case !a.readUntil.Before(waiter.since):
		waiter.done <- a.readUntil
		return
	}
	a.waiters = append(a.waiters, waiter)
	if a.stopPaying != nil {
		a.stopPaying()
	}
	if waiter.urgent && a.turn != nil {
		a.options.ReadAhead.turns.hurry(a.turn)
	}
}

// socketEmptied records that the receive buffer was empty.
func (c *Conn) socketEmptied() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead.backlog.emptiedAt.IsZero() {
		c.ahead.backlog.emptiedAt = time.Now()
	}
	c.settle()
}

// settle tells the waiters if all has been read that the client had sent. If its system may hold some of it back, it tries again
// later. The caller holds mu.
func (c *Conn) settle() {
	if len(c.ahead.waiters) == 0 || c.peerState() == socketreader.PeerUnread { // reading will find the receive buffer empty
		return
	}
	if left := c.unsettledFor(); left <= 0 {
		c.ahead.allRead()
	} else if !c.ahead.settling {
		c.ahead.settling = true
		time.AfterFunc(left, c.settleLater)
	}
}

// settleLater is settle after a delay.
func (c *Conn) settleLater() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.settling = false
	c.settle()
}
