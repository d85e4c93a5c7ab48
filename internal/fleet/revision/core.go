package revision

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/fleet/wire"
)

// Config is what a Core is told at its start.
type Config struct {
	Name   string
	Period time.Duration // the view's
}

// Do is what the node has to do.
type Do uint8

// Things to do.
const (
	Send  Do = 1 + iota // Body to the node To
	Apply               // put Rev into effect, whole or not at all, and say so with Applied
	Say                 // Text to the log
)

// Action is something for the host to do, in order.
type Action struct {
	Do   Do
	To   string
	Body []byte
	Rev  *Revision
	Text string
}

// Operations of messages between nodes.
const (
	tell = 1 + iota // what the sender holds
	get             // parts of a body that the sender lacks
	part            // one of them
)

// message is what nodes say to one another.
type message struct {
	Op    uint8    `cbor:"1,keyasint"`
	ID    ID       `cbor:"2,keyasint,omitempty"`
	Sum   []byte   `cbor:"3,keyasint,omitempty"`
	Size  uint32   `cbor:"4,keyasint,omitempty"`
	Parts []uint32 `cbor:"5,keyasint,omitempty"` // of get: which
	Part  uint32   `cbor:"6,keyasint,omitempty"`
	Body  []byte   `cbor:"7,keyasint,omitempty"`
	Fresh bool     `cbor:"8,keyasint,omitempty"` // of tell: the sender has heard nobody yet, and wants an answer in any case
}

// Bounds and paces.
const (
	partBytes   = wire.MostBody - 80
	window      = 8   // parts asked for at once
	mostSources = 8   // remembered for one fetch
	mostFetches = 4   // of bodies at once
	mostStaged  = 4   // bodies that wait for the council's word
	stagedFor   = 40  // periods
	stuckFor    = 10  // periods without a part after which a fetch is given up
	mostServed  = 128 // parts sent in a period, to all
	freshTells  = 4   // members told at once of a revision that is new here
	hotRounds   = 5   // further rounds of telling after that, a fifth of a period apart
	hotTells    = 2   // members told in each
)

// fetch is a body that is being fetched.
type fetch struct {
	head    Head
	held    bool // it is to be held: a revision; else it is a body for the council to decide on
	buf     []byte
	have    []bool
	left    int
	sources []string
	givers  []string // whose parts are in buf
	turn    int
	upto    int           // the last part asked for
	next    time.Duration // when who was asked last is given up
	until   time.Duration // when it is given up, unless a part comes
}

// staged is a body that has no ID yet.
type staged struct {
	sum   Sum
	body  []byte
	until time.Duration
}

// Counts are totals since the start.
type Counts struct {
	Tells, Gets, Parts, Served, Fetched, Damaged, Conflicts int64
}

// Core is one node's part in spreading revisions. It is not safe for use by several goroutines.
type Core struct {
	c    Config
	rnd  *rand.Rand
	now  time.Duration
	wake time.Duration

	held    *Revision // the latest that is whole here
	head    Head      // its
	force   ID        // the one in force; none: the node's file alone
	refused ID        // the latest that could not be put into effect
	why     string
	heard   bool // another member has said what it holds

	fetches []*fetch
	staged  []staged
	hot     int
	fresh   int
	nextSay time.Duration
	served  int
	refill  time.Duration
	acts    []Action
	counts  Counts
}

// New returns a node's part in spreading revisions. It holds none.
func New(c Config, rnd *rand.Rand, now time.Duration) *Core {
	if c.Period == 0 {
		c.Period = time.Second
	}
	k := &Core{c: c, rnd: rnd, now: now, nextSay: now, refill: now}
	k.plan()
	return k
}

// Out takes what is to be done.
func (k *Core) Out() []Action {
	a := k.acts
	k.acts = nil
	return a
}

// Wake is when Step wants to be called at the latest.
func (k *Core) Wake() time.Duration { return k.wake }

// Held is the latest revision that is whole here; nil: none.
func (k *Core) Held() *Revision { return k.held }

// InForce is the revision that is in force here; none: the node's file alone.
func (k *Core) InForce() ID { return k.force }

// Refused is the latest revision that this node could not put into effect while none later has been, and why.
func (k *Core) Refused() (ID, string) { return k.refused, k.why }

// Heard reports whether another member has said what it holds, since the start.
func (k *Core) Heard() bool { return k.heard }

// Counts returns totals.
func (k *Core) Counts() Counts { return k.counts }

// Sizes tells how much is held, for checks of the bounds.
func (k *Core) Sizes() (fetches, staged, bytes int) {
	for _, f := range k.fetches {
		bytes += len(f.buf)
	}
	for _, s := range k.staged {
		bytes += len(s.body)
	}
	if k.held != nil {
		bytes += len(k.held.Body)
	}
	return len(k.fetches), len(k.staged), bytes
}

// Committed takes the council's current revision at one of its seats.
func (k *Core) Committed(now time.Duration, r *Revision) {
	k.now = max(k.now, now)
	if r != nil {
		k.hold(r)
	}
	k.plan()
}

