// Package sim runs real nodes, all of their network code unchanged, on a virtual clock and a virtual network against
// stand-ins with scripted faults, and checks the four rules and some invariants after every step. It lives in a
// bubble of testing/synctest: time stands still while any goroutine can run. One thing happens at a time: the
// scheduler lets one network event take place, waits until every goroutine has come to rest, and goes on. What
// happens at one instant is put in an order drawn from the seed, so that a seed always gives the same trace.
package sim

import (
	"cmp"
	"container/heap"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/invariants"
	"swiftdeal/internal/node"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/standin"
)

// slack is what a rule's time limit is longer by on a network.
const slack = 50 * time.Millisecond

// World is one simulation.
type World struct {
	own   ownChecks
	plan  *Plan
	start time.Time
	rnd   *rand.Rand // of ties and small chances; things have sources of their own

	mu      sync.Mutex
	deeds   []deed
	dials   int
	waiting []*simNode // whose mailbox holds events
	wake    chan struct{}

	events    eventHeap
	seq       int
	links     int
	tries     int
	endpoints int // open ends of nodes
	dialings  []*dialing

	nodes    []*simNode
	olds     []*simNode          // processes that have been replaced
	found    map[string]*heirs   // by node: where a second process comes
	parcels  int                 // on their way between processes
	takers   map[string]*simNode // of requests, by node and id
	byAddr   map[string]*machineState
	order    []*machineState
	fleet    *standin.Fleet
	disco    *standin.Discovery
	clients  *standin.Clients
	checker  *invariants.Checker
	arriving *link
	classes  map[string]int
	settings []config.Config

	heavy   *Fault
	deaf    map[string]bool // requests behind which others wait on their connection: the server cannot notice that it closes
	settled bool            // the list holds all peers

	sockets map[string]*socket // by address; guarded by mu
	cuts    map[int]func(from, to int) bool
	lossy   float64
	lies    map[int]bool // nodes that tell of workers what is not so
	untrue  int

	log   recorder
	out   *Outcome
	steps int
}

// machineState is a stand-in's machine.
type machineState struct {
	name  string
	zone  string
	addr  string
	cut   bool // says nothing, hears nothing
	mute  bool // takes no new connection, without a word
	links map[*link]bool
	open  func(standin.Conn) standin.Handler
	peer  *standin.Peer
	front *standin.Front
	entry standin.Entry
	gone  bool
}

// simNode is a node and its machine.
type simNode struct {
	w       *World
	index   int
	name    string
	zone    string
	listen  string
	ln      *door
	ctl     *door          // where control calls come; nil: nowhere
	answers map[string]int // clients' requests by how they ended, and those taken
	away    bool           // its clients were sent away: those with connections go on using them
	stop    context.CancelFunc
	ended   chan error
	reloads chan node.Reload
	turn    chan struct{}
	charges func(peer string) int
	up      bool // its process runs
	dead    bool // killed; its goroutines may be on their way out
	ready   bool // the front sends clients here
	termed  time.Duration
	links   map[*link]bool
	life    int
	conf    *config.Config
	disco   string
	held    atomic.Int64 // endpoints open
	stirred bool         // something has happened to it since it was looked at
	began   time.Duration
	over    chan struct{} // closed when the process is gone
	heir    *simNode      // the process that takes its place
	ends    []*end        // of links to other processes
	gave    []*link       // to them
	gossip  *simNode      // stands for the owner of the view among those that wait for their turn
}

// event is something that is to happen.
type event struct {
	at   time.Duration
	tie  uint64
	seq  int
	run  func()
	dead bool
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].tie, h[j].tie), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (w *World) now() time.Duration { return time.Since(w.start) }

// at plans something.
func (w *World) at(t time.Duration, run func()) *event {
	w.seq++
	e := &event{at: max(t, w.now()), tie: w.rnd.Uint64(), seq: w.seq, run: run}
	heap.Push(&w.events, e)
	return e
}

// Now implements standin.Clock.
func (w *World) Now() time.Time { return time.Now() }

