package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/membership/codec"
)

// Settings of the fleet on virtual time: operators ask for changes, the council decides on revisions, nodes spread them and put
// them into effect, or cannot; all that was decided on is known here, and what nodes hold is held against it.

// settled nodes have had this long, in periods, without cuts, sleepers and further losses.
const calmFor = 20

// settingsHistory is the truth about the settings.
type settingsHistory struct {
	truth                        *groundTruth
	random                       *rand.Rand
	older                        map[int]bool          // members whose program knows nothing of settings
	refuses                      map[int]bool          // members that cannot put every third change into effect
	diesApplying                 map[int]time.Duration // members whose process ends before the next one is in effect: how long for
	garblers                     map[int]bool          // members that hand over damaged bodies
	decided                      map[configversion.ID]decision
	order                        []configversion.ID
	texts                        map[string]bool // settings that operators have asked for
	asked                        map[[2]uint64]request
	accepted                     map[configversion.ID]configversion.ID // by base: what an operator's yes was for
	acceptedCount, rejectedCount int
	calm                         time.Duration // until then something keeps nodes from one another
	said                         map[string]int
	mixed                        bool
}

// decision is what a council has decided on.
type decision struct {
	sum  configversion.Checksum
	base configversion.ID
	time time.Duration
}

// request is an operator's.
type request struct {
	base configversion.ID
	sum  configversion.Checksum
	back bool
	time int64
}

// marks are what a process was last seen to have.
type marks struct {
	storedRevision, force, current configversion.ID
	voter                          uint64
}

func newChanges(f *groundTruth) *settingsHistory {
	p := f.simulation.plan
	c := &settingsHistory{
		truth:        f,
		random:       source(p.Seed, 41),
		older:        map[int]bool{},
		refuses:      map[int]bool{},
		diesApplying: map[int]time.Duration{},
		garblers:     map[int]bool{},
		decided:      map[configversion.ID]decision{},
		texts:        map[string]bool{},
		asked:        map[[2]uint64]request{},
		accepted:     map[configversion.ID]configversion.ID{},
		said:         map[string]int{},
		mixed:        len(p.Older) > 0,
	}
	for _, i := range p.Older {
		c.older[i] = true
	}
	for _, i := range p.Refuses {
		c.refuses[i] = true
	}
	return c
}

// enter says what a process's part is told of settings.
func (c *settingsHistory) enter(p *process, s *replica, to *controlplane.Config) {
	s.pick = source(c.truth.simulation.plan.Seed, 500000+uint64(p.serial))
	to.ManageSettings, to.IgnoreSettings = !c.older[p.index], c.older[p.index]
}

// late brings datagrams of an earlier life to anybody, after its node has started anew.
func (c *settingsHistory) late(old *process) {
	w := c.truth.simulation
	for range min(len(old.sent), 12) {
		b := old.sent[c.random.IntN(len(old.sent))]
		to := addr(c.random.IntN(w.plan.Members))
		w.schedule(w.now+periods(6*c.random.Float64()), func() { w.deliver(to, delivery{old.addr, b}) })
	}
}

// inject is a fault that has to do with settings, or keeps nodes from one another.
func (c *settingsHistory) inject(x *Fault, t int, long time.Duration) {
	w := c.truth.simulation
	switch x.Kind {
	case "stop", "slow", "split", "alone", "half", "deaf-to", "flap", "loss", "jitter", "damage", "overflow",
		"liar", "region":
		c.calm = max(c.calm, w.now+long+periods(2))
	}
	switch x.Kind {
	case "region":
		w.cut(long, func(a, b int) bool { return (a%3 == t%3) != (b%3 == t%3) })
	case "garbles":
		c.garblers[t] = true
		w.schedule(w.now+long, func() { delete(c.garblers, t) })
	case "dies-applying":
		c.diesApplying[t] = max(long, periods(0.5))
	case "upgrade":
		w.end(w.processes[t])
		delete(c.older, t)
		w.schedule(w.now+periods(1), func() { c.truth.startAgain(t) })
	case "set", "set-back":
		c.ask(x, t)
	}
}

