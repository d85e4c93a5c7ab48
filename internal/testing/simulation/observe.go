package simulation

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftdeal/balance"
	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/tracecheck"
)

// Reports what crosses the network to the trace checker. The methods are called by fakes and links.

// requestSent records bytes of a request that a node sends to a worker.
func (sim *Simulation) requestSent(l *link, p []byte) {
	l.node.active = true
	if p[0] == 'G' {
		sim.outcome.Probes++
	}
	if l.request == nil || fake.Complete(l.request.text) {
		if l.request != nil && !l.request.probe {
			sim.endRequest(l, false)
		}
		sim.attemptCount++
		l.request = &requestInFlight{attempt: sim.attemptCount, id: fake.HeaderField(p, "X-Request-Id")}
		if method, _, _ := fake.RequestLine(p); method == "GET" {
			l.request.probe = true
		} else {
			if a := l.node.requestCounts; a != nil {
				a["sent"]++
			}
			sim.observe(
				tracecheck.Event{
					Kind: tracecheck.AttemptSent, Node: l.node.name, Request: l.request.id,
					Worker: l.machine.name, Attempt: l.request.attempt,
				},
			)
		}
	}
	l.request.text = append(l.request.text, p...)
}

// recordArrival records the link whose bytes a worker receives next.
func (sim *Simulation) recordArrival(l *link, _ []byte) { sim.arrivingLink = l }

// endRequest records the end of the request in flight on a link, closed by the node or because the link broke.
func (sim *Simulation) endRequest(l *link, byNode bool) {
	f := l.request
	l.node.active = true
	if l.request = nil; f == nil || f.probe {
		return
	}
	whole := fake.Complete(f.text)
	if byNode && whole {
		sim.observe(tracecheck.Event{Kind: tracecheck.AttemptCanceled, Attempt: f.attempt})
	} else {
		sim.observe(tracecheck.Event{Kind: tracecheck.AttemptEnded, Attempt: f.attempt, NotRun: !whole})
	}
}

// applyMark records what a node learns from an answer: the end of an attempt, or a list of workers.
func (sim *Simulation) applyMark(l *link, m *fake.Mark) {
	l.node.active = true
	if f := l.request; m.Ended && f != nil && f.id == m.Request {
		l.request = nil
		sim.observe(tracecheck.Event{Kind: tracecheck.AttemptEnded, Attempt: f.attempt, NotRun: m.NotRun})
		if m.NotRun {
			sim.outcome.Rejected++
		}
	}
	if m.List == nil && !m.Full {
		return
	}
	named := map[string]bool{}
	for _, e := range m.List {
		named[e.ID] = true
		sim.workerNotified(l.node, e)
	}
	if m.Full {
		for _, p := range sim.machines {
			if p.worker != nil && !named[p.name] {
				e := p.entry
				e.State = "terminated"
				sim.workerNotified(l.node, e)
			}
		}
	}
}

var states = map[string]balance.WorkerStatus{
	"in_service":  balance.Ready,
	"terminating": balance.Draining,
	"terminated":  balance.Removed,
}

func (sim *Simulation) workerNotified(n *process, e fake.Entry) {
	since := time.Duration(0)
	if e.Started > 0 { // the list has whole milliseconds
		since = time.UnixMilli(e.Started).Sub(sim.start) + time.Millisecond
	}
	sim.observe(
		tracecheck.Event{
			Kind:   tracecheck.Notified,
			Node:   n.name,
			Worker: e.ID,
			State:  states[e.State],
			Zone:   e.Zone,
			Cell:   fmt.Sprint(e.Cell),
			Since:  since,
		},
	)
}

