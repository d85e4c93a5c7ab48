package views

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/fleet/accord"
	"swiftdeal/internal/fleet/council"
	"swiftdeal/internal/fleet/permit"
	"swiftdeal/internal/fleet/rollout"
	"swiftdeal/internal/fleet/wire"
)

// Councils on virtual time: the product's own cores beside those of the view, with nodes that leave service and are restarted as
// they are let, operators that ask, and the truth about who is out, held against the budgets.

// seat is a process's part in the council, and what the rest of the node would be.
type seat struct {
	core    *council.Core
	r       *rand.Rand
	version string
	away    bool
	exit    uint64 // the permit of an exit that has begun in this process
	restart bool   // it is about to be restarted by its supervisor
	viewed  time.Duration
	counted time.Duration
	counts  map[string]rollout.Count
	born    time.Duration
	drained []string
	pick    *rand.Rand // whom to tell of revisions
	marks   marks
}

// field is the truth.
type field struct {
	w        *World
	exits    map[string]bool // planned exits that have begun and are not over, by node
	versions map[string]string
	disks    map[string]*accord.Saved
	off      map[string]bool // written off by an operator
	begun    int             // exits
	most     int             // planned exits at once
	calls    map[uint64]string
	replies  []string
	worse    map[string]bool
	wrong    map[string]bool // their supervisors start another version than they were told, once
	phases   []string        // of the release, as seats have them
	waits    []float64
	asked    map[string]time.Duration
	ill      int // released nodes before the halt
	halted   time.Duration
	started  time.Duration
	tended   time.Duration
	history  []operation
	opened   map[string]int // by node: the operation that is not over
	changes  *changes       // of the settings; nil without them
}

// operation is one that a history of exits has: most above 0 begins one where fewer are out, 0 ends one.
type operation struct {
	node         int
	most         int
	begins, ends time.Duration
}

// rate is how a version serves.
type rate struct {
	fails, late float64
	crash       time.Duration // it ends by itself after that; 0: it does not
	dead        bool          // it does not start
	mute        bool          // it takes no part in the fleet
	crowd       float64       // it harms only where more than this share of nodes have it
}

// versions by number: good ones, and those with a fault.
var kindsOfVersion = []struct {
	name string
	rate rate
}{
	{"good", rate{fails: 0.01, late: 0.02}},
	{"fails", rate{fails: 0.2, late: 0.02}},
	{"slow", rate{fails: 0.01, late: 0.4}},
	{"crashes", rate{fails: 0.01, late: 0.02, crash: 10 * time.Second}},
	{"dead", rate{dead: true}},
	{"mute", rate{fails: 0.01, late: 0.02, mute: true}},
	{"crowd", rate{fails: 0.15, late: 0.02, crowd: 0.5}},
	{"broken", rate{fails: 0.9}},
}

const oldVersion = "0"

func newField(w *World) *field {
	f := &field{w: w, exits: map[string]bool{}, versions: map[string]string{}, disks: map[string]*accord.Saved{}, off: map[string]bool{}, calls: map[uint64]string{},
		opened: map[string]int{}, worse: map[string]bool{}, wrong: map[string]bool{}, asked: map[string]time.Duration{}}
	if w.plan.Settings {
		f.changes = newChanges(f)
	}
	return f
}

func (f *field) budgets() permit.Budgets {
	p := f.w.plan
	return permit.Budgets{Nodes: p.Budget, NodesSite: cmp.Or(p.Site, p.Budget), NodesVersion: p.Budget, Workers: 2, WorkersSite: 2, WorkersKind: 2}
}

// seats are spread over the sites: members are of site i%3.
func (f *field) seats() (list []string) {
	for i := range min(f.w.plan.Council, f.w.plan.Members) {
		list = append(list, name(i))
	}
	return list
}

