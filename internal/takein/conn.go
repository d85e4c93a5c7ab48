package takein

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"net/textproto"
	"sync"
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
}

// NewConn wraps a client connection. A head of up to most bytes is kept.
func NewConn(c net.Conn, most int) *Conn { return &Conn{Conn: c, most: most} }

// Read implements net.Conn. What usual requests pay is one copy of their head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
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
