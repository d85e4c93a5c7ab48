package node

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/ingress"
	"swiftdeal/internal/invariant"
	"swiftdeal/internal/request"
	"swiftdeal/internal/transport"
)

// An open request is migrated to the successor process together with its client and worker connections, and is answered
// there.

// openConn is a client connection with an open request.
type openConn interface {
	// detach stops all reading in this process, and returns the connection and what the client has sent beyond its request.
	detach() (net.Conn, []byte, error)
}

// resumedConn is a connection with a request that came from another process.
type resumedConn struct{ *ingress.Conn }

// detach implements openConn.
func (c resumedConn) detach() (net.Conn, []byte, error) {
	received, err := c.TakeReadAhead()
	c.SetDeadline(time.Time{})
	return c.Conn.Conn, received, err
}

// serverConn is a connection held by the HTTP server.
type serverConn struct{ writer http.ResponseWriter }

// detach implements openConn.
func (c serverConn) detach() (net.Conn, []byte, error) {
	conn, buffered, err := http.NewResponseController(c.writer).Hijack()
	if err != nil {
		return nil, nil, err
	}
	var more []byte
	if clientConn := ingressConn(conn); clientConn != nil {
		conn = clientConn.Conn
		if more, err = clientConn.TakeReadAhead(); err != nil {
			return nil, nil, errors.Join(err, conn.Close())
		}
	}
	conn.SetDeadline(time.Time{})
	readAhead, err := buffered.Reader.Peek(buffered.Reader.Buffered())
	return conn, append(bytes.Clone(readAhead), more...), err
}

// exportedRequest is an open request that this process has given up and is about to send.
type exportedRequest struct {
	state   balance.RequestState
	attempt int                     // index of the attempt in flight
	worker  string                  // the worker of that attempt; empty if none is in flight
	conn    *transport.DetachedConn // the connection to that worker; nil if no attempt is in flight
}

// migrate sends an open request to the successor process, and reports whether this process is done with it. It returns
// false if the request cannot be migrated now.
func (h *processHandover) migrate(r *openRequest) bool {
	c, from, closeAfterAnswer := r.Context, r.conn(), r.closeAfterAnswer
	if r.client != nil && r.client.Refuses() {
		return false
	}
	// Guards against the process exiting, with no open requests left, while this one is still being sent.
	h.transfers.begin()
	defer h.transfers.end()
	exported, ok := h.exportRequest(c)
	if !ok {
		return false
	}
	client, readAhead, err := from.detach()
	if err != nil { // the client has left
		exported.close()
		return true
	}
	clocks := h.node.clocks()
	open := h.handoverRequest(c, exported, clocks)
	open.CloseAfterAnswer, open.ReadAhead = closeAfterAnswer, readAhead
	passed := []any{client}
	if exported.conn != nil {
		passed = append(passed, exported.conn.Conn)
	}
	h.mu.Lock()
	link := h.successor
	h.mu.Unlock()
	message := handover.Message{Kind: handover.KindRequest, Request: open, Clocks: &clocks}
	if link == nil || link.Send(message, passed...) != nil {
		h.importRequest(open, &clocks, passed) // the successor is gone: continue here
		return true
	}
	for _, p := range passed {
		p.(net.Conn).Close()
	}
	return true
}

// exportRequest removes an open request from this process. It returns false if the request cannot be migrated now or has
// just been answered.
func (h *processHandover) exportRequest(c *request.Context) (exported exportedRequest, ok bool) {
	exported.state, exported.attempt, exported.worker, ok = h.node.dispatcher.ExportRequest(c, func() bool {
		exported.conn = h.node.transport.DetachAttempt(c.ID)
		return exported.conn != nil
	})
	if !ok {
		return exported, false
	}
	if !c.Finish(request.Answer{Verdict: request.Migrated}) { // already answered by the deadline timer of admission
		exported.close()
		return exported, false
	}
	h.node.admission.Release(c)
	return exported, true
}

// close closes the connection of the attempt in flight, if there is one.
func (e exportedRequest) close() {
	if e.conn != nil {
		e.conn.Conn.Close()
	}
}

// handoverRequest returns an exported request in the form that is sent to another process. Its times are given by both
// the monotonic and the wall clock.
func (h *processHandover) handoverRequest(c *request.Context, exported exportedRequest, clocks handover.Clocks) *handover.OpenRequest {
	open := &handover.OpenRequest{
		ClassName: c.ClassName, Class: h.node.settings.class(c.Class),
		Method: c.Method, Target: c.Target, Host: c.Host, Header: c.Header, Body: c.Body,
		ArrivedWall: c.Arrived, ArrivedMonotonic: clocks.Monotonic - time.Since(c.Arrived),
		DeadlineWall: c.Deadline, DeadlineMonotonic: clocks.Monotonic + time.Until(c.Deadline),
		State: exported.state,
	}
	if exported.conn != nil {
		open.Attempt, open.WorkerID, open.PartialResponse = exported.attempt, exported.worker, exported.conn.Received
	}
	return open
}

