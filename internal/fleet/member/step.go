package member

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"swiftdeal/internal/fleet/wire"
)

// What the node does by itself as time passes: probes, suspicions that run out, tries to reach who is not there, news and
// comparisons of views.

// unit is how long an answer is waited for before the next step of a probe. A node that doubts itself waits longer.
func (k *Core) unit() time.Duration { return k.c.Period / 8 * time.Duration(1+k.health) }

// Step does what is due. It may be called at any time, and has to be by Wake.
func (k *Core) Step(now time.Duration) {
	k.now = max(k.now, now)
	k.slept()
	k.expire()
	if k.left {
		if k.now >= k.nextProbe { // its end is still passed on
			k.nextProbe = k.now + k.c.Period/2
			k.spread()
		}
		k.wake = k.nextProbe
		return
	}
	k.contested()
	if !k.displaced {
		k.probing()
		k.reach()
		if k.now >= k.nextSync {
			k.nextSync = k.now + k.part(float64(k.c.SyncEvery))
			if p := k.some(1, nil); len(p) > 0 {
				k.summaries(p[0], 0)
			}
		}
		if k.now >= k.nextDigest {
			k.nextDigest = k.now + k.part(max(float64(k.c.DigestLeast), float64(k.there)/4))
			if k.stale && k.there > 0 {
				k.reword()
				k.tell(k.self.Name, true)
			}
		}
	}
	k.plan()
}

// slept guards against a process that was stopped, or starved: the time in which it could not hear is no sign of others'
// deaths. What it waits for is put off by as much, and it doubts itself first.
func (k *Core) slept() {
	late := k.now - k.wake
	if k.wake == 0 || late <= k.c.Period/2 {
		return
	}
	k.counts.Slept++
	k.health = min(worstHealth, k.health+1+int(late/k.c.Period))
	if late > 2*k.c.Period {
		k.change(k.self.Name, k.self.Inc, "woke", "it had stood still for "+late.Round(time.Millisecond).String(), "")
	}
	for _, p := range k.list {
		p.until += late
	}
	for _, q := range k.probes {
		q.next += late
	}
	for _, e := range k.errands {
		e.until += late
	}
	if k.contest != nil {
		k.contest.next += late
	}
}

// expire ends what has lasted too long.
func (k *Core) expire() {
	for _, p := range slices.Clone(k.list) {
		switch {
		case p.status == wire.Suspect && k.now >= p.until:
			k.bury(p, wire.Dead, 0, "did not refute in time", k.self.Name)
		case !p.there() && k.now-p.since >= k.c.Forget:
			k.forget(p)
		}
	}
	k.conflicts = slices.DeleteFunc(k.conflicts, func(c Conflict) bool { return k.now-c.At >= k.periods(conflictFor) })
	var over []*errand
	k.errands = slices.DeleteFunc(k.errands, func(e *errand) bool {
		if k.now >= e.until {
			over = append(over, e)
		}
		return k.now >= e.until
	})
	for _, e := range over {
		if p := k.addrs[e.to]; p != nil {
			k.send(e.to, &wire.Packet{Kind: wire.Nack, Seq: e.theirs, From: k.self.Ident, To: p.rec.Name})
		}
	}
}

// plan sets when Step is to be called next.
func (k *Core) plan() {
	k.wake = k.now + k.c.Period
	at := func(t time.Duration) {
		if t < k.wake {
			k.wake = max(t, k.now)
		}
	}
	if k.contest != nil {
		at(k.contest.next)
	}
	if k.displaced {
		return
	}
	at(k.nextProbe)
	at(k.nextReach)
	at(k.nextSync)
	at(k.nextDigest)
	for _, q := range k.probes {
		at(q.next)
	}
	for _, e := range k.errands {
		at(e.until)
	}
	for _, p := range k.list {
		if p.status == wire.Suspect {
			at(p.until)
		}
	}
}