// Applied takes what has become of an Apply: why is empty where the revision is in force.
func (k *Core) Applied(now time.Duration, id ID, why string) {
	k.now = max(k.now, now)
	switch {
	case why != "":
		if id.Compare(k.refused) >= 0 && id.Compare(k.force) > 0 { // guards against a late word on an earlier one
			k.refused, k.why = id, why
		}
	case id.Compare(k.force) > 0: // guards against a late word on an earlier one
		k.force = id
		if k.refused.Compare(id) <= 0 {
			k.refused, k.why = ID{}, ""
		}
	}
}

// Stage keeps a body that the council is asked to decide on, for its leader to fetch.
func (k *Core) Stage(now time.Duration, body []byte) Sum {
	k.now = max(k.now, now)
	sum := SumOf(body)
	k.staged = slices.DeleteFunc(k.staged, func(s staged) bool { return s.sum == sum })
	if len(k.staged) >= mostStaged {
		k.staged = k.staged[1:]
	}
	k.staged = append(k.staged, staged{sum, body, k.now + stagedFor*k.c.Period})
	return sum
}

// Body returns a body by its sum, if it is here.
func (k *Core) Body(sum Sum) []byte {
	if k.held != nil && k.head.Sum == sum {
		return k.held.Body
	}
	for _, s := range k.staged {
		if s.sum == sum {
			return s.body
		}
	}
	return nil
}

// Fetch has a body fetched from the node that has staged it.
func (k *Core) Fetch(now time.Duration, sum Sum, size int, from string) {
	k.now = max(k.now, now)
	if size <= 0 || size > MostBody || k.Body(sum) != nil || from == k.c.Name {
		return
	}
	k.want(Head{Sum: sum, Size: size}, false, from)
	k.plan()
}

// Step does what is due. peers draws up to n other members that are there.
func (k *Core) Step(now time.Duration, peers func(n int) []string) {
	k.now = max(k.now, now)
	if k.now >= k.refill {
		k.refill, k.served = k.now+k.c.Period, 0
	}
	k.staged = slices.DeleteFunc(k.staged, func(s staged) bool { return k.now >= s.until })
	// Guards against a revision that went with the only node that had it: it would keep this one from any earlier one, which may be
	// all that a later group of the council knows. Whoever has it tells again.
	k.fetches = slices.DeleteFunc(k.fetches, func(f *fetch) bool { return k.now >= f.until })
	for _, f := range k.fetches {
		if k.now >= f.next {
			k.ask(f, true)
		}
	}
	if k.now >= k.nextSay || k.fresh > 0 {
		n := 1
		switch {
		case k.fresh > 0:
			n, k.fresh = k.fresh, 0
			k.nextSay = k.now + k.c.Period/5
		case k.hot > 0:
			n = hotTells
			k.hot--
			k.nextSay = k.now + k.c.Period/5
		default:
			k.nextSay = k.now + time.Duration(float64(k.c.Period)*(0.9+0.2*k.rnd.Float64()))
		}
		for _, to := range peers(n) {
			k.tell(to, !k.heard)
		}
	}
	k.plan()
}

// plan says when Step is due.
func (k *Core) plan() {
	k.wake = k.nextSay
	if k.fresh > 0 {
		k.wake = k.now
	}
	for _, f := range k.fetches {
		k.wake = min(k.wake, f.next)
	}
	k.wake = max(k.wake, k.now)
}

func (k *Core) send(to string, m message) {
	k.acts = append(k.acts, Action{Do: Send, To: to, Body: wire.Word(m)})
}

// tell says to a member what is held here.
func (k *Core) tell(to string, fresh bool) {
	k.counts.Tells++
	m := message{Op: tell, ID: k.head.ID, Size: uint32(k.head.Size), Fresh: fresh}
	if k.held != nil {
		m.Sum = k.head.Sum[:]
	}
	k.send(to, m)
}

// Take takes what another member's part has sent. What makes no sense is left alone.
func (k *Core) Take(now time.Duration, from string, body []byte) {
	k.now = max(k.now, now)
	var m message
	if wire.Read(body, &m) != nil || len(m.Sum) != len(Sum{}) && !(m.Op == tell && m.ID.None()) {
		return
	}
	var sum Sum
	copy(sum[:], m.Sum)
	switch m.Op {
	case tell:
		k.told(from, Head{m.ID, sum, int(m.Size)}, m.Fresh)
	case get:
		k.serve(from, sum, m.Parts)
	case part:
		k.took(from, sum, int(m.Part), m.Body)
	}
	k.plan()
}

// told takes what another member holds.
func (k *Core) told(from string, h Head, fresh bool) {
	k.heard = true
	switch c := h.ID.Compare(k.head.ID); {
	case c < 0 || c == 0 && fresh:
		k.tell(from, false) // it lags, or cannot know that it does not
	case c == 0 && h.Sum != k.head.Sum:
		k.counts.Conflicts++
		k.acts = append(k.acts, Action{Do: Say, Text: fmt.Sprintf("%s holds another revision %v than this node", from, h.ID)})
	case c > 0 && h.Size > 0 && h.Size <= MostBody:
		k.want(h, true, from)
	}
}

