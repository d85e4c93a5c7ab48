package node

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/control"
	"swiftdeal/internal/discovery"
	"swiftdeal/internal/fleet/facts"
	"swiftdeal/internal/fleet/gossip"
	"swiftdeal/internal/fleet/member"
	"swiftdeal/internal/fleet/seat"
	"swiftdeal/internal/fleet/wire"
	"swiftdeal/internal/platform"
)

// fleet is the node's part in its fleet. All methods may be called on nil: a node without a fleet does nothing there.
type fleet struct {
	n   *Node
	m   platform.Machine
	c   *config.Config
	log *slog.Logger

	mu      sync.Mutex
	service *gossip.Service // nil while another process of the node takes part
	ending  bool            // it says that it drains
	entered time.Time
	told    atomic.Bool // the council has said what concerns this node

	drainer *seat.Drainer // between discovery and the Balancer; nil without a council

	book  *facts.Book // the owner of the Balancer's own
	last  atomic.Pointer[looked]
	colds atomic.Int64 // restarts that were believed on others' word

	rates struct {
		at                      time.Time
		served, refused, failed int64
		d                       wire.Digest
	}
}

// looked is what the Balancer knew at a time.
type looked struct {
	at    time.Time
	facts []wire.Fact
	rooms []int
	know  map[string]balance.Known // where there is a council
}

// newFleet returns the node's part in the fleet; nil if it has none.
func newFleet(n *Node, m platform.Machine, c *config.Config, log *slog.Logger) *fleet {
	if c.Fleet == nil {
		return nil
	}
	f := &fleet{n: n, m: m, c: c, log: log}
	f.rates.at = time.Now()
	f.book = facts.New(facts.Defaults(c.Settings.Balance.ColdFor))
	f.entered = time.Now()
	return f
}

// name is the node's in the fleet.
func (f *fleet) name() string {
	if f.c.Fleet.Member != "" {
		return f.c.Fleet.Member
	}
	return f.c.Name
}

// between puts what the council drains between discovery and whoever is told of workers.
func (f *fleet) between(list discovery.Events) discovery.Events {
	if f == nil || f.c.Fleet.Council == nil {
		return list
	}
	f.drainer = seat.NewDrainer(list, f.n.route.Busy)
	return f.drainer
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
	o := gossip.Options{
		Fleet: f.c.Fleet, Name: f.c.Name, Clients: f.c.Listen, Control: f.c.Control, Program: f.c.Program, Replaces: replaces, Own: f.own,
		BindWait: f.n.limits.BindWait,
	}
	if f.c.Fleet.Facts {
		o.Heard = f.heard
	}
	if f.c.Fleet.Council != nil {
		o.Part = func(life uint64, now time.Duration) gossip.Part {
			return f.part(life, now)
		}
	}
	s := gossip.New(f.m, o, f.log)
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

// state is what the node says of its service.
func (f *fleet) state() wire.State {
	leaving, _ := f.n.standing.leaving()
	switch {
	case leaving:
		return wire.Draining
	case f.n.Ready():
		return wire.Serving
	}
	return wire.Starting
}

// own is what the node says of itself. It is called by the owner of the view alone.
func (f *fleet) own() gossip.Own {
	n := f.n
	o := gossip.Own{State: f.state()}
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
	if l := f.last.Load(); l != nil {
		o.Facts = slices.Clone(l.facts)
		for i := range o.Facts {
			o.Facts[i].AgeMs += uint32(time.Since(l.at) / time.Millisecond)
		}
		n.settle.Lock()
		names := n.inForce.ClassNames()
		n.settle.Unlock()
		o.Digest.Room = map[string]int32{}
		for i, room := range l.rooms[:min(len(l.rooms), len(names))] {
			o.Digest.Room[names[i]] = int32(room)
		}
	}
	n.route.Look(f.look) // for the next time: the Balancer's owner may be busy
	o.Digest.Open, o.Digest.Workers, o.Digest.Shunned = uint32(n.admit.Open()), uint32(known), uint32(excluded)
	return o
}

// look takes what the Balancer knows. It is called by the Balancer's owner.
func (f *fleet) look(now time.Duration, k balance.Knowledge, rooms []int) {
	list := make([]facts.Seen, 0, len(k.Workers))
	for _, w := range k.Workers {
		list = append(list, facts.Seen{Worker: w.ID, Started: w.Started, Ill: w.Fails > 1 || w.ProbeFails > 1})
	}
	l := &looked{at: time.Now(), facts: f.book.Own(now, list), rooms: rooms}
	if f.drainer != nil {
		l.know = map[string]balance.Known{}
		for _, w := range k.Workers {
			l.know[w.ID] = balance.Known{ID: w.ID, Started: w.Started, WarmFrom: w.WarmFrom, Fails: w.Fails, ProbeFails: w.ProbeFails}
		}
	}
	f.last.Store(l)
}

// heard takes what others tell of workers. It is called by the owner of the view; the Balancer's owner settles what is
// believed.
func (f *fleet) heard(told []member.Told) {
	var all []wire.Fact
	for _, t := range told {
		all = append(all, t.Facts...)
	}
	settled := false
	cautions := map[string][]facts.Caution{}
	f.n.route.Heed(func(now time.Duration, w *balance.Known) (changed bool) {
		if !settled {
			settled = true
			for _, c := range f.book.Heard(now, all) {
				cautions[c.Worker] = append(cautions[c.Worker], c)
			}
		}
		for _, c := range cautions[w.ID] {
			if c.Kind == wire.Restarted && c.At > w.Started {
				w.Started, changed = c.At, true
				f.colds.Add(1)
			}
		}
		return changed
	})
}

// figures returns the fleet's figures; none where there is no part in one.
func (f *fleet) figures() []control.Family {
	s := f.now()
	if s == nil {
		return nil
	}
	believed := control.Family{Name: "gw_fleet_facts_believed", Help: "Facts on workers taken from others, by kind.", Label: "kind",
		Rows: []control.Row{{Of: "restarted", Value: f.colds.Load()}}}
	return append(append(s.Figures(), believed), f.councilFigures()...)
}

// Fleet implements control.Calls.
func (n *Node) Fleet() any {
	if r := n.fleet.now().Report(); r != nil {
		return r
	}
	return nil
}
