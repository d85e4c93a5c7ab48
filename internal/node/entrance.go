package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"swiftdeal/internal/listen"
)

// entrance is a listener that can be shut for a while without closing its socket, which another process shares, and
// that takes connections that come otherwise.
type entrance struct {
	net.Listener
	accepts *listen.Listener // accepts from the socket
	conns   chan arrival
	done    chan struct{}
	once    sync.Once
	waited  time.Duration // by the connection that Accept returned last; its caller's own

	mu   sync.Mutex
	open chan struct{} // closed while the entrance is open
	err  error         // of the socket
}

// arrival is a connection on its way to whoever accepts.
type arrival struct {
	net.Conn
	waited time.Duration // in the system's queue, at most
	at     time.Time     // when it left that
}

// newEntrance opens an entrance. failed is told of each failure of accept that is passed over.
func newEntrance(ln net.Listener, failed func(error)) *entrance {
	e := &entrance{Listener: ln, accepts: listen.New(ln, failed), conns: make(chan arrival), done: make(chan struct{}), open: make(chan struct{})}
	close(e.open)
	go e.take()
	return e
}

// take accepts from the socket until that fails.
func (e *entrance) take() {
	for {
		e.mu.Lock()
		open := e.open
		e.mu.Unlock()
		select {
		case <-open:
		case <-e.done:
			return
		}
		c, err := e.accepts.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // shut
		}
		if err != nil {
			e.mu.Lock()
			e.err = err
			e.mu.Unlock()
			e.once.Do(func() { close(e.done) })
			return
		}
		e.offer(arrival{c, e.accepts.Waited(), time.Now()})
	}
}

// bring hands over a connection that did not come by the socket. It waits until it is accepted.
func (e *entrance) bring(c net.Conn) { e.offer(arrival{c, 0, time.Now()}) }

func (e *entrance) offer(a arrival) {
	select {
	case e.conns <- a:
	case <-e.done:
		a.Close()
	}
}

// Waited is how long the connection that Accept returned last may have waited before. The goroutine that accepts may call it.
func (e *entrance) Waited() time.Duration { return e.waited }

// shut stops taking connections from the socket, or goes on with it.
func (e *entrance) shut(yes bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ln, ok := e.Listener.(interface{ SetDeadline(time.Time) error })
	select {
	case <-e.open:
		if yes {
			e.open = make(chan struct{})
			if ok {
				ln.SetDeadline(time.Unix(1, 0))
			}
		}
	default:
		if !yes {
			if ok {
				ln.SetDeadline(time.Time{})
			}
			close(e.open)
		}
	}
}

// Accept implements net.Listener.
func (e *entrance) Accept() (net.Conn, error) {
	select {
	case a := <-e.conns:
		e.waited = a.waited + time.Since(a.at)
		return a.Conn, nil
	case <-e.done:
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.err == nil {
			return nil, net.ErrClosed
		}
		return nil, e.err
	}
}

// Close implements net.Listener.
func (e *entrance) Close() error {
	e.once.Do(func() { close(e.done) })
	return e.accepts.Close()
}
