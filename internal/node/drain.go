package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/internal/handover"
)

// drainPollInterval is how often a drain checks for connections that have become idle.
const drainPollInterval = 20 * time.Millisecond

// drainState holds whether the node drains. It is safe for concurrent use.
type drainState struct {
	mu           sync.Mutex
	shuttingDown bool               // the process is terminating; never reset
	requestedAt  time.Time          // when an operator or the control plane requested a drain; zero if none is in progress
	cancelDrain  context.CancelFunc // cancels the requested drain
	byOperator   bool               // an operator has requested a drain and not ended it; kept while shutting down

	holdsNone chan struct{} // closed once requests are not held any more, as the process will end soon

	late      atomic.Bool // requests read from now on may have no time to be answered
	finishing atomic.Bool // a successor has taken over, and this process completes what it has
	resizing  sync.Mutex  // held by resizeAfterHandover
}

// draining reports whether the node drains, and how long ago a drain was requested by an operator.
func (s *drainState) draining() (draining bool, requestedFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.requestedAt.IsZero() {
		requestedFor = time.Since(s.requestedAt)
	}
	return s.shuttingDown || !s.requestedAt.IsZero(), requestedFor
}

// operatorDrain returns whether an operator has requested a drain, for another process of the node.
func (s *drainState) operatorDrain() handover.OperatorDrain {
	s.mu.Lock()
	defer s.mu.Unlock()
	drain := handover.OperatorDrain{Requested: s.byOperator}
	if drain.Requested && !s.requestedAt.IsZero() {
		drain.For = time.Since(s.requestedAt)
	}
	return drain
}

// endOperatorDrain records that an operator has ended the drain. Other than Resume it also does so in a process that shuts down.
func (s *drainState) endOperatorDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byOperator = false
}

// request records that a drain was requested at a time. It returns a context that is canceled when the drain is canceled, or
// nil if a drain is already in progress or the process is shutting down. The caller holds mu.
func (s *drainState) request(at time.Time) context.Context {
	if s.shuttingDown || !s.requestedAt.IsZero() {
		return nil
	}
	s.requestedAt = at
	var ctx context.Context
	ctx, s.cancelDrain = context.WithCancel(context.Background())
	return ctx
}

// cancel cancels the requested drain, if there is one. The caller holds mu.
func (s *drainState) cancel() {
	if !s.requestedAt.IsZero() {
		s.requestedAt = time.Time{}
		s.cancelDrain()
	}
}

// shutDown records that the process is terminating. It replaces a drain that was requested before.
func (s *drainState) shutDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown = true
	s.cancel()
}

// Drain implements control.Backend. A second call has no effect: the timing of the first one stays.
func (n *Node) Drain() bool {
	defer n.handover.notifyLinked()
	n.requestDrain(time.Now(), true)
	return true
}

// requestDrain drains the node from a time on, at the request of an operator or of the control plane.
func (n *Node) requestDrain(at time.Time, byOperator bool) {
	n.drainState.mu.Lock()
	defer n.drainState.mu.Unlock()
	n.drainState.byOperator = n.drainState.byOperator || byOperator
	drainCtx := n.drainState.request(at)
	if drainCtx == nil {
		return
	}
	go n.closeIdleClients(drainCtx, at)
	defer n.fleet.announceState()
	n.log.Info("drain requested", "open", n.admission.OpenRequests(), "connections", n.connections.count())
}

// followDrain does what an operator has asked of another process of the node, and reports whether that is new.
func (n *Node) followDrain(drain handover.OperatorDrain) (changed bool) {
	if drain.Requested == n.drainState.operatorDrain().Requested {
		return false
	}
	if drain.Requested {
		n.requestDrain(time.Now().Add(-drain.For), true)
	} else {
		n.drainState.endOperatorDrain()
		n.Resume()
	}
	return true
}

// Resume implements control.Backend. A process that is terminating does not resume.
func (n *Node) Resume() bool {
	defer n.handover.notifyLinked()
	n.drainState.mu.Lock()
	defer n.drainState.mu.Unlock()
	if n.drainState.shuttingDown {
		return false
	}
	if n.drainState.requestedAt.IsZero() {
		return true
	}
	n.drainState.byOperator = false
	n.log.Info("drain canceled", "after_ms", time.Since(n.drainState.requestedAt).Milliseconds())
	n.drainState.cancel()
	defer n.fleet.announceState()
	return true
}

