package proving

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"swiftdeal/internal/invariants"
	"swiftdeal/internal/standin"
)

// What lies between a node and a stand-in, and what is seen there. All of it runs under the host's lock.

// linkState is the way between one node and one worker, or discovery.
type linkState struct {
	cut   bool
	delay time.Duration
	taps  []*tap
}

// tap is one connection on such a way: it is listened in on, and struck.
type tap struct {
	f    *Field
	l    *linkState
	node int
	w    *workerState // nil: discovery
	near standin.Conn // the node's end
	far  standin.Handler
	use  *flight
	shut bool

	in, out     []func() // what waits while the way is cut
	inAt, outAt time.Time
}

// flight is a request of a node on its way.
type flight struct {
	try   int
	id    string
	text  []byte
	probe bool
}

// tap takes a new connection of a node.
func (f *Field) tap(l *linkState, c standin.Conn, node int, w *workerState, open func(standin.Conn) standin.Handler) standin.Handler {
	t := &tap{f: f, l: l, node: node, w: w, near: c}
	if t.far = open(t); t.far == nil {
		return nil
	}
	l.taps = append(l.taps, t)
	if w != nil {
		w.conns[t] = true
	}
	return t
}

// pass has something happen at the other end, after what the way takes, in order.
func (t *tap) pass(queue *[]func(), at *time.Time, do func()) {
	*queue = append(*queue, do)
	t.pump(queue, at)
}

func (t *tap) pump(queue *[]func(), at *time.Time) {
	if t.l.cut || len(*queue) == 0 {
		return
	}
	if t.l.delay == 0 && !at.After(t.f.host.Now()) {
		do := *queue
		*queue = nil
		for _, d := range do {
			d()
		}
		return
	}
	due := t.f.host.Now().Add(t.l.delay)
	if due.Before(*at) {
		due = *at
	}
	*at = due
	t.f.host.After(time.Until(due), func() {
		if !t.l.cut && len(*queue) > 0 {
			d := (*queue)[0]
			*queue = (*queue)[1:]
			d()
		}
	})
}

// heal lets through what has waited.
func (l *linkState) heal() {
	l.cut = false
	for _, t := range l.taps {
		for _, q := range []*[]func(){&t.in, &t.out} {
			do := *q
			*q = nil
			for _, d := range do {
				d()
			}
		}
	}
}

// Data implements standin.Handler: bytes of the node.
func (t *tap) Data(p []byte) {
	p = bytes.Clone(p)
	if t.w != nil {
		t.departs(p)
	}
	t.pass(&t.in, &t.inAt, func() {
		if t.shut {
			return
		}
		t.f.arrives = t.f.name(t.node)
		t.far.Data(p)
	})
}

// Gone implements standin.Handler: the node has ended the connection.
func (t *tap) Gone(reset bool) {
	t.end(true)
	delete(t.l.mine(t.w), t)
	t.pass(&t.in, &t.inAt, func() {
		if !t.shut {
			t.shut = true
			t.far.Gone(reset)
		}
	})
}

func (l *linkState) mine(w *workerState) map[*tap]bool {
	if w == nil {
		return nil
	}
	return w.conns
}

// Write implements standin.Conn: bytes of the stand-in.
func (t *tap) Write(p []byte, m *standin.Mark) {
	p = bytes.Clone(p)
	t.pass(&t.out, &t.outAt, func() {
		if t.shut {
			return
		}
		if m != nil {
			t.marked(m)
		}
		t.near.Write(p, nil)
	})
}

// Close implements standin.Conn.
func (t *tap) Close() {
	t.pass(&t.out, &t.outAt, func() {
		if !t.shut {
			t.shut = true
			t.end(false)
			t.near.Close()
		}
	})
}

// Reset implements standin.Conn.
func (t *tap) Reset() {
	if !t.shut {
		t.shut = true
		t.end(false)
		t.near.Reset()
	}
}

// departs notes what a node sends to a worker.
func (t *tap) departs(p []byte) {
	f := t.f
	if t.use == nil || standin.Whole(t.use.text) {
		if t.use != nil && !t.use.probe {
			t.end(false)
		}
		f.tries++
		t.use = &flight{try: f.tries, id: standin.Field(p, "X-Request-Id")}
		if method, _, _ := standin.Words(p); method == "GET" {
			t.use.probe = true
		} else {
			f.stats.Sent++
			f.sentTo[t.w.p.ID]++
			if t.w.ill {
				f.stats.SentIll++
			}
			if t.w.p.Warmth() < 1 {
				f.stats.SentCold++
			}
			f.tell(invariants.Event{Kind: invariants.Sent, Node: f.name(t.node), Request: t.use.id, Peer: t.w.p.ID, Try: t.use.try})
		}
	}
	t.use.text = append(t.use.text, p...)
}

