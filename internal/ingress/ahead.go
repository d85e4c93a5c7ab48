package ingress

import (
	"errors"
	"os"
	"time"
)

// mostAhead is how much a client may send behind a request that is open. Whoever sends more breaks the protocol, by which
// there is one request at a time, and is taken to have left.
const mostAhead = 16 << 10

// ahead reads what follows an open request. The server's own watch for a client that leaves ends at the first byte that
// follows, and sees no close any more.
type ahead struct {
	text []byte
	err  error // of the connection; nil if it was stopped
	done chan struct{}
}

// watchAhead begins to read ahead.
func (c *Conn) watchAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead != nil || c.evicted || c.answered {
		return
	}
	a := &ahead{done: make(chan struct{})}
	c.ahead = a
	go func() {
		defer close(a.done)
		b := make([]byte, 512)
		for {
			n, err := c.read(b)
			a.text = append(a.text, b[:n]...)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return // stopped
			}
			if len(a.text) > mostAhead {
				err = errors.New("too many bytes behind an open request")
			}
			if err != nil {
				a.err = err
				close(c.left)
				return
			}
		}
	}()
}

// stopAhead ends that and returns what was read.
func (c *Conn) stopAhead() *ahead {
	c.mu.Lock()
	a := c.ahead
	if a == nil {
		c.mu.Unlock()
		return nil
	}
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	c.mu.Unlock()
	<-a.done
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Conn.SetReadDeadline(c.by)
	return a
}

// readAhead serves a read from what was read ahead, or its error. It returns nothing where nothing was.
func (c *Conn) readAhead(p []byte) (n int, err error) {
	a := c.stopAhead()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 1 { // the server's watch reads one byte, and may begin only after the answer
		c.answered = false
	}
	if a == nil {
		return 0, nil
	}
	n = copy(p, a.text)
	if a.text = a.text[n:]; len(a.text) == 0 && a.err == nil {
		c.ahead = nil
	}
	if n == 0 {
		err = a.err // for good: left is closed once
	}
	return n, err
}

// Ahead ends reading, and returns what was read ahead; an error says that the client has left.
func (c *Conn) Ahead() ([]byte, error) {
	a := c.stopAhead()
	if a == nil {
		return nil, nil
	}
	return a.text, a.err
}
