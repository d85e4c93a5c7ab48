package member

import (
	"cmp"
	"slices"
	"time"

	"swiftdeal/internal/fleet/wire"
)

// What is held of members, and how claims and records change it. Of one life, a higher incarnation goes before all, and
// at the same one suspicion before life, death before suspicion, and its own word that it left before all. Another life
// of the same name takes over only with a higher incarnation (or, at the same, a higher number of its life).

// far is a time at which nothing was heard.
const far = -1 << 60

// tell has something passed on, as news.
func (k *Core) tell(name string, own bool) {
	i := which(own)
	if n := k.byName[i][name]; n != nil {
		n.sent = 0
		return
	}
	n := &news{name: name, own: own}
	k.byName[i][name] = n
	k.news = append(k.news, n)
}

// record takes a member's word about itself, from whoever passed it on. direct is set where that is the member itself.
func (k *Core) record(raw []byte, by string, c *wire.Claim) {
	r, err := wire.DecodeRecord(raw)
	if err != nil {
		k.counts.Refused++
		return
	}
	if r.Name == k.self.Name {
		k.aboutSelf(r, c, by)
		return
	}
	p := k.peers[r.Name]
	switch {
	case p == nil:
		k.insert(r, raw, by, c)
		return
	case r.Life == p.life:
		if r.Inc > p.inc && r.Inc-p.inc > jump {
			k.counts.Lies++
			return
		}
		if r.Seq > p.rec.Seq {
			if old := p.rec; old.State != r.State {
				k.change(r.Name, max(p.inc, r.Inc), "state", r.State.String(), by)
			}
			k.readdress(p, r.Addr)
			p.rec, p.raw, p.fresh = r, slices.Clone(raw), k.now
			if len(r.Facts) > 0 && len(k.heard) < mostHeard {
				k.heard = append(k.heard, Told{r.Name, r.Facts})
			}
			k.tell(r.Name, true)
		}
		if r.Inc > p.inc {
			k.raise(p, r.Inc, "its own word", by)
		}
	case r.Inc > p.inc || r.Inc == p.inc && r.Life > p.life:
		if r.Inc-p.inc > jump {
			k.counts.Lies++
			return
		}
		k.succeed(p, r, raw, by)
	default: // an earlier life, or one that does not know of this one yet
		return
	}
	if c != nil {
		k.claim(*c, by)
	}
}

// insert takes in a member that is not known.
func (k *Core) insert(r *wire.Record, raw []byte, by string, c *wire.Claim) {
	gone := c != nil && c.Life == r.Life && c.Inc >= r.Inc && c.Status >= wire.Dead
	age := time.Duration(0)
	if gone { // whoever is told of the dead takes on what is left of their time, else they would never be forgotten
		if age = time.Duration(c.AgeMs) * time.Millisecond; age >= k.c.Forget {
			return
		}
	}
	if len(k.list)+1 >= k.c.Most && !k.makeRoom() || r.Inc > jump<<20 {
		k.counts.Full++
		return
	}
	p := &peer{rec: r, raw: slices.Clone(raw), hash: wire.Hash(r.Name), life: r.Life, inc: r.Inc, fresh: k.now, heard: far, by: by, since: k.now}
	k.peers[r.Name] = p
	at, _ := slices.BinarySearchFunc(k.list, p, func(a, b *peer) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.rec.Name, b.rec.Name)) })
	k.list = slices.Insert(k.list, at, p)
	if gone {
		p.inc, p.status, p.since, p.by = c.Inc, c.Status, k.now-age, c.By
		return
	}
	if c != nil && c.Life == p.life && c.Inc > p.inc && c.Inc-p.inc <= jump {
		p.inc = c.Inc
	}
	k.enter(p)
	k.change(r.Name, p.inc, "joined", r.State.String(), by)
	k.tell(r.Name, true)
	if c != nil && c.Status == wire.Suspect {
		k.claim(*c, by)
	}
}

// makeRoom forgets the one that has been dead for longest, and reports whether there was one.
func (k *Core) makeRoom() bool {
	var old *peer
	for _, p := range k.list {
		if !p.there() && (old == nil || p.since < old.since) {
			old = p
		}
	}
	if old != nil {
		k.forget(old)
	}
	return old != nil
}

// enter counts a member among those that are there.
func (k *Core) enter(p *peer) {
	k.there++
	k.addrs[p.rec.Addr] = p
	at := 0
	if len(k.order) > 0 {
		at = k.rnd.IntN(len(k.order) + 1)
	}
	k.order = slices.Insert(k.order, at, p)
}

// leave no longer does.
func (k *Core) leave(p *peer) {
	k.there--
	if k.addrs[p.rec.Addr] == p {
		delete(k.addrs, p.rec.Addr)
	}
	k.order = slices.DeleteFunc(k.order, func(o *peer) bool { return o == p })
	k.probes = slices.DeleteFunc(k.probes, func(o *probe) bool { return o.p == p })
}

