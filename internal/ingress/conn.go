package ingress

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"swiftdeal/internal/httphead"
	"swiftdeal/internal/request"
	"swiftdeal/internal/socketreader"
)

// Conn is a client connection. It buffers the raw bytes of the current request's head, reads ahead while a request is
// open to detect that the client disconnects, and can be handed over to another process while it is idle. The HTTP
// server reads, writes and closes it; the other methods may be called from any goroutine.
type Conn struct {
	net.Conn
	options  *ConnOptions
	reader   socketreader.Reader
	body     bodyReservation // of the request that is being read; guarded by its budget
	isSocket bool            // reads go through reader; if false, through net.Conn, and a close by the client is detected only by reading

	mu           sync.Mutex // guards the fields below
	head         headBuffer
	deadlines    readDeadlines
	request      requestState
	handover     handoverState
	linger       lingeringClose
	ahead        *readAhead // nil until a client sends something behind an open request
	clientClosed bool       // a read has returned the end of the stream or a connection error
	evicted      bool

	disconnected chan struct{} // closed on a disconnect behind bytes read ahead, which the server does not detect
}

// ConnOptions are the limits of a client connection.
type ConnOptions struct {
	// MaxHead limits a request's head: that many bytes are buffered, and one with more fields is not passed to the server.
	MaxHead       httphead.Limits
	MaxBody       int64            // bytes of a request's body
	LingerTimeout time.Duration    // how long a close after a response waits for the client to stop sending
	ReadAhead     *ReadAheadBudget // shared with other connections; nil: only unreservedBytes are kept, and reading is not paced
	// EvictionAnswer returns the answer to a request of which a part has been read when its connection is evicted; nil: there is none.
	EvictionAnswer func() []byte
}

// NewConn wraps a client connection and takes ownership of it. Connections may share their options.
func NewConn(conn net.Conn, options *ConnOptions) *Conn {
	c := &Conn{Conn: conn, options: options, disconnected: make(chan struct{})}
	c.head.maxBytes = options.MaxHead.Bytes
	c.head.maxFields = options.MaxHead.Fields
	c.linger.timeout = options.LingerTimeout
	c.isSocket = c.reader.Open(conn, (*readObserver)(c))
	return c
}

// SetArrivalDelay sets an upper bound on how long the connection waited before it is served. The arrival time of
// its first request is moved back by as much, or by what the system tells of the data that has been received.
func (c *Conn) SetArrivalDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delay >= minExactDelay && c.isSocket {
		if unreadFor, known := c.reader.UnreadFor(); known {
			delay = min(delay, unreadFor)
		}
	}
	c.request.arrivalDelay = delay
}

// minExactDelay is the delay from which on the system is asked when data was received.
const minExactDelay = 10 * time.Millisecond

// SetHeadTimeout limits how long the rest of a request head may take on a connection that was idle, counted from the
// first bytes of the head.
func (c *Conn) SetHeadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlines.headTimeout = timeout
}

// SetReadDeadline implements net.Conn. Once a head has begun after the last response, the effective deadline is no
// later than the head's own.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadlines.set(c.Conn, t)
}

// MarkIdle records that the last response has been written and that the connection is ready for the next request.
func (c *Conn) MarkIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.end()
	c.startHeadTimeout()
}

// startHeadTimeout starts the head timeout if the connection is idle and the first bytes of the next head are
// buffered. The caller holds mu.
func (c *Conn) startHeadTimeout() {
	if c.request.idle && !c.head.empty() {
		c.deadlines.startHeadDeadline(c.Conn)
	}
}

// OnUnanswered sets a callback for the case that the connection is closed while a request is open without a response
// and the client is still connected.
func (c *Conn) OnUnanswered(callback func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.onUnanswered = callback
}

// State implements request.Client. It checks the socket itself, as a close by the client may not have been read yet, also where
// unread data is before it.
func (c *Conn) State() request.ClientState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clientClosed {
		return request.ClientLeft
	}
	switch state := c.peerState(); {
	case state == socketreader.PeerLeft:
		return request.ClientLeft
	case state == socketreader.PeerUnread || c.unsettledFor() > 0:
		return request.ClientUnread
	}
	return request.ClientConnected
}

// HasUnread reports whether the client has sent something behind its request that has not been read. It asks the system only if something
// came behind this request, or an earlier one, before: it may miss what has just come.
func (c *Conn) HasUnread() bool {
	c.mu.Lock()
	sentAhead := c.ahead != nil || !c.head.empty()
	c.mu.Unlock()
	return sentAhead && c.State() == request.ClientUnread
}

// peerState checks the socket. The caller holds mu.
func (c *Conn) peerState() socketreader.PeerState {
	if !c.isSocket {
		return socketreader.PeerOpen
	}
	return c.reader.PeerState()
}

// readObserver implements socketreader.Owner for a Conn.
type readObserver Conn

// Lock implements sync.Locker.
func (o *readObserver) Lock() { o.mu.Lock() }

// Unlock implements sync.Locker.
func (o *readObserver) Unlock() { o.mu.Unlock() }

// OnRead implements socketreader.Owner.
func (o *readObserver) OnRead(p []byte) {
	c := (*Conn)(o)
	now := time.Now()
	if c.ahead != nil && c.ahead.active {
		c.ahead.add(p, now)
		c.observeBacklog(len(p), now)
		return
	}
	c.observe(p, now)
}

// observe adds what the server reads, which arrived at the given time, to the head buffer. The caller holds mu.
func (c *Conn) observe(p []byte, arrivedAt time.Time) {
	c.request.lastReadAt = arrivedAt
	headStarted := c.head.write(p)
	if headStarted && c.request.open {
		c.request.headArrivedAt = c.request.lastReadAt
	}
	c.startHeadTimeout()
}