// After implements standin.Clock.
func (w *World) After(d time.Duration, f func()) func() {
	e := w.at(w.now()+max(d, 0), f)
	return func() { e.dead = true }
}

// did notes what a node's goroutine did on the network.
func (w *World) did(d deed) {
	w.mu.Lock()
	if d.dial != nil {
		d.dial.n = w.dials
		w.dials++
	}
	w.deeds = append(w.deeds, d)
	w.mu.Unlock()
	w.signal()
}

func (w *World) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// simOrder puts a node's events of one instant in an order drawn from the seed.
type simOrder struct{ n *simNode }

// Settle implements machine.Order.
func (o simOrder) Settle() {
	n := o.n
	n.w.mu.Lock()
	if n.dead {
		n.w.mu.Unlock()
		return
	}
	n.w.waiting = append(n.w.waiting, n)
	n.w.mu.Unlock()
	n.w.signal()
	<-n.turn
}

// Before implements machine.Order.
func (o simOrder) Before(a, b platform.Source) bool {
	x, y := o.rank(a), o.rank(b)
	if x != y {
		return x < y
	}
	return a.Kind < b.Kind || a.Kind == b.Kind && (a.ID < b.ID || a.ID == b.ID && a.N < b.N)
}

func (o simOrder) rank(s platform.Source) uint64 {
	b := make([]byte, 0, 64)
	b = binary.LittleEndian.AppendUint64(b, o.n.w.plan.Seed)
	b = binary.LittleEndian.AppendUint64(b, uint64(o.n.w.now()))
	b = append(append(b, s.Kind, byte(s.N)), s.ID...)
	return xxhash.Sum64(b)
}

// Owner implements machine.Order.
func (o simOrder) Owner(charges func(peer string) int) { o.n.charges = charges }

// deal lets the deeds of nodes take effect, in an order of their own, and reports whether there were any.
func (w *World) deal() bool {
	w.mu.Lock()
	deeds := w.deeds
	w.deeds = nil
	w.mu.Unlock()
	// What the goroutines of a killed process do on their way out reaches nobody.
	some := len(deeds) > 0
	deeds = slices.DeleteFunc(deeds, func(d deed) bool {
		return d.l != nil && d.l.node.dead || d.hand != nil && d.hand.text != nil && d.hand.from.proc.dead || d.letter != nil && d.letter.from.n.dead
	})
	slices.SortStableFunc(deeds, func(a, b deed) int {
		if c := cmp.Compare(a.kind, b.kind); c != 0 {
			return c
		}
		if a.kind == didDial {
			x, y := a.dial, b.dial
			return cmp.Or(cmp.Compare(x.node.index, y.node.index), cmp.Compare(x.node.life, y.node.life), cmp.Compare(x.addr, y.addr), cmp.Compare(x.why, y.why), cmp.Compare(x.n, y.n))
		}
		if a.kind == didHand {
			return a.hand.compare(b.hand)
		}
		if a.kind == didLetter {
			return a.letter.compare(b.letter)
		}
		return cmp.Or(cmp.Compare(a.l.id, b.l.id), cmp.Compare(a.n, b.n))
	})
	// Bytes that were written before their connection was closed go before the close.
	writes := map[*link][]deed{}
	for _, d := range deeds {
		if d.kind == didWrite {
			writes[d.l] = append(writes[d.l], d)
		}
	}
	for _, d := range deeds {
		switch d.kind {
		case didClose, didCloseWrite:
			for _, wd := range writes[d.l] {
				d.l.wrote(wd.data)
			}
			delete(writes, d.l)
			d.l.ended(d.kind == didCloseWrite)
		case didWrite:
			for _, wd := range writes[d.l] {
				d.l.wrote(wd.data)
			}
			delete(writes, d.l)
		case didDial:
			w.dialed(d.dial)
		case didHand:
			w.carry(d.hand)
		case didLetter:
			w.post(d.letter)
		}
	}
	return some
}

