package transport

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"time"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// conn is a connection to a worker. One goroutine reads it for its whole lifetime, so that a close by the worker is
// noticed even while the connection is idle.
type conn struct {
	net.Conn
	pool        *pool
	worker      string
	address     string            // empty if not known; the connection is then not reused
	workerStart time.Duration     // start time of the worker process, from the endpoint list
	limited     *io.LimitedReader // limits the size of an answer's header
	reader      *bufio.Reader
	recorder    *answerRecorder // nil if migration is not enabled
	connCheck   *connCheck      // reads the socket; nil if the connection is not a socket

	// Guarded by the pool's lock.
	current   *exchange   // the current exchange, nil while idle
	idleTimer *time.Timer // closes the connection after WorkerIdleTimeout

	stale bool // closed, or data received, before the current exchange began; guarded by that exchange's lock
}

// newConn adds a connection to the pool, in use by an exchange; p.mu must be held.
func (p *pool) newConn(raw net.Conn, x *exchange, address string) *conn {
	c := &conn{Conn: raw, pool: p, worker: x.worker, address: address, current: x}
	p.conns[c] = true
	source := io.Reader(raw)
	if c.connCheck = newConnCheck(raw, p.readHook); c.connCheck != nil {
		source = c.connCheck
	}
	c.limited = &io.LimitedReader{R: source, N: math.MaxInt64}
	if p.attempts != nil {
		c.recorder = &answerRecorder{raw: raw, source: source, maxBytes: p.limits.ReplayableResponseBytes}
		c.limited.R = c.recorder
	}
	c.reader = bufio.NewReaderSize(c.limited, readBufferBytes)
	return c
}

// currentExchange returns the exchange that uses the connection, nil if it is idle.
func (c *conn) currentExchange() *exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.current
}

// readLoop reads answers until the connection is closed, detached or no longer reusable.
func (c *conn) readLoop() {
	defer c.leavePool()
	for {
		_, err := c.reader.Peek(1)
		x := c.currentExchange()
		if x == nil || x.unsolicited(c) { // closed while idle, or unsolicited data
			return
		}
		if err != nil || !c.readAnswer(x) {
			c.endExchange(x)
			return
		}
		if !c.pool.release(c) {
			return
		}
	}
}

// endExchange ends the current exchange after its connection was closed or detached.
func (c *conn) endExchange(x *exchange) {
	if c.recorder.isDetached() {
		c.pool.forgetAttempt(x)
		x.endDetached()
		return
	}
	x.connEnded()
}

// leavePool closes the connection, unless it was detached for another process, and removes it from the pool.
func (c *conn) leavePool() {
	if !c.recorder.isDetached() {
		c.Close()
	}
	if c.recorder != nil {
		c.recorder.reset()
	}
	c.pool.remove(c)
}

// readAnswer reads one answer and reports whether the connection can be reused.
func (c *conn) readAnswer(x *exchange) bool {
	resp, err := c.readHeader(x.method)
	if err != nil {
		return false
	}
	x.answer.read(resp)
	if c.recorder.isDetached() {
		return false
	}
	// The connection is reusable only after the answer has been read to its end.
	limits := &c.pool.limits
	maxTail := int64(limits.LineBytes)
	c.SetReadDeadline(time.Now().Add(limits.ResponseEndTimeout))
	tail, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxTail))
	if err != nil || tail >= maxTail || resp.Close || c.reader.Buffered() > 0 {
		return false
	}
	return x.awaitWritten(c, limits.ResponseEndTimeout) && x.endedByAnswer()
}

// readHeader reads the status line and header of an answer and skips interim (1xx) responses. It limits the header's
// size; the body has limits of its own.
func (c *conn) readHeader(method string) (*http.Response, error) {
	c.limited.N = int64(c.pool.limits.HeaderBytes)
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		interim := resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols
		if !interim {
			c.limited.N = math.MaxInt64
			return resp, nil
		}
	}
}