// readdress notes where a member is heard now.
func (k *Core) readdress(p *peer, addr string) {
	if p.rec.Addr == addr {
		return
	}
	if k.addrs[p.rec.Addr] == p {
		delete(k.addrs, p.rec.Addr)
	}
	if p.there() {
		k.addrs[addr] = p
	}
}

func (k *Core) forget(p *peer) {
	if p.there() {
		k.leave(p)
	}
	delete(k.peers, p.rec.Name)
	k.list = slices.DeleteFunc(k.list, func(o *peer) bool { return o == p })
	for i := range k.byName {
		if n := k.byName[i][p.rec.Name]; n != nil {
			delete(k.byName[i], p.rec.Name)
			k.news = slices.DeleteFunc(k.news, func(o *news) bool { return o == n })
		}
	}
	k.change(p.rec.Name, p.inc, "forgotten", p.status.String(), "")
}

// raise takes a higher incarnation of the same life: the member is alive.
func (k *Core) raise(p *peer, inc uint64, why, by string) {
	was := p.status
	p.inc, p.status, p.by, p.accusers, p.first = inc, wire.Alive, by, nil, false
	if was == wire.Alive {
		return
	}
	p.since = k.now
	if was == wire.Suspect {
		k.change(p.rec.Name, inc, "refuted", why, by)
		return
	}
	k.enter(p)
	k.change(p.rec.Name, inc, "returned", why, by)
	if by == p.rec.Name { // it may have been on the other side of a cut, and knows others there
		k.summaries(p, 0)
	}
}

// succeed takes another life of a member's name.
func (k *Core) succeed(p *peer, r *wire.Record, raw []byte, by string) {
	was, old := p.status, p.rec
	k.readdress(p, r.Addr)
	p.rec, p.raw, p.life, p.inc, p.fresh, p.since, p.by = r, slices.Clone(raw), r.Life, r.Inc, k.now, k.now, by
	p.status, p.accusers, p.first, p.heard = wire.Alive, nil, false, far
	k.probes = slices.DeleteFunc(k.probes, func(o *probe) bool { return o.p == p })
	what := "restarted"
	switch {
	case r.Replaces && r.Addr == old.Addr:
		what = "replaced"
	case was > wire.Suspect:
		what = "returned"
	}
	if was > wire.Suspect {
		k.enter(p)
	} else if old.Addr != r.Addr {
		k.conflict(r.Name, r.Addr, old.Addr)
	}
	k.change(r.Name, r.Inc, what, "another process of this name", by)
	k.tell(r.Name, true)
}

// conflict notes that two processes may go by one name. It is shown until it has been quiet for a while.
func (k *Core) conflict(name, addr, other string) {
	i := slices.IndexFunc(k.conflicts, func(c Conflict) bool { return c.Name == name })
	if i < 0 {
		if len(k.conflicts) >= mostConflicts {
			return
		}
		k.conflicts = append(k.conflicts, Conflict{Name: name})
		i = len(k.conflicts) - 1
		k.change(name, 0, "conflict", addr+" and "+other, "")
	}
	k.conflicts[i] = Conflict{name, addr, other, k.now}
}

// claim takes what somebody holds of a member's life.
func (k *Core) claim(c wire.Claim, from string) {
	by := c.By
	if by == "" {
		by = from
	}
	if c.Name == k.self.Name {
		if c.Life == k.self.Life {
			k.accused(c, by)
		}
		return
	}
	p := k.peers[c.Name]
	if p == nil || c.Life != p.life || c.Inc < p.inc {
		return // the next comparison of views brings what is missing
	}
	if c.Inc-p.inc > jump {
		k.counts.Lies++
		return
	}
	if c.Inc > p.inc && c.Status == wire.Alive {
		k.raise(p, c.Inc, "it refutes", by)
		k.tell(c.Name, false)
		return
	}
	if p.status == wire.Left || c.Status == wire.Alive {
		return
	}
	p.inc = c.Inc
	switch c.Status {
	case wire.Suspect:
		k.suspect(p, by, "said to be", false)
	case wire.Dead:
		// Guards against the word of one that was cut off: whoever has just been heard is given the time to refute.
		if p.status == wire.Alive && k.now-p.heard < k.least() {
			k.suspect(p, by, "said to be dead", false)
			k.accuse(p)
			return
		}
		k.bury(p, wire.Dead, time.Duration(c.AgeMs)*time.Millisecond, "said to be", by)
	case wire.Left:
		k.bury(p, wire.Left, time.Duration(c.AgeMs)*time.Millisecond, "its own word", by)
	}
}