// dialed sends a node's dialing on its way.
func (w *World) dialed(d *dialing) {
	n := d.node
	if n.dead {
		d.give(dialed{err: syscall.ECONNABORTED})
		return
	}
	w.dialings = append(w.dialings, d)
	m := w.byAddr[d.addr]
	l := &link{w: w, node: n, machine: m, why: d.why}
	w.links++
	l.id = w.links
	there := w.now() + w.latency(l)
	w.at(there, func() {
		if m == nil || m.gone {
			w.at(w.now()+w.latency(l), func() { d.give(dialed{err: syscall.ECONNREFUSED}) })
			return
		}
		if m.cut || m.mute || n.dead {
			return
		}
		l.toPeer = m.peer != nil
		l.label = fmt.Sprintf("c%d %s-%s", l.id, n.name, m.name)
		l.ep = newEndpoint(l, fmt.Sprintf("%s:%d", n.name, 10000+l.id), d.addr)
		l.inAt = w.now()
		far := far{l}
		if m.front != nil {
			w.out.Calls++
		} else {
			w.out.Dials++
		}
		if l.far = m.open(far); l.far == nil {
			if m.peer != nil {
				w.out.Turned++
			}
			w.trace("%s refused", l.label)
			w.at(w.now()+w.latency(l), func() { d.give(dialed{err: syscall.ECONNREFUSED}) })
			return
		}
		m.links[l] = true
		if m.peer != nil {
			w.out.MostConns = max(w.out.MostConns, m.peer.Conns())
		}
		w.at(l.inTime(0), func() {
			if l.broken || m.cut || n.dead {
				return
			}
			w.trace("%s up for %s", l.label, d.why)
			w.endpoints++
			if e := n.hold(l); !d.give(dialed{e: e}) { // the node has given up: what came up is closed
				e.Close()
			}
		})
	})
}

// Dial implements standin.Reach: a client's connection to a node.
func (w *World) Dial(to string, rate int, h standin.Opener) {
	n := w.nodes[slices.IndexFunc(w.nodes, func(n *simNode) bool { return n.name == to })]
	w.dialNode(n, n.ln, rate, h)
}

// dialNode opens a connection to one of a node's listeners.
func (w *World) dialNode(n *simNode, ln *door, rate int, h standin.Opener) {
	l := &link{w: w, node: n, machine: &machineState{name: "client", zone: n.zone, links: map[*link]bool{}}, rate: rate}
	w.links++
	l.id = w.links
	l.label = fmt.Sprintf("c%d client-%s", l.id, n.name)
	l.far = h
	l.ep = newEndpoint(l, n.listen, fmt.Sprintf("client:%d", 10000+l.id))
	there := w.now() + w.latency(l)
	l.inAt = there
	w.at(there, func() {
		back := w.latency(l)
		if w.endpoints++; n.up && !n.dead {
			n.links[l] = true // before it is offered: whoever accepts it may be another process
		}
		ok := n.up && !n.dead && ln.offer(l.ep)
		if !ok {
			w.endpoints--
			delete(n.links, l)
		}
		w.at(w.now()+back, func() {
			if !ok {
				w.trace("%s refused", l.label)
				h.Gone(true)
				return
			}
			h.Up(far{l})
		})
	})
}

// latency is how long a packet takes one way.
func (w *World) latency(l *link) time.Duration {
	net := &w.plan.Net
	t := net.Near
	if l.machine != nil && l.machine.zone != l.node.zone {
		t = net.Far
	}
	return ms(t + net.Jitter*w.rnd.Float64())
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// run lets things happen until the given time or until nothing is left to happen.
func (w *World) run(until time.Duration, done func() bool) {
	for w.out.Fault == "" {
		synctest.Wait()
		select {
		case <-w.wake:
		default:
		}
		if w.deal() {
			continue
		}
		if w.pass() {
			continue
		}
		w.check()
		if done != nil && done() {
			return
		}
		for len(w.events) > 0 && w.events[0].dead {
			heap.Pop(&w.events)
		}
		wait := until - w.now()
		if len(w.events) > 0 {
			wait = min(wait, w.events[0].at-w.now())
		}
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-w.wake:
				timer.Stop()
			}
			continue
		}
		if w.now() >= until || len(w.events) == 0 {
			return
		}
		e := heap.Pop(&w.events).(*event)
		w.steps++
		e.run()
	}
}

