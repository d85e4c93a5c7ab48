package chaos

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/tracecheck"
)

// The proxy between nodes and fakes, and the events it observes. All of it runs under the host's lock.

// linkState is the state of the link between one node and one worker or discovery.
type linkState struct {
	cut   bool
	delay time.Duration
	conns []*proxyConn
}

// proxyConn is one connection on a link. It observes the traffic and applies the link's faults to it.
type proxyConn struct {
	cluster *Cluster
	link    *linkState
	node    int
	worker  *workerState // nil: discovery
	near    fake.Conn    // the node's end
	far     fake.Handler
	request *requestInFlight
	closed  bool

	fromNode, fromFake       []func() // deliveries waiting for the link, in order
	fromNodeDue, fromFakeDue time.Time
}

// requestInFlight is a node's request that has not ended.
type requestInFlight struct {
	attempt     int
	id          string
	text        []byte
	healthCheck bool
}

// proxy accepts a new connection of a node.
func (f *Cluster) proxy(l *linkState, c fake.Conn, node int, w *workerState, open func(fake.Conn) fake.Handler) fake.Handler {
	t := &proxyConn{cluster: f, link: l, node: node, worker: w, near: c}
	if t.far = open(t); t.far == nil {
		return nil
	}
	l.conns = append(l.conns, t)
	if w != nil {
		w.conns[t] = true
	}
	return t
}

// enqueue schedules a delivery to the other end, after the link's delay and all earlier deliveries.
func (t *proxyConn) enqueue(queue *[]func(), at *time.Time, do func()) {
	*queue = append(*queue, do)
	t.deliver(queue, at)
}

// deliver runs the queued deliveries, now or after the link's delay, unless the link is cut.
func (t *proxyConn) deliver(queue *[]func(), at *time.Time) {
	if t.link.cut || len(*queue) == 0 {
		return
	}
	if t.link.delay == 0 && !at.After(t.cluster.host.Now()) {
		do := *queue
		*queue = nil
		for _, d := range do {
			d()
		}
		return
	}
	due := t.cluster.host.Now().Add(t.link.delay)
	if due.Before(*at) {
		due = *at
	}
	*at = due
	t.cluster.host.After(time.Until(due), func() {
		if !t.link.cut && len(*queue) > 0 {
			d := (*queue)[0]
			*queue = (*queue)[1:]
			d()
		}
	})
}

// heal ends a cut and delivers everything that was held back.
func (l *linkState) heal() {
	l.cut = false
	for _, t := range l.conns {
		for _, q := range []*[]func(){&t.fromNode, &t.fromFake} {
			do := *q
			*q = nil
			for _, d := range do {
				d()
			}
		}
	}
}

// Data implements fake.Handler. It receives bytes from the node.
func (t *proxyConn) Data(p []byte) {
	p = bytes.Clone(p)
	if t.worker != nil {
		t.requestSent(p)
	}
	t.enqueue(&t.fromNode, &t.fromNodeDue, func() {
		if t.closed {
			return
		}
		t.cluster.arrivingNode = t.cluster.nodeName(t.node)
		t.far.Data(p)
	})
}

// Closed implements fake.Handler. The node has closed the connection.
func (t *proxyConn) Closed(reset bool) {
	t.endRequest(true)
	delete(t.link.connsOf(t.worker), t)
	t.enqueue(&t.fromNode, &t.fromNodeDue, func() {
		if !t.closed {
			t.closed = true
			t.far.Closed(reset)
		}
	})
}

// connsOf returns the worker's tracked connections; nil for discovery, which has no workerState.
func (l *linkState) connsOf(w *workerState) map[*proxyConn]bool {
	if w == nil {
		return nil
	}
	return w.conns
}

// Write implements fake.Conn: bytes of the fake.
func (t *proxyConn) Write(p []byte, m *fake.Mark) {
	p = bytes.Clone(p)
	t.enqueue(&t.fromFake, &t.fromFakeDue, func() {
		if t.closed {
			return
		}
		if m != nil {
			t.applyMark(m)
		}
		t.near.Write(p, nil)
	})
}

// Close implements fake.Conn.
func (t *proxyConn) Close() {
	t.enqueue(&t.fromFake, &t.fromFakeDue, func() {
		if !t.closed {
			t.closed = true
			t.endRequest(false)
			t.near.Close()
		}
	})
}

// Reset implements fake.Conn.
func (t *proxyConn) Reset() {
	if !t.closed {
		t.closed = true
		t.endRequest(false)
		t.near.Reset()
	}
}

