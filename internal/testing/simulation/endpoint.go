package simulation

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The network of a simulation. A node's goroutines use it through endpoint, dial and listener. What they do there is queued as an
// action and takes effect only once all goroutines are blocked. Everything else happens in the scheduler's goroutine.

// sendWindow is how many undelivered bytes a node may have on one connection before its writes block.
const sendWindow = 32 << 10

// endpoint is the node's end of a link: a socket that processes hold open through handles.
type endpoint struct {
	link   *link
	local  addr
	remote addr

	mu          sync.Mutex
	cond        *sync.Cond
	inbox       []byte
	eof         bool
	reset       bool
	writeClosed bool
	unsent      int // bytes written and not yet delivered
	actionCount int
	handles     int // number of open handles
}

// handle is a process's open descriptor of an endpoint.
type handle struct {
	*endpoint
	owner *process

	closed        bool
	readDeadline  time.Time
	writeDeadline time.Time
	readTimer     *time.Timer
	writeTimer    *time.Timer
}

// openIn opens a handle for a process.
func (e *endpoint) openIn(n *process) *handle {
	e.mu.Lock()
	e.handles++
	e.mu.Unlock()
	n.openEndpoints.Add(1)
	return &handle{endpoint: e, owner: n}
}

type addr string

// Network implements net.Addr.
func (a addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

func newEndpoint(l *link, local, remote string) *endpoint {
	e := &endpoint{link: l, local: addr(local), remote: addr(remote)}
	e.cond = sync.NewCond(&e.mu)
	return e
}

// LocalAddr implements net.Conn.
func (e *endpoint) LocalAddr() net.Addr { return e.local }

// RemoteAddr implements net.Conn.
func (e *endpoint) RemoteAddr() net.Addr { return e.remote }

func (e *endpoint) fail(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: e.local, Addr: e.remote, Err: err}
}

func expired(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// Read implements net.Conn.
func (e *handle) Read(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		switch {
		case e.closed:
			return 0, e.fail("read", net.ErrClosed)
		case expired(e.readDeadline):
			return 0, e.fail("read", os.ErrDeadlineExceeded)
		case e.reset:
			return 0, e.fail("read", syscall.ECONNRESET)
		case len(e.inbox) > 0:
			n := copy(p, e.inbox)
			e.inbox = e.inbox[n:]
			return n, nil
		case e.eof:
			return 0, io.EOF
		}
		e.cond.Wait()
	}
}

// Write implements net.Conn.
func (e *handle) Write(p []byte) (n int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		switch {
		case e.closed, e.writeClosed:
			return n, e.fail("write", net.ErrClosed)
		case expired(e.writeDeadline):
			return n, e.fail("write", os.ErrDeadlineExceeded)
		case e.reset:
			return n, e.fail("write", syscall.EPIPE)
		case len(p) == 0:
			return n, nil
		case e.unsent < sendWindow:
			part := p[:min(len(p), sendWindow-e.unsent)]
			e.unsent += len(part)
			e.actionCount++
			e.link.simulation.enqueueAction(
				action{kind: actionWrite, link: e.link, data: append([]byte(nil), part...), sequence: e.actionCount},
			)
			n, p = n+len(part), p[len(part):]
			continue
		}
		e.cond.Wait()
	}
}

// Close implements net.Conn.
func (e *handle) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return e.fail("close", net.ErrClosed)
	}
	e.closed = true
	e.stopTimers()
	e.cond.Broadcast()
	e.owner.openEndpoints.Add(-1)
	if e.handles--; e.handles == 0 {
		e.link.simulation.enqueueAction(action{kind: actionClose, link: e.link})
	}
	return nil
}

// CloseWrite closes the sending direction.
func (e *handle) CloseWrite() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.writeClosed {
		return e.fail("close", net.ErrClosed)
	}
	e.writeClosed = true
	e.link.simulation.enqueueAction(action{kind: actionCloseWrite, link: e.link})
	return nil
}

func (e *handle) stopTimers() {
	for _, t := range []*time.Timer{e.readTimer, e.writeTimer} {
		if t != nil {
			t.Stop()
		}
	}
}

func (e *handle) setDeadline(at *time.Time, timer **time.Timer, t time.Time) {
	if *at = t; *timer != nil {
		(*timer).Stop()
		*timer = nil
	}
	if !t.IsZero() && !e.closed {
		if d := time.Until(t); d > 0 {
			*timer = time.AfterFunc(d, e.broadcast)
		}
	}
	e.cond.Broadcast()
}

// SetDeadline implements net.Conn.
func (e *handle) SetDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setDeadline(&e.readDeadline, &e.readTimer, t)
	e.setDeadline(&e.writeDeadline, &e.writeTimer, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (e *handle) SetReadDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setDeadline(&e.readDeadline, &e.readTimer, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (e *handle) SetWriteDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setDeadline(&e.writeDeadline, &e.writeTimer, t)
	return nil
}

func (e *endpoint) broadcast() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cond.Broadcast()
}

// receive delivers bytes to the node.
func (e *endpoint) receive(p []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inbox = append(e.inbox, p...)
	e.cond.Broadcast()
}

// closedByPeer tells the node that the other end has closed the connection, or that it was reset.
func (e *endpoint) closedByPeer(reset bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reset {
		e.reset, e.inbox = true, nil
	} else {
		e.eof = true
	}
	e.cond.Broadcast()
}

// freeSendWindow frees window space for n bytes that the other end has received.
func (e *endpoint) freeSendWindow(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unsent -= n
	e.cond.Broadcast()
}

// openEndpoint opens the node's end of a link in a process, which owns the link from then on.
func (n *process) openEndpoint(l *link) *handle {
	n.simulation.mu.Lock()
	n.takeOver(l)
	n.simulation.mu.Unlock()
	l.handle = l.endpoint.openIn(n)
	return l.handle
}

// takeOver makes the process the owner of a link.
func (n *process) takeOver(l *link) {
	delete(l.node.links, l)
	l.node = n
	n.links[l] = true
}