// pass lets one node handle one event of its mailbox, and reports whether one waits to.
func (w *World) pass() bool {
	w.mu.Lock()
	if len(w.waiting) == 0 {
		w.mu.Unlock()
		return false
	}
	i := 0
	for j, n := range w.waiting {
		if o := w.waiting[i]; cmp.Or(cmp.Compare(n.index, o.index), cmp.Compare(n.life, o.life)) < 0 {
			i = j
		}
	}
	n := w.waiting[i]
	w.waiting = slices.Delete(w.waiting, i, i+1)
	w.mu.Unlock()
	n.stirred = true
	n.turn <- struct{}{}
	return true
}

// check looks at the invariants once everything has come to rest.
func (w *World) check() {
	w.broke(w.checker.Until(w.now()))
	for _, text := range w.own.take() {
		w.fault("own check", text, "", "")
	}
	for _, n := range w.nodes {
		procs := slices.DeleteFunc(w.processes(), func(o *simNode) bool { return o.name != n.name || !o.up || o.dead })
		stirred, held := false, 0
		for _, o := range procs {
			stirred, held, o.stirred = stirred || o.stirred, held+int(o.held.Load()), false
		}
		if !stirred || slices.ContainsFunc(procs, func(o *simNode) bool { return o.charges == nil }) {
			continue
		}
		if most := n.conf.Limits.ClientConns + n.conf.Limits.SpareConns + n.conf.Limits.PeerConns + 8*len(procs); held > most {
			w.fault("descriptors", fmt.Sprintf("%s holds %d connections, %d are its budget", n.name, held, most), n.name, "")
		}
		for _, m := range w.order {
			if m.peer == nil || w.parcels > 0 {
				continue
			}
			out, c := w.checker.Out(n.name, m.name), 0
			for _, o := range procs {
				for _, d := range w.dialings {
					if d.node == o && d.addr == m.addr && d.why != "probe" && !d.over() {
						out++
					}
				}
				c += o.charges(m.name)
			}
			if c != out {
				w.fault("charges", fmt.Sprintf("%s charges %s with %d tries, %d are out", n.name, m.name, c, out), n.name, "")
				return
			}
		}
	}
	w.dialings = slices.DeleteFunc(w.dialings, (*dialing).over)
	if w.steps%16 == 0 {
		for _, n := range w.nodes {
			w.out.MostOpen = max(w.out.MostOpen, w.checker.OwedSince(n.name, w.now()-5*time.Millisecond))
		}
	}
	if w.steps%64 == 0 && w.out.Fault == "" {
		if e := w.checker.Stray(w.now(), 500*time.Millisecond); e != nil && !w.deaf[e.Request] {
			w.fault("stray", "a try is still out though its request ended long ago", e.Node, e.Request, e.Peer)
		}
	}
}

func (d *dialing) over() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.given
}

// tell hands an event to the checker.
func (w *World) tell(e invariants.Event) {
	e.At = w.now()
	w.broke(w.checker.Step(e))
}

func (w *World) broke(v []invariants.Violation) {
	for _, v := range v {
		w.out.Violations = append(w.out.Violations, v)
		w.fault(fmt.Sprintf("rule %d", v.Rule), v.Text, v.Node, v.Request, v.Peers...)
	}
}

// fault ends the simulation with what went wrong first.
func (w *World) fault(what, text, node, request string, peers ...string) {
	w.trace("FAULT %s: %s (node %s, request %s, peers %v)", what, text, node, request, peers)
	if w.out.Fault == "" {
		w.out.Fault, w.out.Text, w.out.At = what, text, w.now()
		w.out.Node, w.out.Request, w.out.Peers = node, request, peers
	}
}

