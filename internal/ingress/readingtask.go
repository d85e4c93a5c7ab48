package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"swiftdeal/internal/socketreader"
)

const (
	// firstReadBytes is the size of a read that may wait for data. A connection holds the buffer for as long.
	firstReadBytes = 512
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

// readingTask is a goroutine that reads what the client sends behind an open request. The server's own background read ends with the
// first such byte and detects no disconnect after that.
type readingTask struct {
	timer *time.Timer // starts it
	ctx   context.Context
	stop  context.CancelFunc
	done  chan struct{} // closed when reading has ended
}

// readAheadDelay is how long a request is open before what is behind it is read. Requests that are answered at once, one after the
// other, thus cost no more than others.
const readAheadDelay = 5 * time.Millisecond

// startReadAhead starts reading ahead in the background after a delay, unless the connection is evicted or a response has begun.
func (c *Conn) startReadAhead(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.linger.responseInFlight {
		return
	}
	if c.ahead == nil {
		c.ahead = &readAhead{options: c.options}
	}
	if c.ahead.run != nil || c.ahead.err != nil {
		return
	}
	if len(c.ahead.waiters) > 0 { // for what is read
		delay = 0
	}
	task := &readingTask{done: make(chan struct{})}
	task.ctx, task.stop = context.WithCancel(context.Background())
	c.ahead.run = task
	task.timer = time.AfterFunc(delay, func() {
		defer close(task.done)
		c.beginReadAhead()
		if err := c.runReadAhead(task.ctx); err != nil {
			c.endReadAhead(err)
		}
	})
}

func (c *Conn) beginReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.begin(c.head.data, !c.head.framingLost)
}

// endReadAhead records that the connection has ended.
func (c *Conn) endReadAhead(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clientClosed = true
	if c.ahead.err == nil {
		c.ahead.err = err
		close(c.disconnected)
	}
	c.ahead.allRead()
}

// runReadAhead reads ahead until it is stopped, and returns nil then, or until the client disconnects.
func (c *Conn) runReadAhead(ctx context.Context) error {
	var first [firstReadBytes]byte
	for {
		n, err := c.readUnlessEvicted(first[:], (*Conn).readSocket)
		if err == nil && n < len(first) {
			c.socketEmptied()
		} else if err == nil && c.isSocket {
			err = c.drainSocket(ctx)
		}
		if err == nil {
			err = c.payForReading(ctx)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil && c.rearmRead() {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.Canceled) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

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

// stopReadAhead stops reading ahead in the background.
func (c *Conn) stopReadAhead() {
	c.mu.Lock()
	if c.ahead == nil || c.ahead.run == nil {
		c.mu.Unlock()
		return
	}
	task := c.ahead.run
	task.stop()
	if task.timer.Stop() {
		c.ahead.run = nil
		c.mu.Unlock()
		return
	}
	c.Conn.SetReadDeadline(pastDeadline)
	c.mu.Unlock()
	<-task.done
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead.run == task {
		c.ahead.run = nil
		c.ahead.active = false
		c.deadlines.restore(c.Conn)
	}
}

// consumeReadAhead serves a read from what was read ahead, then returns the error that ended reading ahead. It returns 0 and nil if
// there is neither.
func (c *Conn) consumeReadAhead(p []byte) (n int, err error) {
	c.stopReadAhead()
	for {
		var skipping bool
		n, skipping, err = c.consumeReceived(p)
		if n > 0 || err != nil || !skipping {
			return n, err
		}
		if err = c.readSkipped(); err != nil {
			return 0, err
		}
	}
}

// consumeReceived is consumeReadAhead for what was received. skipping says that the server waits for the end of a request that is skipped.
func (c *Conn) consumeReceived(p []byte) (n int, skipping bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 1 { // a read of one byte may be the server's background read, which can begin after the response
		c.linger.responseInFlight = false
	}
	if c.ahead == nil {
		return 0, false, nil
	}
	if c.ahead.err != nil && len(c.ahead.data) == 0 {
		return 0, false, c.ahead.err // no one is there for refusals
	}
	n, arrivedAt := c.ahead.consume(p)
	if n > 0 {
		c.observe(p[:n], arrivedAt)
	} else if c.ahead.cut {
		err = io.ErrUnexpectedEOF
	}
	return n, c.ahead.skipping, err
}

// readSkipped reads more of a request that is skipped. As for a head that has begun, the time for it is limited.
func (c *Conn) readSkipped() error {
	c.mu.Lock()
	c.ahead.active = true
	if c.request.idle {
		c.deadlines.startHeadDeadline(c.Conn)
	}
	c.mu.Unlock()
	var buffer [firstReadBytes]byte
	_, err := c.readUnlessEvicted(buffer[:], (*Conn).readSocket)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.rearmRead() {
		err = nil
	}
	c.mu.Lock()
	c.ahead.active = false
	c.mu.Unlock()
	c.payForReading(context.Background())
	return err
}

// ResumeConn wraps a client connection with an open request, which another process has handed over, and starts to read ahead. received is
// what the client has sent behind the request. framingKnown says that the end of the request was found, so that another request may
// follow.
func ResumeConn(conn net.Conn, options *ConnOptions, received []byte, framingKnown bool) *Conn {
	c := NewConn(conn, options)
	c.request.open = true
	c.head.framingLost = !framingKnown
	c.ahead = &readAhead{options: options}
	c.ahead.begin(nil, framingKnown)
	now := time.Now()
	c.ahead.add(received, now)
	c.observeBacklog(len(received), now)
	c.startReadAhead(0)
	return c
}

// HoldsNextRequest reports whether a request behind the open one has been read, at least its head. Nothing more is read ahead after it.
func (c *Conn) HoldsNextRequest() bool {
	c.stopReadAhead()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.holdsRequest() || !c.ahead.empty()
}

// Refuses reports whether requests that the client has sent were dropped, and wait to be refused. Such a connection cannot be handed over.
func (c *Conn) Refuses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.refuses()
}

// TakeReadAhead stops reading ahead and returns the data, with an error if the client has disconnected. The caller reads the
// connection from then on.
func (c *Conn) TakeReadAhead() ([]byte, error) {
	c.stopReadAhead()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead == nil {
		return nil, nil
	}
	data, err := c.ahead.data, c.ahead.err
	c.ahead.release()
	return data, err
}
