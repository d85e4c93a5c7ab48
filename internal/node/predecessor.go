package node

import (
	"context"
	"fmt"
	"net"

	"swiftdeal/internal/handover"
)

// This process as the new one: what it takes over from its predecessor.

// takeOver replaces the process at the other end of the link. The predecessor stops serving clients, sends its state, and
// passes its connections as they become idle. If the link fails, the predecessor is gone and there is nothing to wait for.
func (h *processHandover) takeOver(ctx context.Context, predecessor *handover.Predecessor) {
	link := predecessor.Link
	if err := h.receiveState(ctx, link); err != nil {
		h.node.log.Warn("handover complete without the predecessor's state", "error", err)
	} else {
		h.node.log.Info("handover complete")
	}
	// Guards against open requests waiting behind idle connections, which are accepted only when there is room for them.
	limits := h.node.limits
	idle := make(chan net.Conn, limits.ClientConns+limits.OverflowConns)
	h.run(noLink{}, func() {
		for conn := range idle {
			h.listener.inject(conn)
		}
	})
	h.mu.Lock()
	h.predecessor = link
	h.mu.Unlock()
	h.run(link, func() {
		defer close(idle)
		if predecessor.Updates {
			defer h.sendUpdates(link, stateOf(predecessor)).stop()
		}
		received, err := h.receiveClients(link, idle)
		h.predecessorExited(received, err)
	})
}

// receiveState makes the predecessor stop serving clients and imports the state that it then sends.
func (h *processHandover) receiveState(ctx context.Context, link handover.Link) error {
	if err := link.Send(handover.Message{Kind: handover.KindTakeOver}); err != nil {
		return err
	}
	timeout := h.node.limits.HandoverMessageTimeout
	m, _, err := link.Receive(timeout)
	if err != nil {
		return err
	}
	if m.Kind != handover.KindState || m.BalancerState == nil {
		return fmt.Errorf("unexpected handover message: got kind %q, want %q with a balancer state", m.Kind, handover.KindState)
	}
	m.BalancerState.Shift(m.Clocks.OffsetTo(h.node.clocks()))
	h.node.dispatcher.ImportState(*m.BalancerState)
	h.node.importUsedIDs(m.UsedIDs)
	h.node.fleetSettings.importVersion(ctx, m.Settings, timeout)
	return nil
}

// receiveClients receives open requests and idle connections until the link fails. It returns the number of messages
// received and the error of the link.
func (h *processHandover) receiveClients(link handover.Link, idle chan<- net.Conn) (received int, err error) {
	for ; ; received++ {
		m, passed, err := link.Receive(0)
		if err != nil {
			return received, err
		}
		switch m.Kind {
		case handover.KindRequest:
			h.importRequest(m.Request, m.Clocks, passed)
		case handover.KindConnection:
			for _, p := range passed {
				if conn, ok := p.(net.Conn); ok {
					idle <- conn
				}
			}
		case handover.KindUpdate:
			h.applyUpdate(m, fromPredecessor)
		}
	}
}

// predecessorExited handles the exit of the predecessor: this process uses the full limits of the node, unless it shares
// them with its own successor by now.
func (h *processHandover) predecessorExited(received int, err error) {
	h.node.log.Info("predecessor exited", "received", received, "why", err)
	h.mu.Lock()
	h.predecessor = nil
	handedOver := h.handoff.HandedOver()
	h.mu.Unlock()
	h.node.shareLimits(handedOver)
}
