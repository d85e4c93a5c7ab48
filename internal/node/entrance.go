package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// entrance is a listener that can be shut for a while without closing its socket, which another process shares, and
// that takes connections that come otherwise.
type entrance struct {
	net.Listener
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once

	mu   sync.Mutex
	open chan struct{} // closed while the entrance is open
	err  error         // of the socket
}

func newEntrance(ln net.Listener) *entrance {
	e := &entrance{Listener: ln, conns: make(chan net.Conn), done: make(chan struct{}), open: make(chan struct{})}
	close(e.open)
	go e.take()
	return e
}

// take accepts from the socket until that fails.
func (e *entrance) take() {
	for pause := time.Duration(0); ; {
		e.mu.Lock()
		open := e.open
		e.mu.Unlock()
		select {
		case <-open:
		case <-e.done:
			return
		}
		c, err := e.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // shut
		}
		if isTemporary(err) { // descriptors are short: some will be free, and the listener must not end
			pause = min(max(2*pause, 5*time.Millisecond), time.Second)
			timer := time.NewTimer(pause)
			select {
			case <-timer.C:
			case <-e.done:
			}
			timer.Stop()
			continue
		}
		pause = 0
		if err != nil {
			e.mu.Lock()
			e.err = err
			e.mu.Unlock()
			e.once.Do(func() { close(e.done) })
			return
		}
		e.bring(c)
	}
}

// isTemporary reports whether accepting may succeed later, as net/http has it for its own listeners.
func isTemporary(err error) bool {
	var t interface{ Temporary() bool }
	return errors.As(err, &t) && t.Temporary()
}

// bring hands over a connection that did not come by the socket. It waits until it is accepted.
func (e *entrance) bring(c net.Conn) {
	select {
	case e.conns <- c:
	case <-e.done:
		c.Close()
	}
}

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
	case c := <-e.conns:
		return c, nil
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
	return e.Listener.Close()
}
