package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"swiftdeal/internal/request"
)

// A request is held while its client, which sends without a pause, may have left unnoticed: an attempt would have to wait until what the
// client has sent is read, and would take a worker's capacity meanwhile. Requests that are held do not count as open ones, so that they
// wait for what their own clients have sent, and others do not.

// heldRequests are the requests that are held, the longest first. It is safe for concurrent use.
type heldRequests struct {
	mu   sync.Mutex
	list []*request.Context
}

// add adds a request.
func (h *heldRequests) add(c *request.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, c)
}

// remove removes a request.
func (h *heldRequests) remove(c *request.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = slices.DeleteFunc(h.list, func(other *request.Context) bool { return other == c })
}

// refuse answers the requests that have been held longest, and returns how many. Where the client has left, the answer ends its
// connection, however much of what it has sent is unread.
func (h *heldRequests) refuse(count int, answer request.Answer) (refused int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.list {
		if refused == count {
			break
		}
		if c.Finish(answer) {
			refused++
		}
	}
	return refused
}

// clientUnread reports whether the client has sent what has not been read yet, as far as that is known without asking the system for each
// request.
func (r *openRequest) clientUnread() bool {
	return r.client != nil && r.client.HasUnread()
}

// admitHeld admits a request, holds it while its client may have left, and then passes it to the dispatcher. It reports whether the
// request was admitted. Otherwise it has been answered.
func (n *Node) admitHeld(r *openRequest) bool {
	if !n.admission.AdmitHeld(r.Context) {
		return false
	}
	n.requestAdmitted()
	if n.hold(r) && n.admission.Activate(r.Context, n.handover.handedOver()) {
		n.submit(r.Context)
	}
	return true
}

// holdImported holds a request that came from another process, which has no attempt in flight. It reports whether the request is still
// wanted.
func (n *Node) holdImported(r *openRequest) bool {
	n.admission.Hold(r.Context)
	return n.hold(r) && n.admission.Activate(r.Context, true)
}

// hold waits until a request need not be held any more, and reports whether the request is still wanted.
func (n *Node) hold(r *openRequest) bool {
	n.held.add(r.Context)
	defer n.held.remove(r.Context)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c, disconnected, requestCtxDone := r.Context, r.disconnected, r.requestCtxDone // r does not escape to the heap
	go func() {
		defer stop()
		n.awaitHoldEnd(ctx, c, disconnected, requestCtxDone)
	}()
	r.client.AwaitTurnToRead(ctx, time.Now())
	select {
	case <-c.Done():
		return false
	case <-disconnected:
		return false
	case <-requestCtxDone:
		return false
	default:
		return true
	}
}

// awaitHoldEnd waits until a request cannot be held any longer: it has been answered, its client has left, or another process or the
// end of this one needs it to be known to the dispatcher. It returns when ctx ends, too.
func (n *Node) awaitHoldEnd(ctx context.Context, c *request.Context, disconnected, requestCtxDone <-chan struct{}) {
	select {
	case <-c.Done():
	case <-disconnected:
	case <-requestCtxDone:
	case <-n.handover.migrations():
	case <-n.drainState.holdsNone:
	case <-ctx.Done():
	}
}
