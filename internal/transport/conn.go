package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"swiftdeal/internal/httphead"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// conn is a connection to a worker. One goroutine reads it for its whole lifetime, so that a close by the worker is
// noticed even while the connection is idle.
type conn struct {
	net.Conn
	pool        *pool
	worker      string
	address     string           // empty if not known; the connection is then not reused
	workerStart time.Duration    // start time of the worker process, from the endpoint list
	heads       *httphead.Reader // limits the heads of answers
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
	c.heads = &httphead.Reader{Source: source}
	if p.attempts != nil {
		c.recorder = &answerRecorder{raw: raw, source: source, maxBytes: p.limits.ReplayableResponseBytes}
		c.heads.Source = c.recorder
	}
	c.reader = bufio.NewReaderSize(c.heads, readBufferBytes)
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

// readHeader reads the status line and header of an answer and skips interim (1xx) responses, within the limits of a
// head.
func (c *conn) readHeader(method string) (*http.Response, error) {
	most := httphead.Limits{Bytes: c.pool.limits.HeaderBytes, Fields: c.pool.limits.HeaderFields}
	defer c.heads.EndHead()
	err := c.heads.BeginHead(most, c.received())
	for err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(c.reader, &http.Request{Method: method}); err != nil {
			break
		}
		interim := resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols
		if !interim {
			return resp, nil
		}
		err = c.heads.ContinueHead(c.received())
	}
	return nil, err
}

// received returns what has been read from the connection and not used yet.
func (c *conn) received() []byte {
	received, _ := c.reader.Peek(c.reader.Buffered()) // does not read
	return received
}
