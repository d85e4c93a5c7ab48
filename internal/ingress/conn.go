package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"sync"
	"time"

	"swiftdeal/internal/request"
	"swiftdeal/internal/sockread"
)

// Conn is a client connection that keeps the head of the request in hand as it came. The server drops a
// Content-Length that stands beside a Transfer-Encoding before any handler sees it, though the two together may
// hide a second request in the body of the first.
type Conn struct {
	net.Conn
	most int // bytes kept

	mu   sync.Mutex
	head []byte // what came since the head began
	skip int64  // bytes of a body that have not come yet
	lost bool   // where the next head begins is not known

	// What lets an idle connection go to another process, whole.
	give  func(net.Conn) // takes it in place of a close; nil while it stays
	woken bool           // its reader was woken to look at give
	gone  bool           // nobody reads it any more: it goes
	by    time.Time      // the read deadline that is set
	asked time.Time      // the one that the server has asked for

	in       sockread.Reader
	socket   bool          // it is read by in
	linger   time.Duration // for a client to end its sending, when the connection is closed after an answer
	answered bool          // written to, and not read since: the last answer may be on its way
	evicted  bool
	left     chan struct{} // closed when the client has left while it waited, where the server does not see that
	ahead    *ahead        // reads what follows a request that is open; nil: nobody does
	over     func()        // told when a lingering close is over
	lingers  bool

	waited time.Duration // before it was accepted, at most; counted for its first request alone

	headWait time.Duration // for the rest of a head, from its first bytes; 0: as the server has it
	resting  bool          // between two requests
	headBy   time.Time     // the rest of the head that has begun there must have come by then; zero: none has begun

	open    bool      // a request has been taken, and the connection has not rested since
	replied bool      // something of an answer to it has been written
	ended   bool      // reading has met the client's end
	owed    func()    // told where the connection is closed with a request that was taken and not answered; nil: nobody is
	tookAt  time.Time // when bytes were last read
	aheadAt time.Time // when the head in hand began, if it came behind an open request
}

// NewConn wraps a client connection. A head of up to most bytes is kept, and after an answer the client has for so long as
// linger to end its sending.
func NewConn(c net.Conn, most int, linger time.Duration) *Conn {
	own := &Conn{Conn: c, most: most, linger: linger, left: make(chan struct{})}
	own.socket = own.in.Open(c, (*owner)(own))
	return own
}

// Waited says how long the connection may have waited before it was accepted: its first request may have come as long ago.
func (c *Conn) Waited(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waited = d
}

// sinceSent is how much earlier than it was read a request may have come. It is asked for once for each request.
func sinceSent(r *http.Request) (d time.Duration) {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		d, c.waited = c.waited, 0
	}
	return d
}

// owner is a Conn as its reader has it.
type owner Conn

// Lock implements peek.Owner.
func (o *owner) Lock() { o.mu.Lock() }

// Unlock implements peek.Owner.
func (o *owner) Unlock() { o.mu.Unlock() }

// Took implements peek.Owner: it keeps the head of what was read.
func (o *owner) Took(p []byte) {
	c := (*Conn)(o)
	c.tookAt = time.Now()
	over := min(c.skip, int64(len(p)))
	c.skip -= over
	p = p[over:]
	if c.open && len(c.head) == 0 && len(p) > 0 {
		c.aheadAt = c.tookAt
	}
	c.head = append(c.head, p[:min(len(p), max(c.most-len(c.head), 0))]...)
	c.beginHead()
}

// Give has a connection that is idle given away as soon as nothing of a request has come: the server then finds it at
// its end, and closes it, which gives it away. Keep takes that back; it is to be called when a request begins.
func (c *Conn) Give(give func(net.Conn)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gone {
		c.give, c.woken = give, true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Keep undoes Give, if it is not too late.
func (c *Conn) Keep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gone {
		c.give = nil
	}
}

// SetReadDeadline implements net.Conn. Where a head has begun behind the last answer, the deadline is no later than its own:
// the server waits for a head's first four bytes as long as for a connection that rests.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = t
	if !c.headBy.IsZero() && (t.IsZero() || c.headBy.Before(t)) {
		t = c.headBy
	}
	c.by, c.woken = t, false
	return c.Conn.SetReadDeadline(t)
}