// ask is an operator who looks at a node, and asks there for a change.
func (c *settingsHistory) ask(x *Fault, t int) {
	p := c.truth.simulation.processes[t]
	if p == nil || !p.running || p.paused || p.replica == nil || p.replica.core.Distributor() == nil {
		return
	}
	core, now, at := p.replica.core, c.truth.simulation.now-p.clockStart, c.truth.simulation.now.Milliseconds()
	q := request{base: core.Distributor().Latest().Header().ID, time: at, back: x.Kind == "set-back"}
	var ticket uint64
	if q.back {
		ticket = core.Submit(
			now,
			controlplane.OperatorRequest{
				Operation:   "settings-back",
				BaseVersion: &q.base,
				RequestedBy: "operator",
				Reason:      "drill",
				AtMs:        at,
			},
		)
	} else {
		text := make([]byte, int(40*x.Amount)) // what cannot be packed any smaller
		for i := range text {
			text[i] = byte(c.random.Uint32())
		}
		s := fmt.Appendf(nil, `{"no":%d,"text":"%x"}`, len(c.texts), text)
		body, err := configversion.Pack(configversion.Content{Settings: s, Author: "operator", CreatedAtMs: at})
		if err != nil {
			c.truth.simulation.fail("%v", err)
			return
		}
		c.texts[string(s)], q.sum = true, configversion.ChecksumOf(body)
		ticket = core.SubmitSettings(now, body, q.base, "operator", "drill")
	}
	c.asked[[2]uint64{uint64(p.serial), ticket}] = q
	c.truth.simulation.record("%s is asked for a change in the place of %v", p.name, q.base)
	c.truth.simulation.collect(p)
}

// replied takes the end of a call, if it is one on settings.
func (c *settingsHistory) replied(p *process, r controlplane.OperatorReply) {
	q, ok := c.asked[[2]uint64{uint64(p.serial), r.Ticket}]
	if !ok {
		return
	}
	if !r.OK {
		c.rejectedCount++
		return
	}
	c.acceptedCount++
	w := c.truth.simulation
	if r.Version == nil {
		w.fail("%s says yes and names no revision", p.name)
		return
	}
	d, known := c.decided[*r.Version]
	switch {
	case !known:
		w.fail("%s says yes to %v, which no council has decided on", p.name, r.Version)
	case d.base != q.base && !c.mixed:
		w.fail("%s says yes to %v in the place of %v, which took that of %v", p.name, r.Version, q.base, d.base)
	case !q.back && d.sum != q.sum:
		w.fail("%s says yes to %v, which is not what was asked for", p.name, r.Version)
	}
	if o, again := c.accepted[q.base]; again && o != *r.Version && o.Group == r.Version.Group {
		w.fail("yes to both %v and %v in the place of %v", o, r.Version, q.base)
	}
	c.accepted[q.base] = *r.Version
}

// apply has a node put a revision into effect: it takes a while, may fail, and the process may end meanwhile.
func (c *settingsHistory) apply(p *process, rev *configversion.Version) {
	w := c.truth.simulation
	if d, ok := c.decided[rev.ID]; !ok || d.sum != configversion.ChecksumOf(rev.Body) {
		w.fail("%s puts into effect %v, which no council has decided on in this form", p.name, rev.ID)
		return
	}
	var done func()
	done = func() {
		switch away, dies := c.diesApplying[p.index]; {
		case !p.running:
		case p.paused:
			w.schedule(w.now+periods(0.3), done)
		case dies:
			delete(c.diesApplying, p.index)
			w.end(p)
			w.schedule(w.now+away, func() { c.truth.startAgain(p.index) })
		default:
			why := ""
			if c.refuses[p.index] && rev.ID.Number%3 == 2 {
				why = "drill"
				c.said["refused"]++
			}
			p.replica.core.SettingsApplied(w.now-p.clockStart, rev.ID, why)
			w.record("%s puts %v into effect: %q", p.name, rev.ID, why)
			w.collect(p)
		}
	}
	w.schedule(w.now+periods(0.02+0.4*c.random.Float64()*c.random.Float64()), done)
}

// inspect holds what a process has against the truth.
func (c *settingsHistory) inspect(p *process) {
	s, w := p.replica, c.truth.simulation
	if s.core.MayBeReplica() && s.core.HasState() { // what is left of a group that was given up is nobody's word
		st, voter := s.core.Settings(), s.core.Consensus().VoterID()
		now := st.Current.Header().ID
		if voter == s.marks.voter && now.Compare(s.marks.current) < 0 && !c.mixed {
			w.fail("the council's word at %s went from %v back to %v", p.name, s.marks.current, now)
		}
		if now != s.marks.current && !now.IsZero() {
			c.decide(p, st)
		}
		s.marks.current, s.marks.voter = now, voter
	}
	rev := s.core.Distributor()
	if rev == nil {
		return
	}
	held, force := rev.Latest().Header().ID, rev.ActiveID()
	if fetches, staged, bytes := rev.MemoryUsage(); fetches > 4 || staged > 4 || bytes > 9*configversion.MaxBodyBytes {
		w.fail("%s keeps %d fetches, %d bodies, %d bytes", p.name, fetches, staged, bytes)
	}
	if held == s.marks.storedRevision && force == s.marks.force {
		return
	}
	if held.Compare(s.marks.storedRevision) < 0 || force.Compare(s.marks.force) < 0 || force.Compare(held) > 0 {
		w.fail(
			"%s holds %v after %v, and has %v in force after %v",
			p.name,
			held,
			s.marks.storedRevision,
			force,
			s.marks.force,
		)
	}
	if d, ok := c.decided[held]; !ok || d.sum != configversion.ChecksumOf(rev.Latest().Body) {
		w.fail("%s holds %v, which no council has decided on in this form", p.name, held)
	}
	s.marks.storedRevision, s.marks.force = held, force
}