// end notes the end of what is under way, by the node's own doing or because the connection broke.
func (t *tap) end(byNode bool) {
	u := t.use
	if t.use = nil; u == nil || u.probe {
		return
	}
	whole := standin.Whole(u.text)
	if byNode && whole {
		t.f.tell(invariants.Event{Kind: invariants.Off, Try: u.try})
	} else {
		t.f.tell(invariants.Event{Kind: invariants.Ended, Try: u.try, Never: !whole})
	}
}

// marked notes what an answer tells a node.
func (t *tap) marked(m *standin.Mark) {
	if u := t.use; m.Ended && u != nil && u.id == m.Request {
		t.use = nil
		t.f.tell(invariants.Event{Kind: invariants.Ended, Try: u.try, Never: m.Never})
	}
}

// tell hands an event to the checker of the four rules.
func (f *Field) tell(e invariants.Event) {
	e.At = time.Since(f.start)
	f.ruled(f.checker.Step(e))
}

func (f *Field) ruled(list []invariants.Violation) {
	for _, v := range list {
		f.broken = append(f.broken, v)
		f.fail(fmt.Sprintf("rule %d", v.Rule), "%s (%s, request %s, workers %v)", v.Text, v.Node, v.Request, v.Peers)
	}
}

// Job implements standin.Watcher.
func (f *Field) Job(peer, id string, work float64) {
	if strings.HasPrefix(id, probeName) {
		f.probes[id] = true
	}
	f.tell(invariants.Event{Kind: invariants.Arrived, Node: f.arrives, Request: id, Peer: peer, Work: work})
	for _, s := range f.workers {
		if s.p.ID == peer {
			s.falls(f, work)
		}
	}
}

// falls guards the fourth rule on the worker's own evidence: one that is cold and gets more than three times what it can do
// for three seconds falls over. One job more is allowed for, as by the rule.
func (s *workerState) falls(f *Field, work float64) {
	const over, multiple = 3 * time.Second, 3
	warm := s.p.Warmth()
	if warm >= 1 {
		s.since = nil
		return
	}
	now := time.Now()
	s.since = append(s.since, fall{now, work})
	sum, most := 0.0, 0.0
	for len(s.since) > 0 && now.Sub(s.since[0].at) > over {
		s.since = s.since[1:]
	}
	for _, x := range s.since {
		sum, most = sum+x.work, max(most, x.work)
	}
	if sum > multiple*warm*s.p.Capacity()*over.Seconds()+most && !s.fell {
		s.fell = true
		f.stats.Fell++
		f.event(Event{Kind: "fell", Who: s.p.ID, Text: fmt.Sprintf("%.2f s of work in %v at %.0f%% of its capacity", sum, over, 100*warm)})
	}
}

// Made implements standin.Watcher.
func (f *Field) Made(peer, id, result string) {
	f.tell(invariants.Event{Kind: invariants.Made, Request: id, Peer: peer, Result: result})
}

// Began implements standin.Watcher.
func (f *Field) Began(node, id string, until time.Time, name string) bool {
	i := 0
	for k, c := range classes {
		if c.name == name {
			i = k
		}
	}
	f.tell(invariants.Event{Kind: invariants.Taken, Node: node, Request: id, Class: i, Until: until.Sub(f.start)})
	return true
}

// disturbed reports whether a node's process does not run, stands still, or was struck a moment ago: its clients may get no
// answer.
func (f *Field) disturbed(name string) bool {
	i := 0
	fmt.Sscanf(name, "n%d", &i)
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[i]
	if !n.proc.running() || n.proc.paused {
		return true
	}
	for _, p := range n.olds {
		if p.struck > 0 {
			return true
		}
	}
	return n.proc.struck > 0
}

