package simulation

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"swiftdeal/internal/testing/fake"
)

// pendingDial is a connection request of a node.
type pendingDial struct {
	node     *process
	addr     string
	purpose  string
	sequence int
	mu       sync.Mutex
	settled  bool // established, refused, or abandoned by the node
	done     chan dialResult
}

type dialResult struct {
	handle *handle
	err    error
}

// dial is a node's platform.Machine.Dial.
func (n *process) dial(ctx context.Context, to string, wait time.Duration, why string) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	d := &pendingDial{node: n, addr: to, purpose: why, done: make(chan dialResult, 1)}
	n.simulation.enqueueAction(action{kind: actionDial, dial: d})
	select {
	case r := <-d.done:
		if r.err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(to), Err: r.err}
		}
		return r.handle, nil
	case <-ctx.Done():
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.settled { // established at the same instant
			if r := <-d.done; r.handle != nil {
				r.handle.Close()
			}
		}
		d.settled = true
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(to), Err: ctx.Err()}
	}
}

// settle gives the node the result of its dial, and reports whether the node was still waiting for it.
func (d *pendingDial) settle(r dialResult) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.settled {
		return false
	}
	d.settled = true
	d.done <- r
	return true
}

func (d *pendingDial) isSettled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settled
}

// applyDial processes a node's connection request.
func (sim *Simulation) applyDial(d *pendingDial) {
	n := d.node
	if n.killed {
		d.settle(dialResult{err: syscall.ECONNABORTED})
		return
	}
	sim.pendingDials = append(sim.pendingDials, d)
	m := sim.machineByAddress[d.addr]
	l := &link{simulation: sim, node: n, machine: m, purpose: d.purpose}
	sim.linkCount++
	l.id = sim.linkCount
	there := sim.now() + sim.latency(l)
	sim.schedule(there, func() {
		if m == nil || m.gone {
			sim.schedule(sim.now()+sim.latency(l), func() { d.settle(dialResult{err: syscall.ECONNREFUSED}) })
			return
		}
		if m.isolated || m.refusesConnections || n.killed {
			return
		}
		l.toWorker = m.worker != nil
		l.label = fmt.Sprintf("c%d %s-%s", l.id, n.name, m.name)
		l.endpoint = newEndpoint(l, fmt.Sprintf("%s:%d", n.name, 10000+l.id), d.addr)
		l.toNodeAt = sim.now()
		far := farEnd{l}
		if m.front != nil {
			sim.outcome.DiscoveryCalls++
		} else {
			sim.outcome.Dials++
		}
		if l.far = m.open(far); l.far == nil {
			if m.worker != nil {
				sim.outcome.DialsRefused++
			}
			sim.trace("%s refused", l.label)
			sim.schedule(sim.now()+sim.latency(l), func() { d.settle(dialResult{err: syscall.ECONNREFUSED}) })
			return
		}
		m.links[l] = true
		if m.worker != nil {
			sim.outcome.MostConns = max(sim.outcome.MostConns, m.worker.Conns())
		}
		sim.schedule(l.arrivalTime(0), func() {
			if l.broken || m.isolated || n.killed {
				return
			}
			sim.trace("%s up for %s", l.label, d.purpose)
			sim.openEndpoints++
			if e := n.openEndpoint(l); !d.settle(dialResult{handle: e}) { // the node has given up
				e.Close()
			}
		})
	})
}

// Dial implements fake.Dialer: a client's connection to a node.
func (sim *Simulation) Dial(to string, rate int, h fake.Opener) {
	n := sim.nodes[slices.IndexFunc(sim.nodes, func(n *process) bool { return n.name == to })]
	sim.dialNode(n, n.clients, rate, h)
}

// dialNode opens a client connection to one of a node's listeners.
func (sim *Simulation) dialNode(n *process, ln *listener, rate int, h fake.Opener) {
	l := &link{
		simulation: sim,
		node:       n,
		machine:    &machine{name: "client", zone: n.zone, links: map[*link]bool{}},
		rate:       rate,
	}
	sim.linkCount++
	l.id = sim.linkCount
	l.label = fmt.Sprintf("c%d client-%s", l.id, n.name)
	l.far = h
	l.endpoint = newEndpoint(l, n.listen, fmt.Sprintf("client:%d", 10000+l.id))
	there := sim.now() + sim.latency(l)
	l.toNodeAt = there
	sim.schedule(there, func() {
		back := sim.latency(l)
		if sim.openEndpoints++; n.running && !n.killed {
			n.links[l] = true // before it is offered, since another process may accept it
		}
		ok := n.running && !n.killed && ln.offer(l.endpoint)
		if !ok {
			sim.openEndpoints--
			delete(n.links, l)
		}
		sim.schedule(sim.now()+back, func() {
			if !ok {
				sim.trace("%s refused", l.label)
				h.Closed(true)
				return
			}
			h.Opened(farEnd{l})
		})
	})
}

// latency draws the one-way latency of a packet.
func (sim *Simulation) latency(l *link) time.Duration {
	net := &sim.plan.Net
	t := net.Near
	if l.machine != nil && l.machine.zone != l.node.zone {
		t = net.Far
	}
	return ms(t + net.Jitter*sim.random.Float64())
}
