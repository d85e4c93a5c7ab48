package node

import (
	"sync"

	"swiftdeal/internal/config"
	"swiftdeal/internal/handover"
)

// While two processes of the node run, each tells the other what it is told: a signal reaches only one of them, and either may be
// the one that stays.

// linkedProcess says which process is at the other end of a link.
type linkedProcess int

const (
	fromPredecessor linkedProcess = iota
	fromSuccessor
)

// updateSender tells the process at the other end of a link what changes in this one.
type updateSender struct {
	handover *processHandover
	link     handover.Link
	changed  chan struct{} // capacity 1
	done     chan struct{}
	stopOnce sync.Once

	// What is known at the other end; used by run only.
	discovery config.DiscoveryAddresses
	list      *config.EndpointList // nil: changes of the list are not told
}

// sendUpdates starts to tell the process at the other end of a link what changes. discovery holds the addresses known there, and
// list the endpoint list; nil if there are none. Changes of the list are told only if there is one. The caller stops the sender
// when the link has ended.
func (h *processHandover) sendUpdates(
	link handover.Link, discovery *config.DiscoveryAddresses, list *config.EndpointList,
) *updateSender {
	s := &updateSender{handover: h, link: link, changed: make(chan struct{}, 1), done: make(chan struct{}), list: list}
	if discovery != nil {
		s.discovery = *discovery
	}
	h.mu.Lock()
	h.linked[s] = true
	h.mu.Unlock()
	s.notify() // of what has changed since the other process was told last
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

// send sends what has changed since the last update.
func (s *updateSender) send() error {
	update := handover.Message{Kind: handover.KindUpdate, Group: s.listChanges()}
	if addresses := s.handover.node.addresses.current(); addresses != s.discovery {
		s.discovery, update.Discovery = addresses, &addresses
	}
	if update.Group != nil {
		update.Source = update.Group.Source
	} else if update.Discovery == nil {
		return nil
	}
	return s.link.Send(update)
}

// listChanges returns the changes of the endpoint list that the other end is to be told, or nil if there are none.
func (s *updateSender) listChanges() *config.EndpointList {
	if s.list == nil {
		return nil
	}
	earlier, list := s.list, s.handover.endpoints.current()
	if list.Version == earlier.Version {
		return nil
	}
	s.list = list
	changes := list.ChangesSince(*earlier)
	return &changes
}

// notifyLinked has all linked processes told what has changed. It does not wait, and may be called on nil.
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

// applyUpdate applies what another process of the node has been told.
func (h *processHandover) applyUpdate(m handover.Message, from linkedProcess) {
	n := h.node
	if m.Discovery != nil && n.addresses.follow(*m.Discovery, from) {
		addresses := n.addresses.current()
		n.log.Info("discovery moved", "discovery", addresses.Preferred())
		n.dispatcher.SetDiscoveryAddresses(addresses.List())
		h.notifyLinked()
	}
	if m.Group != nil {
		changes := *m.Group
		changes.Source = m.Source
		n.discovery.Relay(changes)
	}
}
