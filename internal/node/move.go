package node

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/guard"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/ingress"
	"swiftdeal/internal/request"
	"swiftdeal/internal/sockread"
	"swiftdeal/internal/transport"
)

// An open request goes to the process that takes this one's place with both of its connections, and is answered there.

// held is a client's connection with an open request on it.
type held interface {
	// take ends all reading here, and returns the connection and what the client has sent beyond its request.
	take() (net.Conn, []byte, error)
}

// hijacked is a connection that the server holds.
type hijacked struct{ w http.ResponseWriter }

func (h hijacked) take() (net.Conn, []byte, error) {
	c, rw, err := http.NewResponseController(h.w).Hijack()
	if err != nil {
		return nil, nil, err
	}
	var more []byte
	if own := inner(c); own != nil {
		c = own.Conn
		if more, err = own.Ahead(); err != nil {
			return nil, nil, errors.Join(err, c.Close())
		}
	}
	c.SetDeadline(time.Time{})
	ahead, err := rw.Reader.Peek(rw.Reader.Buffered())
	return c, append(bytes.Clone(ahead), more...), err
}

// move gives an open request to the other process, if it can go now. last says that its client's connection ends with
// the answer.
func (s *succession) move(c *request.Context, from held, last bool) bool {
	// Guards against an end of the process, which has no open requests any more, while this one is on its way.
	s.gives.Add(1)
	defer s.gives.Done()
	var d *transport.Detached
	m, try, peer, ok := s.n.route.Release(c, func() bool {
		d = s.n.peers.Detach(c.ID)
		return d != nil
	})
	if !ok {
		return false
	}
	if !c.Finish(request.Answer{Verdict: request.Moved}) { // the backstop was faster
		if d != nil {
			d.Conn.Close()
		}
		return false
	}
	s.n.admit.Leave(c)
	client, ahead, err := from.take()
	if err != nil { // its client has left
		if d != nil {
			d.Conn.Close()
		}
		return true
	}
	clocks := s.n.clocks()
	w := &handover.Work{
		ClassName: c.ClassName, Method: c.Method, Target: c.Target, Host: c.Host, Class: s.n.class(c.Class), Header: c.Header, Body: c.Body,
		Arrived: c.Arrived, Deadline: c.Deadline, ArrivedAt: clocks.Machine - time.Since(c.Arrived), DeadlineAt: clocks.Machine + time.Until(c.Deadline), State: m, Last: last, Ahead: ahead,
	}
	pass := []any{client}
	if d != nil {
		w.Try, w.Peer, w.Seen, pass = try, peer, d.Seen, append(pass, d.Conn)
	}
	s.mu.Lock()
	l := s.heir
	s.mu.Unlock()
	if l != nil && l.Send(handover.Message{Kind: handover.Job, Work: w, Clocks: &clocks}, pass...) == nil {
		for _, p := range pass {
			p.(net.Conn).Close()
		}
		return true
	}
	s.adopt(w, &clocks, pass) // the other process is gone
	return true
}

// adopt goes on with a request that came from another process.
func (s *succession) adopt(w *handover.Work, clocks *handover.Clocks, passed []any) {
	conns := make([]net.Conn, len(passed))
	for i, p := range passed {
		conns[i], _ = p.(net.Conn)
	}
	if w == nil || len(conns) < 1 || (w.Peer == "") != (len(conns) == 1) || w.Peer != "" && (w.Try < 0 || w.Try >= len(w.State.Tries)) {
		s.n.log.Error("a request that came from another process is not whole")
		for _, c := range conns {
			if c != nil {
				c.Close()
			}
		}
		return
	}
	c := request.New()
	c.Request, c.ClassName, c.Method, c.Target, c.Host = w.State.Request, w.ClassName, w.Method, w.Target, w.Host
	c.Header, c.Body = w.Header, w.Body
	own := s.n.clocks()
	c.Arrived, c.Deadline = s.dated(own, w.ArrivedAt, w.Arrived), s.dated(own, w.DeadlineAt, w.Deadline)
	w.State.Shift(clocks.Shift(own))
	c.Policy = guard.PolicyOf(w.Class)
	for i, t := range w.State.Tries {
		c.Attempts.Import(i, guard.Target{Worker: t.Worker.ID, Zone: t.Worker.Zone, Cell: t.Worker.Cell}, time.Now().Add(t.Sent-own.Decisions), t.Never)
	}
	c.Client = handedOver{conns[0]}
	s.start(conns[0], func() {
		var err error
		if c.Class, err = s.n.place(w.Class); err != nil {
			c.Finish(request.Answer{Verdict: request.Failed, Reason: err.Error()})
		}
		admitted := err == nil && s.n.admit.Adopt(c)
		if admitted {
			var resume func() func()
			if w.Peer != "" {
				resume = func() func() {
					return s.n.peers.Adopt(c, w.Try, w.Peer, transport.Detached{Conn: conns[1], Seen: w.Seen})
				}
			}
			s.n.route.Adopt(c, w.State, w.Try, resume)
		} else if w.Peer != "" {
			conns[1].Close()
		}
		s.n.carry(c, &carried{Conn: conns[0], ahead: w.Ahead}, admitted, w.Last)
	})
}

