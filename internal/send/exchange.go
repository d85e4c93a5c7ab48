package send

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"swiftdeal/balance"
)

// errCancelled ends an exchange that is called off.
var errCancelled = errors.New("called off")

// exchange is one request to a peer and its answer. It is written once and never again: a second write
// would be a second copy that nobody decided on.
type exchange struct {
	peer   string
	name   string // of what it carries, for traces
	method string
	start  time.Time
	read   func(*http.Response) // reads the answer and calls end
	done   func(ending)         // told the end, once
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	conn    *conn
	written bool // the last byte is on its way
	broke   bool // the connection ended before that was known
	ended   bool
	called  bool // off, or overdue: the connection is closed
}

// ending is how an exchange ended.
type ending struct {
	result balance.Result
	text   string
	report *balance.Report
	took   time.Duration
}

// begin starts the exchange's clock: it ends by the deadline. All of its fields must be filled in before: where
// the deadline has passed already, its end is told at once.
func (x *exchange) begin(deadline time.Time) context.Context {
	x.start = time.Now()
	ctx, stop := context.WithDeadline(context.Background(), deadline)
	ctx, x.cancel = context.WithCancelCause(ctx)
	context.AfterFunc(ctx, func() {
		stop()
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			x.abort(balance.TimedOut)
		} else {
			x.abort(balance.Cancelled) // if it has not ended by itself
		}
	})
	return ctx
}

// run sends the request over a connection of the pool, and reports whether it was written whole. The connection's
// reader ends the exchange.
func (x *exchange) run(ctx context.Context, p *pool, at place, head, body []byte) (whole bool) {
	c, err := p.open(ctx, x, at)
	if err != nil {
		if errors.Is(err, errFull) {
			x.end(ending{result: balance.Moot})
		} else if ctx.Err() == nil { // else the context's end has told already
			x.end(ending{result: balance.ConnectFailed})
		}
		return false
	}
	x.mu.Lock()
	x.conn = c
	ended := x.ended
	x.mu.Unlock()
	if ended {
		c.Close()
		return false
	}
	// One call writes both, so that the body is not copied to stand behind its head.
	_, err = (&net.Buffers{head, body}).WriteTo(c.Conn)
	x.mu.Lock()
	x.written = err == nil
	broke := x.broke
	x.mu.Unlock()
	if err != nil {
		x.end(ending{result: balance.ConnectFailed})
		c.Close()
	} else if broke {
		x.end(ending{result: balance.Reset})
	}
	return err == nil
}

// broken takes the end of the connection. While the request is being written, its writer tells what that
// means: a request whose last byte was never written has not run.
func (x *exchange) broken() {
	x.mu.Lock()
	x.broke = true
	written := x.written
	x.mu.Unlock()
	if written {
		x.end(ending{result: balance.Reset})
	}
}

// abort ends the exchange and closes its connection: that is how a peer is told.
func (x *exchange) abort(r balance.Result) {
	if !x.finish(ending{result: r}, true) {
		return
	}
	x.mu.Lock()
	c := x.conn
	x.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// clean reports whether the exchange ended by its answer.
func (x *exchange) clean() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ended && !x.called
}

// end tells the end; only the first call counts.
func (x *exchange) end(e ending) { x.finish(e, false) }

// finish reports whether this was the first call. The mark that the exchange was called off is set together
// with its end: were it set later, the connection could be pooled in between, and be closed under another.
func (x *exchange) finish(e ending, called bool) bool {
	x.mu.Lock()
	first := !x.ended
	if first {
		x.ended, x.called = true, called
	}
	x.mu.Unlock()
	if first {
		e.took = time.Since(x.start)
		x.done(e)
		x.cancel(errCancelled) // stops the context's clock
	}
	return first
}
