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

	discovery config.DiscoveryAddresses // known at the other end; used by run only
}

// sendUpdates starts to tell the process at the other end of a link what changes. discovery holds the addresses known there; nil
// if there are none. The caller stops the sender when the link has ended.
func (h *processHandover) sendUpdates(link handover.Link, discovery *config.DiscoveryAddresses) *updateSender {
	s := &updateSender{handover: h, link: link, changed: make(chan struct{}, 1), done: make(chan struct{})}
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
	addresses := s.handover.node.addresses.current()
	if addresses == s.discovery {
		return nil
	}
	s.discovery = addresses
	return s.link.Send(handover.Message{Kind: handover.KindUpdate, Discovery: &addresses})
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
	if m.Discovery == nil || !n.addresses.follow(*m.Discovery, from) {
		return
	}
	addresses := n.addresses.current()
	n.log.Info("discovery moved", "discovery", addresses.Preferred())
	n.dispatcher.SetDiscoveryAddresses(addresses.List())
	h.notifyLinked()
}