// handedOver is the client of a request that came from another process.
type handedOver struct{ net.Conn }

// Present implements request.Client.
func (h handedOver) Present() bool { return !sockread.Ended(h.Conn) }

// dated returns a time of another process: by the machine's monotonic clock, or by the wall clock where it tells no other.
func (s *succession) dated(own handover.Clocks, at time.Duration, wall time.Time) time.Time {
	if at == 0 {
		return wall
	}
	return time.Now().Add(at - own.Machine)
}

// carry waits for the answer of an adopted request and gives it to its client. The connection then goes on as any other.
func (n *Node) carry(c *request.Context, client *carried, admitted, last bool) {
	client.watch()
	if !n.await(c, nil, client, client.left, nil, admitted, last) {
		n.book.Close(c, true) // gone on to yet another process
		return
	}
	if admitted {
		n.admit.Leave(c)
	}
	taken, a := false, c.Answer()
	if client.stop(); a.Verdict != request.Gone {
		leaving, _ := n.standing.leaving()
		last = last || (leaving && !n.next.yielded()) || len(client.ahead) > 0
		w := &writer{conn: client.Conn, header: http.Header{}}
		taken = n.relay.Write(w, a, last) == nil
		n.answered(c, admitted && taken)
	}
	n.book.Close(c, taken)
	if taken && !last {
		client.SetDeadline(time.Time{})
		n.next.doors.bring(client.Conn)
		client.kept = true
		return
	}
	if taken {
		ingress.Linger(client.Conn, n.limits.Linger) // more may have come behind the request
	}
	client.Close()
}

// carried is a client's connection that is not the server's. While its request is open it is read, to notice that the
// client leaves.
type carried struct {
	net.Conn
	ahead []byte // what the client has sent beyond its request
	left  chan struct{}
	over  chan struct{}
	ends  chan struct{} // closed as the watch is to end
	kept  bool
}

// watch reads on until the client leaves or stop is called.
func (c *carried) watch() {
	c.left, c.over, c.ends = make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(c.over)
		if !c.readOn() {
			close(c.left)
		}
	}()
}

// mostAhead is how much is read of what a client sends beyond its request. The rest waits at the system.
const mostAhead = 16 << 10

// hangUpEvery is how often a client is looked for whose bytes are not read any more.
const hangUpEvery = 20 * time.Millisecond

// readOn reads ahead. It returns false once the client has left, and true once it was stopped.
func (c *carried) readOn() (stopped bool) {
	b := make([]byte, 512)
	for len(c.ahead) < mostAhead {
		n, err := c.Read(b)
		c.ahead = append(c.ahead, b[:n]...)
		if err != nil {
			return errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	var r sockread.Reader
	return r.Open(c.Conn, nil) && sockread.AwaitHangUp(&r, hangUpEvery, c.ends)
}

// stop ends the watch.
func (c *carried) stop() {
	close(c.ends)
	c.SetReadDeadline(time.Unix(1, 0))
	<-c.over
	c.SetReadDeadline(time.Time{})
}

func (c *carried) take() (net.Conn, []byte, error) {
	c.stop()
	c.kept = true
	return c.Conn, c.ahead, nil
}

// writer words an answer on a connection that is not the server's.
type writer struct {
	conn   net.Conn
	header http.Header
	out    bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(code int) {
	fmt.Fprintf(&w.out, "HTTP/1.1 %d %s\r\nDate: %s\r\n", code, http.StatusText(code), time.Now().UTC().Format(http.TimeFormat))
	w.header.Write(&w.out)
	w.out.WriteString("\r\n")
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) { return w.out.Write(p) }

// FlushError writes the answer.
func (w *writer) FlushError() error {
	_, err := w.out.WriteTo(w.conn)
	return err
}

// SetWriteDeadline implements what http.ResponseController asks for.
func (w *writer) SetWriteDeadline(t time.Time) error { return w.conn.SetWriteDeadline(t) }

// class returns the class in a place.
func (n *Node) class(at int) balance.Class {
	n.settle.Lock()
	defer n.settle.Unlock()
	return n.inForce.Balance.Classes[at]
}

// place returns the place of a class, a new one where there is none. Only what is adopted is asked for there.
func (n *Node) place(c balance.Class) (int, error) {
	n.settle.Lock()
	defer n.settle.Unlock()
	to := n.inForce
	to.Balance.Classes = []balance.Class{c}
	now, byName := n.inForce.With(to)
	if len(now.Balance.Classes) > len(n.inForce.Balance.Classes) {
		if err := n.route.Retune(now.Balance); err != nil {
			return 0, err
		}
		n.inForce = now
	}
	return byName[c.Name], nil
}
