package transport

import (
	"context"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
)

// longLines limits how many answers at once hold a line longer than shortLineBytes in memory, from when it is read until its
// result has been delivered. It is safe for concurrent use.
type longLines struct {
	slots  chan struct{} // holds a value for each slot taken
	delays atomic.Int64  // how often an answer had to wait for a slot
}

func newLongLines(slots int) *longLines { return &longLines{slots: make(chan struct{}, max(slots, 1))} }

// acquire takes a slot, and waits until one is free. It returns false if ctx ends first.
func (l *longLines) acquire(ctx context.Context) bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	l.delays.Add(1)
	select {
	case l.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// release frees a slot.
func (l *longLines) release() { <-l.slots }

// longLine is an answer's slot for a long line.
type longLine struct {
	held    bool
	timeout *time.Timer // aborts an answer that keeps its slot for too long without the end of the line
}

// admitLongLine implements longLineAdmission: it waits for a slot and then gives the rest of the line LongLineTimeout.
func (r *answerReader) admitLongLine() bool {
	if !r.transport.longLines.acquire(r.exchange.ctx) {
		return false
	}
	r.long.held = true
	r.long.timeout = time.AfterFunc(r.transport.limits.LongLineTimeout, func() { r.exchange.abort(balance.ConnectionReset) })
	return true
}

// keepLongLine keeps the slot, if there is one, until the request's answer has been delivered: it holds the line's result.
func (r *answerReader) keepLongLine() {
	if r.long.held {
		r.long.timeout.Stop()
		r.long.held = false
		r.request.OnRelease(r.transport.longLines.release)
	}
}

// dropLongLine frees the slot, if there is one.
func (r *answerReader) dropLongLine() {
	if r.long.held {
		r.long.timeout.Stop()
		r.long.held = false
		r.transport.longLines.release()
	}
}
