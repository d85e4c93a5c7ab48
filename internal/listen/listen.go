// Package listen accepts connections through failures of the system. On Linux accept(2) also returns errors of the connection
// that it was about to return, and of resources that are short for a moment; none of them says that the listener is broken.
package listen

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Pauses after accept has failed. They are short: a connection that waits in the system's queue meanwhile has a client with a
// deadline.
const (
	firstPause = time.Millisecond
	longPause  = 20 * time.Millisecond
)

// blocks is from when on a call of accept counts as having waited for a connection: the system's queue was empty.
const blocks = 5 * time.Millisecond

// Listener accepts connections until it is closed, whatever accept fails with meanwhile.
type Listener struct {
	net.Listener
	failures atomic.Int64
	failed   func(err error) // told of each failure; nil: nobody is
	done     chan struct{}
	once     sync.Once

	// Used by the one goroutine that accepts.
	returned time.Time     // when the last connection was accepted
	heldUp   time.Time     // since when connections may have waited in the system's queue; zero: they have not
	since    time.Time     // when connections were accepted again after that
	waited   time.Duration // how long the last connection may have waited there
}

// New wraps a listener. failed is told of each failure that is passed over; it may be nil.
func New(ln net.Listener, failed func(err error)) *Listener {
	return &Listener{Listener: ln, failed: failed, done: make(chan struct{})}
}

// Permanent reports whether an error of accept says that the listener itself is of no use any more: one that is no system call's,
// as of a closed listener, or one that says that this is no listening socket.
func Permanent(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return true
	}
	return number == syscall.EBADF || number == syscall.EINVAL || number == syscall.ENOTSOCK
}

// Accept implements net.Listener. It fails only once the listener is closed, or past its deadline where it has one. One
// goroutine at a time may call it.
func (l *Listener) Accept() (net.Conn, error) {
	l.resume()
	for pause := firstPause; ; pause = min(2*pause, longPause) {
		asked := time.Now()
		c, err := l.Listener.Accept()
		if err == nil {
			l.accepted(asked)
			return c, nil
		}
		if Permanent(err) {
			return nil, err
		}
		l.failures.Add(1)
		if l.failed != nil {
			l.failed(err)
		}
		if l.heldUp.IsZero() {
			l.heldUp = asked
		}
		l.since = time.Time{}
		if !l.rest(pause) {
			return nil, net.ErrClosed
		}
	}
}

// resume notes for how long nobody has accepted.
func (l *Listener) resume() {
	if l.returned.IsZero() || time.Since(l.returned) < blocks {
		return
	}
	if l.since = (time.Time{}); l.heldUp.IsZero() {
		l.heldUp = l.returned
	}
}

// accepted settles how long the connection in hand may have waited: not at all where accept waited for it, or where accepting
// has gone on for longer than it was held up, so that the queue of that time is empty.
func (l *Listener) accepted(asked time.Time) {
	l.returned, l.waited = time.Now(), 0
	if l.heldUp.IsZero() {
		return
	}
	if l.since.IsZero() {
		l.since = l.returned
	}
	if l.returned.Sub(asked) >= blocks || l.returned.Sub(l.since) > l.since.Sub(l.heldUp) {
		l.heldUp, l.since = time.Time{}, time.Time{}
		return
	}
	l.waited = l.returned.Sub(l.heldUp)
}

// rest pauses, and reports whether the listener is still open.
func (l *Listener) rest(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}

// Waited is how long the connection that Accept returned last may have waited in the system's queue while nothing could be
// accepted. It is an upper bound. The goroutine that accepts may call it.
func (l *Listener) Waited() time.Duration { return l.waited }

// Failures is how often accept has failed.
func (l *Listener) Failures() int64 { return l.failures.Load() }

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}
