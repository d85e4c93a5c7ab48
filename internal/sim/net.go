package sim

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"swiftdeal/internal/standin"
)

// The network of a simulation. A node's goroutines meet it through endpoint, dial and listener; what they do there
// is noted as a deed and takes effect only once the whole node has come to rest. All else happens in the scheduler's
// goroutine.

// window is how many bytes a node may have on their way on one connection before its writes block.
const window = 32 << 10

// deedKind is what a node did at its end of the network. Deeds of one instant take effect in the order of these
// kinds, then of their connections' numbers.
type deedKind int

const (
	didClose deedKind = iota
	didCloseWrite
	didWrite
	didDial
	didHand
	didLetter
)

type deed struct {
	kind   deedKind
	l      *link
	data   []byte
	dial   *dialing
	hand   *parcel
	letter *letter
	n      int // of the connection's deeds
}

// link is one connection between a node and a stand-in.
type link struct {
	w       *World
	id      int
	node    *simNode
	machine *machineState   // the stand-in's machine
	far     standin.Handler // the stand-in's end; nil until it is up
	ep      *endpoint       // the node's end
	held    *handle         // what the node's process has open of it; nil: nothing yet
	rate    int             // bytes a second that the far end takes; 0 for no limit
	inAt    time.Duration   // when the last bytes to the node come, so that none overtake
	outAt   time.Duration   // and to the stand-in
	broken  bool            // reset, or cut for good
	farShut bool            // the stand-in has closed
	nodeEnd bool            // the node has closed
	toPeer  bool            // a connection to a peer: tries are told to the rules
	why     string          // what it was opened for
	use     *flight         // the request on it
	sent    int             // bytes written by the stand-in
	got     int             // of those, bytes that have come to the node
	label   string
}

// flight is one request from a node to a peer.
type flight struct {
	try   int
	id    string
	probe bool
	text  []byte
}

// endpoint is the node's end of a link: a socket, which processes have open by handles.
type endpoint struct {
	l      *link
	local  addr
	remote addr

	mu      sync.Mutex
	cond    *sync.Cond
	in      []byte
	eof     bool
	reset   bool
	wclosed bool
	unsent  int // bytes written and not delivered
	deeds   int
	handles int // open ones
}

// handle is an endpoint as one process has it open.
type handle struct {
	*endpoint
	owner *simNode

	closed    bool
	readBy    time.Time
	writeBy   time.Time
	readStop  *time.Timer
	writeStop *time.Timer
}

// open gives a process a handle.
func (e *endpoint) open(n *simNode) *handle {
	e.mu.Lock()
	e.handles++
	e.mu.Unlock()
	n.held.Add(1)
	return &handle{endpoint: e, owner: n}
}

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

func newEndpoint(l *link, local, remote string) *endpoint {
	e := &endpoint{l: l, local: addr(local), remote: addr(remote)}
	e.cond = sync.NewCond(&e.mu)
	return e
}

func (e *endpoint) LocalAddr() net.Addr  { return e.local }
func (e *endpoint) RemoteAddr() net.Addr { return e.remote }

func (e *endpoint) fail(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: e.local, Addr: e.remote, Err: err}
}

func past(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// Read implements net.Conn.
func (e *handle) Read(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		switch {
		case e.closed:
			return 0, e.fail("read", net.ErrClosed)
		case past(e.readBy):
			return 0, e.fail("read", os.ErrDeadlineExceeded)
		case e.reset:
			return 0, e.fail("read", syscall.ECONNRESET)
		case len(e.in) > 0:
			n := copy(p, e.in)
			e.in = e.in[n:]
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
		case e.closed, e.wclosed:
			return n, e.fail("write", net.ErrClosed)
		case past(e.writeBy):
			return n, e.fail("write", os.ErrDeadlineExceeded)
		case e.reset:
			return n, e.fail("write", syscall.EPIPE)
		case len(p) == 0:
			return n, nil
		case e.unsent < window:
			part := p[:min(len(p), window-e.unsent)]
			e.unsent += len(part)
			e.deeds++
			e.l.w.did(deed{kind: didWrite, l: e.l, data: append([]byte(nil), part...), n: e.deeds})
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
	e.owner.held.Add(-1)
	if e.handles--; e.handles == 0 {
		e.l.w.did(deed{kind: didClose, l: e.l})
	}
	return nil
}

// CloseWrite ends sending.
func (e *handle) CloseWrite() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.wclosed {
		return e.fail("close", net.ErrClosed)
	}
	e.wclosed = true
	e.l.w.did(deed{kind: didCloseWrite, l: e.l})
	return nil
}

func (e *handle) stopTimers() {
	for _, t := range []*time.Timer{e.readStop, e.writeStop} {
		if t != nil {
			t.Stop()
		}
	}
}

func (e *endpoint) wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cond.Broadcast()
}

