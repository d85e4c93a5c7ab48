package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
)

// send sends a datagram on its way.
func (w *Simulation) send(p *process, s membership.Outgoing) {
	if r := w.liars[p.index]; r != nil && !p.duplicate {
		w.lie(r, s.Packet)
	}
	if w.truth != nil && w.truth.changes != nil {
		w.truth.changes.garble(p, s.Packet)
	}
	b, err := codec.EncodeDatagram(w.fleetMark, s.Packet)
	if err != nil {
		w.fail("%s cannot word a %v: %v", p.name, s.Packet.Kind(), err)
		return
	}
	w.outcome.Datagrams++
	w.outcome.Bytes += int64(len(b))
	p.datagrams++
	p.bytes += len(b)
	if s.Packet.Kind() == codec.KindConfigVersion {
		w.outcome.Revisions++
		w.outcome.RevisionBytes += int64(len(b))
	}
	w.outcome.LongestDatagram = max(w.outcome.LongestDatagram, len(b))
	w.hash.Write(b)
	fmt.Fprintf(w.sent, "%d %s %s ", w.now, p.addr, s.Addr)
	w.sent.Write(b)
	if len(p.sent) < 40 || w.random.IntN(10) == 0 && len(p.sent) < 400 {
		p.sent = append(p.sent, b)
	}
	to := w.processByAddress[s.Addr]
	if to == nil {
		return
	}
	copies := 1
	if w.plan.Duplicates > 0 && w.random.Float64() < w.plan.Duplicates {
		copies = 2
	}
	for range copies {
		if w.loss > 0 && w.random.Float64() < w.loss || w.cutOff(p, to) {
			continue
		}
		if w.damage > 0 && w.random.Float64() < w.damage {
			b = slices.Clone(b)
			b[w.random.IntN(len(b))] ^= byte(1 + w.random.IntN(255))
		}
		d, at := delivery{p.addr, b}, s.Addr
		w.schedule(w.now+periods(w.plan.Delay+w.jitter*w.random.Float64()), func() { w.deliver(at, d) })
	}
}

func (w *Simulation) cutOff(from, to *process) bool {
	for _, c := range w.cuts {
		if c(from.index, to.index) {
			return true
		}
	}
	return false
}

// deliver brings a datagram to whoever is at its address by then.
func (w *Simulation) deliver(at string, d delivery) {
	p := w.processByAddress[at]
	if p == nil || !p.running || p.readShare < 1 && w.random.Float64() > p.readShare {
		return
	}
	if p.paused {
		if len(p.inbox) < 100 { // what the socket's buffer holds
			p.inbox = append(p.inbox, d)
		}
		return
	}
	w.receive(p, d)
}

func (w *Simulation) receive(p *process, d delivery) {
	m, err := codec.DecodeDatagram(w.fleetMark, d.datagram)
	if err != nil ||
		m.Kind() == codec.KindConfigVersion &&
			(w.truth == nil || w.truth.changes == nil || w.truth.changes.older[p.index]) { // a kind that an older program does not know
		return
	}
	p.core.Receive(w.now-p.clockStart, d.from, m)
	part, ok := m.Message.(codec.SubprotocolMessage)
	if ok && p.replica != nil && m.Recipient == p.name && p.core.VerifySender(d.from, m.From) {
		p.replica.core.Receive(w.now-p.clockStart, m.From.Name, part.Number, part.Body)
	}
	w.collect(p)
}

// cut puts a cut into force for a while.
func (w *Simulation) cut(for_ time.Duration, lost func(from, to int) bool) {
	id := w.nextCut
	w.nextCut++
	w.cuts[id] = lost
	w.schedule(w.now+for_, func() { delete(w.cuts, id) })
}

// lie puts made up claims into a datagram.
func (w *Simulation) lie(r *rand.Rand, p *codec.Packet) {
	kind := p.Kind()
	if kind != codec.KindGossip && kind != codec.KindPing && kind != codec.KindAck || len(p.Claims) > 4 {
		return
	}
	o := w.processes[r.IntN(len(w.processes))]
	if o == nil || o.name == p.From.Name {
		return
	}
	self := o.core.Self()
	c := codec.Claim{Identity: self.Identity, Status: codec.Status(r.IntN(3)), ReportedBy: p.From.Name}
	if r.IntN(3) == 0 {
		c.Incarnation += r.Uint64N(50)
	}
	if r.IntN(20) == 0 {
		c.Incarnation = r.Uint64()
	}
	p.Claims = append(p.Claims, c)
}