// Read implements net.Conn. In place of a head with too many fields it returns a line that does not end: the server then does
// not parse the fields, and answers as it does to a head with too many bytes.
func (c *Conn) Read(p []byte) (int, error) {
	if c.headRefused() {
		return fillLine(p), nil
	}
	n, err := c.read(p)
	if n > 0 && c.headRefused() {
		return fillLine(p), nil
	}
	if n == 1 && len(p) == 1 { // the server's background read, which watches for a disconnect, reads one byte and no more
		c.startReadAhead(readAheadDelay)
	}
	return n, err
}

// headRefused reports whether the head being read has too many fields. A head behind an open request has its turn later.
func (c *Conn) headRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.request.open && c.head.tooManyFields()
}

// fillLine fills p with part of a line and returns its length.
func fillLine(p []byte) int {
	for i := range p {
		p[i] = 'x'
	}
	return len(p)
}

// read reads the connection, or what was read ahead of it.
func (c *Conn) read(p []byte) (int, error) {
	n, err := c.consumeReadAhead(p)
	if n > 0 || err != nil {
		return n, err
	}
	if c.tryHandOver() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err = c.readUnlessEvicted(p, (*Conn).readSocket)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.rearmRead() {
		if c.tryHandOver() {
			return 0, err
		}
		n, err = c.readUnlessEvicted(p, (*Conn).readSocket)
	}
	return n, err
}

// rearmRead restores the read deadline after an interruption that hit a read that is to go on. It reports whether
// there was one.
func (c *Conn) rearmRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadlines.rearm(c.Conn)
}

// readUnlessEvicted reads from the connection by the given function and fails with net.ErrClosed once the connection is evicted.
func (c *Conn) readUnlessEvicted(p []byte, read func(*Conn, []byte) (int, error)) (int, error) {
	n, err := read(c, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted { // a request read after the eviction cannot be answered and so must not be served
		return 0, net.ErrClosed
	}
	if err != nil && !isTemporary(err) && !errors.Is(err, net.ErrClosed) {
		c.clientClosed = true
	}
	return n, err
}

// isTemporary reports whether a read failed although the connection has not ended.
func isTemporary(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, socketreader.ErrNoData)
}

func (c *Conn) readSocket(p []byte) (int, error) {
	if c.isSocket {
		return c.reader.Read(p)
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	(*readObserver)(c).OnRead(p[:max(n, 0)])
	return n, err
}

// readAvailable is readSocket, but does not wait. The connection must be a socket.
func (c *Conn) readAvailable(p []byte) (int, error) { return c.reader.TryRead(p) }

// interimResponse asks the client for the body of its request. The server writes it in one piece.
var interimResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// Write implements net.Conn. Once the final response has begun, bytes that the client sends may be its next request, and a
// disconnect no longer cancels the current one. Reading ahead therefore stops.
func (c *Conn) Write(p []byte) (int, error) {
	interim := bytes.Equal(p, interimResponse)
	if !c.beginWrite(interim) {
		return 0, net.ErrClosed
	}
	if !interim {
		c.stopReadAhead()
	}
	return c.Conn.Write(p)
}

// beginWrite records that a response is about to be written. It returns false if the connection was evicted before.
func (c *Conn) beginWrite(interim bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	if !interim {
		c.linger.responseInFlight = true
		c.request.responseStarted = true
	}
	return true
}

// CloseWrite shuts down the sending side. The server calls it before it closes the connection, so that a reset does
// not destroy a response that the client has not read.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	c.request.closing = true
	c.mu.Unlock()
	return c.closeWrite()
}

func (c *Conn) closeWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. A connection that is being handed over goes to its recipient instead, and one whose last
// response may still be in flight lingers.
func (c *Conn) Close() error {
	c.mu.Lock()
	recipient := c.handover.takeRecipient()
	lingering := recipient == nil && c.startLinger()
	onUnanswered := c.unansweredHook()
	c.request.open = false
	c.ahead.release()
	c.mu.Unlock()
	if onUnanswered != nil {
		onUnanswered()
	}
	if recipient != nil {
		c.Conn.SetDeadline(time.Time{})
		recipient(c.Conn)
		return nil
	}
	if lingering {
		go c.closeAfterLinger()
		return nil
	}
	return c.Conn.Close()
}

// CloseAfterAnswer closes the connection after its last response, and returns once a lingering close is over.
func (c *Conn) CloseAfterAnswer() {
	c.mu.Lock()
	lingering := c.startLinger()
	c.request.open = false
	c.ahead.release()
	c.mu.Unlock()
	if lingering {
		c.closeAfterLinger()
		return
	}
	c.Conn.Close()
}

// unansweredHook returns the OnUnanswered callback if closing the connection loses an open request of a client that
// is still connected, else nil. The caller holds mu.
func (c *Conn) unansweredHook() func() {
	if !c.request.open || c.request.responseStarted || c.clientClosed || c.evicted || c.peerState() == socketreader.PeerLeft {
		return nil
	}
	return c.request.onUnanswered
}

// completeRequest records that the open request has been read whole. It returns false if the connection was evicted before.
func (c *Conn) completeRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.complete = true
	return !c.evicted
}

// takeHead takes the head of the request that begins from the buffer; see headBuffer.take.
func (c *Conn) takeHead(bodyLength int64) (head []byte, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger.responseInFlight = false
	c.request.begin()
	c.deadlines.clearHeadDeadline(c.Conn)
	c.request.complete = bodyLength == 0
	head, known = c.head.take(bodyLength)
	if !c.head.empty() {
		c.request.headArrivedAt = c.request.lastReadAt
	}
	return head, known
}
