package ingress

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"time"

	"swiftdeal/internal/socketreader"
)

const (
	// drainReadBytes is the size of a read of data that is there.
	drainReadBytes = 64 << 10
	// floodReceiveBuffer is the receive buffer of a connection whose client sends much behind an open request.
	floodReceiveBuffer = 128 << 10

	// turnBytes is how much a connection reads in its turn if nothing waits for it.
	turnBytes = 256 << 10
	// turnWorkTime is how long reading keeps a core, except for work that is ready, between two rests.
	turnWorkTime = 4 * time.Millisecond
	// turnRestTime is how long reading rests, in which the runtime looks for work from the network.
	turnRestTime = time.Millisecond
)

// drainBuffers holds buffers of drainReadBytes.
var drainBuffers = sync.Pool{New: func() any { return new([drainReadBytes]byte) }}

// drainSocket reads until no more data is there, in as many turns as that takes.
func (c *Conn) drainSocket(ctx context.Context) error {
	for {
		if !c.takeTurn(ctx) {
			return ctx.Err()
		}
		err := c.readDuringTurn(ctx)
		c.endTurn()
		if errors.Is(err, socketreader.ErrNoData) {
			c.socketEmptied()
			return nil
		}
		if err == nil {
			err = c.payForReading(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// readDuringTurn reads until the connection's turn is over, or an error, which is socketreader.ErrNoData if no more data is there.
func (c *Conn) readDuringTurn(ctx context.Context) error {
	turn := c.beginTurn()
	rested := time.Now()
	for {
		if err := c.readAvailableBlock(); err != nil {
			return err
		}
		if ctx.Err() != nil || c.isTurnOver(turn) {
			return ctx.Err()
		}
		if time.Since(rested) >= turnWorkTime {
			time.Sleep(turnRestTime)
			rested = time.Now()
		} else {
			runtime.Gosched()
		}
	}
}

// readAvailableBlock reads a block of the data that is there.
func (c *Conn) readAvailableBlock() error {
	buffer := drainBuffers.Get().(*[drainReadBytes]byte)
	defer drainBuffers.Put(buffer)
	_, err := c.readUnlessEvicted(buffer[:], (*Conn).readAvailable)
	return err
}

// turnExtent is how far a connection may read in its turn.
type turnExtent struct {
	end    int64 // position in the stream
	waited bool  // something has waited for what is read
}

// beginTurn returns the extent of a turn that begins. If something waits for what is read, the turn extends to the end of all that the
// client may have sent by now.
func (c *Conn) beginTurn() turnExtent {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.limitReceiveBuffer()
	if c.windowClosed() {
		c.ahead.backlog.extend(now.Add(windowUpdateTime))
	}
	unread := c.reader.UnreadBytes()
	c.ahead.addCheckpoint(unread+maxUnsentBytes(), now)
	extent := turnExtent{end: c.ahead.received + turnBytes, waited: len(c.ahead.waiters) > 0}
	if extent.waited {
		extent.end = c.ahead.received + int64(unread+maxUnsentBytes())
	}
	return extent
}

// limitReceiveBuffer keeps the system from enlarging the receive buffer, as what it holds has to be read before a close is found. The
// caller holds mu.
func (c *Conn) limitReceiveBuffer() {
	if !c.ahead.bufferLimited {
		c.ahead.bufferLimited = true
		c.reader.LimitReceiveBuffer(floodReceiveBuffer)
	}
}

// isTurnOver reports whether the connection has read enough, or others may not wait any longer.
func (c *Conn) isTurnOver(turn turnExtent) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.ahead
	if turn.waited {
		a.addCheckpoint(c.reader.UnreadBytes()+maxUnsentBytes(), time.Now())
	}
	switch {
	case a.received >= turn.end || turn.waited && len(a.waiters) == 0:
		return true
	case a.isUrgent() || c.options.ReadAhead == nil:
		return false
	}
	return c.options.ReadAhead.turns.urgentWaits()
}

// payForReading waits until the pace of reading allows to go on, something waits for what is read, or ctx ends.
func (c *Conn) payForReading(ctx context.Context) error {
	if c.options.ReadAhead == nil {
		return ctx.Err()
	}
	payContext, stop := context.WithCancel(ctx)
	defer stop()
	c.mu.Lock()
	cost := c.ahead.costUnpaid
	c.ahead.costUnpaid = 0
	c.ahead.stopPaying = stop
	if len(c.ahead.waiters) > 0 {
		stop()
	}
	c.mu.Unlock()
	c.options.ReadAhead.pay(payContext, cost)
	return ctx.Err()
}
