package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pastDeadline is a read deadline that interrupts a blocked read at once.
var pastDeadline = time.Unix(1, 0)

// answerRecorder reads a connection to a worker and records the current answer, so that the connection can be passed to
// another process, which reads the answer from its start. A connection is not detached once its current
// answer exceeds maxBytes: such an answer is about to end.
type answerRecorder struct {
	raw      net.Conn
	source   io.Reader // reads from raw
	maxBytes int       // maximum number of bytes recorded

	mu            sync.Mutex // guards the fields below
	received      []byte
	overflowed    bool               // the answer is longer than maxBytes
	detachRequest chan *DetachedConn // receives the connection; nil if no detach is requested
	detached      bool               // the connection is no longer read here
}

// Read implements io.Reader. The reading goroutine itself detaches the connection, so that no byte is lost in between.
func (r *answerRecorder) Read(p []byte) (int, error) {
	for {
		n, err := r.source.Read(p)
		r.mu.Lock()
		woken := n == 0 && r.detachRequest != nil && errors.Is(err, os.ErrDeadlineExceeded)
		if !woken {
			r.record(p[:n])
			r.mu.Unlock()
			return n, err
		}
		r.raw.SetReadDeadline(time.Time{})
		if !r.overflowed {
			r.detached = true
			r.detachRequest <- &DetachedConn{r.raw, bytes.Clone(r.received)}
			r.mu.Unlock()
			return 0, err
		}
		r.refuseDetach()
		r.mu.Unlock()
	}
}

// record appends received data; mu must be held.
func (r *answerRecorder) record(p []byte) {
	if len(r.received)+len(p) > r.maxBytes {
		r.overflowed = true
	}
	if !r.overflowed {
		r.received = append(r.received, p...)
	}
}

// refuseDetach rejects a pending detach request, if any; mu must be held.
func (r *answerRecorder) refuseDetach() {
	if r.detachRequest == nil {
		return
	}
	close(r.detachRequest)
	r.detachRequest = nil
	r.raw.SetReadDeadline(time.Time{})
}

// reset discards the recorded answer when it is complete or the connection ends, and rejects a pending detach request.
func (r *answerRecorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuseDetach()
	r.received = r.received[:0]
	r.overflowed = false
}

// isDetached reports whether the connection has been detached. It returns false for a nil recorder.
func (r *answerRecorder) isDetached() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detached
}

// requestDetach asks the reading goroutine to detach the connection. The channel delivers the connection, or is closed
// if it cannot be detached. An answer that is too long is refused at once, as its reader may be delayed (Transport.linePace).
func (r *answerRecorder) requestDetach() <-chan *DetachedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := make(chan *DetachedConn, 1)
	if r.detachRequest != nil || r.detached || r.overflowed {
		close(request)
		return request
	}
	r.detachRequest = request
	r.raw.SetReadDeadline(pastDeadline)
	return request
}

// awaitDetach waits for the result of requestDetach and withdraws the request after the timeout, when the reader is busy
// with an answer. It returns nil if the connection was not detached.
func (r *answerRecorder) awaitDetach(request <-chan *DetachedConn, timeout time.Duration) *DetachedConn {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case detached := <-request:
		return detached
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case detached := <-request: // detached just before the timeout
		return detached
	default:
		r.detachRequest = nil
		r.raw.SetReadDeadline(time.Time{})
		return nil
	}
}
