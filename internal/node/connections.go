package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/httphead"
	"swiftdeal/internal/ingress"
	"swiftdeal/internal/invariant"
)

// connTracker tracks the open client connections and enforces the limit on their number. It is safe for concurrent use.
type connTracker struct {
	invariants *invariant.Monitor
	options    *ingress.ConnOptions

	mu       sync.Mutex
	limits   config.Limits
	open     map[net.Conn]connState
	accepted int            // number of connections accepted so far
	handOff  func(net.Conn) // receives idle connections while another process serves clients; otherwise nil
	freed    chan struct{}  // capacity 1: signaled when a connection ends or becomes idle
	// refuseHeld answers up to so many held requests, and returns how many. Connections of clients that have left end then.
	refuseHeld func(count int) (refused int)

	evicted atomic.Int64 // connections closed by the node to make room for new ones
	drained atomic.Int64 // connections closed by the node because it drains
}

// connState is the state of a connection and how long it has been in that state.
type connState struct {
	state    http.ConnState
	since    time.Time
	sequence int // position in the order of acceptance; breaks ties between equal values of since
}

// olderThan reports whether a connection has been in its state longer than another one.
func (s connState) olderThan(other connState) bool {
	return s.since.Before(other.since) || (s.since.Equal(other.since) && s.sequence < other.sequence)
}

// overflowConn is a connection accepted beyond ClientConns, when all connections within that limit carry requests. Its
// request is answered with a rejection.
type overflowConn struct{ net.Conn }

// ingressConn returns the ingress connection behind conn, or nil if conn is of another type.
func ingressConn(conn net.Conn) *ingress.Conn {
	if overflow, ok := conn.(overflowConn); ok {
		conn = overflow.Conn
	}
	clientConn, _ := conn.(*ingress.Conn)
	return clientConn
}

func newConnTracker(limits config.Limits, invariants *invariant.Monitor) *connTracker {
	return &connTracker{
		invariants: invariants, limits: limits, open: map[net.Conn]connState{}, freed: make(chan struct{}, 1),
		refuseHeld: func(int) int { return 0 },
		options: &ingress.ConnOptions{
			MaxHead:       httphead.Limits{Bytes: limits.HeaderBytes + limits.HeadReadSlack, Fields: limits.HeaderFields},
			MaxBody:       limits.BodyBytes,
			LingerTimeout: limits.LingerTimeout,
			ReadAhead:     ingress.NewReadAheadBudget(limits.ReadAheadBytes, limits.ReadAheadBytesPerSecond, limits.PipelinedPerSecond),
		},
	}
}

// wrapConn returns the ingress connection for an accepted one, or the one that a migrated request came on.
func (c *connTracker) wrapConn(accepted net.Conn) *ingress.Conn {
	if clientConn, ok := accepted.(*ingress.Conn); ok {
		return clientConn
	}
	return ingress.NewConn(accepted, c.options)
}

// trackedListener is a listener that registers each accepted connection with a connTracker.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// queueTimer is a listener that reports how long the last connection may have waited in the kernel's accept queue.
type queueTimer interface{ Waited() time.Duration }

// wrap returns a listener whose connections are tracked.
func (c *connTracker) wrap(listener net.Listener) net.Listener { return trackedListener{listener, c} }

// Accept implements net.Listener. Connections are also accepted at the limit. It then evicts another connection, or waits
// until one may be evicted. If all connections carry requests, it returns an overflowConn as far as OverflowConns allows, and
// otherwise waits until there is room.
func (l trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracker := l.tracker
	clientConn := tracker.wrapConn(raw)
	acceptedAt, queued := time.Now(), time.Duration(0)
	if timer, ok := l.Listener.(queueTimer); ok {
		queued = timer.Waited()
	}
	for refusals := 0; ; refusals++ {
		conn, retryAfter := tracker.add(clientConn, refusals < maxRefusals)
		if conn != nil {
			clientConn.SetArrivalDelay(queued + time.Since(acceptedAt))
			clientConn.SetHeadTimeout(tracker.limits.HeadTimeout)
			clientConn.OnUnanswered(func() { tracker.invariants.Violated(invariant.RequestAnswered, "client", raw.RemoteAddr()) })
			return conn, nil
		}
		tracker.awaitFreed(retryAfter)
	}
}

const (
	// maxRefusals is how often held requests are refused to make room for one connection.
	maxRefusals = 3
	// refusedAtOnce is how many held requests are refused then.
	refusedAtOnce = 4
	// refusalTime is how long the connection of a client that has left may take to end after its request was refused.
	refusalTime = 10 * time.Millisecond
)