// HeadWait sets how long the rest of a head may take on a connection that has rested, from the head's first bytes.
func (c *Conn) HeadWait(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headWait = d
}

// Rests says that the last answer has been given and the next request may come.
func (c *Conn) Rests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting, c.open = true, false
	c.beginHead()
}

// beginHead winds the clock for a head's rest if its first bytes are in hand; mu is held.
func (c *Conn) beginHead() {
	if c.resting && c.headWait > 0 && c.headBy.IsZero() && len(c.head) > 0 {
		c.headBy = time.Now().Add(c.headWait)
		if c.by.IsZero() || c.headBy.Before(c.by) {
			c.by = c.headBy
			c.Conn.SetReadDeadline(c.by)
		}
	}
}

// leaves reports whether the connection goes instead of being read: no byte of a request is in hand.
func (c *Conn) leaves() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.give != nil && len(c.head) == 0 && c.skip == 0 && !c.lost {
		c.gone = true
	}
	return c.gone
}

// again undoes a wake that has met a reader who reads on, and reports whether there was one.
func (c *Conn) again() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	woken := c.woken
	if c.woken = false; woken {
		c.Conn.SetReadDeadline(c.by)
	}
	return woken
}

// Evict closes the connection, unless a request has been read from it: that one is answered. What the system still holds is
// not read any more, and never sent on.
func (c *Conn) Evict() bool {
	if !c.evict() {
		return false
	}
	// Not under the lock: the system's close waits for a read under way, and that read for the lock.
	c.Conn.Close()
	return true
}

// evict marks the connection as evicted, unless a request has been read from it. What is read from then on is dropped.
func (c *Conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if endOfHead(c.head) >= 0 || c.skip > 0 || c.gone {
		return false
	}
	c.evicted = true
	return true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	give := c.give
	if !c.gone {
		give = nil
	}
	c.give = nil
	lingers := give == nil && c.answered && c.socket && c.linger > 0 && !c.evicted && !c.lingers && c.CloseWrite() == nil
	c.lingers = c.lingers || lingers
	owed := c.owed
	if !c.open || c.replied || c.ended || c.evicted || (c.socket && c.in.Ended()) {
		owed = nil
	}
	c.open = false
	c.mu.Unlock()
	if owed != nil {
		owed()
	}
	if give != nil {
		c.Conn.SetDeadline(time.Time{})
		give(c.Conn)
		return nil
	}
	if lingers {
		go c.drop()
		return nil
	}
	return c.Conn.Close()
}

// mostDropped is how many bytes a lingering close reads.
const mostDropped = 256 << 10

// drop reads off what still comes, for a while, and closes. Guards against an answer that is lost: a close over unread bytes
// resets the connection, and takes along what the client has not read yet.
func (c *Conn) drop() {
	c.stopAhead()
	Linger(c.Conn, c.linger)
	c.Conn.Close()
	c.mu.Lock()
	over := c.over
	c.lingers, c.over = false, nil
	c.mu.Unlock()
	if over != nil {
		over()
	}
}

// Linger ends sending on a connection and reads off what comes, until its other end is done too, or for so long at most.
func Linger(c net.Conn, wait time.Duration) {
	if w, ok := c.(*net.TCPConn); ok && wait > 0 && w.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(wait))
		io.Copy(io.Discard, io.LimitReader(c, mostDropped))
	}
}

// Lingers reports whether a lingering close is under way; over is called when it ends.
func (c *Conn) Lingers(over func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingers {
		c.over = over
	}
	return c.lingers
}

// Cut ends a lingering close.
func (c *Conn) Cut() { c.Conn.Close() }