// decide takes a revision that is new at a seat, and holds it against what was decided before.
func (c *settingsHistory) decide(p *process, st *configversion.State) {
	w, id, sum, base := c.truth.simulation, st.Current.ID, st.Current.Header().Checksum, st.Previous.Header().ID
	if d, ok := c.decided[id]; ok {
		if d.sum != sum {
			w.fail("two councils decided on two revisions %v", id)
		}
		return
	}
	if content, err := configversion.Unpack(st.Current.Body); err != nil || !c.texts[string(content.Settings)] {
		w.fail("%s has decided on %v, for which nobody has asked: %v", p.name, id, err)
	}
	if _, ok := c.decided[base]; !ok && !base.IsZero() {
		w.fail("%s has decided on %v in the place of %v, which nobody has decided on", p.name, id, base)
	}
	for _, o := range c.order {
		if o.Group == id.Group && (o.Compare(id) > 0 || o.Compare(base) > 0) {
			w.fail("%s has decided on %v in the place of %v, though %v was decided on", p.name, id, base, o)
		}
	}
	// What is promised across groups: nothing is passed over that a node holds whom all have been able to reach for a while.
	for _, q := range w.processes {
		if w.now < c.calm+periods(calmFor) || q == nil || !q.running || q.replica == nil ||
			q.replica.core.Distributor() == nil ||
			w.now-q.replica.startedAt < periods(calmFor) {
			continue
		}
		if h := q.replica.marks.storedRevision; h.Compare(base) > 0 && h != id {
			w.fail("%s has decided on %v in the place of %v, though %s has held %v", p.name, id, base, q.name, h)
		}
	}
	c.decided[id] = decision{sum, base, w.now}
	c.order = append(c.order, id)
	w.record("%s#%d has decided on %v in the place of %v", p.name, p.serial, id, base)
}

// unsettled says what is not yet right once all is quiet; empty: all is.
func (c *settingsHistory) unsettled() string {
	var latest configversion.ID
	by := ""
	for _, p := range c.truth.simulation.processes {
		if p == nil || !p.running || p.replica == nil {
			continue
		}
		if rev := p.replica.core.Distributor(); rev != nil {
			if h := rev.Latest().Header().ID; h.Compare(latest) > 0 {
				latest, by = h, p.name
			}
			if p.replica.core.MayBeReplica() && p.replica.core.Consensus().IsLeader() {
				if now := p.replica.core.Settings().Current.Header().ID; now.Compare(latest) > 0 {
					latest, by = now, p.name
				}
			}
		}
	}
	for _, p := range c.truth.simulation.processes {
		if p == nil || !p.running || p.replica == nil || p.replica.core.Distributor() == nil {
			continue
		}
		rev := p.replica.core.Distributor()
		refused, why := rev.Rejected()
		switch h := rev.Latest().Header().ID; {
		case h != latest:
			return fmt.Sprintf("%s holds %v, %s %v", p.name, h, by, latest)
		case rev.ActiveID() == latest:
		case refused != latest || why == "" || !c.refuses[p.index]:
			return fmt.Sprintf(
				"%s holds %v and has %v in force (%v refused: %q)", p.name, h, rev.ActiveID(), refused, why,
			)
		}
		if p.replica.core.MayBeReplica() && p.replica.core.Consensus().IsLeader() &&
			p.replica.core.Settings().Current.Header().ID != latest {
			return fmt.Sprintf(
				"%s leads and goes by %v, not %v",
				p.name,
				p.replica.core.Settings().Current.Header().ID,
				latest,
			)
		}
	}
	return ""
}

// garble damages what a node hands over, as a faulty memory would.
func (c *settingsHistory) garble(p *process, packet *codec.Packet) {
	m, ok := packet.Message.(codec.SubprotocolMessage)
	if ok && c.garblers[p.index] && m.Number == codec.KindConfigVersion && len(m.Body) > 150 {
		m.Body = slices.Clone(m.Body)
		m.Body[len(m.Body)-1] ^= 1
		packet.Message = m
	}
}