// enter makes a process's part.
func (f *field) enter(p *proc, r *rand.Rand, life uint64) {
	s := &seat{r: rand.New(rand.NewPCG(r.Uint64(), 7)), version: cmp.Or(f.versions[p.name], oldVersion), counts: map[string]rollout.Count{}, born: f.w.now, viewed: -Period, counted: f.w.now}
	c := council.Config{Name: p.name, Site: fmt.Sprintf("s%d", p.index%3), Version: s.version, Life: life, ID: s.r.Uint64() | 1, Seats: f.seats(), Budgets: f.budgets(), Period: Period, Keep: 40}
	for i := f.w.plan.Council; i < min(f.w.plan.Members, f.w.plan.Council+2); i++ {
		c.Spares = append(c.Spares, name(i))
	}
	c.Absent = periods(60)
	if f.w.plan.Disk {
		c.Disk, c.Saved = true, f.disks[p.name]
	}
	if f.changes != nil {
		f.changes.enter(p, s, &c)
	}
	core, err := council.New(c, s.r, f.w.now-p.base)
	if err != nil {
		f.w.fault("%s: %v", p.name, err)
		return
	}
	s.core = core
	if p.twin {
		return // it has no part while the first one lives
	}
	p.seat = s
	if x := f.rate(s.version); x.mute {
		p.seat = nil
		f.unheard(p)
	} else if x.crash > 0 {
		f.w.at(f.w.now+x.crash, func() { f.fail(p) })
	}
	if p.seat != nil {
		f.over(p.name)
	}
}

// fail ends a process by its own fault; its supervisor starts it again.
func (f *field) fail(p *proc) {
	if p.up && !p.stopped {
		f.w.end(p)
		f.w.at(f.w.now+periods(1), func() { f.startAgain(p.index) })
	}
}

// unheard has the supervisor of a process that does not answer look what any seat wants of its node.
func (f *field) unheard(p *proc) {
	f.w.at(f.w.now+periods(3), func() {
		if !p.up || p.seat != nil {
			return
		}
		was := f.versions[p.name]
		if v := f.wanted(p.name); v != "" && v != was {
			f.w.end(p)
			f.w.at(f.w.now+periods(0.5), func() { f.startAgain(p.index) })
			return
		}
		f.unheard(p)
	})
}

// wanted is the version with which any seat wants a node's process to be started; empty: as it was.
func (f *field) wanted(node string) string {
	for _, q := range f.w.procs {
		if q != nil && q.up && !q.stopped && q.seat != nil && q.seat.core.HasSeat() {
			if d := q.seat.core.DutyOf(node); d.Do == "restart" {
				return d.Version
			}
		}
	}
	return ""
}

// startAgain has a supervisor start a process, with the version that is wanted of it by any seat that can be asked.
func (f *field) startAgain(i int) {
	if f.w.procs[i].up || f.w.byAddr[addr(i)] != nil {
		return
	}
	if v := f.wanted(name(i)); v != "" {
		f.versions[name(i)] = v
		if f.wrong[name(i)] {
			delete(f.wrong, name(i))
			f.versions[name(i)] = kindsOfVersion[2].name
		}
	}
	if f.rate(f.versions[name(i)]).dead {
		f.w.at(f.w.now+periods(2), func() { f.startAgain(i) })
		return
	}
	f.w.start(i, addr(i), false, false)
}

func (f *field) rate(version string) rate {
	for _, k := range kindsOfVersion {
		if k.name == version {
			if k.rate.crowd > 0 {
				n := 0
				for _, p := range f.w.procs {
					if p != nil && p.up && p.seat != nil && p.seat.version == version {
						n++
					}
				}
				if float64(n) <= k.rate.crowd*float64(len(f.w.procs)) {
					return kindsOfVersion[0].rate
				}
			}
			return k.rate
		}
	}
	return kindsOfVersion[0].rate
}

// over ends a planned exit: the node serves again.
func (f *field) over(node string) {
	f.backAt(node, f.w.index(node))
	delete(f.exits, node)
}

// ended takes that a process has ended.
func (f *field) ended(p *proc) {}