// departs notes a request that leaves a node for a peer.
func (w *World) departs(l *link, p []byte) {
	l.node.stirred = true
	if p[0] == 'G' {
		w.out.Probes++
	}
	if l.use == nil || standin.Whole(l.use.text) {
		if l.use != nil && !l.use.probe {
			w.endFlight(l, false)
		}
		w.tries++
		l.use = &flight{try: w.tries, id: standin.Field(p, "X-Request-Id")}
		if method, _, _ := standin.Words(p); method == "GET" {
			l.use.probe = true
		} else {
			if a := l.node.answers; a != nil {
				a["sent"]++
			}
			w.tell(invariants.Event{Kind: invariants.Sent, Node: l.node.name, Request: l.use.id, Peer: l.machine.name, Try: l.use.try})
		}
	}
	l.use.text = append(l.use.text, p...)
}

// arrives notes which connection a peer is told of.
func (w *World) arrives(l *link, _ []byte) { w.arriving = l }

// endFlight notes the end of what is under way on a link, by the node's own doing or because the link broke.
func (w *World) endFlight(l *link, byNode bool) {
	f := l.use
	l.node.stirred = true
	if l.use = nil; f == nil || f.probe {
		return
	}
	whole := standin.Whole(f.text)
	if byNode && whole {
		w.tell(invariants.Event{Kind: invariants.Off, Try: f.try})
	} else {
		w.tell(invariants.Event{Kind: invariants.Ended, Try: f.try, Never: !whole})
	}
}

// marked notes what an answer tells a node.
func (w *World) marked(l *link, m *standin.Mark) {
	l.node.stirred = true
	if f := l.use; m.Ended && f != nil && f.id == m.Request {
		l.use = nil
		w.tell(invariants.Event{Kind: invariants.Ended, Try: f.try, Never: m.Never})
		if m.Never {
			w.out.TurnedAway++
		}
	}
	if m.List == nil && !m.Full {
		return
	}
	named := map[string]bool{}
	for _, e := range m.List {
		named[e.ID] = true
		w.told(l.node, e)
	}
	if m.Full {
		for _, p := range w.order {
			if p.peer != nil && !named[p.name] {
				e := p.entry
				e.State = "terminated"
				w.told(l.node, e)
			}
		}
	}
}

var states = map[string]balance.State{"in_service": balance.Ready, "terminating": balance.Draining, "terminated": balance.Gone}

func (w *World) told(n *simNode, e standin.Entry) {
	since := time.Duration(0)
	if e.Started > 0 { // the list counts in whole milliseconds
		since = time.UnixMilli(e.Started).Sub(w.start) + time.Millisecond
	}
	w.tell(invariants.Event{Kind: invariants.Told, Node: n.name, Peer: e.ID, State: states[e.State], Zone: e.Zone, Cell: fmt.Sprint(e.Cell), Since: since})
}

// listed tells the checker what discovery's list holds: what is ready, where not all who ask are told.
func (w *World) listed() {
	telling := true
	for _, m := range w.order {
		telling = telling && (m.front == nil || m.gone || m.front.Telling())
	}
	_, list := w.disco.List()
	for _, m := range w.order {
		if m.peer == nil {
			continue
		}
		state := balance.Ready
		if telling && w.settled {
			state = balance.Gone
			for _, e := range list {
				if e.ID == m.name {
					state = states[e.State]
				}
			}
		}
		w.tell(invariants.Event{Kind: invariants.Listed, Peer: m.name, State: state})
	}
}

// Job implements standin.Watcher.
func (w *World) Job(peer, id string, work float64) {
	l := w.arriving
	w.tell(invariants.Event{Kind: invariants.Arrived, Node: l.node.name, Request: id, Peer: peer, Work: work})
}

// Made implements standin.Watcher.
func (w *World) Made(peer, id, result string) {
	w.tell(invariants.Event{Kind: invariants.Made, Request: id, Peer: peer, Result: result})
}

// Began implements standin.Watcher.
func (w *World) Began(node, id string, until time.Time, class string) bool {
	owed := !w.checker.Owed(node, id)
	w.count(node, id, "taken")
	w.tell(invariants.Event{Kind: invariants.Taken, Node: node, Request: id, Class: w.classes[class], Until: until.Sub(w.start)})
	return owed
}

