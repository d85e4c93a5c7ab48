package simulation

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"swiftdeal/internal/config"
	"swiftdeal/internal/membership/codec"
	"swiftdeal/internal/testing/fake"
)

// Fleet membership, for plans that enable it: datagrams between nodes, and faults that affect them.

// fleetName is the name of the simulated fleet.
const fleetName = "sim"

// fleetPeriod is the time between two probes of the membership protocol.
const fleetPeriod = 200 * time.Millisecond

// fleetAddr is the address at which a node receives datagrams.
func fleetAddr(n *process) string {
	host, _, _ := net.SplitHostPort(n.listen)
	return host + ":7946"
}

// fleetConfig returns a node's fleet configuration; nil if the plan has no fleet membership.
func (sim *Simulation) fleetConfig(n *process) *config.Fleet {
	if !sim.plan.Fleet {
		return nil
	}
	f := &config.Fleet{
		Name:                fleetName,
		Site:                n.zone,
		Listen:              fleetAddr(n),
		Advertise:           fleetAddr(n),
		Period:              fleetPeriod,
		MaxMembers:          1024,
		ForgetAfter:         time.Minute,
		BelieveObservations: !sim.plan.NoObservations,
	}
	for i := range min(3, len(sim.nodes)) {
		if i != n.index {
			f.Seeds = append(f.Seeds, fleetAddr(sim.nodes[i]))
		}
	}
	return f
}

// socket is a process's datagram socket.
type socket struct {
	process  *process
	address  string
	mu       sync.Mutex
	queue    []datagram
	readable chan struct{}
	closed   bool
	sent     int
}

// datagram is a datagram that a node has sent.
type datagram struct {
	from        *socket
	destination string
	text        []byte
	sequence    int // number among its socket's datagrams
}

func (l *datagram) compare(o *datagram) int {
	return cmp.Or(
		cmp.Compare(l.from.process.index, o.from.process.index),
		cmp.Compare(l.from.process.incarnation, o.from.process.incarnation),
		cmp.Compare(l.sequence, o.sequence),
	)
}

// listenPacket opens a datagram socket of a process. It fails if another process uses the address.
func (n *process) listenPacket(at string) (net.PacketConn, error) {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()
	if n.simulation.sockets[at] != nil {
		return nil, fmt.Errorf("%s: %w", at, syscall.EADDRINUSE)
	}
	s := &socket{process: n, address: at, readable: make(chan struct{}, 1)}
	n.simulation.sockets[at] = s
	return s, nil
}

// ReadFrom implements net.PacketConn.
func (s *socket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		s.mu.Lock()
		if len(s.queue) > 0 {
			l := s.queue[0]
			s.queue = s.queue[1:]
			s.mu.Unlock()
			return copy(p, l.text), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(l.from.address)), nil
		}
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return 0, nil, net.ErrClosed
		}
		<-s.readable
	}
}

// WriteTo implements net.PacketConn.
func (s *socket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.mu.Lock()
	s.sent++
	n, closed := s.sent, s.closed
	s.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	s.process.simulation.enqueueAction(
		action{
			kind:     actionDatagram,
			datagram: &datagram{from: s, destination: to.String(), text: append([]byte(nil), p...), sequence: n},
		},
	)
	return len(p), nil
}

func (s *socket) notifyReadable() {
	select {
	case s.readable <- struct{}{}:
	default:
	}
}

// Close implements net.PacketConn.
func (s *socket) Close() error {
	s.process.simulation.mu.Lock()
	if s.process.simulation.sockets[s.address] == s {
		delete(s.process.simulation.sockets, s.address)
	}
	s.process.simulation.mu.Unlock()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.notifyReadable()
	return nil
}

// LocalAddr implements net.PacketConn.
func (s *socket) LocalAddr() net.Addr { return addr(s.address) }

var errNoDeadline = errors.New("deadlines are not supported by the simulation's datagram sockets")

// SetDeadline implements net.PacketConn.
func (s *socket) SetDeadline(time.Time) error { return errNoDeadline }

// SetReadDeadline implements net.PacketConn.
func (s *socket) SetReadDeadline(time.Time) error { return errNoDeadline }

// SetWriteDeadline implements net.PacketConn.
func (s *socket) SetWriteDeadline(time.Time) error { return errNoDeadline }

// sendDatagram schedules the delivery of a datagram, unless a fault drops it.
func (sim *Simulation) sendDatagram(l *datagram) {
	sim.outcome.Datagrams++
	from := l.from.process.index
	if sim.misreportingNodes[from] {
		l.text = sim.falsifyObservations(l)
	}
	for _, cut := range sim.cuts {
		if cut(from, sim.nodeAt(l.destination)) {
			return
		}
	}
	if sim.random.Float64() < sim.lossRate {
		return
	}
	near := &link{node: l.from.process}
	sim.schedule(sim.now()+sim.latency(near), func() {
		sim.mu.Lock()
		s := sim.sockets[l.destination]
		sim.mu.Unlock()
		if s == nil || s.process.killed {
			return
		}
		sim.trace(
			"datagram %s -> %s %d bytes %x", l.from.process.name, s.process.name, len(l.text),
			xxhash.Sum64(l.text),
		)
		s.mu.Lock()
		s.queue = append(s.queue, *l)
		s.mu.Unlock()
		s.notifyReadable()
	})
}