// Write implements net.Conn. From its first byte on an answer is what the client waited for: what it sends then may be its next
// request, and whether it leaves does not matter any more.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answered, c.replied = true, true
	reads := c.ahead != nil
	c.mu.Unlock()
	if reads {
		c.stopAhead()
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. What usual requests pay is one copy of their head.
func (c *Conn) Read(p []byte) (int, error) {
	if n, err := c.readAhead(p); n > 0 || err != nil {
		return n, err
	}
	if c.leaves() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.again() {
		if c.leaves() {
			return 0, err
		}
		n, err = c.read(p)
	}
	if n == 1 && len(p) == 1 { // the server waits for the client to leave, and reads no further
		c.watchAhead()
	}
	return n, err
}

func (c *Conn) read(p []byte) (int, error) {
	n, err := c.readSystem(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted { // a request that was read since is not answered, and so not served either
		return 0, net.ErrClosed
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.ended = true
	}
	return n, err
}

// Present reports whether the client is there, by a look at what the system holds: its end may not have been read yet.
func (c *Conn) Present() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended && !(c.socket && c.in.Ended())
}

// OnOwed has lost called where the connection is closed with a request that was taken and not answered, while its client is there.
func (c *Conn) OnOwed(lost func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owed = lost
}

// clientOf returns a request's client; nil where it cannot be looked for.
func clientOf(r *http.Request) request.Client {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		return c
	}
	return nil
}

// readSystem reads what the system holds.
func (c *Conn) readSystem(p []byte) (int, error) {
	if c.socket {
		return c.in.Read(p)
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	(*owner)(c).Took(p[:max(n, 0)])
	return n, err
}

// CloseWrite ends sending. The server uses it so that an answer is not lost in a reset.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// take returns the head in hand, which the server has read whole, and goes on to the next one after a body of
// the given length; a negative one says that it is not known where the body ends. It reports false where the
// head is not known.
func (c *Conn) take(body int64) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered, c.resting, c.open, c.replied = false, false, true, false // a request begins
	if !c.aheadAt.IsZero() {                                             // its client's time has run since it came
		c.waited += time.Since(c.aheadAt)
		c.aheadAt = time.Time{}
	}
	if !c.headBy.IsZero() {
		c.headBy, c.by = time.Time{}, c.asked // the server may have begun to wait for the body
		c.Conn.SetReadDeadline(c.by)
	}
	end := endOfHead(c.head)
	if c.lost = c.lost || end < 0; c.lost {
		c.head = nil
		return nil, false
	}
	head, rest := c.head[:end:end], c.head[end:]
	c.lost = body < 0
	c.skip = max(body-int64(len(rest)), 0)
	c.head = append([]byte(nil), rest[min(max(body, 0), int64(len(rest))):]...)
	if len(c.head) > 0 {
		c.aheadAt = c.tookAt
	}
	return head, true
}

// endOfHead returns the place after the first empty line, or -1. A line ends as it does for the server: with LF,
// a CR before it or not.
func endOfHead(text []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(text[at:], '\n')
		if i < 0 {
			return -1
		}
		at += i + 1
		rest := bytes.TrimPrefix(text[at:], []byte("\r"))
		if len(rest) > 0 && rest[0] == '\n' {
			return len(text) - len(rest) + 1
		}
	}
}

// twoLengths reports whether a head gives both lengths of the body, or cannot be read.
func twoLengths(head []byte) bool {
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := r.ReadLine(); err != nil {
		return true
	}
	h, err := r.ReadMIMEHeader()
	return err != nil || (len(h["Content-Length"]) > 0 && len(h["Transfer-Encoding"]) > 0)
}

type connKey struct{}

// ConnContext is the server's hook that lets Read find the request's connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Left is closed when a request's client has left, where the request's own context does not tell.
func Left(r *http.Request) <-chan struct{} {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		return c.left
	}
	return nil
}

// Ready reports whether a request asks if the node is ready.
func Ready(r *http.Request) bool {
	if r.Method != http.MethodGet || r.URL.Path != "/ready" || r.ContentLength != 0 {
		return false
	}
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		c.take(0)
	}
	return true
}

// ambiguous reports whether a request hides its true length. Only one that is chunked, or of HTTP/1.0, where the
// server leaves Transfer-Encoding out of account, has its head read a second time.
func ambiguous(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return false // not over a connection of ours
	}
	head, known := c.take(r.ContentLength)
	if r.ContentLength >= 0 && r.ProtoAtLeast(1, 1) {
		return false
	}
	return !known || twoLengths(head)
}
