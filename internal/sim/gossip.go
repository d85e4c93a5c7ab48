package sim

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"swiftdeal/internal/config"
	"swiftdeal/internal/fleet/wire"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/standin"
)

// The nodes' part in their fleet, where the plan gives them one: datagrams between nodes, and what befalls them.

// fleetName is the simulated fleet's.
const fleetName = "sim"

// period is between two probes of the view.
const fleetPeriod = 200 * time.Millisecond

// fleetAddr is where a node hears datagrams.
func fleetAddr(n *simNode) string {
	host, _, _ := net.SplitHostPort(n.listen)
	return host + ":7946"
}

// fleetConfig is a node's part in the fleet; nil where the plan gives it none.
func (w *World) fleetConfig(n *simNode) *config.Fleet {
	if !w.plan.Fleet {
		return nil
	}
	f := &config.Fleet{Name: fleetName, Site: n.zone, Listen: fleetAddr(n), Advertise: fleetAddr(n), Period: fleetPeriod, Most: 1024, Forget: time.Minute, Facts: !w.plan.NoFacts}
	for i := range min(3, len(w.nodes)) {
		if i != n.index {
			f.Seeds = append(f.Seeds, fleetAddr(w.nodes[i]))
		}
	}
	return f
}

// machine is what a process runs on.
func (n *simNode) machine() platform.Machine {
	r := rand.New(rand.NewPCG(n.conf.Seed, 17))
	n.gossip = &simNode{w: n.w, index: n.index + 1000, life: n.life, turn: make(chan struct{})}
	return platform.Machine{Dial: n.dial, Monotonic: func() time.Duration { return n.w.now() }, Order: simOrder{n}, Datagrams: n.datagrams, Random: r.Uint64, Rest: simOrder{n.gossip}.Settle}
}

// socket is a process's for datagrams.
type socket struct {
	n      *simNode
	at     string
	mu     sync.Mutex
	queue  []letter
	wake   chan struct{}
	closed bool
	sent   int
}

// letter is a datagram.
type letter struct {
	from *socket
	to   string
	text []byte
	n    int // of its socket's
}

func (l *letter) compare(o *letter) int {
	return cmp.Or(cmp.Compare(l.from.n.index, o.from.n.index), cmp.Compare(l.from.n.life, o.from.n.life), cmp.Compare(l.n, o.n))
}

// datagrams opens a process's socket. An address that another process has is refused.
func (n *simNode) datagrams(at string) (net.PacketConn, error) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.w.sockets[at] != nil {
		return nil, fmt.Errorf("%s: %w", at, syscall.EADDRINUSE)
	}
	s := &socket{n: n, at: at, wake: make(chan struct{}, 1)}
	n.w.sockets[at] = s
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
			return copy(p, l.text), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(l.from.at)), nil
		}
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return 0, nil, net.ErrClosed
		}
		<-s.wake
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
	s.n.w.did(deed{kind: didLetter, letter: &letter{from: s, to: to.String(), text: append([]byte(nil), p...), n: n}})
	return len(p), nil
}

func (s *socket) stir() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close implements net.PacketConn.
func (s *socket) Close() error {
	s.n.w.mu.Lock()
	if s.n.w.sockets[s.at] == s {
		delete(s.n.w.sockets, s.at)
	}
	s.n.w.mu.Unlock()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stir()
	return nil
}

// LocalAddr implements net.PacketConn.
func (s *socket) LocalAddr() net.Addr { return addr(s.at) }

var errNoDeadline = errors.New("the simulation's datagrams know no deadlines")

// SetDeadline implements net.PacketConn.
func (s *socket) SetDeadline(time.Time) error { return errNoDeadline }

// SetReadDeadline implements net.PacketConn.
func (s *socket) SetReadDeadline(time.Time) error { return errNoDeadline }

// SetWriteDeadline implements net.PacketConn.
func (s *socket) SetWriteDeadline(time.Time) error { return errNoDeadline }

// post sends a datagram on its way.
func (w *World) post(l *letter) {
	w.out.Letters++
	from := l.from.n.index
	if w.lies[from] {
		l.text = w.lie(l)
	}
	for _, cut := range w.cuts {
		if cut(from, w.nodeAt(l.to)) {
			return
		}
	}
	if w.rnd.Float64() < w.lossy {
		return
	}
	near := &link{node: l.from.n}
	w.at(w.now()+w.latency(near), func() {
		w.mu.Lock()
		s := w.sockets[l.to]
		w.mu.Unlock()
		if s == nil || s.n.dead {
			return
		}
		w.trace("datagram %s -> %s %d bytes %x", l.from.n.name, s.n.name, len(l.text), xxhash.Sum64(l.text))
		s.mu.Lock()
		s.queue = append(s.queue, *l)
		s.mu.Unlock()
		s.stir()
	})
}