// Ended implements standin.Watcher.
func (w *World) Ended(node, id string, status int, body string) {
	e := invariants.Event{Kind: invariants.Answered, Node: node, Request: id, Verdict: invariants.Failed}
	w.count(node, id, answered(status))
	switch status {
	case standin.Cut, standin.CutFirst:
		e.Kind, e.First = invariants.Dropped, status == standin.CutFirst
	case standin.Crossed:
		e.Kind = invariants.Left
	case 200:
		e.Verdict, e.Result = invariants.Served, body
		w.out.Served++
	case 429, 503:
		e.Verdict = invariants.Refused
		w.out.Refused++
	default:
		w.out.Failed++
	}
	w.trace("%s answers %s with %d", node, id, status)
	w.tell(e)
}

// answered words a status as the node's figures do; where no answer was seen, there may have been one.
func answered(status int) string {
	switch {
	case status == 200:
		return "served"
	case status == 429 || status == 503:
		return "refused"
	case status > 0:
		return "failed"
	}
	return "unseen"
}

// count counts what becomes of a request at the process of a node that has taken it. An answer may come when the node has
// started anew.
func (w *World) count(node, id, what string) {
	if what == "taken" {
		for _, n := range w.nodes {
			if n.name == node {
				w.takers[node+" "+id] = n
			}
		}
	}
	if n := w.takers[node+" "+id]; n != nil && n.answers != nil {
		n.answers[what]++
	}
}

// Left implements standin.Watcher.
func (w *World) Left(node, id string) {
	w.trace("the client of %s leaves", id)
	w.count(node, id, "unseen")
	w.tell(invariants.Event{Kind: invariants.Left, Node: node, Request: id})
}

// Node implements standin.Reach: the front spreads connections over the nodes of the client's zone that are ready.
func (w *World) Node(j *standin.Job, try int, kept func(string) bool) string {
	var in []*simNode
	for _, n := range w.nodes {
		if n.ready || n.up && (n.termed > 0 || n.away) && kept(n.name) {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		return ""
	}
	h := xxhash.Sum64String(fmt.Sprint(w.plan.Seed, j.Name, try))
	return in[h%uint64(len(in))].name
}

// startNode starts a node's process: a new one, so that whatever still runs of an earlier one is none of its own.
func (w *World) startNode(old *simNode) {
	n := w.startProcess(old, nil)
	var ask func()
	ask = func() {
		if n.up && !n.ready && n.termed == 0 && !n.away {
			w.Dial(n.name, 0, &asksReady{w: w, n: n, again: ask})
		}
	}
	w.After(20*time.Millisecond, ask)
}

// nodeLog is a process's log.
type nodeLog struct{ *slog.Logger }

// startProcess starts a process of a node, which takes the place of the one that listens for it at prior, if any.
func (w *World) startProcess(old *simNode, prior *heirs) *simNode {
	n := &simNode{w: w, index: old.index, name: old.name, zone: old.zone, listen: old.listen, disco: old.disco, life: old.life}
	w.nodes[n.index] = n
	conf := w.settings[n.index]
	conf.Seed = xxhash.Sum64String(fmt.Sprint(w.plan.Seed, n.name, n.life))
	conf.Discovery = n.disco
	version, list := w.disco.List()
	known, err := config.ParseGroup(standin.Text(version, true, list))
	if err != nil {
		panic(err)
	}
	conf.Known = known
	for _, e := range list {
		w.told(n, e)
	}
	n.life++
	n.conf = &conf
	n.conf.Fleet = w.fleetConfig(n)
	n.answers = map[string]int{}
	n.up, n.links, n.began, n.over = true, map[*link]bool{}, w.now(), make(chan struct{})
	n.ended, n.reloads, n.turn = make(chan error, 1), make(chan node.Reload), make(chan struct{})
	if prior == nil {
		n.ln = newListener(n)
	} else {
		n.ln = prior.proc.ln // until it has a door of its own
	}
	if w.plan.called() {
		n.ctl = newListener(n)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	log := slog.New(slog.DiscardHandler)
	if w.log.nodes != nil {
		log = slog.New(slog.NewTextHandler(prefixed{w, n.name}, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: noTime}))
	}
	go n.serve(ctx, prior, nodeLog{slog.New(watching{log.Handler(), &w.own, n.name})})
	w.trace("%s starts", n.name)
	return n
}

func noTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return a
}