// want has a body fetched, or notes one more node to have it from.
func (k *Core) want(h Head, held bool, from string) {
	for _, f := range k.fetches {
		if f.head == h && f.held == held {
			if !slices.Contains(f.sources, from) {
				if len(f.sources) >= mostSources { // the first ones may have gone
					f.sources = f.sources[1:]
				}
				f.sources = append(f.sources, from)
			}
			return
		}
	}
	if held { // an earlier one is wanted no more
		for _, f := range k.fetches {
			if f.held && f.head.ID.Compare(h.ID) >= 0 {
				return
			}
		}
		k.fetches = slices.DeleteFunc(k.fetches, func(f *fetch) bool { return f.held })
	}
	// Bodies alone leave room for the revision, of which there is one at most.
	if !held && len(k.fetches)-k.heldFetches() >= mostFetches-1 {
		return
	}
	n := (h.Size + partBytes - 1) / partBytes
	f := &fetch{head: h, held: held, buf: make([]byte, h.Size), have: make([]bool, n), left: n, sources: []string{from}, until: k.now + stuckFor*k.c.Period}
	k.fetches = append(k.fetches, f)
	k.ask(f, false)
}

func (k *Core) heldFetches() (n int) {
	for _, f := range k.fetches {
		if f.held {
			n++
		}
	}
	return n
}

// ask asks one of those who have a body for parts that are lacking; another one than last time where that one has not answered.
func (k *Core) ask(f *fetch, another bool) {
	if n := len(f.sources); another && n > 1 {
		f.turn = (f.turn%n + 1 + k.rnd.IntN(n-1)) % n
	}
	k.counts.Gets++
	var list []uint32
	for i, have := range f.have {
		if !have && len(list) < window {
			list = append(list, uint32(i))
			f.upto = i
		}
	}
	f.next = k.now + k.c.Period/4
	k.send(f.sources[f.turn%len(f.sources)], message{Op: get, Sum: f.head.Sum[:], Parts: list})
}

// serve sends parts of a body.
func (k *Core) serve(to string, sum Sum, parts []uint32) {
	body := k.Body(sum)
	if body == nil {
		return
	}
	for _, i := range parts[:min(len(parts), window)] {
		lo := int(i) * partBytes
		if lo >= len(body) {
			return
		}
		if k.served >= mostServed { // guards against a node that all ask at once: they turn to others
			return
		}
		k.served++
		k.counts.Served++
		k.send(to, message{Op: part, Sum: sum[:], Part: i, Body: body[lo:min(lo+partBytes, len(body))]})
	}
}

// took takes a part of a body.
func (k *Core) took(from string, sum Sum, i int, b []byte) {
	n := slices.IndexFunc(k.fetches, func(f *fetch) bool { return f.head.Sum == sum && slices.Contains(f.sources, from) })
	if n < 0 {
		return
	}
	f := k.fetches[n]
	if i >= len(f.have) || f.have[i] || len(b) != min(partBytes, len(f.buf)-i*partBytes) {
		return
	}
	k.counts.Parts++
	copy(f.buf[i*partBytes:], b)
	if !slices.Contains(f.givers, from) {
		f.givers = append(f.givers, from)
	}
	f.have[i] = true
	f.left--
	f.until = k.now + stuckFor*k.c.Period
	if f.left > 0 {
		if slices.Index(f.have, false) > f.upto { // all that was asked for has come
			k.ask(f, false)
		}
		return
	}
	if SumOf(f.buf) != sum {
		// Guards against a member whose memory or program is faulty: it is asked no more for this body. Where parts are of several
		// members nobody knows whose is wrong: it is fetched anew, from one as long as that one answers.
		k.counts.Damaged++
		clear(f.have)
		f.left = len(f.have)
		if len(f.givers) == 1 {
			f.sources = slices.DeleteFunc(f.sources, func(s string) bool { return s == from })
		}
		f.givers = nil
		if len(f.sources) == 0 {
			k.fetches = slices.Delete(k.fetches, n, n+1)
			return
		}
		k.ask(f, true)
		return
	}
	k.fetches = slices.Delete(k.fetches, n, n+1)
	k.counts.Fetched++
	if f.held {
		k.hold(&Revision{f.head.ID, f.buf})
		return
	}
	k.Stage(k.now, f.buf)
}

// hold takes a whole revision, if it is later than the one held.
func (k *Core) hold(r *Revision) {
	if r.ID.Compare(k.head.ID) <= 0 {
		return
	}
	k.held, k.head = r, r.Head()
	k.fetches = slices.DeleteFunc(k.fetches, func(f *fetch) bool { return f.held && f.head.ID.Compare(r.ID) <= 0 })
	k.hot, k.fresh = hotRounds, freshTells
	k.acts = append(k.acts, Action{Do: Apply, Rev: r})
}