// own is what the node says of itself.
func (f *field) own(p *proc) council.Own {
	s := p.seat
	o := council.Own{State: wire.Serving, Inc: p.core.Self().Inc, Away: s.away, Whole: !s.restart, Counts: s.counts, Quiet: func(worker string) bool { return slices.Contains(s.drained, worker) }}
	if s.pick != nil {
		o.Peers = func(n int) []string { return p.core.Some(n, s.pick) }
	}
	if s.away || p.left {
		o.State = wire.Draining
	}
	if s.core.HasSeat() {
		for i := range 6 {
			o.Workers = append(o.Workers, council.Worker{ID: fmt.Sprintf("w%d", i), Site: fmt.Sprintf("s%d", i%3), Kind: "std"})
		}
	}
	return o
}

// step lets a process's part do what is due.
func (f *field) step(p *proc) {
	s, now := p.seat, f.w.now-p.base
	if s.core.HasSeat() && f.w.now-s.viewed >= Period {
		s.viewed = f.w.now
		var list []council.Seen
		for _, m := range p.core.View().Members {
			list = append(list, council.Seen{Name: m.Name, Site: m.Site, Life: m.Life, Status: m.Status, State: m.State})
		}
		s.core.See(now, list)
	}
	if span := f.w.now - s.counted; span >= Period && !s.away { // jobs that have come meanwhile
		s.counted = f.w.now
		x := f.rate(s.version)
		if p.index == 0 || f.worse[p.name] {
			x.fails = max(x.fails, 0.01)
		}
		c := s.counts["book"]
		for range 1 + s.r.IntN(4) {
			switch u := s.r.Float64(); {
			case u < x.fails:
				c.Failed++
			default:
				if c.Served++; u < x.fails+x.late {
					c.Late++
				}
			}
		}
		s.counts = maps.Clone(s.counts)
		s.counts["book"] = c
	}
	s.core.Step(now, f.own(p))
	f.follow(p)
}

// follow keeps the history: from when a node asks to have its permit confirmed until it leaves, and from when it is back until it
// hears that the permit has ended.
func (f *field) follow(p *proc) {
	asks, holds, yours := p.seat.core.Asks(), p.seat.core.Holds(), p.seat.core.Yours()
	at, on := f.opened[p.name]
	switch {
	case !on && asks != 0:
		f.opened[p.name] = len(f.history)
		f.history = append(f.history, operation{node: p.index, most: f.w.plan.Budget, begins: f.w.now})
	case on && f.history[at].most > 0 && holds == 0 && asks == 0 && yours == 0: // taken back, or another group's: it has not begun
		f.history = slices.Delete(f.history, at, at+1)
		f.forget(p.name, at)
	case on && f.history[at].most == 0 && yours == 0 && p.seat.core.Told():
		f.history[at].ends = f.w.now
		delete(f.opened, p.name)
	}
}

// forget closes an operation that was taken out of the history.
func (f *field) forget(node string, at int) {
	delete(f.opened, node)
	for n, i := range f.opened {
		if i > at {
			f.opened[n] = i - 1
		}
	}
}

// left notes that an exit has begun, and over that one is over.
func (f *field) leftAt(p *proc) {
	at, on := f.opened[p.name]
	if !on || f.history[at].most == 0 { // asked for and begun within one step
		f.history = append(f.history, operation{node: p.index, most: f.w.plan.Budget, begins: f.w.now, ends: f.w.now})
		return
	}
	f.history[at].ends = f.w.now
	delete(f.opened, p.name)
}

func (f *field) backAt(node string, index int) {
	if f.exits[node] {
		f.opened[node] = len(f.history)
		f.history = append(f.history, operation{node: index, begins: f.w.now})
	}
}