// probing goes on with the probes that are out, and starts the next.
func (k *Core) probing() {
	var failed []*probe
	for _, q := range k.probes {
		if k.now < q.next {
			continue
		}
		switch q.stage++; q.stage {
		case 1: // Guards against one lost datagram.
			q.next = k.now + k.unit()
			k.ask(q)
		case 2:
			q.next = k.now + 2*k.unit()
			for _, h := range k.some(k.helpers(q), q.p) {
				q.asked++
				req := k.packet(wire.PingReq, h)
				req.Seq, req.Target = q.seq, q.p.rec.Name
				k.send(h.rec.Addr, req)
			}
		default:
			failed = append(failed, q)
		}
	}
	k.probes = slices.DeleteFunc(k.probes, func(q *probe) bool { return slices.Contains(failed, q) })
	for _, q := range failed {
		k.counts.Failed++
		if q.nacks < q.asked { // helpers that are well would have said that they got no answer either
			k.health = min(k.health+1, worstHealth)
		}
		if q.p.life == q.life {
			k.suspect(q.p, k.self.Name, "no answer", true)
		}
	}
	if k.now < k.nextProbe {
		return
	}
	k.nextProbe = k.now + k.c.Period*time.Duration(1+k.health/2)
	if len(k.order) == 0 { // everybody once, in an order of this node's own; who comes later is put in anywhere
		for _, p := range k.list {
			if p.there() {
				k.order = append(k.order, p)
			}
		}
		k.rnd.Shuffle(len(k.order), func(i, j int) { k.order[i], k.order[j] = k.order[j], k.order[i] })
	}
	if n := len(k.order); n > 0 {
		p := k.order[n-1]
		k.order = k.order[:n-1]
		k.start(p, false)
	}
	again := 0
	for _, p := range k.list { // whoever accuses goes on asking until the end
		if p.status == wire.Suspect && p.first && again < 4 {
			again++
			k.start(p, true)
		}
	}
	k.spread()
}

// helpers is how many are asked to help with a probe: more where the member's life hangs on it.
func (k *Core) helpers(q *probe) int {
	if q.repeat {
		return 2 * k.c.Helpers
	}
	return k.c.Helpers
}

// start begins a probe, unless one of the same member is out.
func (k *Core) start(p *peer, repeat bool) {
	if slices.ContainsFunc(k.probes, func(q *probe) bool { return q.p == p }) {
		return
	}
	k.seq++
	k.counts.Probes++
	q := &probe{seq: k.seq, p: p, life: p.life, next: k.now + k.unit(), repeat: repeat || p.status == wire.Suspect}
	k.probes = append(k.probes, q)
	k.ask(q)
}

func (k *Core) ask(q *probe) {
	p := k.packet(wire.Ping, q.p)
	p.Seq = q.seq
	k.send(q.p.rec.Addr, p)
}

// spread passes news on to some members, if there is any.
func (k *Core) spread() {
	if len(k.news) == 0 {
		return
	}
	for _, p := range k.some(2, nil) {
		if g := k.packet(wire.Gossip, p); len(g.Claims)+len(g.Records) > 0 {
			k.send(p.rec.Addr, g)
		}
	}
}

// some draws up to n members that are there, other than one.
func (k *Core) some(n int, but *peer) (drawn []*peer) {
	var from []*peer
	for _, p := range k.list {
		if p.there() && p != but {
			from = append(from, p)
		}
	}
	for range min(n, len(from)) {
		i := k.rnd.IntN(len(from))
		drawn = append(drawn, from[i])
		from[i] = from[len(from)-1]
		from = from[:len(from)-1]
	}
	return drawn
}

// reach tries those who are not there: seeds that no living member has, and members held for dead, who may be on the other
// side of a cut. It never ends, and never asks more than one in two periods once anybody is known.
func (k *Core) reach() {
	if k.now < k.nextReach {
		return
	}
	var to []string
	for _, s := range k.seeds {
		if k.addrs[s] == nil {
			to = append(to, s)
		}
	}
	for _, p := range k.list {
		if p.status == wire.Dead && k.addrs[p.rec.Addr] == nil && p.rec.Addr != k.self.Addr {
			to = append(to, p.rec.Addr)
		}
	}
	most := 1
	k.nextReach = k.now + k.c.Period*oddsLeast + time.Duration(k.rnd.Float64()*float64(k.c.Period)*(oddsMost-oddsLeast))
	if k.there == 0 {
		most, k.nextReach = 3, k.now+k.part(1)
	}
	for range min(most, len(to)) {
		i := k.rnd.IntN(len(to))
		k.hello(to[i], nil)
		to = slices.Delete(to, i, i+1)
	}
}