// nodeAt is the number of the node that has an address; -1 if none has.
func (w *World) nodeAt(at string) int {
	for i, n := range w.nodes {
		if fleetAddr(n) == at {
			return i
		}
	}
	return -1
}

// lie has a node say of workers what is not so.
func (w *World) lie(l *letter) []byte {
	p, err := wire.Decode(wire.Mark(fleetName), l.text)
	if err != nil {
		return l.text
	}
	for i, raw := range p.Records {
		r, err := wire.DecodeRecord(raw)
		if err != nil || r.Name != l.from.n.name {
			continue
		}
		w.untrue++
		r.Seq += uint64(w.untrue)
		r.Facts = nil
		for range wire.MostFacts {
			m := w.order[w.rnd.IntN(len(w.order))]
			if m.peer != nil {
				r.Facts = append(r.Facts, wire.Fact{Worker: m.name, Kind: wire.FactKind(1 + w.rnd.IntN(3)), AgeMs: uint32(w.rnd.IntN(4000))})
			}
		}
		if text, err := wire.EncodeRecord(r); err == nil && len(text) <= wire.MostRecord {
			p.Records[i] = cbor.RawMessage(text)
		}
	}
	if text, err := wire.Encode(wire.Mark(fleetName), p); err == nil {
		return text
	}
	return l.text
}

// fleetFaults strike what lies between the nodes of a fleet. They stand apart from the others, so that plans drawn without a
// fleet stay what they were.
var fleetFaults = map[string]faultKind{
	"fleet-split": {on: onAll, means: "nodes with even and odd numbers do not reach one another",
		begin: func(w *World, f *Fault) { w.cutFleet(f, func(a, b int) bool { return a%2 != b%2 }) }},
	"fleet-alone": {on: onNode, means: "the node's datagrams reach nobody, and none reaches it",
		begin: func(w *World, f *Fault) {
			w.cutFleet(f, func(a, b int) bool { return (a == f.Target) != (b == f.Target) })
		}},
	"fleet-deaf": {on: onNode, means: "no datagram reaches the node",
		begin: func(w *World, f *Fault) { w.cutFleet(f, func(a, b int) bool { return b == f.Target }) }},
	"fleet-loss": {on: onAll, means: "this share of datagrams is lost",
		begin: func(w *World, f *Fault) { w.lossy = f.Amount / 2 }, end: func(w *World, f *Fault) { w.lossy = 0 }},
	"fleet-liar": {on: onNode, means: "the node tells of workers what is not so",
		begin: func(w *World, f *Fault) { w.lies[f.Target] = true }, end: func(w *World, f *Fault) { delete(w.lies, f.Target) }},
}

// cutFleet puts a cut into force for as long as the fault lasts.
func (w *World) cutFleet(f *Fault, lost func(from, to int) bool) {
	id := len(w.cuts) + 1
	for w.cuts[id] != nil {
		id++
	}
	w.cuts[id] = lost
	w.After(ms(f.For), func() { delete(w.cuts, id) })
}

// faultOf finds a kind of fault.
func faultOf(kind string) (faultKind, bool) {
	if k, ok := faults[kind]; ok {
		return k, true
	}
	k, ok := fleetFaults[kind]
	return k, ok
}

// DrawFleet draws a plan whose nodes keep a view of their fleet, share facts, and are struck in that too.
func DrawFleet(seed uint64) *Plan {
	p := Draw(seed)
	p.Fleet, p.Nodes = true, max(p.Nodes, 2)
	r := standin.Random(seed, "fleet")
	names := slices.Sorted(maps.Keys(fleetFaults))
	for range r.IntN(4) {
		f := Fault{Kind: names[r.IntN(len(names))], At: float64(50 + r.IntN(5000)), For: float64(100 + r.IntN(5000)), Amount: float64(r.IntN(100)) / 100}
		if fleetFaults[f.Kind].on == onNode {
			f.Target = r.IntN(p.Nodes)
		}
		p.Faults = append(p.Faults, f)
	}
	return p
}
