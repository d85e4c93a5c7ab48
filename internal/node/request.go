package node

import (
	"net/http"
	"time"

	"swiftdeal/internal/ingress"
	"swiftdeal/internal/invariant"
	"swiftdeal/internal/request"
)

// openRequest is a client's request while the goroutine that serves the client waits for the answer.
type openRequest struct {
	*request.Context
	writer           http.ResponseWriter // of the HTTP server; nil if the request came from another process
	client           *ingress.Conn
	disconnected     <-chan struct{} // closed once the client has left, where requestCtxDone does not show it
	requestCtxDone   <-chan struct{} // closed once the HTTP server sees that the client has left; nil if writer is nil
	admitted         bool            // the request was passed to the dispatcher
	closeAfterAnswer bool            // the client's connection closes after the response
}

// conn returns the client's connection, to be migrated to another process.
func (r *openRequest) conn() openConn {
	if r.writer == nil {
		return resumedConn{r.client}
	}
	return serverConn{r.writer}
}

// ServeHTTP passes one request through the stages. It returns once the client has its answer or has left, or the request
// has been migrated to another process.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ingress.AwaitTurn(r)
	if ingress.IsReadinessCheck(r) {
		n.serveReady(w, r)
		return
	}
	if refused, ok := ingress.TakeRefused(r); ok {
		n.serveRefused(w, r, refused)
		return
	}
	c := n.ingress.Read(w, r)
	overflow := n.connections.isOverflow(r.Context())
	open := openRequest{
		Context:          c,
		writer:           w,
		client:           ingress.ConnFromRequest(r),
		requestCtxDone:   r.Context().Done(),
		closeAfterAnswer: overflow || r.ContentLength < 0 || r.Close || !r.ProtoAtLeast(1, 1),
	}
	if open.client != nil {
		open.disconnected = open.client.Disconnected()
	}
	open.admitted = n.admit(&open, overflow)
	if !n.awaitAnswer(&open) {
		n.requestDone(c, true)
		return
	}
	if open.admitted {
		n.admission.Release(c)
	}
	written := false
	defer func() { n.requestDone(c, written) }() // also when the responder panics to abort the connection
	answer := c.Answer()
	// The connection of a client that violates the protocol is closed. The server then neither waits for the rest of the
	// body before it sends the response, nor parses what follows, which may not be a request.
	bodyUnread := r.ContentLength > 0 && c.Body == nil
	closes := overflow || answer.Verdict.Faulty() || bodyUnread || r.ContentLength < 0 || n.closesConn(open.client)
	written = n.responder.Write(w, answer, closes) == nil
	n.checkAnswerTime(c, open.admitted && written)
}

// requestDone counts a request that has ended, and releases what its answer holds. delivered tells whether the client received the
// answer.
func (n *Node) requestDone(c *request.Context, delivered bool) {
	n.accounting.RequestDone(c, delivered)
	c.Release()
}

// admit passes a request to the dispatcher and reports whether it was admitted. Otherwise the request has been answered.
func (n *Node) admit(r *openRequest, overflow bool) bool {
	c := r.Context
	_, drainedFor := n.drainState.draining()
	select {
	case <-c.Done(): // already answered by ingress
		return false
	default:
	}
	if drainedFor >= n.limits.RequestedDrainRejectAfter {
		c.Finish(request.Answer{Verdict: request.Rejected, Reason: "clients are sent away"})
		return false
	}
	if overflow {
		// Guards against running out of file descriptors: a client beyond the limit gets a response instead of a reset.
		c.Finish(n.noConnectionAnswer())
		return false
	}
	if r.clientUnread() {
		return n.admitHeld(r)
	}
	if !n.admission.Admit(c) {
		return false
	}
	n.requestAdmitted()
	n.submit(c)
	return true
}

// submit passes an admitted request to the dispatcher, or answers it.
func (n *Node) submit(c *request.Context) {
	if !n.dispatcher.Submit(c) {
		c.Finish(request.Answer{Verdict: request.Rejected, Reason: "too many requests wait", RetryAfter: n.limits.RejectedRetryAfter})
	}
}

// closesConns reports whether client connections are closed after their next response: the node drains, and no successor
// process takes them over.
func (n *Node) closesConns() bool {
	draining, _ := n.drainState.draining()
	return draining && !n.handover.handedOver()
}

// closesConn reports whether a client's connection is closed after its next response. While the node drains it is, unless a further
// request has been read from it already: that one would have no answer.
func (n *Node) closesConn(client *ingress.Conn) bool {
	if !n.closesConns() {
		return false
	}
	return n.drainState.late.Load() || client == nil || !client.HoldsNextRequest()
}

// awaitAnswer waits for the answer to a request, or for its client to leave. It returns false once the request has been
// migrated to another process, and nothing is left to do in this one.
func (n *Node) awaitAnswer(r *openRequest) (finished bool) {
	for {
		select {
		case <-r.Done():
			return true
		default:
		}
		var migrations <-chan struct{}
		if r.admitted {
			migrations = n.handover.migrations()
		}
		select {
		case <-r.Done():
			return true
		case <-r.disconnected:
			n.clientGone(r.Context)
			return true
		case <-r.requestCtxDone:
			n.clientGone(r.Context)
			return true
		case <-migrations:
		}
		if n.handover.migrate(r) {
			return false
		}
		n.pauseMigration(r.Context)
	}
}

// clientGone finishes a request whose client has left.
func (n *Node) clientGone(c *request.Context) {
	if c.Finish(request.Answer{Verdict: request.ClientGone}) {
		n.dispatcher.ClientGone(c)
	}
}

// pauseMigration waits before the next attempt to migrate a request.
func (n *Node) pauseMigration(c *request.Context) {
	timer := time.NewTimer(n.limits.MigrationRetryInterval)
	defer timer.Stop()
	select {
	case <-c.Done():
	case <-timer.C:
	}
}

// checkAnswerTime reports an invariant violation if a response was written later than the request's deadline allows.
func (n *Node) checkAnswerTime(c *request.Context, written bool) {
	late := time.Since(c.Deadline)
	if written && late > invariant.AnswerSlack {
		answer := c.Answer()
		n.invariants.Violated(invariant.AnswerInTime, "id", c.ID, "verdict", answer.Verdict, "reason", answer.Reason, "late", late)
	}
}

// serveReady answers a readiness check: with 200 while the node is ready or has been handed over to a successor, otherwise
// with 503.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	code := http.StatusServiceUnavailable
	successorReady := n.handover.handedOver() && !n.drainState.operatorDrain().Requested
	if successorReady || n.Ready() { // after a handover the successor serves the clients
		code = http.StatusOK
	}
	if n.closesConn(ingress.ConnFromRequest(r)) {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(code)
}

// Ready implements control.Backend. It also decides the readiness checks on the client address. The node is ready while it
// serves clients, does not drain and does not wait for its control plane, and the endpoint list is known. The list
// need not be known if the node has taken over from another process, or from readyBy on.
func (n *Node) Ready() bool {
	if !n.serving.Load() || n.handover.handedOver() || n.fleet.awaitsControlPlane() {
		return false
	}
	draining, _ := n.drainState.draining()
	select {
	case <-n.dispatcher.EndpointsKnown():
		return !draining
	default:
		// Guards against a node that starts while discovery is down and never becomes ready. Without workers, requests
		// are queued and rejected in time.
		tookOver := n.handover != nil && n.handover.tookOver.Load()
		return !draining && (tookOver || !time.Now().Before(n.readyBy))
	}
}
