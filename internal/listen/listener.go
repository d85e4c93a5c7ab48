// Package listen accepts connections despite transient failures of accept. On Linux accept(2) also returns errors
// that are already pending on the new connection, and errors for a temporary shortage of resources; neither means
// that the listener is broken.
package listen

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Backoff after accept has failed. It is short because connections that wait in the accept queue meanwhile belong to
// clients with deadlines.
const (
	minBackoff = time.Millisecond
	maxBackoff = 20 * time.Millisecond
)

// Listener accepts connections until it is closed, and retries when accept fails with a transient error. Only one
// goroutine at a time may call Accept and Waited; the other methods are safe for concurrent use.
type Listener struct {
	net.Listener
	failures  atomic.Int64
	onFailure func(err error) // called for each transient failure; may be nil
	done      chan struct{}
	closeOnce sync.Once

	delay queueDelay // used only by the goroutine that accepts
}

// New wraps a listener. onFailure is called for each transient failure, in the goroutine that calls Accept; it may be
// nil.
func New(listener net.Listener, onFailure func(err error)) *Listener {
	return &Listener{Listener: listener, onFailure: onFailure, done: make(chan struct{})}
}

// Permanent reports whether an error of accept means that the listener cannot be used any more: either it does not
// come from a system call, such as the error of a closed listener, or it says that the descriptor is not a listening
// socket.
func Permanent(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return true
	}
	return errno == syscall.EBADF || errno == syscall.EINVAL || errno == syscall.ENOTSOCK
}

// Accept implements net.Listener. It fails only once the listener is closed, or when its deadline, if any, has
// passed.
func (l *Listener) Accept() (net.Conn, error) {
	l.delay.acceptStarted()
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		calledAt := time.Now()
		conn, err := l.Listener.Accept()
		if err == nil {
			l.delay.acceptSucceeded(calledAt)
			return conn, nil
		}
		if Permanent(err) {
			return nil, err
		}
		l.failures.Add(1)
		if l.onFailure != nil {
			l.onFailure(err)
		}
		l.delay.acceptFailed(calledAt)
		if !l.wait(backoff) {
			return nil, net.ErrClosed
		}
	}
}

// wait waits for the given duration. It returns false if the listener was closed meanwhile.
func (l *Listener) wait(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}

// Waited returns an upper bound on how long the connection last returned by Accept waited in the accept queue while
// no connections could be accepted.
func (l *Listener) Waited() time.Duration { return l.delay.last }

// Failures returns how many times accept has failed with a transient error.
func (l *Listener) Failures() int64 { return l.failures.Load() }

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}
