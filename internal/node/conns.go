package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/guard"
	"swiftdeal/internal/ingress"
)

// connections keeps count of the client connections, and keeps them within their budget. Connections go on being
// accepted when it is used up: those that have sent no request give way, the oldest first, and then those idle for
// longest, which their clients may lose at any time. A crowd that says nothing thus holds no place that a usual
// client needs.
type connections struct {
	limits config.Limits
	guard  *guard.Monitor
	mu     sync.Mutex
	open   map[net.Conn]stand
	taken  int            // connections accepted so far
	room   chan struct{}  // told of each connection that ends or becomes idle
	give   func(net.Conn) // takes those that are idle, while another process takes clients; else nil

	evicted, drained atomic.Int64 // closed by the node, to make room and to send clients away
}

// closed lists how many connections the node has closed by itself, by reason.
func (c *connections) closed() []guard.Count {
	return []guard.Count{{Name: "makes_room", Value: c.evicted.Load()}, {Name: "sent_away", Value: c.drained.Load()}}
}

// stand is what a connection is at.
type stand struct {
	state http.ConnState
	since time.Time
	nth   int // of those accepted: it decides between two that have stood for equally long
}

// longer reports whether a connection has stood for longer than another.
func (s stand) longer(o stand) bool {
	return s.since.Before(o.since) || (s.since.Equal(o.since) && s.nth < o.nth)
}

func newConnections(l config.Limits) *connections {
	return &connections{limits: l, open: map[net.Conn]stand{}, room: make(chan struct{}, 1)}
}

// listener hands the server connections that are already counted.
type listener struct {
	net.Listener
	c *connections
}

func (c *connections) listen(ln net.Listener) net.Listener { return listener{ln, c} }

// spare is a connection past ClientConns. All of those carry requests, so it is there only to be refused with an
// answer.
type spare struct{ net.Conn }

