package member

import (
	"crypto/hmac"
	"math"
	"slices"
	"time"

	"swiftdeal/internal/fleet/wire"
)

// What comes from others.

// Take takes a datagram that has come from an address.
func (k *Core) Take(now time.Duration, from string, p *wire.Packet) {
	k.now = max(k.now, now)
	k.take(from, p)
	if !k.left {
		k.plan()
	}
}

func (k *Core) take(from string, p *wire.Packet) {
	if p.From.Name == k.self.Name {
		k.namesake(from, p)
		return
	}
	if k.displaced || k.left {
		return
	}
	switch p.Kind {
	case wire.Hello:
		k.greeted(from, p)
		return
	case wire.Challenge, wire.Welcome:
		if seq, ok := k.asked[from]; !ok || seq != p.Seq {
			k.counts.Strangers++
			return
		}
		if delete(k.asked, from); p.Kind == wire.Challenge {
			k.hello(from, p.Token)
			return
		}
		k.welcomed(from, p)
		return
	}
	s := k.peers[p.From.Name]
	if s == nil || s.rec.Addr != from || s.life != p.From.Life {
		k.stranger(from, p, s)
		return
	}
	s.heard = k.now
	if p.From.Inc > s.inc && p.From.Inc-s.inc <= jump {
		k.raise(s, p.From.Inc, "heard from itself", s.rec.Name)
		k.tell(s.rec.Name, false)
	} else if s.status == wire.Dead { // it has to know, to refute
		k.accuse(s)
	}
	if p.To != k.self.Name { // it was meant for another process at this address
		return
	}
	k.learn(p, s.rec.Name)
	switch p.Kind {
	case wire.Ping:
		a := k.packet(wire.Ack, s)
		a.Seq = p.Seq
		k.send(from, a)
	case wire.Ack:
		k.acked(s, p)
	case wire.Nack:
		if i := k.out1(p.Seq); i >= 0 {
			k.probes[i].nacks++
		}
	case wire.PingReq:
		k.help(from, p)
	case wire.Summary:
		k.compare(s, p)
	case wire.Want:
		k.tellAll(s, p.Want, 0)
	case wire.Tell:
		if p.Lo != 0 { // there is more
			k.summaries(s, p.Lo)
		}
	}
}

// learn takes the news in a datagram.
func (k *Core) learn(p *wire.Packet, by string) {
	on := func(name string, life uint64) *wire.Claim {
		for i := range p.Claims {
			if c := &p.Claims[i]; c.Name == name && c.Life == life {
				return c
			}
		}
		return nil
	}
	for _, raw := range p.Records {
		var c *wire.Claim
		if r, err := wire.DecodeRecord(raw); err == nil {
			c = on(r.Name, r.Life)
		}
		k.record(raw, by, c)
	}
	for _, c := range p.Claims {
		k.claim(c, by)
	}
}

// stranger answers one who is not known, or not as this: no more than what it takes to become known.
func (k *Core) stranger(from string, p *wire.Packet, held *peer) {
	k.counts.Strangers++
	switch {
	case held != nil && held.rec.Addr == from && (p.From.Inc < held.inc || p.From.Inc == held.inc && p.From.Life < held.life):
		// Another life at the same address, as after a restart: it learns what is held of its name, and outbids that.
		k.send(from, k.about(held))
	case p.Kind == wire.Ping && p.To == k.self.Name:
		k.send(from, &wire.Packet{Kind: wire.Ack, Seq: p.Seq, From: k.self.Ident, To: p.From.Name, Stranger: true})
	}
}

// about tells a process what is held of its name. It is sent where the address is the one that the member had.
func (k *Core) about(p *peer) *wire.Packet {
	t := &wire.Packet{Kind: wire.Tell, From: k.self.Ident, To: p.rec.Name, Claims: []wire.Claim{k.claimOn(p)}}
	t.Records = append(t.Records, p.raw)
	return t
}

// namesake takes what comes from a process that goes by this one's name.
func (k *Core) namesake(from string, p *wire.Packet) {
	if p.From.Life == k.self.Life || from == k.self.Addr { // its own words, come back
		return
	}
	switch p.Kind {
	case wire.Ping:
		k.rival(p.From, from)
		k.send(from, &wire.Packet{Kind: wire.Ack, Seq: p.Seq, From: k.self.Ident, To: p.From.Name})
	case wire.Ack:
		if t := k.contest; t != nil && t.seq == p.Seq && t.rec.Addr == from {
			k.rival(p.From, from)
		}
	case wire.Hello: // it wants in, under a name that is taken: it learns by whom
		if hmac.Equal(p.Token, k.token(from, 0)) || hmac.Equal(p.Token, k.token(from, 1)) {
			k.send(from, k.welcome(p.Seq, p.From.Name))
			return
		}
		k.challenge(from, p.Seq, p.From.Name)
	case wire.Challenge:
		if seq, ok := k.asked[from]; ok && seq == p.Seq {
			delete(k.asked, from)
			k.hello(from, p.Token)
		}
	case wire.Welcome:
		if seq, ok := k.asked[from]; ok && seq == p.Seq {
			delete(k.asked, from)
			k.learn(p, p.From.Name)
		}
	}
}