// prefixed puts a node's log lines into the trace's text, not into its hash: goroutines write them as they come.
type prefixed struct {
	w    *World
	name string
}

func (p prefixed) Write(b []byte) (int, error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	fmt.Fprintf(p.w.log.nodes, "%12.6f   %s %s", p.w.now().Seconds(), p.name, b)
	return len(b), nil
}

// asksReady is the front that asks whether a node is ready.
type asksReady struct {
	w     *World
	n     *simNode
	c     standin.Conn
	again func()
}

func (a *asksReady) Up(c standin.Conn) {
	a.c = c
	c.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
}

func (a *asksReady) Data(p []byte) {
	_, code, _ := standin.Words(p)
	a.c.Close()
	if code == "200" && a.n.termed == 0 {
		a.n.ready = true
		return
	}
	a.w.After(50*time.Millisecond, a.again)
}

func (a *asksReady) Gone(bool) { a.w.After(50*time.Millisecond, a.again) }

// term sends a node SIGTERM; SIGKILL follows.
func (w *World) term(n *simNode, then func()) {
	if !n.up || n.termed > 0 {
		return
	}
	w.trace("%s SIGTERM", n.name)
	n.termed = w.now()
	n.stop()
	w.After(ms(200+200*w.rnd.Float64()), func() { n.ready = false })
	deadline := w.now() + 3700*time.Millisecond
	var poll func()
	poll = func() {
		if !n.up {
			return
		}
		select {
		case err := <-n.ended:
			n.ended <- err
			w.exited(n)
		default:
			if w.now() < deadline {
				w.After(20*time.Millisecond, poll)
				return
			}
			w.kill(n, n.termed+700*time.Millisecond)
		}
		if then != nil {
			then()
		}
	}
	w.After(20*time.Millisecond, poll)
}

// exited takes the end of a node's process by itself.
func (w *World) exited(n *simNode) {
	err := <-n.ended
	n.ended <- err
	w.trace("%s ends: %v", n.name, err)
	if n.held.Load() != 0 {
		w.fault("leak", fmt.Sprintf("%s has ended and left %d connections open", n.name, n.held.Load()), n.name, "")
	}
	w.gone(n, 0)
	if err != nil {
		w.fault("crash", err.Error(), n.name, "")
	}
}

// kill ends a node's process at once. What it had taken before the given time is excused.
func (w *World) kill(n *simNode, excused time.Duration) {
	if !n.up {
		return
	}
	w.trace("%s is killed", n.name)
	w.gone(n, excused)
}

func (w *World) gone(n *simNode, excused time.Duration) {
	rest := n.rest()
	if rest == nil { // else the node goes on
		w.tell(invariants.Event{Kind: invariants.Killed, Node: n.name, Until: excused})
	}
	w.mu.Lock()
	n.dead, n.up, n.ready = true, false, false
	waits := slices.Index(w.waiting, n)
	if waits >= 0 {
		w.waiting = slices.Delete(w.waiting, waits, waits+1)
	}
	w.mu.Unlock()
	for _, d := range w.dialings {
		if d.node == n {
			d.give(dialed{err: syscall.ECONNABORTED})
		}
	}
	close(n.over)
	n.stop()
	n.ln.Close()
	if n.ctl != nil {
		n.ctl.Close()
	}
	for _, e := range n.ends {
		e.Close()
	}
	if rest != nil { // what waits to be accepted does so there
		for _, e := range n.ln.wait {
			rest.own(e.l)
		}
	}
	for _, l := range sortedLinks(n.links) { // the kernel resets what the process had open
		if l.use = nil; !l.farShut && !l.broken {
			l.farShut = true
			w.at(w.now()+w.latency(l), func() {
				if l.far != nil && !l.machine.cut {
					l.far.Gone(true)
				}
			})
		}
		l.broken = true
		l.ep.finish(true)
	}
	n.links = map[*link]bool{}
	n.held.Store(0)
	if waits >= 0 {
		n.turn <- struct{}{}
	}
	if g := n.gossip; g != nil {
		w.mu.Lock()
		g.dead = true
		waits = slices.Index(w.waiting, g)
		if waits >= 0 {
			w.waiting = slices.Delete(w.waiting, waits, waits+1)
		}
		for at, s := range w.sockets { // the kernel closes what the process had open
			if s.n == n {
				delete(w.sockets, at)
			}
		}
		w.mu.Unlock()
		if waits >= 0 {
			g.turn <- struct{}{}
		}
	}
}

