package simulation

import (
	"net"
	"os"
	"sync"
	"time"
)

// listenSocket is a socket on which a node accepts connections. Processes hold it open through listeners.
type listenSocket struct {
	mu      sync.Mutex
	cond    *sync.Cond
	backlog []*endpoint // not yet accepted: owned by no process
	open    int         // number of open listeners
}

// listener is a process's open descriptor of a listenSocket.
type listener struct {
	*listenSocket
	node     *process
	closed   bool
	deadline time.Time // Accept fails from this time on; zero: never
}

func newListener(n *process) *listener {
	l := &listenSocket{}
	l.cond = sync.NewCond(&l.mu)
	return l.openIn(n)
}

func (l *listenSocket) openIn(n *process) *listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	return &listener{listenSocket: l, node: n}
}

// offer adds a connection to the backlog; it reports false if no listener is open.
func (l *listenSocket) offer(c *endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == 0 {
		return false
	}
	l.backlog = append(l.backlog, c)
	l.cond.Broadcast()
	return true
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		switch {
		case l.closed:
			return nil, net.ErrClosed
		case expired(l.deadline):
			return nil, os.ErrDeadlineExceeded
		case len(l.backlog) > 0:
			c := l.backlog[0]
			l.backlog = l.backlog[1:]
			return l.node.openEndpoint(c.link), nil
		}
		l.cond.Wait()
	}
}

// SetDeadline sets the time from which Accept fails. Callers only set times in the past, so no timer wakes Accept later.
func (l *listener) SetDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = t
	l.cond.Broadcast()
	return nil
}

// Close implements net.Listener. Closing the last listener closes the connections in the backlog.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	if l.open--; l.open == 0 {
		for _, c := range l.backlog {
			l.node.openEndpoint(c.link).Close()
		}
		l.backlog = nil
	}
	l.cond.Broadcast()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.node.listen) }