// after takes what a process's part has done, and says when it wants to be called.
func (f *field) after(p *proc) time.Duration {
	s, w := p.seat, f.w
	if f.changes != nil {
		f.changes.look(p)
	}
	for _, a := range s.core.Out() {
		switch a.Do {
		case council.Send:
			if l := p.core.Letter(a.To, a.Kind, a.Body); l != nil {
				w.post(p, *l)
			}
		case council.Save:
			f.save(p.name, a.Saved)
		case council.Begin:
			f.begin(p, a)
		case council.Return:
			s.away, s.exit = false, 0
			f.over(p.name)
			w.note("%s comes back", p.name)
		case council.Drains:
			s.drained = a.Workers
		case council.Apply:
			f.changes.apply(p, a.Rev)
		case council.Say:
			w.note("%s#%d council: %s", p.name, p.serial, a.Text)
		}
	}
	for _, r := range s.core.Replies() {
		f.replies = append(f.replies, fmt.Sprintf("%v %s", r.OK, r.Text))
		w.note("%s hears: %v %s", p.name, r.OK, r.Text)
		if f.changes != nil {
			f.changes.replied(p, r)
		}
	}
	for _, b := range s.core.Begun() {
		w.note("%s has confirmed %v (%d out of %d, group %v)", p.name, b.Of, b.Out, b.Most, b.Group)
	}
	if ps, rs := s.core.State(); s.core.HasSeat() && rs.Plan != nil {
		if text := rs.Phase.String(); len(f.phases) == 0 || f.phases[len(f.phases)-1] != text && s.core.Accord().Leads() {
			f.phases = append(f.phases, text)
			w.note("release %s: %s (%s)", rs.ID, text, rs.Why)
			if rs.Phase == rollout.Halted || rs.Phase == rollout.Backing {
				f.halted, f.ill = w.now, len(rs.Released())
			}
		}
		_ = ps
	}
	return s.core.Wake()
}

// held reports whether a seat holds a node for one that serves worse than if it were out: by the rule it counts as out already.
func (f *field) held(node string) bool {
	return slices.ContainsFunc(f.w.procs, func(p *proc) bool {
		if p == nil || p.seat == nil || !p.seat.core.HasSeat() {
			return false
		}
		s, _ := p.seat.core.State()
		return s.Bad[node] != ""
	})
}

// begin is a planned exit that begins. Here the budgets are held against the truth.
func (f *field) begin(p *proc, a council.Action) {
	s, w := p.seat, f.w
	f.begun++
	s.exit = a.No
	f.leftAt(p)
	f.exits[p.name] = true
	n, site := 0, 0
	for o := range f.exits {
		if f.off[o] || f.held(o) {
			continue
		}
		n++
		if w.index(o)%3 == p.index%3 {
			site++
		}
	}
	f.most = max(f.most, n)
	w.note("%s begins its exit under %d: %d planned exits", p.name, a.No, n)
	if n > w.plan.Budget || w.plan.Site > 0 && site > w.plan.Site {
		w.fault("%d planned exits at once (%d of the site), %d allowed: %v", n, site, w.plan.Budget, slices.Sorted(maps.Keys(f.exits)))
	}
	if a.Away {
		s.away = true
	}
	if at, ok := f.asked[p.name]; ok {
		f.waits = append(f.waits, (w.now-at).Seconds()/Period.Seconds())
		delete(f.asked, p.name)
	}
	if a.Target == "" {
		return
	}
	w.at(w.now+periods(0.5+2*s.r.Float64()), func() { // its supervisor looks
		if !p.up || p.stopped || s.core.Duty(true).Do != "restart" {
			return
		}
		s.restart = true
		w.at(w.now+periods(0.3), func() {
			if !p.up {
				return
			}
			f.versions[p.name] = a.Target
			w.end(p)
			w.at(w.now+periods(0.5), func() { f.startAgain(p.index) })
		})
	})
}

// save keeps what a seat's disk would.
func (f *field) save(node string, s *accord.Saved) {
	old := f.disks[node]
	if s.Group.None() || old == nil || old.Group != s.Group || old.ID != s.ID {
		old = &accord.Saved{}
	}
	f.disks[node] = old.With(s)
}

