package ingress

import (
	"errors"
	"os"
	"time"

	"swiftdeal/internal/sockread"
)

// mostAhead is how much is read of what a client sends behind a request that is open. The rest waits at the system, and the client
// with it: by the protocol there is one request at a time.
const mostAhead = 16 << 10

// hangUpEvery is how often a client is looked for whose bytes are not read any more.
const hangUpEvery = 20 * time.Millisecond

// errHungUp says that a client has left behind bytes that were not read.
var errHungUp = errors.New("the client has hung up")

// ahead reads what follows an open request. The server's own watch for a client that leaves ends at the first byte that
// follows, and sees no close any more.
type ahead struct {
	text []byte
	err  error // of the connection; nil if it was stopped
	stop chan struct{}
	done chan struct{}

	stopped bool // stop is closed; guarded by the connection's lock
}

// watchAhead begins to read ahead.
func (c *Conn) watchAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead != nil || c.evicted || c.answered {
		return
	}
	a := &ahead{stop: make(chan struct{}), done: make(chan struct{})}
	c.ahead = a
	go func() {
		defer close(a.done)
		if a.err = c.readOn(a); a.err != nil {
			c.mu.Lock()
			c.ended = true
			c.mu.Unlock()
			close(c.left)
		}
	}()
}

// readOn reads ahead until it is stopped, which is no error, or the client has left.
func (c *Conn) readOn(a *ahead) error {
	b := make([]byte, 512)
	for len(a.text) < mostAhead {
		n, err := c.read(b)
		a.text = append(a.text, b[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	if !c.socket || !sockread.AwaitHangUp(&c.in, hangUpEvery, a.stop) {
		return errHungUp
	}
	return nil
}

// stopAhead ends that and returns what was read.
func (c *Conn) stopAhead() *ahead {
	c.mu.Lock()
	a := c.ahead
	if a == nil {
		c.mu.Unlock()
		return nil
	}
	if !a.stopped {
		a.stopped = true
		close(a.stop)
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