func (k *Core) challenge(to string, seq uint64, name string) {
	k.send(to, &wire.Packet{Kind: wire.Challenge, Seq: seq, From: k.self.Ident, To: name, Token: k.token(to, 0)})
}

func (k *Core) welcome(seq uint64, name string) *wire.Packet {
	p := &wire.Packet{Kind: wire.Welcome, Seq: seq, From: k.self.Ident, To: name}
	p.Records = append(p.Records, k.raw)
	return p
}

// greeted takes a node's wish to be known.
func (k *Core) greeted(from string, p *wire.Packet) {
	if !hmac.Equal(p.Token, k.token(from, 0)) && !hmac.Equal(p.Token, k.token(from, 1)) {
		k.challenge(from, p.Seq, p.From.Name)
		return
	}
	if len(p.Records) != 1 {
		k.counts.Refused++
		return
	}
	r, err := wire.DecodeRecord(p.Records[0])
	if err != nil || r.Ident != p.From || r.Addr != from {
		k.counts.Refused++ // Guards against one who would have others write to an address that is not its own.
		return
	}
	k.record(p.Records[0], r.Name, nil)
	w := k.welcome(p.Seq, r.Name)
	if s := k.peers[r.Name]; s != nil && (s.life != r.Life || s.inc > r.Inc || s.status != wire.Alive) {
		w.Claims = append(w.Claims, k.claimOn(s))
		if s.life != r.Life {
			w.Records = append(w.Records, s.raw)
		}
	} else if s != nil {
		s.heard = k.now
	}
	k.send(from, w)
}

// welcomed takes the answer of one whom this node wanted to know.
func (k *Core) welcomed(from string, p *wire.Packet) {
	k.learn(p, p.From.Name)
	s := k.peers[p.From.Name]
	if s == nil || s.rec.Addr != from {
		return
	}
	if s.life != p.From.Life || s.status == wire.Dead {
		k.send(from, k.about(s))
		if s.life != p.From.Life {
			return
		}
	}
	s.heard = k.now
	k.summaries(s, 0)
}

// out1 finds a probe by its number.
func (k *Core) out1(seq uint64) int {
	return slices.IndexFunc(k.probes, func(q *probe) bool { return q.seq == seq })
}

// acked takes an answer to a probe: the member's own, or a helper's word.
func (k *Core) acked(s *peer, p *wire.Packet) {
	if p.Stranger { // it does not know this node
		k.hello(s.rec.Addr, nil)
	}
	if i := slices.IndexFunc(k.errands, func(e *errand) bool { return e.seq == p.Seq && e.of == s.rec.Name }); i >= 0 {
		e := k.errands[i]
		k.errands = slices.Delete(k.errands, i, i+1)
		if o := k.addrs[e.to]; o != nil {
			of := p.From
			a := k.packet(wire.Ack, o)
			a.Seq, a.Of = e.theirs, &of
			k.send(e.to, a)
		}
		return
	}
	i := k.out1(p.Seq)
	if i < 0 {
		return
	}
	q, who := k.probes[i], p.From
	if p.Of != nil {
		who = *p.Of
	}
	if q.p.rec.Name != who.Name {
		return
	}
	k.probes = slices.Delete(k.probes, i, i+1)
	if who.Life != q.p.life {
		return
	}
	if who.Inc > q.p.inc && who.Inc-q.p.inc <= jump {
		k.raise(q.p, who.Inc, "it answers", s.rec.Name)
		k.tell(who.Name, false)
	}
	if k.health > 0 {
		k.health--
	}
}

// help probes a member for another one.
func (k *Core) help(from string, p *wire.Packet) {
	t := k.peers[p.Target]
	if t == nil || !t.there() || len(k.errands) >= mostErrands {
		return
	}
	k.seq++
	k.errands = append(k.errands, &errand{seq: k.seq, theirs: p.Seq, to: from, until: k.now + k.unit(), of: p.Target})
	q := k.packet(wire.Ping, t)
	q.Seq = k.seq
	k.send(t.rec.Addr, q)
}