// closeIdleClients closes idle client connections until ctx is canceled, in a drain that began at start. At first it spares
// recently used connections, whose clients may be about to send a request.
func (n *Node) closeIdleClients(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		elapsed := time.Since(start)
		if elapsed >= n.limits.RequestedDrainRejectAfter {
			n.connections.closeIdle(0)
		} else if elapsed >= n.limits.RequestedDrainGrace {
			n.connections.closeIdle(n.limits.RequestedDrainIdleTimeout)
		}
	}
}

// drain shuts the node down without losing admitted requests. It accepts new connections for a while longer, since
// closing the listener resets the connections in its queue. Clients with open connections learn from the next response
// that the connection closes; connections that stay idle are closed.
func (n *Node) drain() {
	start := time.Now()
	limits := n.limitsInForce.current()
	answerDeadline := start.Add(limits.DrainAnswerTimeout)
	if n.handover.shutDown() {
		n.finishAfterHandover(answerDeadline)
		return
	}
	time.Sleep(limits.DrainGrace)
	n.admission.SetDrainDeadline(answerDeadline)
	close(n.drainState.holdsNone)
	// The front no longer sends new connections to this node, so a rejected request is retried at another one. A SIGKILL
	// may follow DrainAnswerTimeout.
	n.dispatcher.ShutdownAt(answerDeadline)
	time.Sleep(time.Until(start.Add(limits.DrainAcceptPeriod)))
	n.clients.Close()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for end := start.Add(limits.DrainTimeout); time.Now().Before(end); <-ticker.C {
		idleTimeout := limits.DrainIdleTimeout
		if time.Now().After(answerDeadline) {
			n.drainState.late.Store(true)
			idleTimeout = min(idleTimeout, limits.DrainLateIdleTimeout) // requests sent from now on would not be answered
		}
		n.connections.closeIdle(idleTimeout)
		if !n.hasOpenWork() {
			return
		}
	}
}

// hasOpenWork reports whether a process that shuts down has something left to complete: an open request, a client connection, or
// one of them on its way to another process, which may fail to take it.
func (n *Node) hasOpenWork() bool {
	return n.admission.OpenRequests() > 0 || n.connections.count() > 0 || n.handover.transferring()
}

// finishAfterHandover completes the open requests of this process while its successor serves the clients. Requests that
// cannot complete by end are failed early enough that their clients still receive a response.
func (n *Node) finishAfterHandover(end time.Time) {
	n.clients.Close()
	n.drainState.finishing.Store(true)
	close(n.drainState.holdsNone)
	n.dispatcher.ShutdownAt(end)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	givenUp := false
	for ; n.hasOpenWork() || n.handover.predecessorAlive(); <-ticker.C {
		n.resizeAfterHandover()
		remaining := time.Until(end)
		if remaining <= 0 {
			n.connections.closeIdle(0)
			return
		}
		if remaining <= n.limits.GiveUpMargin && !givenUp {
			givenUp = true
			n.dispatcher.ShutdownAt(time.Now()) // first rejects the requests that are safe to retry
			n.admission.ExpireBy(end)
		}
	}
}

// resizeAfterHandover sets the maximum number of worker connections while this process finishes after a handover. It keeps none
// while it has no open request. This guards against exceeding the node's limits while three processes run: the predecessor of
// this process may still use some, and the successor uses the full limits once this process exits. This process therefore stays
// until its predecessor has exited. Requests whose last bytes are read here need connections until they have migrated.
func (n *Node) resizeAfterHandover() {
	n.drainState.resizing.Lock()
	defer n.drainState.resizing.Unlock()
	conns := n.limitsInForce.current().WorkerConns
	if n.handover.handedOver() && n.admission.OpenRequests() == 0 {
		conns = 0
	}
	n.transport.Resize(conns)
}

// requestAdmitted makes worker connections available to a request that has been admitted while this process finishes.
func (n *Node) requestAdmitted() {
	if n.drainState.finishing.Load() {
		n.resizeAfterHandover()
	}
}