// call has an operator ask something at a node, which is not the one that is meant.
func (f *field) call(x *Fault, t int) {
	at := f.w.procs[(t+1+int(x.Amount))%len(f.w.procs)]
	if !at.up || at.stopped || at.seat == nil {
		return
	}
	c := council.Call{Kind: permit.Node, Name: name(t), By: "operator", Why: "drill"}
	switch x.Kind {
	case "drain":
		c.Op = "drain"
		f.asked[name(t)] = f.w.now
	case "resume":
		c.Op = "resume"
	case "write-off":
		c.Op = "write-off"
		f.off[name(t)] = true
	case "halt":
		c.Op = "release-halt"
	case "go":
		c.Op = "release-go"
	case "way-back":
		c.Op = "release-back"
	case "release":
		c.Op = "release-start"
		k := kindsOfVersion[int(x.Amount)%len(kindsOfVersion)]
		c.Plan = &rollout.Plan{Name: "r", Version: k.name, From: oldVersion, Canary: 1, Batches: []int{2, 4}, SoakMs: int64(x.For * 1000), BackMs: 30000, Auto: true, Gate: rollout.Gate{}}
		c.Plan.Gate.Defaults()
		f.started = f.w.now
	}
	f.calls[at.seat.core.Call(f.w.now-at.base, c)] = x.Kind
	f.w.after(at)
}

// bad makes one node serve worse for a while.
func (f *field) bad(t int, _ float64, long time.Duration) {
	f.worse[name(t)] = true
	f.w.at(f.w.now+long, func() { delete(f.worse, name(t)) })
}

// Release plays a release of a version, by its number, on a fleet, and returns how it ended: the phase, nodes released when it was
// halted, periods until then and until the end.
func Release(n, seats, budget, version int, seed uint64, length float64) (phase string, released int, halt, end float64, o *Outcome) {
	p := quietNet(n, length, Fault{Kind: "release", At: 20, Target: 1, Amount: float64(version), For: 10})
	p.Seed, p.Council, p.Budget, p.Most = seed, seats, budget, 2*n
	w := build(&p, false)
	for i := range n {
		w.start(i, addr(i), false, false)
	}
	for i := range p.Faults {
		w.strike(&p.Faults[i])
	}
	over := func() bool {
		for _, q := range w.procs {
			if q != nil && q.up && q.seat != nil && q.seat.core.HasSeat() && q.seat.core.Accord().Leads() {
				_, r := q.seat.core.State()
				return r.Plan != nil && !r.Phase.Open()
			}
		}
		return false
	}
	w.until(periods(length), over)
	if len(w.field.phases) > 0 {
		phase = w.field.phases[len(w.field.phases)-1]
	}
	return phase, w.field.ill, (w.field.halted - w.field.started).Seconds(), (w.now - w.field.started).Seconds(), w.out
}

// DrawCouncil draws a plan with a council by a seed: what strikes views strikes it too, while operators drain and call back,
// and in half of the plans a release runs.
func DrawCouncil(seed uint64) *Plan {
	p := Draw(seed)
	r := source(seed, 31)
	p.Members = 3 + r.IntN(12)
	if r.IntN(25) == 0 {
		p.Members = 30 + r.IntN(60)
	}
	p.Council, p.Budget = 3, 1+r.IntN(3)
	if p.Members >= 5 && r.IntN(3) == 0 {
		p.Council = 5
	}
	if r.IntN(3) == 0 {
		p.Site = 1
	}
	p.Disk = r.IntN(4) == 0
	p.Length += 30
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool { return f.Kind == "twin" })
	for i := range p.Faults {
		p.Faults[i].Target = r.IntN(p.Members)
	}
	calls := []string{"drain", "drain", "drain", "resume", "resume", "write-off"}
	for range 2 + r.IntN(12) {
		f := Fault{Kind: calls[r.IntN(len(calls))], At: 8 + (p.Length-8)*r.Float64(), Target: r.IntN(p.Members), Amount: float64(r.IntN(p.Members))}
		if f.Kind == "write-off" && r.IntN(4) != 0 {
			f.Kind = "drain"
		}
		p.Faults = append(p.Faults, f)
	}
	if r.IntN(2) == 0 {
		p.Length += 60
		p.Faults = append(p.Faults, Fault{Kind: "release", At: 10 + 20*r.Float64(), Target: r.IntN(p.Members), Amount: float64(r.IntN(len(kindsOfVersion))), For: 3 + 5*r.Float64()})
		if r.IntN(3) == 0 {
			p.Faults = append(p.Faults, Fault{Kind: []string{"halt", "go", "way-back"}[r.IntN(3)], At: 30 + (p.Length-30)*r.Float64(), Target: r.IntN(p.Members)})
		}
	}
	p.Forget = max(p.Forget, 100)
	p.Quiet = quiet(p) + 120
	return p
}

