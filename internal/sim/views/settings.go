package views

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/fleet/council"
	"swiftdeal/internal/fleet/revision"
	"swiftdeal/internal/fleet/wire"
)

// Settings of the fleet on virtual time: operators ask for changes, the council decides on revisions, nodes spread them and put
// them into effect, or cannot; all that was decided on is known here, and what nodes hold is held against it.

// settled nodes have had this long, in periods, without cuts, sleepers and further losses.
const calmFor = 20

// changes is the truth about the settings.
type changes struct {
	f       *field
	r       *rand.Rand
	older   map[int]bool          // members whose program knows nothing of settings
	refuses map[int]bool          // members that cannot put every third change into effect
	dies    map[int]time.Duration // members whose process ends before the next one is in effect: for how long it is away
	garbles map[int]bool          // members that hand over damaged bodies
	decided map[revision.ID]decision
	order   []revision.ID
	texts   map[string]bool // settings that operators have asked for
	asked   map[[2]uint64]request
	ok      map[revision.ID]revision.ID // by base: what an operator's yes was for
	yes, no int
	calm    time.Duration // until then something keeps nodes from one another
	said    map[string]int
	mixed   bool
}

// decision is what a council has decided on.
type decision struct {
	sum  revision.Sum
	base revision.ID
	at   time.Duration
}

// request is an operator's.
type request struct {
	base revision.ID
	sum  revision.Sum
	back bool
	at   int64
}

// marks are what a process was last seen to have.
type marks struct {
	held, force, current revision.ID
	voter                uint64
}

func newChanges(f *field) *changes {
	p := f.w.plan
	c := &changes{f: f, r: source(p.Seed, 41), older: map[int]bool{}, refuses: map[int]bool{}, dies: map[int]time.Duration{}, garbles: map[int]bool{}, decided: map[revision.ID]decision{},
		texts: map[string]bool{}, asked: map[[2]uint64]request{}, ok: map[revision.ID]revision.ID{}, said: map[string]int{}, mixed: len(p.Older) > 0}
	for _, i := range p.Older {
		c.older[i] = true
	}
	for _, i := range p.Refuses {
		c.refuses[i] = true
	}
	return c
}

// enter says what a process's part is told of settings.
func (c *changes) enter(p *proc, s *seat, to *council.Config) {
	s.pick = source(c.f.w.plan.Seed, 500000+uint64(p.serial))
	to.Settings, to.Unknowing = !c.older[p.index], c.older[p.index]
}

// late brings datagrams of an earlier life to anybody, after its node has started anew.
func (c *changes) late(old *proc) {
	w := c.f.w
	for range min(len(old.sent), 12) {
		b := old.sent[c.r.IntN(len(old.sent))]
		to := addr(c.r.IntN(w.plan.Members))
		w.at(w.now+periods(6*c.r.Float64()), func() { w.deliver(to, delivery{old.addr, b}) })
	}
}

// hit is a fault that has to do with settings, or keeps nodes from one another.
func (c *changes) hit(x *Fault, t int, long time.Duration) {
	w := c.f.w
	switch x.Kind {
	case "stop", "slow", "split", "alone", "half", "deaf-to", "flap", "loss", "jitter", "damage", "overflow", "liar", "region":
		c.calm = max(c.calm, w.now+long+periods(2))
	}
	switch x.Kind {
	case "region":
		w.cut(long, func(a, b int) bool { return (a%3 == t%3) != (b%3 == t%3) })
	case "garbles":
		c.garbles[t] = true
		w.at(w.now+long, func() { delete(c.garbles, t) })
	case "dies-applying":
		c.dies[t] = max(long, periods(0.5))
	case "upgrade":
		w.end(w.procs[t])
		delete(c.older, t)
		w.at(w.now+periods(1), func() { c.f.startAgain(t) })
	case "set", "set-back":
		c.ask(x, t)
	}
}