// nodeAt returns the index of the node with a fleet address, or -1.
func (sim *Simulation) nodeAt(at string) int {
	for i, n := range sim.nodes {
		if fleetAddr(n) == at {
			return i
		}
	}
	return -1
}

// falsifyObservations replaces the observations of workers in the sender's own record with random ones.
func (sim *Simulation) falsifyObservations(l *datagram) []byte {
	p, err := codec.DecodeDatagram(codec.FleetTag(fleetName), l.text)
	if err != nil {
		return l.text
	}
	for i, raw := range p.Records {
		r, err := codec.DecodeRecord(raw)
		if err != nil || r.Name != l.from.process.name {
			continue
		}
		sim.falsifiedRecords++
		r.Seq += uint64(sim.falsifiedRecords)
		r.Observations = nil
		for range codec.MaxObservations {
			m := sim.machines[sim.random.IntN(len(sim.machines))]
			if m.worker != nil {
				r.Observations = append(
					r.Observations,
					codec.Observation{
						Worker: m.name,
						Kind:   codec.ObservationKind(1 + sim.random.IntN(3)),
						AgeMs:  uint32(sim.random.IntN(4000)),
					},
				)
			}
		}
		if text, err := codec.EncodeRecord(r); err == nil && len(text) <= codec.MaxRecordBytes {
			p.Records[i] = cbor.RawMessage(text)
		}
	}
	if text, err := codec.EncodeDatagram(codec.FleetTag(fleetName), p); err == nil {
		return text
	}
	return l.text
}

// fleetFaults are faults of the fleet's datagrams. They are kept apart from the other kinds so that the plans drawn by Draw do not
// change.
var fleetFaults = map[string]faultKind{
	"fleet-split": {target: targetAll, help: "nodes with even and odd numbers do not reach one another",
		begin: func(sim *Simulation, f *Fault) { sim.cutFleet(f, func(a, b int) bool { return a%2 != b%2 }) }},
	"fleet-alone": {target: targetNode, help: "the node's datagrams reach nobody, and none reaches it",
		begin: func(sim *Simulation, f *Fault) {
			sim.cutFleet(f, func(a, b int) bool { return (a == f.Target) != (b == f.Target) })
		}},
	"fleet-deaf": {target: targetNode, help: "no datagram reaches the node",
		begin: func(sim *Simulation, f *Fault) { sim.cutFleet(f, func(a, b int) bool { return b == f.Target }) }},
	"fleet-loss": {target: targetAll, help: "this share of datagrams is lost",
		begin: func(sim *Simulation, f *Fault) { sim.lossRate = f.Amount / 2 },
		end:   func(sim *Simulation, f *Fault) { sim.lossRate = 0 }},
	"fleet-liar": {target: targetNode, help: "the node tells of workers what is not so",
		begin: func(sim *Simulation, f *Fault) { sim.misreportingNodes[f.Target] = true },
		end:   func(sim *Simulation, f *Fault) { delete(sim.misreportingNodes, f.Target) }},
}

// cutFleet drops the datagrams that lost selects for the duration of the fault.
func (sim *Simulation) cutFleet(f *Fault, lost func(from, to int) bool) {
	id := len(sim.cuts) + 1
	for sim.cuts[id] != nil {
		id++
	}
	sim.cuts[id] = lost
	sim.After(ms(f.Length), func() { delete(sim.cuts, id) })
}

// faultOf looks up a kind of fault by name.
func faultOf(kind string) (faultKind, bool) {
	if k, ok := faults[kind]; ok {
		return k, true
	}
	k, ok := fleetFaults[kind]
	return k, ok
}

// DrawFleet generates a random plan with fleet membership, in which nodes share observations and faults of the fleet's datagrams
// occur too.
func DrawFleet(seed uint64) *Plan {
	p := Draw(seed)
	p.Fleet, p.Nodes = true, max(p.Nodes, 2)
	r := fake.Random(seed, "fleet")
	names := slices.Sorted(maps.Keys(fleetFaults))
	for range r.IntN(4) {
		f := Fault{
			Kind:   names[r.IntN(len(names))],
			At:     float64(50 + r.IntN(5000)),
			Length: float64(100 + r.IntN(5000)),
			Amount: float64(r.IntN(100)) / 100,
		}
		if fleetFaults[f.Kind].target == targetNode {
			f.Target = r.IntN(p.Nodes)
		}
		p.Faults = append(p.Faults, f)
	}
	return p
}
