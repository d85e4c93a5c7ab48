package simulation

import (
	"cmp"
	"slices"
	"sync"
)

// Actions of the nodes' goroutines on the network are queued and take effect once all goroutines are blocked.

// actionQueue holds the nodes' actions that have not taken effect yet.
type actionQueue struct {
	mu        sync.Mutex // guards this struct and other fields changed by nodes' goroutines; their comments say so
	actions   []action
	dialCount int
	waiting   []*process // processes with events to handle, waiting for their turn
}

// actionKind is the kind of an action. Actions of one instant take effect in the order of their kinds, then of their links' IDs.
type actionKind int

const (
	actionClose actionKind = iota
	actionCloseWrite
	actionWrite
	actionDial
	actionHandover
	actionDatagram
)

// action is an operation of a node on the network. Only the one of link, dial, message and datagram that belongs to the kind is set.
type action struct {
	kind     actionKind
	link     *link
	data     []byte // bytes written
	dial     *pendingDial
	message  *message
	datagram *datagram
	sequence int // number among the connection's writes
}

// enqueueAction queues an action of a node's goroutine.
func (sim *Simulation) enqueueAction(d action) {
	sim.mu.Lock()
	if d.dial != nil {
		d.dial.sequence = sim.dialCount
		sim.dialCount++
	}
	sim.actions = append(sim.actions, d)
	sim.mu.Unlock()
	sim.wakeUp()
}

// applyActions carries out the queued actions in an order that does not depend on goroutine scheduling, and reports whether there were
// any.
func (sim *Simulation) applyActions() bool {
	sim.mu.Lock()
	actions := sim.actions
	sim.actions = nil
	sim.mu.Unlock()
	applied := len(actions) > 0
	actions = slices.DeleteFunc(actions, action.ofKilled)
	slices.SortStableFunc(actions, action.compare)
	writes := map[*link][]action{}
	for _, a := range actions {
		if a.kind == actionWrite {
			writes[a.link] = append(writes[a.link], a)
		}
	}
	write := func(l *link) { // bytes written before the connection was closed are sent before the close
		for _, a := range writes[l] {
			l.handleNodeWrite(a.data)
		}
		delete(writes, l)
	}
	for _, a := range actions {
		switch a.kind {
		case actionClose, actionCloseWrite:
			write(a.link)
			a.link.handleNodeClose(a.kind == actionCloseWrite)
		case actionWrite:
			write(a.link)
		case actionDial:
			sim.applyDial(a.dial)
		case actionHandover:
			sim.deliverMessage(a.message)
		case actionDatagram:
			sim.sendDatagram(a.datagram)
		}
	}
	return applied
}

// ofKilled reports whether the action is by a killed process: what its exiting goroutines do has no effect.
func (a action) ofKilled() bool {
	switch {
	case a.link != nil:
		return a.link.node.killed
	case a.message != nil:
		return a.message.text != nil && a.message.from.process.killed
	case a.datagram != nil:
		return a.datagram.from.process.killed
	}
	return false
}

// compare orders actions of one instant.
func (a action) compare(b action) int {
	if a.kind != b.kind {
		return cmp.Compare(a.kind, b.kind)
	}
	switch a.kind {
	case actionDial:
		return a.dial.compare(b.dial)
	case actionHandover:
		return a.message.compare(b.message)
	case actionDatagram:
		return a.datagram.compare(b.datagram)
	}
	return cmp.Or(cmp.Compare(a.link.id, b.link.id), cmp.Compare(a.sequence, b.sequence))
}

func (d *pendingDial) compare(o *pendingDial) int {
	return cmp.Or(
		cmp.Compare(d.node.index, o.node.index), cmp.Compare(d.node.incarnation, o.node.incarnation),
		cmp.Compare(d.addr, o.addr), cmp.Compare(d.purpose, o.purpose), cmp.Compare(d.sequence, o.sequence),
	)
}
