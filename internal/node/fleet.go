package node

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/fleet/gossip"
	"swiftdeal/internal/fleet/wire"
	"swiftdeal/internal/machine"
)

// fleet is the node's part in its fleet. All methods may be called on nil: a node without a fleet does nothing there.
type fleet struct {
	n   *Node
	m   machine.Machine
	c   *config.Config
	log *slog.Logger

	mu      sync.Mutex
	service *gossip.Service // nil while another process of the node takes part
	ending  bool            // it says that it drains

	rates struct {
		at                      time.Time
		served, refused, failed int64
		d                       wire.Digest
	}
}

// newFleet returns the node's part in the fleet; nil if it has none.
func newFleet(n *Node, m machine.Machine, c *config.Config, log *slog.Logger) *fleet {
	if c.Fleet == nil {
		return nil
	}
	f := &fleet{n: n, m: m, c: c, log: log}
	f.rates.at = time.Now()
	return f
}

// enter takes part in the fleet. A process that replaces another one waits for the address: the other one gives it up as
// it stops taking clients.
func (f *fleet) enter(replaces bool) error {
	if f == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.service != nil || f.ending {
		return nil
	}
	s := gossip.New(f.m, gossip.Options{
		Fleet: f.c.Fleet, Name: f.c.Name, Clients: f.c.Listen, Control: f.c.Control, Program: f.c.Program, Replaces: replaces, Own: f.own,
		BindWait: f.n.limits.BindWait,
	}, f.log)
	if err := s.Start(); err != nil {
		return fmt.Errorf("fleet: member.listen: %w", err)
	}
	f.service = s
	return nil
}

// yield gives the node's part up to another process of it, without a word: both are one member.
func (f *fleet) yield() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.service.Close()
	f.service = nil
}

// drains says that the process is about to end.
func (f *fleet) drains() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ending = true
	f.service.Stir()
}

// stir says that the state of the node has changed.
func (f *fleet) stir() {
	if f != nil {
		go func() { f.now().Stir() }() // whoever says so may hold locks that the answer needs
	}
}

// leave ends the node's part.
func (f *fleet) leave() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.service.Leave()
	f.service = nil
}

// now returns the service; nil where there is none.
func (f *fleet) now() *gossip.Service {
	if f == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.service
}

// own is what the node says of itself. It is called by the owner of the view alone.
func (f *fleet) own() gossip.Own {
	n := f.n
	o := gossip.Own{State: wire.Starting}
	leaving, _ := n.standing.leaving()
	switch {
	case leaving:
		o.State = wire.Draining
	case n.Ready():
		o.State = wire.Serving
	}
	var served, refused, failed int64
	for _, t := range n.book.Tallies() {
		served, refused, failed = served+t.Served, refused+t.Refused, failed+t.Failed
	}
	r := &f.rates
	if span := time.Since(r.at).Seconds(); span >= 1 {
		rate := func(now, was int64) float32 { return float32(float64(now-was) / span) }
		r.d.Served, r.d.Refused, r.d.Failed = rate(served, r.served), rate(refused, r.refused), rate(failed, r.failed)
		r.at, r.served, r.refused, r.failed = time.Now(), served, refused, failed
	}
	known, excluded := n.route.View()
	o.Digest = r.d
	o.Digest.Open, o.Digest.Workers, o.Digest.Shunned = uint32(n.admit.Open()), uint32(known), uint32(excluded)
	return o
}

// Fleet implements control.Calls.
func (n *Node) Fleet() any {
	if r := n.fleet.now().Report(); r != nil {
		return r
	}
	return nil
}