func sortedLinks(m map[*link]bool) []*link {
	list := make([]*link, 0, len(m))
	for l := range m {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *link) int { return cmp.Compare(a.id, b.id) })
	return list
}

// stopPeer ends a peer's process: its connections are reset.
func (w *World) stopPeer(m *machineState) {
	if !m.peer.Up() {
		return
	}
	w.trace("%s dies", m.name)
	m.peer.Stop()
	w.tell(invariants.Event{Kind: invariants.PeerDown, Peer: m.name})
	for _, l := range sortedLinks(m.links) {
		if !l.farShut {
			l.farShut = true
			l.snap()
		}
	}
	m.links = map[*link]bool{}
}

// startPeer starts a peer's process.
func (w *World) startPeer(m *machineState, cold bool) {
	if m.peer.Up() {
		return
	}
	w.trace("%s starts", m.name)
	m.peer.Start(cold)
	w.tell(invariants.Event{
		Kind: invariants.PeerUp, Peer: m.name, Zone: m.zone, Cell: fmt.Sprint(m.entry.Cell),
		Capacity: m.peer.Capacity(), Cold: cold,
	})
}

// cut makes a machine vanish, or brings it back: then what was open is reset.
func (w *World) cut(m *machineState, cut bool) {
	if m.cut == cut {
		return
	}
	m.cut = cut
	w.trace("%s %s", m.name, map[bool]string{true: "vanishes", false: "is back"}[cut])
	if cut {
		return
	}
	for _, l := range sortedLinks(m.links) {
		if !l.broken && !l.nodeEnd {
			l.snap()
		}
		if !l.farShut {
			l.farShut = true
			l.far.Gone(true)
		}
	}
	m.links = map[*link]bool{}
}

// recorder keeps the trace: a hash of all of it, its last lines, and on demand all of them.
type recorder struct {
	hash  *xxhash.Digest
	last  []entry
	keep  int
	buf   []byte
	all   io.Writer
	nodes io.Writer // where the nodes' own log lines go, nil for nowhere
	lines int
}

// entry is a line of the trace. Bytes are put into words only when somebody reads them.
type entry struct {
	at    time.Duration
	text  string
	data  []byte
	total int
	sum   uint64
}

func (e entry) String() string {
	if e.data == nil {
		return fmt.Sprintf("%12.6f %s", e.at.Seconds(), e.text)
	}
	return fmt.Sprintf("%12.6f %s %d %x %q", e.at.Seconds(), e.text, e.total, e.sum, e.data)
}

// trace notes a line.
func (w *World) trace(format string, a ...any) { w.note(entry{text: fmt.Sprintf(format, a...)}) }

// traceBytes notes bytes that have come to one end of a link.
func (w *World) traceBytes(l *link, way string, p []byte) {
	w.note(entry{text: l.label + way, data: p[:min(len(p), 70)], total: len(p), sum: xxhash.Sum64(p)})
}

func (w *World) note(e entry) {
	e.at = w.now()
	r := &w.log
	r.lines++
	r.buf = binary.LittleEndian.AppendUint64(r.buf[:0], uint64(e.at))
	r.buf = binary.LittleEndian.AppendUint64(append(r.buf, e.text...), e.sum)
	r.hash.Write(r.buf)
	if r.all != nil {
		w.mu.Lock()
		fmt.Fprintln(r.all, e)
		w.mu.Unlock()
	}
	if r.last = append(r.last, e); len(r.last) > 2*r.keep {
		r.last = append(r.last[:0], r.last[r.keep:]...)
	}
}

var forever = time.Duration(math.MaxInt64)