// summaries sends a member what is held, from one hash on.
func (k *Core) summaries(to *peer, lo uint64) {
	if k.now-k.lastSync < k.c.Period/2 && lo == 0 {
		return
	}
	if lo == 0 {
		k.lastSync = k.now
		k.counts.Syncs++
	}
	var page []wire.Entry
	flush := func(hi uint64) {
		k.send(to.rec.Addr, &wire.Packet{Kind: wire.Summary, From: k.self.Ident, To: to.rec.Name, Lo: lo, Hi: hi, Sum: page})
		lo, page = hi+1, nil
	}
	self := wire.Entry{Hash: k.hash, Life: k.self.Life, Inc: k.self.Inc, Seq: k.self.Seq}
	put := func(e wire.Entry) {
		if e.Hash < lo {
			return
		}
		if len(page) >= mostPage && page[len(page)-1].Hash != e.Hash {
			flush(page[len(page)-1].Hash)
		}
		page = append(page, e)
	}
	done := false
	for _, p := range k.list {
		if !done && p.hash > k.hash {
			put(self)
			done = true
		}
		put(wire.Entry{Hash: p.hash, Life: p.life, Inc: p.inc, Seq: p.rec.Seq, Status: p.status})
	}
	if !done {
		put(self)
	}
	flush(math.MaxUint64)
}

// compare answers a summary: with what the other one lacks, and with a wish for what is lacking here.
func (k *Core) compare(s *peer, p *wire.Packet) {
	if p.Lo > p.Hi || len(p.Sum) > 4*mostPage {
		k.counts.Refused++
		return
	}
	theirs := map[uint64]wire.Entry{}
	for _, e := range p.Sum {
		if theirs[e.Hash] = e; e.Hash == k.hash && e.Life == k.self.Life && e.Inc > k.self.Inc {
			k.accused(wire.Claim{Ident: wire.Ident{Name: k.self.Name, Life: k.self.Life, Inc: e.Inc}, Status: e.Status}, s.rec.Name)
		}
	}
	var newer, want []uint64
	look := func(mine wire.Entry) {
		if mine.Hash < p.Lo || mine.Hash > p.Hi {
			return
		}
		e, ok := theirs[mine.Hash]
		delete(theirs, mine.Hash)
		if !ok {
			newer = append(newer, mine.Hash)
			return
		}
		if before(e, mine) {
			newer = append(newer, mine.Hash)
		}
		if before(mine, e) && (mine.Hash != k.hash || mine.Life != e.Life) {
			want = append(want, mine.Hash)
		}
	}
	look(wire.Entry{Hash: k.hash, Life: k.self.Life, Inc: k.self.Inc, Seq: k.self.Seq})
	for _, h := range k.list {
		look(wire.Entry{Hash: h.hash, Life: h.life, Inc: h.inc, Seq: h.rec.Seq, Status: h.status})
	}
	for _, e := range p.Sum { // in the order in which they came
		if _, ok := theirs[e.Hash]; ok && e.Hash != k.hash {
			want = append(want, e.Hash)
		}
	}
	if len(want) > 0 {
		k.send(s.rec.Addr, &wire.Packet{Kind: wire.Want, From: k.self.Ident, To: s.rec.Name, Want: want[:min(len(want), 120)]})
	}
	slices.Sort(newer)
	k.tellAll(s, newer, p.Hi)
}

// before reports whether b holds something newer than a.
func before(a, b wire.Entry) bool {
	switch {
	case a.Life != b.Life:
		return b.Inc > a.Inc || b.Inc == a.Inc && b.Life > a.Life
	case b.Inc != a.Inc:
		return b.Inc > a.Inc || b.Seq > a.Seq
	}
	return b.Status > a.Status || b.Seq > a.Seq
}

// tellAll sends a member records and claims, by hashes. How much goes out in a period is bounded: where that does not do,
// the last datagram says from where to go on.
func (k *Core) tellAll(to *peer, hashes []uint64, hi uint64) {
	if k.now-k.toldAt >= k.c.Period {
		k.toldAt, k.told = k.now, 0
	}
	room := 0
	var t *wire.Packet
	flush := func() {
		if t != nil {
			k.send(to.rec.Addr, t)
		}
		t = nil
	}
	sent := 0
	put := func(raw []byte, c wire.Claim) bool {
		size := len(raw) + 3 + claimBytes(&c)
		if t != nil && size > room {
			flush()
		}
		if t == nil {
			if sent >= mostTell || k.told >= mostTold {
				return false
			}
			sent++
			k.told++
			t, room = &wire.Packet{Kind: wire.Tell, From: k.self.Ident, To: to.rec.Name}, wire.MostBytes-reserve
		}
		room -= size
		t.Records, t.Claims = append(t.Records, raw), append(t.Claims, c)
		return true
	}
	for _, h := range hashes {
		if h == k.hash {
			if !put(k.raw, *k.claimOnSelf()) {
				break
			}
		}
		i, _ := slices.BinarySearchFunc(k.list, h, func(p *peer, h uint64) int {
			if p.hash < h {
				return -1
			} else if p.hash > h {
				return 1
			}
			return 0
		})
		for ; i < len(k.list) && k.list[i].hash == h; i++ {
			if p := k.list[i]; p != to && !put(p.raw, k.claimOn(p)) {
				if hi != 0 && k.told < mostTold {
					k.send(to.rec.Addr, &wire.Packet{Kind: wire.Tell, From: k.self.Ident, To: to.rec.Name, Lo: h})
				}
				return
			}
		}
	}
	flush()
}