// ask is an operator who looks at a node, and asks there for a change.
func (c *changes) ask(x *Fault, t int) {
	p := c.f.w.procs[t]
	if p == nil || !p.up || p.stopped || p.seat == nil || p.seat.core.Revision() == nil {
		return
	}
	core, now, at := p.seat.core, c.f.w.now-p.base, c.f.w.now.Milliseconds()
	q := request{base: core.Revision().Held().Head().ID, at: at, back: x.Kind == "set-back"}
	var ticket uint64
	if q.back {
		ticket = core.Call(now, council.Call{Op: "settings-back", Base: &q.base, By: "operator", Why: "drill", At: at})
	} else {
		text := make([]byte, int(40*x.Amount)) // what cannot be packed any smaller
		for i := range text {
			text[i] = byte(c.r.Uint32())
		}
		s := fmt.Appendf(nil, `{"no":%d,"text":"%x"}`, len(c.texts), text)
		body, err := revision.Pack(revision.Content{Settings: s, By: "operator", At: at})
		if err != nil {
			c.f.w.fault("%v", err)
			return
		}
		c.texts[string(s)], q.sum = true, revision.SumOf(body)
		ticket = core.SetSettings(now, body, q.base, "operator", "drill")
	}
	c.asked[[2]uint64{uint64(p.serial), ticket}] = q
	c.f.w.note("%s is asked for a change in the place of %v", p.name, q.base)
	c.f.w.after(p)
}

// replied takes the end of a call, if it is one on settings.
func (c *changes) replied(p *proc, r council.Reply) {
	q, ok := c.asked[[2]uint64{uint64(p.serial), r.Ticket}]
	if !ok {
		return
	}
	if !r.OK {
		c.no++
		return
	}
	c.yes++
	w := c.f.w
	if r.Revision == nil {
		w.fault("%s says yes and names no revision", p.name)
		return
	}
	d, known := c.decided[*r.Revision]
	switch {
	case !known:
		w.fault("%s says yes to %v, which no council has decided on", p.name, r.Revision)
	case d.base != q.base && !c.mixed:
		w.fault("%s says yes to %v in the place of %v, which took that of %v", p.name, r.Revision, q.base, d.base)
	case !q.back && d.sum != q.sum:
		w.fault("%s says yes to %v, which is not what was asked for", p.name, r.Revision)
	}
	if o, again := c.ok[q.base]; again && o != *r.Revision && o.Group == r.Revision.Group {
		w.fault("yes to both %v and %v in the place of %v", o, r.Revision, q.base)
	}
	c.ok[q.base] = *r.Revision
}

// apply has a node put a revision into effect: it takes a while, may fail, and the process may end meanwhile.
func (c *changes) apply(p *proc, rev *revision.Revision) {
	w := c.f.w
	if d, ok := c.decided[rev.ID]; !ok || d.sum != revision.SumOf(rev.Body) {
		w.fault("%s puts into effect %v, which no council has decided on in this form", p.name, rev.ID)
		return
	}
	var done func()
	done = func() {
		switch away, dies := c.dies[p.index]; {
		case !p.up:
		case p.stopped:
			w.at(w.now+periods(0.3), done)
		case dies:
			delete(c.dies, p.index)
			w.end(p)
			w.at(w.now+away, func() { c.f.startAgain(p.index) })
		default:
			why := ""
			if c.refuses[p.index] && rev.ID.No%3 == 2 {
				why = "drill"
				c.said["refused"]++
			}
			p.seat.core.Applied(w.now-p.base, rev.ID, why)
			w.note("%s puts %v into effect: %q", p.name, rev.ID, why)
			w.after(p)
		}
	}
	w.at(w.now+periods(0.02+0.4*c.r.Float64()*c.r.Float64()), done)
}

// look holds what a process has against the truth.
func (c *changes) look(p *proc) {
	s, w := p.seat, c.f.w
	if s.core.HasSeat() && s.core.Knows() { // what is left of a group that was given up is nobody's word
		st, voter := s.core.Settings(), s.core.Accord().ID()
		now := st.Current.Head().ID
		if voter == s.marks.voter && now.Compare(s.marks.current) < 0 && !c.mixed {
			w.fault("the council's word at %s went from %v back to %v", p.name, s.marks.current, now)
		}
		if now != s.marks.current && !now.None() {
			c.decide(p, st)
		}
		s.marks.current, s.marks.voter = now, voter
	}
	rev := s.core.Revision()
	if rev == nil {
		return
	}
	held, force := rev.Held().Head().ID, rev.InForce()
	if fetches, staged, bytes := rev.Sizes(); fetches > 4 || staged > 4 || bytes > 9*revision.MostBody {
		w.fault("%s keeps %d fetches, %d bodies, %d bytes", p.name, fetches, staged, bytes)
	}
	if held == s.marks.held && force == s.marks.force {
		return
	}
	if held.Compare(s.marks.held) < 0 || force.Compare(s.marks.force) < 0 || force.Compare(held) > 0 {
		w.fault("%s holds %v after %v, and has %v in force after %v", p.name, held, s.marks.held, force, s.marks.force)
	}
	if d, ok := c.decided[held]; !ok || d.sum != revision.SumOf(rev.Held().Body) {
		w.fault("%s holds %v, which no council has decided on in this form", p.name, held)
	}
	s.marks.held, s.marks.force = held, force
}