// importRequest continues a request received from another process. passed holds the client connection and, if an attempt
// is in flight, the connection to its worker.
func (h *processHandover) importRequest(open *handover.OpenRequest, clocks *handover.Clocks, passed []any) {
	conns := make([]net.Conn, len(passed))
	for i, p := range passed {
		conns[i], _ = p.(net.Conn)
	}
	if !complete(open, conns) {
		h.node.log.Error("incomplete request received in a handover")
		for _, conn := range conns {
			if conn != nil {
				conn.Close()
			}
		}
		return
	}
	c := h.importContext(open, clocks)
	client := ingress.ResumeConn(conns[0], h.node.connections.options, open.ReadAhead, !open.CloseAfterAnswer)
	c.Client = client
	r := &openRequest{Context: c, client: client, disconnected: client.Disconnected(), closeAfterAnswer: open.CloseAfterAnswer}
	h.transfers.begin()
	started := h.run(conns[0], func() {
		r.admitted = h.admitImported(r, open, conns)
		h.transfers.end()
		if r.admitted && (open.WorkerID != "" || !r.clientUnread() || h.node.holdImported(r)) {
			h.resume(c, open, conns)
		}
		h.node.serveMigrated(r)
	})
	if !started {
		h.transfers.end()
	}
}

// complete reports whether the connections and the attempt that a request refers to are present.
func complete(open *handover.OpenRequest, conns []net.Conn) bool {
	if open == nil || len(conns) < 1 {
		return false
	}
	if open.WorkerID == "" {
		return len(conns) == 1
	}
	return len(conns) > 1 && open.Attempt >= 0 && open.Attempt < len(open.State.Attempts)
}

// importContext returns the request's context in this process, with its times converted to this process's clocks.
func (h *processHandover) importContext(open *handover.OpenRequest, clocks *handover.Clocks) *request.Context {
	c := request.New()
	c.Request, c.ClassName = open.State.Request, open.ClassName
	c.Method, c.Target, c.Host = open.Method, open.Target, open.Host
	c.Header, c.Body = open.Header, open.Body
	localClocks := h.node.clocks()
	c.Arrived = localTime(localClocks, open.ArrivedMonotonic, open.ArrivedWall)
	c.Deadline = localTime(localClocks, open.DeadlineMonotonic, open.DeadlineWall)
	open.State.Shift(clocks.OffsetTo(localClocks))
	c.Policy = invariant.RetryPolicyOf(open.Class)
	for i, attempt := range open.State.Attempts {
		target := invariant.Target{Worker: attempt.Worker.ID, Zone: attempt.Worker.Zone, Cell: attempt.Worker.Cell}
		c.Attempts.Import(i, target, time.Now().Add(attempt.SentAt-localClocks.Balancer), attempt.NeverRan)
	}
	return c
}

// admitImported reports whether an imported request was admitted. Otherwise it has been answered.
func (h *processHandover) admitImported(r *openRequest, open *handover.OpenRequest, conns []net.Conn) (admitted bool) {
	var err error
	if r.Class, err = h.node.settings.classIndex(open.Class); err != nil {
		r.Finish(request.Answer{Verdict: request.Failed, Reason: err.Error()})
	}
	if err != nil || !h.node.admission.AdmitImported(r.Context) {
		if open.WorkerID != "" {
			conns[1].Close()
		}
		return false
	}
	h.node.requestAdmitted()
	return true
}

// resume passes an imported request to the dispatcher, and its attempt in flight to the transport.
func (h *processHandover) resume(c *request.Context, open *handover.OpenRequest, conns []net.Conn) {
	var attempt func() func()
	if open.WorkerID != "" {
		attempt = func() func() {
			detached := transport.DetachedConn{Conn: conns[1], Received: open.PartialResponse}
			return h.node.transport.ResumeAttempt(c, open.Attempt, open.WorkerID, detached)
		}
	}
	h.node.dispatcher.ImportRequest(c, open.State, open.Attempt, attempt)
}

// localTime converts a time of another process. It uses the machine's monotonic clock, or the wall clock if the other
// process gives no monotonic time.
func localTime(localClocks handover.Clocks, monotonic time.Duration, wall time.Time) time.Time {
	if monotonic == 0 {
		return wall
	}
	return time.Now().Add(monotonic - localClocks.Monotonic)
}

// serveMigrated waits for the answer to an imported request and sends it to the client. The connection is then passed to
// the HTTP server, unless it closes after the response.
func (n *Node) serveMigrated(open *openRequest) {
	c, client, admitted, closeAfterAnswer := open.Context, open.client, open.admitted, open.closeAfterAnswer
	if !n.awaitAnswer(open) {
		n.requestDone(c, true) // migrated on to the next process
		return
	}
	if admitted {
		n.admission.Release(c)
	}
	written := false
	if answer := c.Answer(); answer.Verdict != request.ClientGone {
		closeAfterAnswer = closeAfterAnswer || n.closesConn(client)
		w := &answerWriter{conn: client, header: http.Header{}}
		written = n.responder.Write(w, answer, closeAfterAnswer) == nil
		n.checkAnswerTime(c, admitted && written)
	}
	n.requestDone(c, written)
	if written && !closeAfterAnswer {
		client.SetDeadline(time.Time{})
		client.MarkIdle()
		n.handover.listener.inject(client)
		return
	}
	client.CloseAfterAnswer() // guards against a reset: unread bytes may follow the request
}