// requestSent records bytes that a node sends to a worker.
func (t *proxyConn) requestSent(p []byte) {
	f := t.cluster
	if t.request == nil || fake.Complete(t.request.text) {
		if t.request != nil && !t.request.healthCheck {
			t.endRequest(false)
		}
		f.attempts++
		t.request = &requestInFlight{attempt: f.attempts, id: fake.HeaderField(p, "X-Request-Id")}
		if method, _, _ := fake.RequestLine(p); method == "GET" {
			t.request.healthCheck = true
		} else {
			f.stats.Sent++
			f.sentTo[t.worker.worker.ID]++
			if t.worker.failing {
				f.stats.SentIll++
			}
			if t.worker.worker.SlowStartFactor() < 1 {
				f.stats.SentCold++
			}
			f.observe(
				tracecheck.Event{
					Kind: tracecheck.AttemptSent, Node: f.nodeName(t.node), Request: t.request.id,
					Worker: t.worker.worker.ID, Attempt: t.request.attempt,
				},
			)
		}
	}
	t.request.text = append(t.request.text, p...)
}

// endRequest records the end of the request in flight: by the node, by a broken connection, or by the start of the next request.
func (t *proxyConn) endRequest(byNode bool) {
	request := t.request
	if t.request = nil; request == nil || request.healthCheck {
		return
	}
	complete := fake.Complete(request.text)
	if byNode && complete {
		t.cluster.observe(tracecheck.Event{Kind: tracecheck.AttemptCanceled, Attempt: request.attempt})
	} else {
		t.cluster.observe(tracecheck.Event{Kind: tracecheck.AttemptEnded, Attempt: request.attempt, NotRun: !complete})
	}
}

// applyMark records the end of a request that an answer reports to the node.
func (t *proxyConn) applyMark(m *fake.Mark) {
	if request := t.request; m.Ended && request != nil && request.id == m.Request {
		t.request = nil
		t.cluster.observe(tracecheck.Event{Kind: tracecheck.AttemptEnded, Attempt: request.attempt, NotRun: m.NotRun})
	}
}

// observe passes an event to the trace checker.
func (f *Cluster) observe(e tracecheck.Event) {
	e.At = time.Since(f.start)
	f.recordViolations(f.checker.Step(e))
}

// recordViolations records violations found by the trace checker as failures of the run.
func (f *Cluster) recordViolations(list []tracecheck.Violation) {
	for _, v := range list {
		f.violations = append(f.violations, v)
		f.errorf(
			fmt.Sprintf("rule %d", v.Rule), "%s (%s, request %s, workers %v)", v.Text, v.Node, v.Request,
			v.Workers,
		)
	}
}

// JobArrived implements fake.Observer.
func (f *Cluster) JobArrived(peer, id string, work float64) {
	if strings.HasPrefix(id, ownJobPrefix) {
		f.ownJobs[id] = true
	}
	f.observe(
		tracecheck.Event{Kind: tracecheck.AttemptArrived, Node: f.arrivingNode, Request: id, Worker: peer, Work: work},
	)
	for _, s := range f.workers {
		if s.worker.ID == peer {
			s.checkOverload(f, work)
		}
	}
}

// ResultProduced implements fake.Observer.
func (f *Cluster) ResultProduced(peer, id, result string) {
	f.observe(tracecheck.Event{Kind: tracecheck.ResultProduced, Request: id, Worker: peer, Result: result})
}

// RequestStarted implements fake.Observer.
func (f *Cluster) RequestStarted(node, id string, until time.Time, name string) bool {
	i := 0
	for k, c := range classes {
		if c.name == name {
			i = k
		}
	}
	f.observe(tracecheck.Event{Kind: tracecheck.Accepted, Node: node, Request: id, Class: i, Until: until.Sub(f.start)})
	return true
}

// disturbed reports whether a node's process does not run, is paused or was interrupted before: its clients may get no answer.
func (f *Cluster) disturbed(name string) bool {
	i := 0
	fmt.Sscanf(name, "n%d", &i)
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[i]
	if !n.process.running() || n.process.paused {
		return true
	}
	for _, p := range n.replaced {
		if p.interruptions > 0 {
			return true
		}
	}
	return n.process.interruptions > 0
}

// RequestEnded implements fake.Observer.
func (f *Cluster) RequestEnded(node, id string, status int, body string) {
	e := tracecheck.Event{Kind: tracecheck.Answered, Node: node, Request: id, Verdict: tracecheck.Failed}
	switch status {
	case fake.Cut, fake.CutFirst:
		e.Kind, e.First = tracecheck.Dropped, status == fake.CutFirst
		if f.disturbed(node) {
			e.Kind = tracecheck.ClientGone
		}
	case fake.ClosedWhileSending:
		e.Kind = tracecheck.ClientGone
	case 200:
		e.Verdict, e.Result = tracecheck.Served, body
		job, _, _ := strings.Cut(id, "-")
		f.stats.WorthServed += f.priorityWeights[job]
		delete(f.priorityWeights, job)
	case 429, 503:
		e.Verdict = tracecheck.Refused
		f.stats.Refused++
	default:
		f.stats.Failed++
	}
	f.observe(e)
}

