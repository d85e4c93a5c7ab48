package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// consumeReadAhead serves a read from what was read ahead, then returns the error that ended reading ahead. It returns 0 and nil if
// there is neither.
func (c *Conn) consumeReadAhead(p []byte) (n int, err error) {
	c.stopReadAhead()
	for {
		var skipping bool
		n, skipping, err = c.consumeReceived(p)
		if n > 0 || err != nil || !skipping {
			return n, err
		}
		if err = c.readSkipped(); err != nil {
			return 0, err
		}
	}
}

// consumeReceived is consumeReadAhead for what was received. skipping says that the server waits for the end of a request that is skipped.
func (c *Conn) consumeReceived(p []byte) (n int, skipping bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 1 { // a read of one byte may be the server's background read, which can begin after the response
		c.linger.responseInFlight = false
	}
	if c.ahead == nil {
		return 0, false, nil
	}
	if c.ahead.err != nil && len(c.ahead.data) == 0 {
		return 0, false, c.ahead.err // no one is there for refusals
	}
	n, arrivedAt := c.ahead.consume(p)
	if n > 0 {
		c.observe(p[:n], arrivedAt)
	} else if c.ahead.cut {
		err = io.ErrUnexpectedEOF
	}
	return n, c.ahead.skipping, err
}

// readSkipped reads more of a request that is skipped. As for a head that has begun, the time for it is limited.
func (c *Conn) readSkipped() error {
	c.mu.Lock()
	c.ahead.active = true
	if c.request.idle {
		c.deadlines.startHeadDeadline(c.Conn)
	}
	c.mu.Unlock()
	var buffer [firstReadBytes]byte
	_, err := c.readUnlessEvicted(buffer[:], (*Conn).readSocket)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.rearmRead() {
		err = nil
	}
	c.mu.Lock()
	c.ahead.active = false
	c.mu.Unlock()
	c.payForReading(context.Background())
	return err
}

// ResumeConn wraps a client connection with an open request, which another process has handed over, and starts to read ahead. received is
// what the client has sent behind the request. framingKnown says that the end of the request was found, so that another request may
// follow.
func ResumeConn(conn net.Conn, options *ConnOptions, received []byte, framingKnown bool) *Conn {
	c := NewConn(conn, options)
	c.request.open = true
	c.head.framingLost = !framingKnown
	c.ahead = &readAhead{options: options}
	c.ahead.begin(nil, framingKnown)
	now := time.Now()
	c.ahead.add(received, now)
	c.observeBacklog(len(received), now)
	c.startReadAhead(0)
	return c
}

// HoldsNextRequest reports whether a request behind the open one has been read, at least its head. Nothing more is read ahead after it.
func (c *Conn) HoldsNextRequest() bool {
	c.stopReadAhead()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.holdsRequest() || !c.ahead.empty()
}

// Refuses reports whether requests that the client has sent were dropped, and wait to be refused. Such a connection cannot be handed over.
func (c *Conn) Refuses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.refuses()
}

// TakeReadAhead stops reading ahead and returns the data, with an error if the client has disconnected. The caller reads the
// connection from then on.
func (c *Conn) TakeReadAhead() ([]byte, error) {
	c.stopReadAhead()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead == nil {
		return nil, nil
	}
	data, err := c.ahead.data, c.ahead.err
	c.ahead.release()
	return data, err
}