func (e *handle) setBy(at *time.Time, timer **time.Timer, t time.Time) {
	if *at = t; *timer != nil {
		(*timer).Stop()
		*timer = nil
	}
	if !t.IsZero() && !e.closed {
		if d := time.Until(t); d > 0 {
			*timer = time.AfterFunc(d, e.wake)
		}
	}
	e.cond.Broadcast()
}

// SetDeadline implements net.Conn.
func (e *handle) SetDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setBy(&e.readBy, &e.readStop, t)
	e.setBy(&e.writeBy, &e.writeStop, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (e *handle) SetReadDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setBy(&e.readBy, &e.readStop, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (e *handle) SetWriteDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setBy(&e.writeBy, &e.writeStop, t)
	return nil
}

// give hands the node bytes that have come.
func (e *endpoint) give(p []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.in = append(e.in, p...)
	e.cond.Broadcast()
}

// finish tells the node that the other end has closed, or that the connection broke.
func (e *endpoint) finish(reset bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reset {
		e.reset, e.in = true, nil
	} else {
		e.eof = true
	}
	e.cond.Broadcast()
}

// taken counts bytes as delivered.
func (e *endpoint) taken(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unsent -= n
	e.cond.Broadcast()
}

// dialing is a connection that a node wants.
type dialing struct {
	node  *simNode
	addr  string
	why   string
	n     int
	mu    sync.Mutex
	given bool // up or refused, or given up by the node
	done  chan dialed
}

type dialed struct {
	e   *handle
	err error
}

// dial is a node's machine.Dial.
func (n *simNode) dial(ctx context.Context, to string, wait time.Duration, why string) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	d := &dialing{node: n, addr: to, why: why, done: make(chan dialed, 1)}
	n.w.did(deed{kind: didDial, dial: d})
	select {
	case r := <-d.done:
		if r.err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(to), Err: r.err}
		}
		return r.e, nil
	case <-ctx.Done():
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.given { // it came up at the same instant
			if r := <-d.done; r.e != nil {
				r.e.Close()
			}
		}
		d.given = true
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(to), Err: ctx.Err()}
	}
}

// give tells the node how its dialing ended, and reports whether it still waits.
func (d *dialing) give(r dialed) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.given {
		return false
	}
	d.given = true
	d.done <- r
	return true
}

// listener is a socket where a node takes connections. Processes have it open by doors.
type listener struct {
	mu    sync.Mutex
	cond  *sync.Cond
	wait  []*endpoint // in the machine's backlog: no process holds these
	doors int         // open ones
}

// door is a listener as one process has it open.
type door struct {
	*listener
	node   *simNode
	closed bool
	by     time.Time // until then it accepts; zero: without end
}

func newListener(n *simNode) *door {
	l := &listener{}
	l.cond = sync.NewCond(&l.mu)
	return l.open(n)
}

func (l *listener) open(n *simNode) *door {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doors++
	return &door{listener: l, node: n}
}

// Accept implements net.Listener.
func (l *door) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		switch {
		case l.closed:
			return nil, net.ErrClosed
		case past(l.by):
			return nil, os.ErrDeadlineExceeded
		case len(l.wait) > 0:
			c := l.wait[0]
			l.wait = l.wait[1:]
			return l.node.hold(c.l), nil
		}
		l.cond.Wait()
	}
}

// SetDeadline ends accepting, for now: only times that have passed are set.
func (l *door) SetDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.by = t
	l.cond.Broadcast()
	return nil
}

// Close implements net.Listener. Connections that wait to be accepted are reset with the last door.
func (l *door) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	if l.doors--; l.doors == 0 {
		for _, c := range l.wait {
			l.node.hold(c.l).Close()
		}
		l.wait = nil
	}
	l.cond.Broadcast()
	return nil
}

// Addr implements net.Listener.
func (l *door) Addr() net.Addr { return addr(l.node.listen) }

// offer hands the node a connection, unless its listener is closed.
func (l *listener) offer(c *endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doors == 0 {
		return false
	}
	l.wait = append(l.wait, c)
	l.cond.Broadcast()
	return true
}

