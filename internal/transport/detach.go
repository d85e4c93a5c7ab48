package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"swiftdeal/internal/request"
)

// tap reads a connection to a peer and keeps what has come of the answer in hand, so that the connection can go to another
// process, which reads the answer from its start. One that is long by now stays: it is about to end.
type tap struct {
	raw  net.Conn
	in   io.Reader // what raw is read by
	most int       // bytes kept

	mu   sync.Mutex
	seen []byte
	long bool           // more has come
	want chan *Detached // where the connection is to go; nil while it stays
	gone bool           // nobody reads it here any more
}

// Detached is a connection to a peer with a try under way on it.
type Detached struct {
	Conn net.Conn
	Seen []byte // what has come of the answer
}

// Read implements io.Reader. The reader gives the connection away itself: no byte can be lost in between.
func (t *tap) Read(p []byte) (int, error) {
	for {
		n, err := t.in.Read(p)
		t.mu.Lock()
		if n == 0 && t.want != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			t.raw.SetReadDeadline(time.Time{})
			if !t.long {
				t.gone = true
				t.want <- &Detached{t.raw, bytes.Clone(t.seen)}
				t.mu.Unlock()
				return 0, err
			}
			t.stay()
			t.mu.Unlock()
			continue
		}
		if t.long = t.long || len(t.seen)+n > t.most; !t.long {
			t.seen = append(t.seen, p[:n]...)
		}
		t.mu.Unlock()
		return n, err
	}
}

// stay says that the connection does not go; mu is held.
func (t *tap) stay() {
	if t.want != nil {
		close(t.want)
		t.want = nil
		t.raw.SetReadDeadline(time.Time{})
	}
}

// next forgets the answer in hand: the next one begins, or none.
func (t *tap) next() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stay()
	t.seen, t.long = t.seen[:0], false
}

// left reports whether the connection has been given away.
func (t *tap) left() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gone
}

// ask has the connection given away, by its reader. The channel brings it, or is closed if it stays.
func (t *tap) ask() <-chan *Detached {
	t.mu.Lock()
	defer t.mu.Unlock()
	want := make(chan *Detached, 1)
	if t.want != nil || t.gone {
		close(want)
		return want
	}
	t.want = want
	t.raw.SetReadDeadline(time.Unix(1, 0))
	return want
}

// Movable lets tries go to another process. Without it nothing is kept for that.
func (s *Stage) Movable() { s.pool.tries = map[string]*exchange{} }

// Detach takes the latest try of a request off its connection, which is returned, and with it what has come of the answer.
// The try ends untold. It returns nil where that cannot be: the request is not written yet, or the answer is about to end.
func (s *Stage) Detach(id string) *Detached {
	s.pool.mu.Lock()
	x := s.pool.tries[id]
	s.pool.mu.Unlock()
	if x == nil {
		return nil
	}
	x.mu.Lock()
	c, ready := x.conn, x.written && !x.ended
	x.mu.Unlock()
	if !ready || c == nil || c.tap == nil {
		return nil
	}
	timer := time.NewTimer(s.limits.DetachWait)
	defer timer.Stop()
	want := c.tap.ask()
	select {
	case d := <-want:
		return d
	case <-timer.C:
	}
	c.tap.mu.Lock()
	defer c.tap.mu.Unlock()
	select {
	case d := <-want: // in the last moment
		return d
	default:
		c.tap.want = nil // its reader is busy with more important things
		c.tap.raw.SetReadDeadline(time.Time{})
		return nil
	}
}

// Adopt goes on with a try that another process has begun: its answer is read from its start.
func (s *Stage) Adopt(c *request.Context, attempt int, peer string, d Detached) (cancel func()) {
	x := s.exchange(c, attempt, peer)
	x.begun, x.written = true, true
	x.begin(c.Deadline)
	s.pool.adopt(x, d)
	return func() { x.cancel(errCancelled) }
}

// adopt takes up a connection with an exchange under way, also past the budget: the other process has it no more.
func (p *pool) adopt(x *exchange, d Detached) {
	p.mu.Lock()
	p.count++
	c := p.conn(d.Conn, x, d.Conn.RemoteAddr().String())
	p.mu.Unlock()
	c.limit.R = io.MultiReader(bytes.NewReader(d.Seen), c.limit.R)
	if c.tap != nil {
		c.tap.seen = append(c.tap.seen, d.Seen...)
	}
	x.mu.Lock()
	x.conn = c
	ended := x.ended
	x.mu.Unlock()
	if ended { // called off, or out of time
		c.Close()
	}
	go c.serve()
}

// left reports whether the exchange's connection has been given away.
func (x *exchange) left() bool {
	x.mu.Lock()
	c := x.conn
	x.mu.Unlock()
	return c != nil && c.tap.left()
}

// detached ends an exchange whose connection has gone: untold, as it goes on elsewhere.
func (x *exchange) detached() {
	x.mu.Lock()
	first := !x.ended
	x.ended, x.called = true, true
	x.mu.Unlock()
	if first {
		x.cancel(context.Canceled)
	}
}
