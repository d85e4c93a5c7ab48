package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/tracecheck"
)

// The functions in this file run under the host's lock, except for traceEvent and addViolation, which take it.

// keptTrace is the maximum number of trace lines kept, shownTrace the number shown with a violation.
const (
	keptTrace  = 4000
	shownTrace = 40
)

// appendTrace adds a line to the trace.
func (f *Cluster) appendTrace(text string) {
	if len(f.trace) >= keptTrace {
		f.trace = slices.Delete(f.trace, 0, keptTrace/4)
	}
	f.trace = append(f.trace, fmt.Sprintf("%9.1f ms  %s", float64(time.Since(f.start).Microseconds())/1000, text))
}

// traceEvent adds a line to the trace. It takes the host's lock.
func (f *Cluster) traceEvent(kind, who, text string) {
	f.host.Do(func() { f.appendTrace(kind + " " + who + " " + text) })
}

// addViolation records a violation that depends on no time bound. It takes the host's lock.
func (f *Cluster) addViolation(invariant, text string) {
	f.host.Do(func() { f.recordViolation(invariant, text, "", false) })
}

// recordViolation records a violation. One of a time bound (timed) that is seen while the harness itself was late goes to unjudged.
func (f *Cluster) recordViolation(invariant, text, request string, timed bool) {
	f.appendTrace("VIOLATED " + invariant + ": " + text)
	v := Violation{Invariant: invariant, Text: text, Trace: f.traceBefore(request)}
	if timed && time.Since(f.lastLag) < lagWindow {
		f.unjudged = append(f.unjudged, v)
	} else if len(f.broken) < 50 {
		f.broken = append(f.broken, v)
	}
}

// traceBefore returns the trace before a violation: the lines of its request, if any, then the last lines of the run.
func (f *Cluster) traceBefore(request string) []string {
	list := slices.Clone(f.byRequest[request])
	return append(list, f.trace[max(0, len(f.trace)-shownTrace):]...)
}

// ruleInvariants maps the rules of tracecheck to the names of the invariants.
var ruleInvariants = map[int]string{1: "answer", 2: "repeat", 3: "drain", 4: "slow-start"}

// observe traces an event and passes it to the checker.
func (f *Cluster) observe(e tracecheck.Event) {
	e.At = time.Since(f.start)
	if e.Request != "" {
		line := fmt.Sprintf("%s node %s request %s worker %s", e.Kind, e.Node, e.Request, e.Worker)
		switch e.Kind {
		case tracecheck.AttemptSent:
			line += fmt.Sprintf(", told %v", e.Within)
		case tracecheck.Answered:
			line += " " + e.Verdict.String()
		case tracecheck.Accepted:
			line += fmt.Sprintf(", until %v", e.Until)
		}
		f.appendTrace(line)
		f.byRequest[e.Request] = append(f.byRequest[e.Request], f.trace[len(f.trace)-1])
	}
	f.recordViolations(f.checker.Step(e))
}

// recordViolations records the checker's violations under the names of their invariants.
func (f *Cluster) recordViolations(list []tracecheck.Violation) {
	for _, v := range list {
		name := ruleInvariants[v.Rule]
		switch {
		case strings.HasPrefix(v.Text, "sent with a deadline"):
			name = "deadline"
		case strings.HasPrefix(v.Text, "started"):
			name = "left"
		}
		f.recordViolation(name, v.String(), v.Request, v.Rule != 2)
	}
}

// listObserved reports to the checker the worker states that a message of discovery carries to a node.
func (f *Cluster) listObserved(node int, m *fake.Mark) {
	if m.List == nil && !m.Full {
		return
	}
	named := map[string]bool{}
	for _, e := range m.List {
		named[e.ID] = true
		state := map[string]balance.WorkerStatus{
			"in_service": balance.Ready, "terminating": balance.Draining, "terminated": balance.Removed,
		}[e.State]
		since := time.Duration(0)
		if e.Started > 0 {
			since = time.UnixMilli(e.Started + 1).Sub(f.start)
		}
		f.observe(
			tracecheck.Event{
				Kind:   tracecheck.Notified,
				Node:   f.name(node),
				Worker: e.ID,
				State:  state,
				Zone:   e.Zone,
				Cell:   fmt.Sprint(e.Cell),
				Since:  since,
			},
		)
	}
	if !m.Full {
		return
	}
	for _, w := range f.workers {
		if !named[w.worker.ID] {
			f.observe(
				tracecheck.Event{
					Kind: tracecheck.Notified, Node: f.name(node), Worker: w.worker.ID, State: balance.Removed,
				},
			)
		}
	}
}

// JobArrived implements fake.Observer.
func (f *Cluster) JobArrived(workerID, id string, work float64) {
	f.observe(
		tracecheck.Event{Kind: tracecheck.AttemptArrived, Node: f.arrivingNode, Request: id, Worker: workerID, Work: work},
	)
}

// ResultProduced implements fake.Observer.
func (f *Cluster) ResultProduced(workerID, id, result string) {
	f.observe(tracecheck.Event{Kind: tracecheck.ResultProduced, Request: id, Worker: workerID, Result: result})
}

// RequestStarted implements fake.Observer.
func (f *Cluster) RequestStarted(node, id string, until time.Time, name string) bool {
	at := slices.IndexFunc(classes, func(c class) bool { return c.name == name })
	f.deadlines[id] = until
	f.accepted[id] = acceptance{node, time.Now()}
	f.observe(
		tracecheck.Event{
			Kind: tracecheck.Accepted, Node: node, Request: id, Class: max(at, 0), Until: until.Sub(f.start),
		},
	)
	return true
}

// killGrace is how long after a kill clients may still find their connections broken.
const killGrace = 600 * time.Millisecond

// mayCutClients reports whether a node's clients may lose their connections: its process was killed or is not running.
func (f *Cluster) mayCutClients(name string) bool {
	i := 0
	fmt.Sscanf(name, "n%d", &i)
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.nodes[i].killed) < killGrace || !f.nodes[i].process.running()
}

// earlyMargin is how long before its deadline a request must fail to count as failed early.
const earlyMargin = 500 * time.Millisecond

// RequestEnded implements fake.Observer.
func (f *Cluster) RequestEnded(node, id string, status int, body string) {
	e := tracecheck.Event{Kind: tracecheck.Answered, Node: node, Request: id, Verdict: tracecheck.Failed}
	switch status {
	case fake.Cut, fake.CutFirst:
		e.Kind, e.First = tracecheck.Dropped, status == fake.CutFirst
		if f.mayCutClients(node) {
			e.Kind = tracecheck.ClientGone
		}
	case fake.ClosedWhileSending:
		e.Kind = tracecheck.ClientGone
	case 200:
		e.Verdict, e.Result = tracecheck.Served, body
		f.stats.Served++
	case 429, 503:
		e.Verdict = tracecheck.Refused
		f.stats.Refused++
	default:
		f.stats.Failed++
		if time.Until(f.deadlines[id]) > earlyMargin {
			f.stats.FailedEarly++
		}
	}
	delete(f.deadlines, id)
	delete(f.accepted, id)
	f.observe(e)
}

// ClientGone implements fake.Observer.
func (f *Cluster) ClientGone(node, id string) {
	if job, _, _ := strings.Cut(id, "-"); f.owedAnswers[job] && !f.mayCutClients(node) {
		f.recordViolation("answer", fmt.Sprintf("%s has not answered %s long after its deadline", node, id), id, true)
	}
	delete(f.accepted, id)
	f.observe(tracecheck.Event{Kind: tracecheck.ClientGone, Node: node, Request: id})
}