// waiting is a listener that knows how long a connection may have waited in the system's queue.
type waiting interface{ Waited() time.Duration }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	own := ingress.NewConn(raw, l.c.limits.HeaderBytes+l.c.limits.HeadSlack, l.c.limits.Linger)
	conn := net.Conn(own)
	accepted, waited := time.Now(), time.Duration(0)
	if w, ok := l.Listener.(waiting); ok {
		waited = w.Waited()
	}
	for {
		l.c.mu.Lock()
		n := len(l.c.open)
		gone, young := n < l.c.limits.ClientConns, time.Duration(0)
		if !gone {
			gone, young = l.c.evict()
		}
		if !gone && young == 0 && n < l.c.limits.ClientConns+l.c.limits.SpareConns {
			gone, conn = true, spare{conn}
		}
		if gone {
			l.c.taken++
			l.c.open[conn] = stand{http.StateNew, time.Now(), l.c.taken}
			if l.c.give != nil {
				pass(conn, http.StateNew, l.c.give)
			}
			l.c.mu.Unlock()
			own.Waited(waited + time.Since(accepted))
			own.HeadWait(l.c.limits.HeadWait)
			own.OnOwed(func() { l.c.guard.Violated(guard.RequestAnswered, "client", raw.RemoteAddr()) })
			return conn, nil
		}
		l.c.mu.Unlock()
		if young == 0 { // all carry requests: each of them ends
			young = l.c.limits.IdleWait
		}
		timer := time.NewTimer(young)
		select {
		case <-l.c.room:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// evict closes the connection that is missed least and reports whether there was one; c.mu is held. If not, it
// returns after what time the oldest one without a request may give way; 0 if all carry requests. It may not at
// once: in a rush of connections the request of a usual client has come, but not been read yet.
func (c *connections) evict() (gone bool, young time.Duration) {
	for {
		var least net.Conn
		for conn, s := range c.open {
			if s.state == http.StateActive {
				continue
			}
			if left := c.limits.SilentFor - time.Since(s.since); s.state == http.StateNew && left > 0 {
				if young == 0 || left < young {
					young = left
				}
				continue
			}
			if l := c.open[least]; least == nil || rank[s.state] < rank[l.state] || (s.state == l.state && s.longer(l)) {
				least = conn
			}
		}
		if least == nil {
			return false, young
		}
		s := c.open[least]
		own := inner(least)
		switch {
		case own == nil:
			least.Close()
		case s.state == http.StateClosed:
			own.Cut()
		case !own.Evict(): // its request has been read, the server is about to say so
			s.state = http.StateActive
			c.open[least] = s
			continue
		}
		delete(c.open, least)
		c.evicted.Add(1)
		return true, 0
	}
}

// rank orders the states by how little a connection is missed: one that is closed and lingers least of all.
var rank = map[http.ConnState]int{http.StateClosed: 0, http.StateNew: 1, http.StateIdle: 2}

// inner returns the connection that the server reads, nil where it is none of ours.
func inner(conn net.Conn) *ingress.Conn {
	if s, ok := conn.(spare); ok {
		conn = s.Conn
	}
	own, _ := conn.(*ingress.Conn)
	return own
}

// note is the server's ConnState hook.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.open[conn]
	if !ok { // it has given way
		return
	}
	switch state {
	case http.StateHijacked, http.StateClosed:
		own := inner(conn)
		if state == http.StateClosed && own != nil && own.Lingers(func() { c.lingered(conn) }) {
			c.open[conn] = stand{state, time.Now(), s.nth} // it still holds a descriptor
			break
		}
		delete(c.open, conn)
	case http.StateNew: // counted when it was accepted
		return
	default:
		c.open[conn] = stand{state, time.Now(), s.nth}
		if own := inner(conn); own != nil && state == http.StateIdle {
			own.Rests()
		}
		if state == http.StateActive || c.give != nil {
			pass(conn, state, c.give)
		}
	}
	if state != http.StateActive {
		select {
		case c.room <- struct{}{}:
		default:
		}
	}
}

// lingered takes the end of a lingering close.
func (c *connections) lingered(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// pass has a connection given away while it is idle, and no longer.
func pass(conn net.Conn, state http.ConnState, give func(net.Conn)) {
	if own, ok := conn.(*ingress.Conn); ok && state == http.StateActive {
		own.Keep()
	} else if ok {
		own.Give(give)
	}
}

// yield has all connections given away as they become idle. With nil they stay.
func (c *connections) yield(give func(net.Conn)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.give = give
	for conn, s := range c.open {
		if s.state == http.StateClosed {
			continue
		}
		if give == nil {
			s.state = http.StateActive
		}
		pass(conn, s.state, give)
	}
}

// resize sets how many connections there may be, as Limits words it.
func (c *connections) resize(clients, spare int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.ClientConns, c.limits.SpareConns = clients, spare
}

// count is how many connections there are.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// spareKey marks the context of a spare connection.
type spareKey struct{}

// mark is the server's ConnContext hook.
func (c *connections) mark(ctx context.Context, conn net.Conn) context.Context {
	if s, ok := conn.(spare); ok {
		ctx, conn = context.WithValue(ctx, spareKey{}, true), s.Conn
	}
	return ingress.ConnContext(ctx, conn)
}

// spare reports whether a request came on a spare connection.
func (c *connections) spare(ctx context.Context) bool { return ctx.Value(spareKey{}) != nil }

// closeIdle closes the connections that have carried no request for so long. Each is closed by its own reader. Guards
// against closing one whose request has just been read: that would be lost, while one not read yet is sent again.
func (c *connections) closeIdle(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		wait := after
		if s.state == http.StateNew { // whoever has just come is heard
			wait = max(wait, c.limits.SilentFor)
		}
		if s.state != http.StateActive && s.state != http.StateClosed && time.Since(s.since) >= wait {
			if own, ok := conn.(*ingress.Conn); ok {
				own.Give(func(conn net.Conn) {
					c.drained.Add(1)
					conn.Close()
				})
			} else {
				conn.Close()
			}
		}
	}
}