// ClientGone implements fake.Observer. All clients wait for their class's whole deadline, so one that leaves was not answered
// in time.
func (f *Cluster) ClientGone(node, id string) {
	f.observe(tracecheck.Event{Kind: tracecheck.ClientGone, Node: node, Request: id})
	if !f.disturbed(node) {
		f.errorf("rule 1", "%s had no answer for %s before its client gave up", node, id)
	}
}

// checkMembershipChange judges a membership event in a process's log: a member's incarnation never decreases, a
// member that died does not return as the same instance with the same incarnation, and a member that left is neither suspected
// nor declared dead. Events are counted by member, and by process and member.
func (f *Cluster) checkMembershipChange(key string, state *logState, l *logLine) {
	f.mu.Lock()
	f.eventCounts[l.Member+" "+l.Event]++
	f.eventCounts[key+" "+l.Member+" "+l.Event]++
	switch l.Event {
	case "died":
		f.stats.Deaths++
	case "suspected":
		f.stats.Suspicions++
	}
	previous, last, lastInstance := state.incarnation[l.Member], state.lastEvent[l.Member], state.instance[l.Member]
	if l.Event == "forgotten" {
		delete(state.incarnation, l.Member)
		delete(state.lastEvent, l.Member)
	} else if l.Inc > 0 {
		state.incarnation[l.Member], state.lastEvent[l.Member], state.instance[l.Member] = l.Inc, l.Event, l.InstanceID
	}
	f.mu.Unlock()
	switch {
	case l.Inc == 0 || l.Event == "forgotten":
	case l.Inc < previous:
		f.errorf("incarnation", "%s logged %s at incarnation %d and then at %d", key, l.Member, previous, l.Inc)
	case last == "died" && l.Event == "returned" && l.Inc == previous && l.InstanceID == lastInstance:
		f.errorf("incarnation", "%s logged the return of %s, which had died, at the same incarnation %d", key, l.Member, l.Inc)
	case last == "left" && (l.Event == "suspected" || l.Event == "died"):
		f.errorf("left", "%s logged %s, which had left, as %s", key, l.Member, l.Event)
	}
}

// Count returns how often the processes have logged a membership event of a member.
func (f *Cluster) Count(member, what string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eventCounts[member+" "+what]
}

// handleLogLine handles a line of a process's log. The third rule of the trace checker is judged by it: after an endpoint list
// that reports a worker as draining or gone, the process starts no attempt at that worker until a later list reports it as ready.
func (f *Cluster) handleLogLine(p *process, l *logLine) {
	f.recordExit(p, l)
	key := fmt.Sprintf("%s.%d", p.name, p.startNumber)
	state := f.logStateOf(key)
	switch l.Msg {
	case "endpoint list updated":
		state.updateWorkers(f.workers, l)
	case "attempt started":
		f.checkAttempt(key, state, l)
	case "membership changed":
		f.event(Event{
			Kind:              "view",
			Actor:             p.name,
			StartNumber:       p.startNumber,
			Subject:           l.Member,
			MemberIncarnation: l.Inc,
			Text:              l.Event + ": " + l.Reason + " by " + l.ReportedBy,
		})
		f.checkMembershipChange(key, state, l)
	case "fleet settings in force":
		f.recordActiveSettings(p, l)
	case "fleet settings rejected":
		f.event(Event{
			Kind:        "settings",
			Actor:       p.name,
			StartNumber: p.startNumber,
			Subject:     l.Revision,
			Text:        "refused: " + l.Why,
		})
	case "datagrams dropped since the start":
		f.event(Event{Kind: "dropped", Actor: p.name, StartNumber: p.startNumber})
	}
}

// logStateOf returns the state of a process's log, by the process's name and start number.
func (f *Cluster) logStateOf(key string) *logState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.logStates[key]
	if s == nil {
		s = &logState{
			incarnation: map[string]uint64{},
			unavailable: map[string]string{},
			lastEvent:   map[string]string{},
			instance:    map[string]uint64{},
		}
		f.logStates[key] = s
	}
	return s
}

// updateWorkers applies an endpoint list from the process's log: workers that are not ready in it must get no more attempts.
func (s *logState) updateWorkers(workers []*workerState, l *logLine) {
	const wholeList = 1
	if l.Kind == wholeList { // workers that are not listed are gone
		for _, w := range workers {
			s.unavailable[w.worker.ID] = "gone"
		}
	}
	for _, e := range l.Workers {
		if e.State == "ready" {
			delete(s.unavailable, e.ID)
		} else {
			s.unavailable[e.ID] = e.State
		}
	}
}

// checkAttempt fails the run if a process starts an attempt at a worker that its endpoint list reports as unavailable.
func (f *Cluster) checkAttempt(key string, s *logState, l *logLine) {
	state := s.unavailable[l.Worker]
	if state == "" {
		return
	}
	f.errorf(
		"rule 3",
		"%s started %s at %s, which its endpoint list reported as %s",
		key,
		l.ID,
		l.Worker,
		state,
	)
}