// add registers a connection as open if there is room or another connection can be evicted. It returns the connection
// that the server is to serve, or nil and the time after which to try again at the latest. With refuse, held requests may be
// refused to make room.
func (c *connTracker) add(clientConn *ingress.Conn, refuse bool) (conn net.Conn, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn = clientConn
	if count := len(c.open); count >= c.limits.ClientConns {
		evicted, graceLeft := c.evict()
		switch {
		case evicted:
		case refuse && c.refuseHeld(refusedAtOnce) > 0:
			return nil, refusalTime
		case graceLeft > 0:
			return nil, graceLeft
		case count < c.limits.ClientConns+c.limits.OverflowConns:
			conn = overflowConn{clientConn}
		default: // all connections carry requests, and a request that ends signals freed
			return nil, c.limits.IdleTimeout
		}
	}
	c.accepted++
	c.open[conn] = connState{http.StateNew, time.Now(), c.accepted}
	if c.handOff != nil {
		setHandOff(conn, http.StateNew, c.handOff)
	}
	return conn, 0
}

// awaitFreed waits until a connection has ended or become idle, at most for timeout.
func (c *connTracker) awaitFreed(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c.freed:
	case <-timer.C:
	}
}

// signalFreed wakes an Accept that waits for room.
func (c *connTracker) signalFreed() {
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

// stateChanged is the ConnState hook of the HTTP server.
func (c *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous, ok := c.open[conn]
	if !ok { // the connection was evicted
		return
	}
	now := connState{state, time.Now(), previous.sequence}
	clientConn := ingressConn(conn)
	switch state {
	case http.StateNew: // registered by add
		return
	case http.StateHijacked, http.StateClosed:
		if state == http.StateClosed && clientConn != nil && clientConn.Lingering(func() { c.lingerDone(conn) }) {
			c.open[conn] = now // a lingering close still holds a file descriptor
		} else {
			delete(c.open, conn)
		}
	default:
		c.open[conn] = now
		if clientConn != nil && state == http.StateIdle {
			clientConn.MarkIdle()
		}
		if state == http.StateActive || c.handOff != nil {
			setHandOff(conn, state, c.handOff)
		}
	}
	if state != http.StateActive {
		c.signalFreed()
	}
}

// lingerDone removes a connection after its lingering close.
func (c *connTracker) lingerDone(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
	c.signalFreed()
}

// setHandOff arranges for a connection to be handed off as long as it is idle, and cancels that once it is active.
func setHandOff(conn net.Conn, state http.ConnState, handOff func(net.Conn)) {
	clientConn, ok := conn.(*ingress.Conn)
	if !ok {
		return
	}
	if state == http.StateActive {
		clientConn.CancelHandOver()
	} else {
		clientConn.HandOver(handOff)
	}
}

// handOffIdle passes each connection to handOff once it is idle. With nil, connections stay in this process.
func (c *connTracker) handOffIdle(handOff func(net.Conn)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handOff = handOff
	for conn, s := range c.open {
		if s.state == http.StateClosed {
			continue
		}
		if handOff == nil {
			s.state = http.StateActive // only in this copy: setHandOff then cancels the handoff
		}
		setHandOff(conn, s.state, handOff)
	}
}

// closeIdle closes the connections that have carried no request for the given time. Each connection is closed by its own
// reader, which guards against closing one whose request has just been read: that request would be lost, while the
// client retries a request that was not read yet.
func (c *connTracker) closeIdle(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		wait := after
		if s.state == http.StateNew { // a new client gets time to send its first request
			wait = max(wait, c.limits.NewConnGrace)
		}
		if s.state == http.StateActive || s.state == http.StateClosed || time.Since(s.since) < wait {
			continue
		}
		clientConn, ok := conn.(*ingress.Conn)
		if !ok {
			conn.Close()
			continue
		}
		clientConn.HandOver(func(conn net.Conn) {
			c.drained.Add(1)
			conn.Close()
		})
	}
}

// resize sets the limits ClientConns, OverflowConns and ReadAheadBytes.
func (c *connTracker) resize(limits config.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.ClientConns, c.limits.OverflowConns = limits.ClientConns, limits.OverflowConns
	c.options.ReadAhead.Resize(limits.ReadAheadBytes - c.limits.ReadAheadBytes)
	c.limits.ReadAheadBytes = limits.ReadAheadBytes
}

// count returns the number of open connections.
func (c *connTracker) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// closedCounts returns the number of connections closed by the node, by reason.
func (c *connTracker) closedCounts() []invariant.Count {
	return []invariant.Count{{Name: "makes_room", Value: c.evicted.Load()}, {Name: "sent_away", Value: c.drained.Load()}}
}

// overflowKey is the context key that marks requests of an overflowConn.
type overflowKey struct{}

// connContext is the ConnContext hook of the HTTP server.
func (c *connTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	if overflow, ok := conn.(overflowConn); ok {
		ctx, conn = context.WithValue(ctx, overflowKey{}, true), overflow.Conn
	}
	return ingress.ConnContext(ctx, conn)
}

// isOverflow reports whether the request with this context arrived on an overflowConn.
func (c *connTracker) isOverflow(ctx context.Context) bool { return ctx.Value(overflowKey{}) != nil }
