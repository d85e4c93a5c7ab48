package node

import (
	"net"

	"swiftdeal/internal/handover"
)

// This process as the old one: what it hands over to its successor.

// acceptSuccessors serves processes that want to take over, until their listener is closed.
func (h *processHandover) acceptSuccessors() {
	for {
		link, err := h.successors.Accept()
		if err != nil {
			return
		}
		h.linkCount++
		id := h.linkCount
		h.run(link, func() { h.serveSuccessor(link, id) })
	}
}

// serveSuccessor hands over to the process on a link, in the steps that the process requests.
func (h *processHandover) serveSuccessor(link handover.Link, id int) {
	hello, _, err := link.Receive(h.node.limits.HandoverMessageTimeout)
	if err != nil || hello.Kind != handover.KindHello {
		return
	}
	if reason := h.rejectReason(hello, id); reason != "" {
		h.node.log.Warn("handover refused", "reason", reason)
		link.Send(handover.Message{Kind: handover.KindRefused, Version: handover.Version, Reason: reason})
		return
	}
	state := h.currentState()
	err = link.Send(h.welcome(state, hello.Updates), h.listener.Listener)
	for tookOver := false; err == nil; {
		tookOver, err = h.receiveStep(link, id)
		if tookOver && hello.Updates {
			defer h.sendUpdates(link, state).stop()
		}
	}
	h.successorExited(link, id, err)
}

// welcome returns the message that begins a handover. A successor of a version without updates does not know of drained workers:
// they are draining in its list.
func (h *processHandover) welcome(state sharedState, updates bool) handover.Message {
	if !updates {
		marked := h.node.fleet.withDrained(*state.list)
		return handover.Message{Kind: handover.KindWelcome, Version: handover.Version, Group: &marked}
	}
	text, rejected := h.node.file.current()
	return handover.Message{
		Kind: handover.KindWelcome, Version: handover.Version, Group: state.list, Discovery: &state.discovery,
		DrainedWorkers: &state.drained, Drain: &state.drain, Updates: true, ConfigFile: text, RejectedFile: rejected,
	}
}

// rejectReason returns why a process may not take over now. If it may, the reason is empty, and no other process may take
// over until its link ends.
func (h *processHandover) rejectReason(hello handover.Message, id int) string {
	if hello.Version != handover.Version || hello.Listen != h.node.config.Listen {
		return "another version or another node"
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.handoff.Begin(id) {
		return "another process is taking over"
	}
	return ""
}

// receiveStep receives and handles the successor's next message. It reports whether the successor has just taken over.
func (h *processHandover) receiveStep(link handover.Link, id int) (tookOver bool, err error) {
	m, _, err := link.Receive(0)
	if err != nil {
		return false, err
	}
	switch m.Kind {
	case handover.KindTakeOver:
		h.mu.Lock()
		first := h.handoff.TakeOver(id)
		h.mu.Unlock()
		if first {
			return true, h.handOver(link)
		}
	case handover.KindUpdate:
		h.applyUpdate(m, fromSuccessor)
	case handover.KindRefused:
		// Guards against two processes serving clients: the successor has been replaced in turn, and this process must
		// not resume when the successor exits.
		h.mu.Lock()
		h.handoff.Shutdown()
		h.mu.Unlock()
	}
	return false, nil
}

// handOver stops serving clients, and sends the state and the idle connections to the process on the link.
func (h *processHandover) handOver(link handover.Link) error {
	n := h.node
	h.listener.pause()
	n.fleet.release()
	n.shareLimits(true)
	state := n.dispatcher.Standby(true)
	clocks := n.clocks()
	err := link.Send(handover.Message{
		Kind: handover.KindState, BalancerState: &state, Settings: n.fleetSettings.exportVersion(), Clocks: &clocks,
		UsedIDs: n.exportUsedIDs(),
	})
	if err != nil {
		return err
	}
	n.log.Info("clients handed over", "open", n.admission.OpenRequests(), "connections", n.connections.count())
	n.connections.handOffIdle(func(conn net.Conn) {
		h.transfers.begin()
		go func() {
			defer h.transfers.end()
			defer conn.Close()
			link.Send(handover.Message{Kind: handover.KindConnection}, conn)
		}()
	})
	h.mu.Lock()
	h.successor = link
	close(h.migrating)
	predecessor := h.predecessor
	h.mu.Unlock()
	// Tells the predecessor of this process not to resume when this process exits, see receiveStep. Older versions ignore
	// KindRefused here.
	if predecessor != nil {
		predecessor.Send(handover.Message{Kind: handover.KindRefused, Version: handover.Version, Reason: "replaced in turn"})
	}
	return nil
}

// successorExited handles the end of a successor's link. Open requests that have not migrated stay in this process. If the
// successor served the clients and this process is not terminating, this process serves them again.
func (h *processHandover) successorExited(link handover.Link, id int, err error) {
	h.mu.Lock()
	handedOver, resumes := h.handoff.LinkLost(id)
	if h.successor == link {
		h.successor, h.migrating = nil, make(chan struct{})
	}
	closed := h.closed
	h.mu.Unlock()
	if closed { // this process has terminated before its successor, as it should
		return
	}
	n := h.node
	n.log.Info("successor exited", "takes_clients_again", resumes, "why", err)
	switch {
	case resumes:
		n.connections.handOffIdle(nil)
		n.dispatcher.Standby(false)
	case handedOver:
		n.dispatcher.ReleaseHeld()
	}
	if handedOver {
		n.shareLimits(false)
	}
	if !resumes {
		return
	}
	h.openSuccessors() // guards against a further process that only finds the socket of the one that has died
	h.listener.resume()
	if err := n.fleet.join(true); err != nil {
		n.log.Error("fleet membership lost", "error", err)
	}
}