// Ended implements standin.Watcher.
func (f *Field) Ended(node, id string, status int, body string) {
	e := invariants.Event{Kind: invariants.Answered, Node: node, Request: id, Verdict: invariants.Failed}
	switch status {
	case standin.Cut, standin.CutFirst:
		e.Kind, e.First = invariants.Dropped, status == standin.CutFirst
		if f.disturbed(node) {
			e.Kind = invariants.Left
		}
	case standin.Crossed:
		e.Kind = invariants.Left
	case 200:
		e.Verdict, e.Result = invariants.Served, body
		job, _, _ := strings.Cut(id, "-")
		f.stats.WorthServed += f.worth[job]
		delete(f.worth, job)
	case 429, 503:
		e.Verdict = invariants.Refused
		f.stats.Refused++
	default:
		f.stats.Failed++
	}
	f.tell(e)
}

// Left implements standin.Watcher. All clients here wait as long as their class lets them: one that leaves has waited in
// vain.
func (f *Field) Left(node, id string) {
	f.tell(invariants.Event{Kind: invariants.Left, Node: node, Request: id})
	if !f.disturbed(node) {
		f.fail("rule 1", "%s had no answer for %s before its client gave up", node, id)
	}
}

// viewed judges what one process says of its view, entry by entry, by its order and its numbers: incarnations never go back,
// who was held for dead comes back only by a higher one, and who has left is not suspected.
func (f *Field) viewed(key string, s *logState, l *logLine) {
	f.mu.Lock()
	f.tally[l.Member+" "+l.What]++
	f.tally[key+" "+l.Member+" "+l.What]++
	switch l.What {
	case "died":
		f.stats.Deaths++
	case "suspected":
		f.stats.Suspicions++
	}
	was, last, life := s.inc[l.Member], s.last[l.Member], s.life[l.Member]
	if l.What == "forgotten" {
		delete(s.inc, l.Member)
		delete(s.last, l.Member)
	} else if l.Inc > 0 {
		s.inc[l.Member], s.last[l.Member], s.life[l.Member] = l.Inc, l.What, l.Life
	}
	f.mu.Unlock()
	switch {
	case l.Inc == 0 || l.What == "forgotten":
	case l.Inc < was:
		f.fail("incarnation", "%s held %s at %d and then at %d", key, l.Member, was, l.Inc)
	case last == "died" && l.What == "returned" && l.Inc == was && l.Life == life:
		f.fail("incarnation", "%s took %s back from the dead at the same incarnation %d", key, l.Member, l.Inc)
	case last == "left" && (l.What == "suspected" || l.What == "died"):
		f.fail("left", "%s held %s, which had left, for %s", key, l.Member, l.What)
	}
}

// Count is how often the processes have said that something happened to a member.
func (f *Field) Count(member, what string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tally[member+" "+what]
}

// logged takes a line of a process's own log. The third rule is judged by it: after a process has taken a list that says
// that a worker drains or is gone, it decides on no send to that worker until a list says otherwise. And incarnations never
// go back in what one process says.
func (f *Field) logged(p *process, l *logLine) {
	f.exits(p, l)
	key := fmt.Sprintf("%s.%d", p.name, p.life)
	f.mu.Lock()
	s := f.inCalls[key]
	if s == nil {
		s = &logState{inc: map[string]uint64{}, shut: map[string]string{}, last: map[string]string{}, life: map[string]uint64{}}
		f.inCalls[key] = s
	}
	f.mu.Unlock()
	switch {
	case l.Msg == "group":
		if l.Kind == 1 { // the whole list: who is not named is gone
			for _, w := range f.workers {
				s.shut[w.p.ID] = "gone"
			}
		}
		for _, e := range l.Peers {
			if e.State == "ready" {
				delete(s.shut, e.ID)
			} else {
				s.shut[e.ID] = e.State
			}
		}
	case l.Msg == "sends":
		if state := s.shut[l.Peer]; state != "" {
			f.fail("rule 3", "%s decided to send %s to %s, which it had been told to be %s", key, l.ID, l.Peer, state)
		}
	case l.Msg == "fleet" && l.Part == "fleet":
		f.event(Event{Kind: "view", Who: p.name, Life: p.life, Of: l.Member, Inc: l.Inc, Text: l.What + ": " + l.Why + " by " + l.By})
		f.viewed(key, s, l)
	case l.Msg == "fleet settings in force":
		f.settingsInForce(p, l)
	case l.Msg == "fleet settings refused, the old ones stay":
		f.event(Event{Kind: "settings", Who: p.name, Life: p.life, Of: l.Revision, Text: "refused: " + l.Why})
	case l.Msg == "datagrams dropped since the start":
		f.event(Event{Kind: "dropped", Who: p.name, Life: p.life})
	}
}