// tend is what operators do once all is quiet: a release that has come to a halt goes back.
func (f *field) tend() {
	if f.w.now-f.tended < periods(40) {
		return
	}
	f.tended = f.w.now
	for _, p := range f.w.procs {
		if p != nil && p.up && p.seat != nil && p.seat.core.HasSeat() && p.seat.core.Accord().Leads() {
			if _, r := p.seat.core.State(); r.Phase == rollout.Stuck || r.Phase == rollout.Halted {
				f.call(&Fault{Kind: "way-back"}, p.index)
			}
		}
	}
}

// crashing reports whether a version that ends by itself still runs somewhere: then no view stays as it is.
func (f *field) crashing() bool {
	return slices.ContainsFunc(f.w.procs, func(p *proc) bool { return p != nil && f.rate(f.versions[p.name]).crash > 0 })
}

// hopeless reports whether the seats that are left can neither lead a group nor found one.
func (f *field) hopeless() bool {
	living, up := map[uint64]bool{}, 0
	var voters []accord.Voter
	for _, p := range f.w.procs {
		if p == nil || !p.up || p.seat == nil || !p.seat.core.HasSeat() {
			continue
		}
		if slices.Contains(f.seats(), p.name) {
			up++
		}
		if g, _ := p.seat.core.Accord().Group(); !g.None() {
			living[p.seat.core.Accord().ID()] = true
			if v := p.seat.core.Accord().Voters(); len(v) > 0 {
				voters = v
			}
		}
	}
	n := 0
	for _, v := range voters {
		if living[v.ID] {
			n++
		}
	}
	return up < len(f.seats()) && 2*n <= max(1, len(voters))
}

// unsettled says what is not yet right in the council once all is quiet; empty: all is.
func (f *field) unsettled() string {
	var lead *council.Core
	leads, state := 0, map[string]string{}
	for _, p := range f.w.procs {
		if p == nil || !p.up || p.seat == nil || !p.seat.core.HasSeat() {
			continue
		}
		c := p.seat.core
		if c.Accord().Leads() {
			lead = c
			leads++
		}
		if slices.ContainsFunc(c.Accord().Voters(), func(v accord.Voter) bool { return v.Seat == p.name }) {
			g, _ := c.Accord().Group()
			ps, rs := c.State()
			if f.changes != nil && f.changes.mixed { // older seats note no changes of settings
				as := *ps
				as.History = nil
				ps = &as
			} else if f.changes != nil {
				state[p.name] = fmt.Sprintf("%x", wire.Word(c.Settings()))
			}
			state[p.name] += fmt.Sprintf("%v %x %x", g, wire.Word(ps), wire.Word(rs))
		}
	}
	if leads == 0 && f.hopeless() {
		return "" // it says so, and waits for the seats that are missing
	}
	if leads != 1 {
		return fmt.Sprintf("%d seats lead", leads)
	}
	first := ""
	for n, s := range state {
		if first == "" {
			first = s
		} else if s != first {
			return "seats hold different states, " + n + " among them"
		}
	}
	for _, v := range lead.Accord().Voters() {
		if p := f.w.procs[f.w.index(v.Seat)]; p != nil && p.up && p.seat != nil && p.seat.core.Accord().ID() != v.ID {
			return "the seat of " + v.Seat + " is an earlier life's"
		}
	}
	ps, _ := lead.State()
	for _, p := range f.w.procs {
		if p == nil || !p.up || p.seat == nil {
			continue
		}
		m := ps.Members[p.name]
		if m == nil || m.Life != p.core.Self().Life {
			return p.name + " is not known to the council"
		}
		held := ps.Permit(permit.Subject{Name: p.name})
		switch {
		case held == nil && p.seat.away && p.seat.exit != 0 && f.versions[p.name] == "":
			// drained by an operator under a council that has lost its memory: it stays drained, and counts as seen
		case held != nil && held.Phase == permit.Granted && ps.Keeps(held) == "":
			return p.name + " does not use its permit"
		case held != nil && held.Phase == permit.Returning && !p.left:
			return p.name + " is called back and does not come"
		case held != nil && held.Phase == permit.Used && !p.seat.away && held.Target == "" && !p.left:
			return p.name + " serves, and its permit still counts"
		}
	}
	for _, q := range ps.Queue {
		if q.Release == "" && ps.OutNodes() == 0 {
			return q.Subject.String() + " waits though nobody is out: " + q.Waiting
		}
	}
	if f.changes != nil {
		return f.changes.unsettled()
	}
	return ""
}

