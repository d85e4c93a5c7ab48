package transport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"swiftdeal/balance"
)

// longLines limits how many answers at once hold a line longer than shortLineBytes in memory, from when it is read until its
// result has been delivered. It is safe for concurrent use.
type longLines struct {
	places int                 // without a resize
	free   *semaphore.Weighted // of places
	delays atomic.Int64        // how often an answer had to wait for a place

	mu     sync.Mutex
	resume func() // undoes the last resize; nil: none
}

func newLongLines(places int) *longLines {
	places = max(places, 1)
	return &longLines{places: places, free: semaphore.NewWeighted(int64(places))}
}

// acquire takes a place, and waits until one is free. It returns false if ctx ends first.
func (l *longLines) acquire(ctx context.Context) bool {
	if l.free.TryAcquire(1) {
		return true
	}
	l.delays.Add(1)
	return l.free.Acquire(ctx, 1) == nil
}

// release frees a place.
func (l *longLines) release() { l.free.Release(1) }

// resize sets the number of places, at most those that there were at first. Places in use above it are not taken away.
func (l *longLines) resize(places int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resume != nil {
		l.resume()
		l.resume = nil
	}
	if withheld := l.places - max(places, 1); withheld > 0 {
		l.resume = l.withhold(int64(withheld))
	}
}

// close ends what resize has started.
func (l *longLines) close() { l.resize(l.places) }

// withhold takes places as they become free, until resume is called.
func (l *longLines) withhold(places int64) (resume func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if l.free.Acquire(ctx, places) == nil {
			<-ctx.Done()
			l.free.Release(places)
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// longLine is an answer's place for a long line.
type longLine struct {
	held    bool
	timeout *time.Timer // aborts an answer that keeps its place for too long without the end of the line
}

// admitLongLine implements longLineAdmission: it waits for a place and then gives the rest of the line LongLineTimeout.
func (r *answerReader) admitLongLine() bool {
	if !r.transport.longLines.acquire(r.exchange.ctx) {
		return false
	}
	r.long.held = true
	r.long.timeout = time.AfterFunc(r.transport.limits.LongLineTimeout, func() { r.exchange.abort(balance.ConnectionReset) })
	return true
}

// keepLongLine keeps the place, if there is one, until the request's answer has been delivered: it holds the line's result.
func (r *answerReader) keepLongLine() {
	if r.long.held {
		r.long.timeout.Stop()
		r.long.held = false
		r.request.OnRelease(r.transport.longLines.release)
	}
}

// dropLongLine frees the place, if there is one.
func (r *answerReader) dropLongLine() {
	if r.long.held {
		r.long.timeout.Stop()
		r.long.held = false
		r.transport.longLines.release()
	}
}