// decide takes a revision that is new at a seat, and holds it against what was decided before.
func (c *changes) decide(p *proc, st *revision.State) {
	w, id, sum, base := c.f.w, st.Current.ID, st.Current.Head().Sum, st.Prior.Head().ID
	if d, ok := c.decided[id]; ok {
		if d.sum != sum {
			w.fault("two councils decided on two revisions %v", id)
		}
		return
	}
	if content, err := revision.Unpack(st.Current.Body); err != nil || !c.texts[string(content.Settings)] {
		w.fault("%s has decided on %v, for which nobody has asked: %v", p.name, id, err)
	}
	if _, ok := c.decided[base]; !ok && !base.None() {
		w.fault("%s has decided on %v in the place of %v, which nobody has decided on", p.name, id, base)
	}
	for _, o := range c.order {
		if o.Group == id.Group && (o.Compare(id) > 0 || o.Compare(base) > 0) {
			w.fault("%s has decided on %v in the place of %v, though %v was decided on", p.name, id, base, o)
		}
	}
	// What is promised across groups: nothing is passed over that a node holds whom all have been able to reach for a while.
	for _, q := range w.procs {
		if w.now < c.calm+periods(calmFor) || q == nil || !q.up || q.seat == nil || q.seat.core.Revision() == nil || w.now-q.seat.born < periods(calmFor) {
			continue
		}
		if h := q.seat.marks.held; h.Compare(base) > 0 && h != id {
			w.fault("%s has decided on %v in the place of %v, though %s has held %v", p.name, id, base, q.name, h)
		}
	}
	c.decided[id] = decision{sum, base, w.now}
	c.order = append(c.order, id)
	w.note("%s#%d has decided on %v in the place of %v", p.name, p.serial, id, base)
}

// unsettled says what is not yet right once all is quiet; empty: all is.
func (c *changes) unsettled() string {
	var latest revision.ID
	by := ""
	for _, p := range c.f.w.procs {
		if p == nil || !p.up || p.seat == nil {
			continue
		}
		if rev := p.seat.core.Revision(); rev != nil {
			if h := rev.Held().Head().ID; h.Compare(latest) > 0 {
				latest, by = h, p.name
			}
			if p.seat.core.HasSeat() && p.seat.core.Accord().Leads() {
				if now := p.seat.core.Settings().Current.Head().ID; now.Compare(latest) > 0 {
					latest, by = now, p.name
				}
			}
		}
	}
	for _, p := range c.f.w.procs {
		if p == nil || !p.up || p.seat == nil || p.seat.core.Revision() == nil {
			continue
		}
		rev := p.seat.core.Revision()
		refused, why := rev.Refused()
		switch h := rev.Held().Head().ID; {
		case h != latest:
			return fmt.Sprintf("%s holds %v, %s %v", p.name, h, by, latest)
		case rev.InForce() == latest:
		case refused != latest || why == "" || !c.refuses[p.index]:
			return fmt.Sprintf("%s holds %v and has %v in force (%v refused: %q)", p.name, h, rev.InForce(), refused, why)
		}
		if p.seat.core.HasSeat() && p.seat.core.Accord().Leads() && p.seat.core.Settings().Current.Head().ID != latest {
			return fmt.Sprintf("%s leads and goes by %v, not %v", p.name, p.seat.core.Settings().Current.Head().ID, latest)
		}
	}
	return ""
}

