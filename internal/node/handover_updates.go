package node

import (
	"slices"
	"sync"

	"swiftdeal/internal/config"
	"swiftdeal/internal/handover"
)

// While two processes of the node run, each forwards what it receives from signals, operators, discovery and the control plane:
// these reach only one of the two, and either may be the one that stays.

// linkedProcess says which process is at the other end of a link.
type linkedProcess int

const (
	fromPredecessor linkedProcess = iota
	fromSuccessor
)

// sharedState is the state that one process of the node has received from outside and the other one needs too.
type sharedState struct {
	discovery config.DiscoveryAddresses
	drained   []string // workers that the control plane has drained
	drain     handover.OperatorDrain
	list      *config.EndpointList // nil: it is not forwarded
}

// currentState returns the shared state of this process.
func (h *processHandover) currentState() sharedState {
	return sharedState{
		discovery: h.node.addresses.current(), drained: h.node.fleet.drainedWorkers(),
		drain: h.node.drainState.operatorDrain(), list: h.endpoints.current(),
	}
}

// stateOf returns the shared state of a predecessor. The list is not forwarded to it: it watches discovery itself, and is about to
// exit.
func stateOf(predecessor *handover.Predecessor) sharedState {
	state := sharedState{drained: predecessor.Drained, drain: predecessor.Drain}
	if predecessor.Discovery != nil {
		state.discovery = *predecessor.Discovery
	}
	return state
}

// updateSender sends changes of the shared state to the process at the other end of a link.
type updateSender struct {
	handover *processHandover
	link     handover.Link
	changed  chan struct{} // capacity 1
	done     chan struct{}
	stopOnce sync.Once
	known    sharedState // at the other end; used by run only
}

// sendUpdates starts to send changes of the shared state to the process at the other end of a link, which knows the given state.
// The caller stops the sender when the link has ended.
func (h *processHandover) sendUpdates(link handover.Link, known sharedState) *updateSender {
	s := &updateSender{handover: h, link: link, changed: make(chan struct{}, 1), done: make(chan struct{}), known: known}
	h.mu.Lock()
	h.linked[s] = true
	h.mu.Unlock()
	s.notify() // the state may have changed since the last message
	h.run(noLink{}, s.run)
	return s
}

// stop ends the sender.
func (s *updateSender) stop() {
	s.handover.mu.Lock()
	delete(s.handover.linked, s)
	s.handover.mu.Unlock()
	s.stopOnce.Do(func() { close(s.done) })
}

// notify has the sender look for changes. It does not wait.
func (s *updateSender) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// run sends what has changed, until the sender is stopped or the link fails.
func (s *updateSender) run() {
	for {
		select {
		case <-s.done:
			return
		case <-s.changed:
		}
		if s.send() != nil {
			return
		}
	}
}

// send sends what has changed since the last update, if anything has.
func (s *updateSender) send() error {
	update, changed := handover.Message{Kind: handover.KindUpdate}, false
	now := s.handover.currentState()
	if now.discovery != s.known.discovery {
		s.known.discovery = now.discovery
		update.Discovery, changed = &now.discovery, true
	}
	if !slices.Equal(now.drained, s.known.drained) {
		s.known.drained = now.drained
		update.DrainedWorkers, changed = &now.drained, true
	}
	if now.drain.Requested != s.known.drain.Requested {
		s.known.drain = now.drain
		update.Drain, changed = &now.drain, true
	}
	if s.known.list != nil && now.list.Version != s.known.list.Version {
		changes := now.list.ChangesSince(*s.known.list)
		s.known.list = now.list
		update.Group, update.Source, changed = &changes, changes.Source, true
	}
	if !changed {
		return nil
	}
	return s.link.Send(update)
}

// notifyLinked has changes of the shared state sent to all linked processes. It does not wait, and may be called on nil.
func (h *processHandover) notifyLinked() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for sender := range h.linked {
		sender.notify()
	}
}

// applyUpdate applies a change of the shared state of another process of the node.
func (h *processHandover) applyUpdate(m handover.Message, from linkedProcess) {
	n := h.node
	if m.Discovery != nil && n.addresses.follow(*m.Discovery, from) {
		addresses := n.addresses.current()
		n.log.Info("discovery moved", "discovery", addresses.Preferred())
		n.dispatcher.SetDiscoveryAddresses(addresses.List())
		h.notifyLinked()
	}
	if m.DrainedWorkers != nil && n.fleet.inheritDrained(*m.DrainedWorkers, from) {
		h.notifyLinked()
	}
	if m.Drain != nil && n.followDrain(*m.Drain) {
		h.notifyLinked()
	}
	if m.Group != nil {
		changes := *m.Group
		changes.Source = m.Source
		n.discovery.Relay(changes)
	}
}
