package takein

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"sync"
	"time"
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
	by    time.Time      // the read deadline that the server has set
}

// NewConn wraps a client connection. A head of up to most bytes is kept.
func NewConn(c net.Conn, most int) *Conn { return &Conn{Conn: c, most: most} }

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

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by, c.woken = t, false
	return c.Conn.SetReadDeadline(t)
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

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	give := c.give
	if !c.gone {
		give = nil
	}
	c.give = nil
	c.mu.Unlock()
	if give != nil {
		c.Conn.SetDeadline(time.Time{})
		give(c.Conn)
		return nil
	}
	return c.Conn.Close()
}

// Read implements net.Conn. What usual requests pay is one copy of their head.
func (c *Conn) Read(p []byte) (int, error) {
	if c.leaves() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.again() {
		if c.leaves() {
			return 0, err
		}
		n, err = c.Conn.Read(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	got := p[:max(n, 0)]
	over := min(c.skip, int64(len(got)))
	c.skip -= over
	got = got[over:]
	c.head = append(c.head, got[:min(len(got), max(c.most-len(c.head), 0))]...)
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
	end := endOfHead(c.head)
	if c.lost = c.lost || end < 0; c.lost {
		c.head = nil
		return nil, false
	}
	head, rest := c.head[:end:end], c.head[end:]
	c.lost = body < 0
	c.skip = max(body-int64(len(rest)), 0)
	c.head = append([]byte(nil), rest[min(max(body, 0), int64(len(rest))):]...)
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