// Versions lists the versions that may be released, by number.
func Versions() (names []string) {
	for _, k := range kindsOfVersion {
		names = append(names, k.name)
	}
	return names
}

// CouncilFigures are what is measured of a council.
type CouncilFigures struct {
	Waits            []float64  // periods from a wish to the exit, with nothing else out
	Leader           []float64  // periods from a leader's end to the next one
	Datagrams, Bytes [2]float64 // a second, sent by a seat and by another node
}

// MeasureCouncil has nodes drained and called back one after the other, and the leader killed now and then.
func MeasureCouncil(n int, loss float64, times int, seed uint64) (f CouncilFigures) {
	p := with(agreed(n, 1, 1e6), func(p *Plan) { p.Loss, p.Seed, p.Most, p.Forget = loss, seed, n+1, 1e6 })
	w := build(&p, false)
	for i := range n {
		w.start(i, addr(i), false, false)
	}
	w.until(periods(40+float64(n)/10), nil)
	sent := func() (d, b [2]float64) {
		for _, q := range w.procs {
			k := 1
			if q.index < p.Council {
				k = 0
			}
			d[k] += float64(q.datagrams)
			b[k] += float64(q.bytes)
		}
		return d, b
	}
	d0, b0 := sent()
	at := w.now
	w.until(w.now+periods(60), nil)
	d1, b1 := sent()
	for k, of := range []int{p.Council, n - p.Council} {
		span := (w.now - at).Seconds() * float64(max(of, 1))
		f.Datagrams[k], f.Bytes[k] = (d1[k]-d0[k])/span, (b1[k]-b0[k])/span
	}
	r := source(seed, 3)
	for i := range times {
		t := p.Council + r.IntN(n-p.Council)
		w.field.call(&Fault{Kind: "drain", Target: t, Amount: float64(r.IntN(n))}, t)
		before := len(w.field.waits)
		w.until(w.now+periods(60), func() bool { return len(w.field.waits) > before })
		w.until(w.now+periods(2), nil)
		for range 5 {
			w.field.call(&Fault{Kind: "resume", Target: t}, t)
			w.until(w.now+periods(20), func() bool { return !w.field.exits[name(t)] })
		}
		w.until(w.now+periods(5), nil)
		if i%10 != 9 {
			continue
		}
		for _, q := range w.procs {
			if q.up && q.seat.core.HasSeat() && q.seat.core.Accord().Leads() {
				end := w.now
				w.end(q)
				leads := func() bool { s, _ := w.field.leader(); return s != nil }
				if w.until(w.now+periods(60), leads) {
					f.Leader = append(f.Leader, (w.now-end).Seconds()/Period.Seconds())
				}
				w.start(q.index, q.addr, false, false)
				w.until(w.now+periods(20), nil)
				break
			}
		}
	}
	f.Waits = w.field.waits
	return f
}
