package ingress

import (
	"context"
	"math"
	"slices"
	"time"

	"swiftdeal/internal/request"
	"swiftdeal/internal/socketreader"
)

const (
	// maxUnsentBytes is more than a client's system holds of what the client has written: twice the usual most of Linux.
	maxUnsentBytes = 8 << 20
	// maxPacedWait is how long a request that came behind another one waits at most for reading that keeps to its pace.
	maxPacedWait = 200 * time.Millisecond
)

// readMark is a position in a client's stream before which all is what it had sent at some moment. A client that does not stop sending
// has passed it too.
type readMark struct {
	position int64
	urgent   bool          // reading does not wait for its pace until then
	reached  chan struct{} // closed once all before the position has been read, or all that had been sent
}

// mark sets a mark that many bytes ahead.
func (a *readAhead) mark(bytes int, urgent bool) (reached <-chan struct{}) {
	m := readMark{a.received + int64(bytes), urgent, make(chan struct{})}
	if a.released || a.err != nil {
		close(m.reached)
		return m.reached
	}
	a.marks = append(a.marks, m)
	if urgent && a.stopPaying != nil {
		a.stopPaying()
	}
	return m.reached
}

// hasUrgentMark reports whether reading may not wait for its pace.
func (a *readAhead) hasUrgentMark() bool {
	return slices.ContainsFunc(a.marks, func(m readMark) bool { return m.urgent })
}

// reachMarks records that all before a position has been read.
func (a *readAhead) reachMarks(position int64) {
	a.marks = slices.DeleteFunc(a.marks, func(m readMark) bool {
		reached := m.position <= position
		if reached {
			close(m.reached)
		}
		return reached
	})
}

// reachAllMarks records that all that the client had sent has been read, or that nothing more will be.
func (a *readAhead) reachAllMarks() { a.reachMarks(math.MaxInt64) }

// AwaitRead implements request.Client. Reading does not keep to its pace meanwhile: an attempt that waits counts against its worker.
func (c *Conn) AwaitRead(ctx context.Context) {
	select {
	case <-c.markUnread(true):
	case <-ctx.Done():
	}
}

// awaitReadAtPace waits until what the client had sent behind its request has been read, if the request came behind another one. A
// client that sends without a pause thus spends its own time, before its request takes part in the choice of a worker.
func (c *Conn) awaitReadAtPace(ctx context.Context) {
	c.mu.Lock()
	pipelined := c.request.pipelined
	c.mu.Unlock()
	if !pipelined || c.State() != request.ClientUnread {
		return
	}
	timer := time.NewTimer(maxPacedWait)
	defer timer.Stop()
	select {
	case <-c.markUnread(false):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// markUnread sets a mark behind all that the client has sent, and has reading ahead begin without a delay.
func (c *Conn) markUnread(urgent bool) (reached <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead == nil {
		c.ahead = &readAhead{options: c.options}
	}
	if task := c.ahead.run; task != nil && task.timer.Stop() {
		task.timer.Reset(0)
	}
	reached = c.ahead.mark(c.reader.UnreadBytes()+maxUnsentBytes, urgent)
	c.settle()
	return reached
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

// settle reaches the marks if all has been read that the client had sent. If its system may hold some of it back, it tries again
// later. The caller holds mu.
func (c *Conn) settle() {
	if len(c.ahead.marks) == 0 || c.peerState() == socketreader.PeerUnread { // reading will find the receive buffer empty
		return
	}
	if left := c.unsettledFor(); left <= 0 {
		c.ahead.reachAllMarks()
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