// hold opens a link's end in a process of the node, which has it from then on.
func (n *simNode) hold(l *link) *handle {
	n.w.mu.Lock()
	n.own(l)
	n.w.mu.Unlock()
	l.held = l.ep.open(n)
	return l.held
}

// own makes a process the one that has a link.
func (n *simNode) own(l *link) {
	delete(l.node.links, l)
	l.node = n
	n.links[l] = true
}

// far is the stand-in's end of a link.
type far struct{ l *link }

func (f far) Write(p []byte, m *standin.Mark) { f.l.toNode(append([]byte(nil), p...), m) }
func (f far) Close()                          { f.l.shut(false) }
func (f far) Reset()                          { f.l.shut(true) }

// CloseWrite ends sending; the other direction stays open.
func (f far) CloseWrite() {
	l := f.l
	l.w.at(l.inTime(0), func() {
		if !l.broken && !l.machine.cut {
			l.w.trace("%s ~> end of sending", l.label)
			l.ep.finish(false)
		}
	})
}

// Taken reports whether all that the stand-in wrote had come to the node before it closed.
func (f far) Taken() bool { return f.l.got == f.l.sent }

// inTime is when bytes that the stand-in sends now come to the node.
func (l *link) inTime(n int) time.Duration {
	t := l.w.now() + l.w.latency(l)
	if l.rate > 0 {
		t += time.Duration(n) * time.Second / time.Duration(l.rate)
	}
	l.inAt = max(l.inAt+1, t)
	return l.inAt
}

// toNode sends bytes to the node.
func (l *link) toNode(p []byte, m *standin.Mark) {
	if l.farShut || l.broken {
		return
	}
	l.sent += len(p)
	l.w.at(l.inTime(0), func() {
		if l.broken || l.machine.cut || l.node.dead {
			return
		}
		l.ep.mu.Lock()
		closed := l.held != nil && l.ep.handles == 0
		l.ep.mu.Unlock()
		if closed {
			return
		}
		l.got += len(p)
		l.w.traceBytes(l, " ->", p)
		if m != nil {
			l.w.marked(l, m)
		}
		l.ep.give(p)
	})
}

// shut ends the link from the stand-in's side.
func (l *link) shut(reset bool) {
	if l.farShut {
		return
	}
	l.farShut = true
	l.w.at(l.inTime(0), func() {
		if l.broken || l.machine.cut || l.node.dead {
			return
		}
		l.broken = l.broken || reset
		l.w.trace("%s -> %s", l.label, map[bool]string{true: "reset", false: "close"}[reset])
		l.w.endFlight(l, false)
		l.ep.finish(reset)
	})
}

// wrote takes bytes that a node has written.
func (l *link) wrote(p []byte) {
	if l.toPeer {
		l.w.departs(l, p)
	}
	t := l.w.now() + l.w.latency(l)
	if l.rate > 0 {
		t = max(t, l.outAt) + time.Duration(len(p))*time.Second/time.Duration(l.rate)
	}
	l.outAt = max(l.outAt+1, t)
	l.w.at(l.outAt, func() {
		if l.broken || l.machine.cut {
			return
		}
		l.ep.taken(len(p))
		if l.farShut {
			if !l.nodeEnd { // what comes to a closed end is answered with a reset
				l.broken = true
				l.w.endFlight(l, false)
				l.ep.finish(true)
			}
			return
		}
		l.w.traceBytes(l, " <-", p)
		if l.toPeer {
			l.w.arrives(l, p)
		}
		l.far.Data(p)
	})
}

// ended takes a node's close of its end.
func (l *link) ended(half bool) {
	if !half {
		l.nodeEnd = true
		l.w.endpoints--
		delete(l.node.links, l)
		l.w.endFlight(l, true)
	}
	l.outAt = max(l.outAt+1, l.w.now()+l.w.latency(l))
	l.w.at(l.outAt, func() {
		if l.broken || l.machine.cut || l.farShut {
			return
		}
		l.w.trace("%s <- %s", l.label, map[bool]string{true: "end of sending", false: "close"}[half])
		l.farShut = true
		l.far.Gone(false)
	})
}

// snap breaks a link at once, at both ends: a machine that dies resets its connections.
func (l *link) snap() {
	if l.broken {
		return
	}
	l.broken = true
	l.w.at(l.w.now()+l.w.latency(l), func() {
		l.w.trace("%s -> reset", l.label)
		l.w.endFlight(l, false)
		l.ep.finish(true)
	})
}

func (l *link) String() string { return fmt.Sprintf("c%d", l.id) }