// observeList reports discovery's list to the checker. Until the list is complete, and while an address of discovery is down or stale,
// all workers are reported as ready.
func (sim *Simulation) observeList() {
	notifying := true
	for _, m := range sim.machines {
		notifying = notifying && (m.front == nil || m.gone || m.front.Notifying())
	}
	_, list := sim.discovery.List()
	for _, m := range sim.machines {
		if m.worker == nil {
			continue
		}
		state := balance.Ready
		if notifying && sim.listComplete {
			state = balance.Removed
			for _, e := range list {
				if e.ID == m.name {
					state = states[e.State]
				}
			}
		}
		sim.observe(tracecheck.Event{Kind: tracecheck.Listed, Worker: m.name, State: state})
	}
}

// JobArrived implements fake.Observer.
func (sim *Simulation) JobArrived(worker, id string, work float64) {
	l := sim.arrivingLink
	sim.observe(
		tracecheck.Event{Kind: tracecheck.AttemptArrived, Node: l.node.name, Request: id, Worker: worker, Work: work},
	)
}

// ResultProduced implements fake.Observer.
func (sim *Simulation) ResultProduced(worker, id, result string) {
	sim.observe(tracecheck.Event{Kind: tracecheck.ResultProduced, Request: id, Worker: worker, Result: result})
}

// RequestStarted implements fake.Observer.
func (sim *Simulation) RequestStarted(node, id string, until time.Time, class string) bool {
	owed := !sim.checker.Unanswered(node, id)
	sim.countRequest(node, id, "taken")
	sim.observe(
		tracecheck.Event{
			Kind:    tracecheck.Accepted,
			Node:    node,
			Request: id,
			Class:   sim.classes[class],
			Until:   until.Sub(sim.start),
		},
	)
	return owed
}

// RequestEnded implements fake.Observer.
func (sim *Simulation) RequestEnded(node, id string, status int, body string) {
	e := tracecheck.Event{Kind: tracecheck.Answered, Node: node, Request: id, Verdict: tracecheck.Failed}
	sim.countRequest(node, id, outcomeLabel(status))
	switch status {
	case fake.Cut, fake.CutFirst:
		e.Kind, e.First = tracecheck.Dropped, status == fake.CutFirst
	case fake.ClosedWhileSending:
		e.Kind = tracecheck.ClientGone
	case 200:
		e.Verdict, e.Result = tracecheck.Served, body
		sim.outcome.Served++
	case 429, 503:
		e.Verdict = tracecheck.Refused
		sim.outcome.Refused++
	default:
		sim.outcome.Failed++
	}
	sim.trace("%s answers %s with %d", node, id, status)
	sim.observe(e)
}

// outcomeLabel maps a status to the name of the node's metric. If the client saw no answer ("unseen"), the node may still have sent one.
func outcomeLabel(status int) string {
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

// countRequest counts a request under the given outcome for the process that took it, since the answer may arrive after the node has
// been restarted.
func (sim *Simulation) countRequest(node, id, what string) {
	if what == "taken" {
		for _, n := range sim.nodes {
			if n.name == node {
				sim.requestOwners[node+" "+id] = n
			}
		}
	}
	if n := sim.requestOwners[node+" "+id]; n != nil && n.requestCounts != nil {
		n.requestCounts[what]++
	}
}

// ClientGone implements fake.Observer.
func (sim *Simulation) ClientGone(node, id string) {
	sim.trace("the client of %s leaves", id)
	sim.countRequest(node, id, "unseen")
	sim.observe(tracecheck.Event{Kind: tracecheck.ClientGone, Node: node, Request: id})
}

// PickNode implements fake.Dialer. It picks among the ready nodes by a hash; a node that is draining or terminating is picked only if
// the client has kept a connection to it.
func (sim *Simulation) PickNode(j *fake.Job, try int, kept func(string) bool) string {
	var in []*process
	for _, n := range sim.nodes {
		if n.ready || n.running && (n.terminatedAt > 0 || n.drained) && kept(n.name) {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		return ""
	}
	h := xxhash.Sum64String(fmt.Sprint(sim.plan.Seed, j.Name, try))
	return in[h%uint64(len(in))].name
}
