package transport

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"swiftdeal/balance"
)

// errCanceled is the cancellation cause of an exchange that was canceled or has ended.
var errCanceled = errors.New("canceled")

// exchange is one request to a worker and its answer. The request is written at most once: a second write would be a
// second copy of the job that no routing decision asked for. An exchange ends exactly once.
type exchange struct {
	// Set before startClock and not changed afterwards.
	worker        string
	name          string // request id or purpose, passed to the dialer for traces
	method        string
	writeDeadline time.Time         // the last byte must be written by then; zero: only the deadline applies
	check         *sendCheck        // run right before the first byte; nil for health checks and resumed attempts
	answer        answerHandler     // reads the answer
	onEnd         func(exchangeEnd) // called exactly once, or never if the connection is detached

	startedAt time.Time
	ctx       context.Context // ends with the exchange
	cancel    context.CancelCauseFunc

	// Used by the goroutine that writes the request.
	forwardedDeadline time.Duration // remaining time that X-Deadline forwards to the worker
	writeStartedAt    time.Time     // right before the first byte; zero if nothing was written
	writeLock         sync.Mutex    // held while the request is being written

	mu    sync.Mutex
	state exchangeState // guarded by mu
}

// answerHandler reads the answer of an exchange.
type answerHandler interface {
	// read reads an answer, and calls the exchange's end or abort.
	read(*http.Response)
}

// exchangeState is the progress of an exchange.
type exchangeState struct {
	conn       *conn
	begun      bool // the first byte may have been written
	written    bool // the last byte has been written
	connBroken bool // the connection has ended
	ended      bool
	aborted    bool // canceled, timed out, detached, or answered invalidly or incompletely: the connection is not reused
}

// exchangeEnd is how an exchange ended.
type exchangeEnd struct {
	result  balance.Result
	text    string // the job's result
	report  *balance.LoadReport
	elapsed time.Duration // since startClock
}

// startClock starts the exchange's deadline timer and returns the exchange's context. The fields of the first group
// must be set before: if the deadline has already passed, onEnd is called at once.
func (x *exchange) startClock(deadline time.Time) context.Context {
	x.startedAt = time.Now()
	ctx, stop := context.WithDeadline(context.Background(), deadline)
	ctx, x.cancel = context.WithCancelCause(ctx)
	x.ctx = ctx
	context.AfterFunc(ctx, func() {
		stop()
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			x.abort(balance.TimedOut)
		} else {
			x.abort(balance.Canceled) // no-op if it has ended already
		}
	})
	return ctx
}

// end ends the exchange; only the first call has an effect.
func (x *exchange) end(end exchangeEnd) { x.finish(end, false) }

// abort ends the exchange and closes its connection, which signals the cancellation to the worker.
func (x *exchange) abort(result balance.Result) {
	if !x.finish(exchangeEnd{result: result}, true) {
		return
	}
	x.mu.Lock()
	c := x.state.conn
	x.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// finish ends the exchange and reports whether this was the first call. aborted is set under the same lock as ended: if
// it were set later, the connection could be pooled in between and then closed while another exchange uses it.
func (x *exchange) finish(end exchangeEnd, aborted bool) (first bool) {
	x.mu.Lock()
	if x.state.ended {
		x.mu.Unlock()
		return false
	}
	x.state.ended = true
	x.state.aborted = aborted
	if aborted && !x.state.begun && x.check != nil {
		end.result = resultBeforeWrite(end.result)
	}
	x.mu.Unlock()
	end.elapsed = time.Since(x.startedAt)
	x.onEnd(end)
	x.cancel(errCanceled) // releases the context's timer
	return true
}

// resultBeforeWrite returns the result of an attempt that was aborted before its first byte. Nothing will be written any
// more, so the job has certainly not run.
func resultBeforeWrite(result balance.Result) balance.Result {
	if result == balance.TimedOut {
		return balance.ConnectFailed
	}
	return balance.Suppressed
}

// endedByAnswer reports whether the exchange has ended without being aborted.
func (x *exchange) endedByAnswer() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.ended && !x.state.aborted
}

// connEnded handles the end of the connection. If the request is not completely written, its writer decides the result:
// a request whose last byte was never written has not run.
func (x *exchange) connEnded() {
	x.mu.Lock()
	x.state.connBroken = true
	written := x.state.written
	x.mu.Unlock()
	if written {
		x.end(exchangeEnd{result: balance.ConnectionReset})
	}
}

// unsolicited reports whether the data on a connection was received before the exchange began on it, and so cannot be
// its answer. The connection is then marked stale and must not be used.
func (x *exchange) unsolicited(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.state.begun || x.state.conn != c {
		c.stale = true
	}
	return c.stale
}