// DrawSettings draws a plan in which operators change the settings, by a seed, while much goes wrong.
func DrawSettings(seed uint64) *Plan {
	p := DrawCouncil(seed)
	r := source(seed, 43)
	p.Settings = true
	p.Members = min(p.Members, 40)
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool {
		return f.Target >= p.Members || slices.Contains([]string{"release", "halt", "go", "way-back", "write-off"}, f.Kind)
	})
	some := func(most int) (list []int) {
		for range 1 + r.IntN(most) {
			list = append(list, r.IntN(p.Members))
		}
		return list
	}
	if r.IntN(5) == 0 {
		p.Older = some(3)
	}
	if r.IntN(4) == 0 {
		p.Refuses = some(2)
	}
	add := func(kind string, at, long float64, target int, amount float64) {
		at = min(at, p.Length)
		p.Faults = append(p.Faults, Fault{Kind: kind, At: at, For: min(long, p.Length-at), Target: target, Amount: amount})
	}
	for range 2 + r.IntN(8) {
		at := 8 + (p.Length-8)*r.Float64()
		kind, size := "set", 2*r.Float64()
		switch r.IntN(12) {
		case 0:
			kind = "set-back"
		case 1, 2:
			size = 700 * r.Float64()
		}
		add(kind, at, 0, r.IntN(p.Members), size)
		for range r.IntN(3) { // others at once
			add("set", at+0.3*r.Float64(), 0, r.IntN(p.Members), 2*r.Float64())
		}
	}
	at := func() float64 { return 12 + (p.Length-12)*r.Float64() }
	if r.IntN(3) == 0 {
		add("region", at(), 5+40*r.Float64(), r.IntN(3), 0)
	}
	if r.IntN(4) == 0 {
		add("garbles", at(), 30, r.IntN(p.Members), 0)
	}
	if r.IntN(3) == 0 {
		add("dies-applying", at(), 3*r.Float64(), r.IntN(p.Members), 0)
	}
	if r.IntN(2) == 0 { // a minority, a majority or all of the seats come back empty, or stay away for a while
		t, long, n := at(), 0.5+20*r.Float64()*r.Float64(), 1+r.IntN(p.Council)
		for i := range min(n, p.Members) {
			add("kill", t+0.5*r.Float64(), max(long, 0.5), i, 0)
		}
	}
	for _, i := range p.Older {
		if r.IntN(2) == 0 {
			add("upgrade", at(), 0, i, 0)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	p.Quiet += 60
	return p
}

// SettingsFigures are what is measured of changes on a quiet fleet.
type SettingsFigures struct {
	First, All       []float64 // periods from the operator's question until the yes, and until it is in force everywhere
	Idle             float64   // datagrams of the kind a node sends in a period without changes
	IdleBytes        float64
	Datagrams, Bytes float64 // of the kind beyond that, for one change, of all nodes together
}

// MeasureSettings has settings changed one time after the other on a quiet fleet; size is in KiB of what cannot be packed.
func MeasureSettings(n, times int, size, loss float64, seed uint64) (f SettingsFigures, o *Outcome) {
	p := with(agreed(n, 1, 1e6), func(p *Plan) { p.Loss, p.Seed, p.Most, p.Forget, p.Settings = loss, seed, n+1, 1e6, true })
	w := build(&p, false)
	for i := range n {
		w.start(i, addr(i), false, false)
	}
	w.until(periods(40+float64(n)/10), nil)
	c := w.field.changes
	span := 20.0
	d, b := w.out.Revisions, w.out.RevisionBytes
	w.until(w.now+periods(span), nil)
	f.Idle, f.IdleBytes = float64(w.out.Revisions-d)/span/float64(n), float64(w.out.RevisionBytes-b)/span/float64(n)
	r := source(seed, 5)
	for range times {
		at, yes := w.now, c.yes
		d, b = w.out.Revisions, w.out.RevisionBytes
		c.ask(&Fault{Kind: "set", Amount: size * 12.8}, r.IntN(n))
		if !w.until(w.now+periods(60), func() bool { return c.yes > yes }) {
			continue
		}
		f.First = append(f.First, (w.now-at).Seconds()/Period.Seconds())
		id := c.order[len(c.order)-1]
		left := n
		w.until(w.now+periods(60), func() bool {
			for left > 0 && w.procs[left-1].seat.core.Revision().InForce() == id {
				left--
			}
			return left == 0
		})
		if left == 0 {
			f.All = append(f.All, (w.now-at).Seconds()/Period.Seconds())
		}
		w.until(at+periods(span), nil)
		f.Datagrams += (float64(w.out.Revisions-d) - f.Idle*float64(n)*span) / float64(times)
		f.Bytes += (float64(w.out.RevisionBytes-b) - f.IdleBytes*float64(n)*span) / float64(times)
	}
	return f, w.out
}

// garble damages what a node hands over, as a faulty memory would.
func (c *changes) garble(p *proc, packet *wire.Packet) {
	if c.garbles[p.index] && packet.Kind == wire.Revision && len(packet.Body) > 150 {
		packet.Body = slices.Clone(packet.Body)
		packet.Body[len(packet.Body)-1] ^= 1
	}
}