// suspect takes an accusation.
func (k *Core) suspect(p *peer, by, why string, first bool) {
	switch p.status {
	case wire.Alive:
		p.status, p.since, p.by, p.why, p.accusers = wire.Suspect, k.now, by, why, []string{by}
		p.first = first
		k.counts.Suspicions++
		k.change(p.rec.Name, p.inc, "suspected", why, by)
	case wire.Suspect:
		if slices.Contains(p.accusers, by) && (p.first || !first) {
			return
		}
		p.first = p.first || first
		if !slices.Contains(p.accusers, by) {
			if len(p.accusers) > confirmations {
				return
			}
			p.accusers = append(p.accusers, by)
		}
	default:
		return
	}
	p.until = p.since + k.held(p)
	k.tell(p.rec.Name, false)
}

// accuse tells a member what is held of it, so that it can refute.
func (k *Core) accuse(p *peer) { k.send(p.rec.Addr, k.packet(wire.Gossip, p)) }

// bury takes a member's end.
func (k *Core) bury(p *peer, s wire.Status, age time.Duration, why, by string) {
	if p.status >= s {
		return
	}
	was := p.there()
	p.status, p.since, p.by, p.accusers, p.first = s, k.now-min(age, k.c.Forget), by, nil, false
	if was {
		k.leave(p)
	}
	what := "died"
	if s == wire.Left {
		what = "left"
	} else {
		k.counts.Deaths++
	}
	k.change(p.rec.Name, p.inc, what, why, by)
	k.tell(p.rec.Name, false)
}

// accused answers what somebody holds of this process.
func (k *Core) accused(c wire.Claim, by string) {
	if k.left || k.displaced || c.Inc < k.self.Inc || c.Inc == k.self.Inc && c.Status == wire.Alive {
		return
	}
	if c.Inc-k.self.Inc > jump {
		k.counts.Lies++
		return
	}
	k.self.Inc = c.Inc
	if c.Status == wire.Alive { // a number that it has not taken itself: it is not gone back behind
		return
	}
	k.self.Inc++
	k.counts.Refutations++
	k.health = min(k.health+1, worstHealth)
	k.change(k.self.Name, k.self.Inc, "refuted", "held for "+c.Status.String(), by)
	k.reword()
	k.tell(k.self.Name, false)
}

// aboutSelf takes a record that goes by this process's name.
func (k *Core) aboutSelf(r *wire.Record, c *wire.Claim, by string) {
	if r.Life == k.self.Life {
		if c != nil {
			k.accused(*c, by)
		}
		return
	}
	if k.left || k.displaced {
		return
	}
	inc := r.Inc
	gone := false
	if c != nil && c.Life == r.Life {
		inc, gone = max(inc, c.Inc), c.Status >= wire.Dead
	}
	if inc < k.self.Inc || inc == k.self.Inc && r.Life < k.self.Life {
		return
	}
	if inc-k.self.Inc > jump<<20 {
		k.counts.Lies++
		return
	}
	if r.Addr == k.self.Addr || gone {
		k.outbid(inc, "an earlier life of this name", by)
		return
	}
	if k.contest == nil {
		k.contest = &contest{rec: r, wait: contestEvery, next: k.now}
	}
	if k.contest.rec.Life == r.Life {
		k.contest.inc = max(k.contest.inc, inc)
	} else if inc > k.contest.inc {
		k.contest.rec, k.contest.inc, k.contest.tries, k.contest.next = r, inc, 0, k.now
	}
}

// outbid takes an incarnation above that of another life of the name.
func (k *Core) outbid(inc uint64, why, by string) {
	k.self.Inc = inc + 1
	k.contest, k.displaced = nil, false
	k.change(k.self.Name, k.self.Inc, "renamed", why, by)
	k.counts.Renamed++
	k.reword()
	k.tell(k.self.Name, true)
}

// rival says that a process which goes by this one's name has just been heard.
func (k *Core) rival(from wire.Ident, addr string) {
	if addr == k.self.Addr || k.left {
		return
	}
	k.conflict(k.self.Name, k.self.Addr, addr)
	lower := k.self.Inc < from.Inc || k.self.Inc == from.Inc && k.self.Life < from.Life
	if t := k.contest; t != nil && t.rec.Life == from.Life {
		t.tries, t.seq = 0, 0
		t.next = k.now + k.part(float64(t.wait))
		t.inc = max(t.inc, from.Inc)
		if lower && !k.displaced {
			k.displaced = true
			k.change(k.self.Name, k.self.Inc, "displaced", "a living process goes by this name at "+addr, from.Name)
			for _, p := range slices.Clone(k.list) { // it has no view of its own any more
				k.forget(p)
			}
			k.changes = slices.DeleteFunc(k.changes, func(c Change) bool { return c.What == "forgotten" })
			k.news, k.byName = nil, [2]map[string]*news{{}, {}}
		}
	}
}
