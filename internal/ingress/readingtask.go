package ingress

import (
	"context"
	"errors"
	"os"
	"time"
)

// firstReadBytes is the size of a read that may wait for data. A connection holds the buffer for as long.
const firstReadBytes = 512

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
