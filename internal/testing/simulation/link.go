package simulation

import (
	"fmt"
	"time"

	"swiftdeal/internal/testing/fake"
)

// link is one connection between a node and a fake.
type link struct {
	simulation *Simulation
	id         int
	node       *process
	machine    *machine         // the fake's machine
	far        fake.Handler     // the fake's end; nil until the connection is established
	endpoint   *endpoint        // the node's end
	handle     *handle          // the node's open handle; nil: not opened yet
	rate       int              // bytes per second that the fake accepts; 0: no limit
	toNodeAt   time.Duration    // arrival time of the last bytes to the node; keeps bytes in order
	toFarAt    time.Duration    // arrival time of the last bytes to the fake
	broken     bool             // reset
	farClosed  bool             // the fake has closed
	nodeClosed bool             // the node has closed
	toWorker   bool             // a connection to a worker: its attempts are reported to the checker
	purpose    string           // purpose given by the node when it dialed
	request    *requestInFlight // the request in flight on it
	sent       int              // bytes written by the fake
	received   int              // of these, bytes received by the node
	label      string
}

// requestInFlight is a request that a node has sent to a worker.
type requestInFlight struct {
	attempt int
	id      string
	probe   bool
	text    []byte
}

// farEnd is the fake's end of a link.
type farEnd struct{ link *link }

// Write implements fake.Conn.
func (f farEnd) Write(p []byte, m *fake.Mark) { f.link.sendToNode(append([]byte(nil), p...), m) }

// Close implements fake.Conn.
func (f farEnd) Close() { f.link.closeFromFake(false) }

// Reset implements fake.Conn.
func (f farEnd) Reset() { f.link.closeFromFake(true) }

// CloseWrite closes the sending direction; the other direction stays open.
func (f farEnd) CloseWrite() {
	l := f.link
	l.simulation.schedule(l.arrivalTime(0), func() {
		if !l.broken && !l.machine.isolated {
			l.simulation.trace("%s ~> end of sending", l.label)
			l.endpoint.closedByPeer(false)
		}
	})
}

// Taken reports whether the node received everything that the fake wrote.
func (f farEnd) Taken() bool { return f.link.received == f.link.sent }

// arrivalTime returns when n bytes that the fake sends now reach the node.
func (l *link) arrivalTime(n int) time.Duration {
	t := l.simulation.now() + l.simulation.latency(l)
	if l.rate > 0 {
		t += time.Duration(n) * time.Second / time.Duration(l.rate)
	}
	l.toNodeAt = max(l.toNodeAt+1, t)
	return l.toNodeAt
}

// sendToNode sends bytes to the node.
func (l *link) sendToNode(p []byte, m *fake.Mark) {
	if l.farClosed || l.broken {
		return
	}
	l.sent += len(p)
	l.simulation.schedule(l.arrivalTime(0), func() {
		if l.broken || l.machine.isolated || l.node.killed {
			return
		}
		l.endpoint.mu.Lock()
		closed := l.handle != nil && l.endpoint.handles == 0
		l.endpoint.mu.Unlock()
		if closed {
			return
		}
		l.received += len(p)
		l.simulation.traceBytes(l, " ->", p)
		if m != nil {
			l.simulation.applyMark(l, m)
		}
		l.endpoint.receive(p)
	})
}

// closeFromFake closes or resets the link from the fake's side.
func (l *link) closeFromFake(reset bool) {
	if l.farClosed {
		return
	}
	l.farClosed = true
	l.simulation.schedule(l.arrivalTime(0), func() {
		if l.broken || l.machine.isolated || l.node.killed {
			return
		}
		l.broken = l.broken || reset
		l.simulation.trace("%s -> %s", l.label, map[bool]string{true: "reset", false: "close"}[reset])
		l.simulation.endRequest(l, false)
		l.endpoint.closedByPeer(reset)
	})
}

// handleNodeWrite sends bytes that a node has written to the fake.
func (l *link) handleNodeWrite(p []byte) {
	if l.toWorker {
		l.simulation.requestSent(l, p)
	}
	t := l.simulation.now() + l.simulation.latency(l)
	if l.rate > 0 {
		t = max(t, l.toFarAt) + time.Duration(len(p))*time.Second/time.Duration(l.rate)
	}
	l.toFarAt = max(l.toFarAt+1, t)
	l.simulation.schedule(l.toFarAt, func() {
		if l.broken || l.machine.isolated {
			return
		}
		l.endpoint.freeSendWindow(len(p))
		if l.farClosed {
			if !l.nodeClosed { // bytes that arrive at a closed end are answered with a reset
				l.broken = true
				l.simulation.endRequest(l, false)
				l.endpoint.closedByPeer(true)
			}
			return
		}
		l.simulation.traceBytes(l, " <-", p)
		if l.toWorker {
			l.simulation.recordArrival(l, p)
		}
		l.far.Data(p)
	})
}

// handleNodeClose handles the node's close of its end, or with half set of its sending direction.
func (l *link) handleNodeClose(half bool) {
	if !half {
		l.nodeClosed = true
		l.simulation.openEndpoints--
		delete(l.node.links, l)
		l.simulation.endRequest(l, true)
	}
	l.toFarAt = max(l.toFarAt+1, l.simulation.now()+l.simulation.latency(l))
	l.simulation.schedule(l.toFarAt, func() {
		if l.broken || l.machine.isolated || l.farClosed {
			return
		}
		l.simulation.trace("%s <- %s", l.label, map[bool]string{true: "end of sending", false: "close"}[half])
		l.farClosed = true
		l.far.Closed(false)
	})
}

// reset breaks a link at both ends: a machine that fails resets its connections.
func (l *link) reset() {
	if l.broken {
		return
	}
	l.broken = true
	l.simulation.schedule(l.simulation.now()+l.simulation.latency(l), func() {
		l.simulation.trace("%s -> reset", l.label)
		l.simulation.endRequest(l, false)
		l.endpoint.closedByPeer(true)
	})
}

// String implements fmt.Stringer.
func (l *link) String() string { return fmt.Sprintf("c%d", l.id) }
