package fleetsim

import (
	"fmt"
	"time"

	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
)

// process is one process: a life of a member.
type process struct {
	index      int // of the member
	serial     int
	name       string
	addr       string
	core       *membership.Core
	clockStart time.Duration // its clock's start
	running    bool
	left       bool
	duplicate  bool
	paused     bool
	inbox      []delivery // while it stands still
	timer      *event
	highest    map[string][2]uint64 // by member: life and incarnation as last held
	readShare  float64              // of datagrams that it reads
	sent       [][]byte             // some of what it has sent
	replica    *replica             // its part in the council; nil without one

	datagrams, bytes int // that it has sent
}

type delivery struct {
	from     string
	datagram []byte
}

// seeds is whom a member knows from its configuration.
func (w *Simulation) seeds(i int) (list []string) {
	n := w.plan.Members
	switch w.plan.SeedTopology {
	case "first":
		list = []string{addr(0), addr(min(1, n-1)), addr(min(2, n-1))}
	case "ring":
		list = []string{addr((i + 1) % n)}
	case "some":
		for j := range 3 {
			list = append(list, addr((i*7+j*13+1)%n), addr(j%n))
		}
	case "all":
		for j := range min(n, 32) {
			list = append(list, addr(j))
		}
	}
	return list
}

// start starts a process of a member.
func (w *Simulation) start(i int, at string, replaces, twin bool) *process {
	w.serial++
	if old := w.processes[i]; old != nil && w.truth != nil && w.truth.changes != nil {
		w.truth.changes.late(old)
	}
	p := &process{
		index:     i,
		serial:    w.serial,
		name:      name(i),
		addr:      at,
		running:   true,
		duplicate: twin,
		readShare: 1,
		highest:   map[string][2]uint64{},
	}
	r := source(w.plan.Seed, 1000+uint64(w.serial))
	p.clockStart = w.now - time.Duration(r.Int64N(int64(time.Hour)))
	c := membership.Config{
		Self: codec.Record{
			Identity:       codec.Identity{Name: p.name},
			Site:           fmt.Sprintf("s%d", i%3),
			Addr:           at,
			ProgramVersion: "0",
			Replaces:       replaces,
		},
		InstanceID: r.Uint64(), Seeds: w.seeds(i), Period: Period, ForgetAfter: periods(w.plan.Forget),
		MaxMembers: w.plan.MaxMembers,
	}
	p.core = membership.New(c, r, w.now-p.clockStart)
	p.core.SetLocalState(w.now-p.clockStart, codec.Serving, codec.Load{InFlight: uint32(i)}, nil)
	w.processByAddress[at] = p
	if twin {
		w.twins = append(w.twins, p)
	} else {
		w.processes[i] = p
	}
	w.record("%s#%d starts at %s", p.name, p.serial, at)
	if w.truth != nil {
		w.truth.enter(p, r, c.InstanceID)
	}
	w.collect(p)
	return p
}

// end ends a process without a word.
func (w *Simulation) end(p *process) {
	if p.running {
		p.running = false
		if p.replica != nil {
			w.truth.ended(p)
		}
		if w.processByAddress[p.addr] == p {
			delete(w.processByAddress, p.addr)
		}
		w.record("%s#%d ends", p.name, p.serial)
	}
}

// leave has a process say that it leaves, and end two periods later.
func (w *Simulation) leave(p *process) {
	if !p.running || p.left || p.paused {
		return
	}
	p.left = true
	p.core.Leave(w.now - p.clockStart)
	w.collect(p)
	w.schedule(w.now+periods(2), func() { w.end(p) })
}

// pause has a process stand still for a while.
func (w *Simulation) pause(p *process, long time.Duration) {
	if !p.running || p.paused {
		return
	}
	p.paused = true
	w.schedule(w.now+long, func() {
		p.paused = false
		if !p.running {
			return
		}
		p.core.Step(w.now - p.clockStart)
		if p.replica != nil {
			w.truth.step(p)
		}
		w.collect(p)
		for _, d := range p.inbox {
			w.receive(p, d)
		}
		p.inbox = nil
	})
}

// collect takes what a core has done, and plans its next step.
func (w *Simulation) collect(p *process) {
	if w.outcome.Fault != "" {
		return
	}
	for _, s := range p.core.TakeOutgoing() {
		w.send(p, s)
	}
	for _, c := range p.core.TakeChanges() {
		w.changed(p, c)
	}
	w.invariants(p)
	wake := p.core.NextStepAt()
	if p.replica != nil {
		wake = min(wake, w.truth.after(p))
	}
	if p.timer != nil {
		p.timer.canceled = true
	}
	p.timer = w.schedule(wake+p.clockStart, func() {
		if !p.running || p.paused {
			return
		}
		p.core.Step(w.now - p.clockStart)
		if p.replica != nil {
			w.truth.step(p)
		}
		w.collect(p)
	})
}