// hello makes the node known at an address.
func (k *Core) hello(addr string, token []byte) {
	if len(k.asked) > mostAsked {
		clear(k.asked)
	}
	k.seq++
	k.asked[addr] = k.seq
	k.send(addr, &wire.Packet{Kind: wire.Hello, Seq: k.seq, From: k.self.Ident, Token: token, Records: []cbor.RawMessage{k.raw}})
}

// token is what shows that an address is the sender's own.
func (k *Core) token(addr string, back int64) []byte {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], k.secret[0])
	binary.LittleEndian.PutUint64(b[8:], k.secret[1])
	h := hmac.New(sha256.New, b[:])
	binary.LittleEndian.PutUint64(b[:], uint64(int64(k.now/k.periods(tokenFor))-back))
	h.Write(b[:8])
	h.Write([]byte(addr))
	return h.Sum(nil)[:8]
}

// contested looks whether another living process goes by this one's name.
func (k *Core) contested() {
	t := k.contest
	if t == nil || k.now < t.next {
		return
	}
	if t.tries >= contestTries<<min(k.contests, 6) {
		k.contests++ // Guards against two that do not reach one another and outbid one another for ever.
		k.outbid(max(t.inc, k.self.Inc), "the other process of this name does not answer", k.self.Name)
		k.nextReach = k.now
		return
	}
	k.seq++
	t.tries++
	t.seq, t.next = k.seq, k.now+k.c.Period
	k.send(t.rec.Addr, &wire.Packet{Kind: wire.Ping, Seq: t.seq, From: k.self.Ident, To: k.self.Name})
}

// packet begins a datagram to a member: what it is accused of goes first, then news as far as there is room.
func (k *Core) packet(kind wire.Kind, to *peer) *wire.Packet {
	p := &wire.Packet{Kind: kind, From: k.self.Ident, To: to.rec.Name}
	room := wire.MostBytes - reserve
	if to.status == wire.Suspect || to.status == wire.Dead {
		p.Claims = append(p.Claims, k.claimOn(to))
		room -= claimBytes(&p.Claims[0])
	}
	k.fill(p, room, to.rec.Name)
	return p
}

// claimBytes is the most that a claim takes.
func claimBytes(c *wire.Claim) int { return len(c.Name) + len(c.By) + 40 }

// claimOn is what is held of a member's life.
func (k *Core) claimOn(p *peer) wire.Claim {
	c := wire.Claim{Ident: wire.Ident{Name: p.rec.Name, Life: p.life, Inc: p.inc}, Status: p.status, By: p.by}
	if !p.there() {
		c.AgeMs = uint32(min(int64((k.now-p.since)/time.Millisecond), math.MaxUint32))
	}
	return c
}

// fill adds news to a datagram: what has been passed on least, first.
func (k *Core) fill(p *wire.Packet, room int, to string) {
	if len(k.news) == 0 {
		return
	}
	slices.SortStableFunc(k.news, func(a, b *news) int { return cmp.Compare(a.sent, b.sent) })
	limit := int(math.Ceil(k.c.Repeats * k.log2()))
	gone := false
	for _, n := range k.news {
		if n.name == to { // it knows, or has been told above
			continue
		}
		var claim *wire.Claim
		var raw []byte
		if n.name == k.self.Name {
			raw = k.raw
			if !n.own {
				claim = k.claimOnSelf()
			}
		} else {
			h := k.peers[n.name]
			raw = h.raw
			if !n.own || h.status != wire.Alive || h.inc > h.rec.Inc {
				c := k.claimOn(h)
				claim = &c
			}
		}
		size := 0
		if claim != nil {
			size += claimBytes(claim)
		}
		if n.own {
			size += len(raw) + 3
		}
		if size > room {
			if room < 60 {
				break
			}
			continue
		}
		room -= size
		if n.own {
			p.Records = append(p.Records, raw)
		}
		if claim != nil {
			p.Claims = append(p.Claims, *claim)
		}
		if n.sent++; n.sent >= limit {
			gone = true
			delete(k.byName[which(n.own)], n.name)
		}
	}
	if gone {
		k.news = slices.DeleteFunc(k.news, func(n *news) bool { return n.sent >= limit })
	}
}

func (k *Core) claimOnSelf() *wire.Claim {
	c := wire.Claim{Ident: k.self.Ident}
	if k.left {
		c.Status = wire.Left
	}
	return &c
}

func which(own bool) int {
	if own {
		return 1
	}
	return 0
}

func (k *Core) send(to string, p *wire.Packet) { k.out = append(k.out, Send{to, p}) }
