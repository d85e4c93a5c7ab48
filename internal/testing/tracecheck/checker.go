// Package tracecheck checks the four rules of a node against a trace of timed events. The trace comes from any host: a
// simulation, or real sockets whose traffic is observed. The package does no I/O and reads no clock. It does not depend on
// how a node decides: it sees only what crossed the network and what the node was notified of.
//
//  1. Each accepted request gets one final answer in time, and a result only if a worker produced it.
//  2. A request that may have run is sent again only as its class allows.
//  3. No attempt is sent to a worker after the node was notified of its drain or removal and the grace period has passed.
//  4. No cold worker is sent more work than the configured multiple of its present capacity.
package tracecheck

import (
	"container/heap"
	"fmt"
	"time"

	"swiftdeal/balance"
)

// Checker checks a trace.
type Checker struct {
	config     Config
	jobs       map[[2]string]*job // by node and id
	results    map[[2]string]bool // results that workers produced, by request and result
	attempts   map[int]*attempt   // attempts in flight, by number
	jobOf      map[int]*job       // by number of an attempt in flight
	inFlight   map[[2]string]int  // number of attempts in flight, by node and worker
	workers    map[string]*worker
	deadlines  dueHeap
	violations []Violation
	now        time.Duration

	refused []*job // checked by Close, when the trace is unordered
}

// New returns a checker for an empty trace.
func New(c Config) *Checker {
	return &Checker{
		config:   c,
		jobs:     map[[2]string]*job{},
		results:  map[[2]string]bool{},
		attempts: map[int]*attempt{},
		jobOf:    map[int]*job{},
		inFlight: map[[2]string]int{},
		workers:  map[string]*worker{},
	}
}

// Step processes the next event and returns the violations that it shows. Events must be in order of time.
func (c *Checker) Step(e Event) []Violation {
	c.violations = nil
	if e.At < c.now {
		panic(fmt.Sprintf("tracecheck: event at %v after an event at %v", e.At, c.now))
	}
	c.Advance(e.At)
	if handle := handlers[e.Kind]; handle != nil {
		handle(c, e)
	}
	return c.violations
}

// Advance moves the time to at, and returns a violation for each answer that has become overdue.
func (c *Checker) Advance(at time.Duration) []Violation {
	c.now = max(c.now, at)
	for len(c.deadlines) > 0 && (c.deadlines[0].finished || c.deadlines[0].answerBy < at) {
		j := heap.Pop(&c.deadlines).(*job)
		if !j.finished {
			j.finished, j.finishedAt = true, at
			c.addViolation(1, Event{At: at, Node: j.node, Request: j.id}, fmt.Sprintf("no answer by %v", j.answerBy))
		}
	}
	return c.violations
}

// Close ends a trace: every attempt has ended. It returns the violations that can be judged only now.
func (c *Checker) Close() []Violation {
	c.violations = nil
	for _, j := range c.refused {
		for _, t := range j.attempts {
			if !t.notRun {
				c.addViolation(
					2,
					Event{At: c.now, Node: j.node, Request: j.id, Worker: t.worker},
					"refused, which allows a retry, though an attempt may have run",
				)
				break
			}
		}
	}
	return c.violations
}

// Open returns the number of requests that have no answer yet.
func (c *Checker) Open() (n int) {
	for _, j := range c.jobs {
		if !j.finished {
			n++
		}
	}
	return n
}

// InFlight returns the number of attempts that a node has in flight at a worker.
func (c *Checker) InFlight(node, worker string) int { return c.inFlight[[2]string{node, worker}] }

// Stray returns an attempt that is still in flight though its request ended longer ago than the given time, or nil. No rule
// forbids it, but it occupies capacity that other requests need.
func (c *Checker) Stray(at, after time.Duration) *Event {
	for n, t := range c.attempts {
		if j := c.jobOf[n]; j.finished && !j.sharedID && at > j.finishedAt+after {
			return &Event{At: at, Node: j.node, Request: j.id, Worker: t.worker, Attempt: n}
		}
	}
	return nil
}

// endAttempt removes an attempt from those in flight.
func (c *Checker) endAttempt(n int) {
	t := c.attempts[n]
	t.inFlight = false
	c.inFlight[[2]string{c.jobOf[n].node, t.worker}]--
	delete(c.attempts, n)
	delete(c.jobOf, n)
}

// Unanswered reports whether a node has a request with this id that has no answer yet.
func (c *Checker) Unanswered(node, id string) bool {
	j := c.jobs[[2]string{node, id}]
	return j != nil && !j.finished
}

// UnansweredSince returns the number of requests that a node accepted before the given time and has not answered.
func (c *Checker) UnansweredSince(node string, before time.Duration) (n int) {
	for _, j := range c.deadlines {
		if j.node == node && !j.finished && j.accepted < before {
			n++
		}
	}
	return n
}

// key returns the key of an event's request in Checker.jobs.
func key(e Event) [2]string { return [2]string{e.Node, e.Request} }

// worker returns the state of a worker, which it creates on first use.
func (c *Checker) worker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{id: id, notified: map[string]notification{}, listed: balance.Ready}
		c.workers[id] = w
	}
	return w
}

// stateName returns a worker's status as violations show it.
func stateName(s balance.WorkerStatus) string {
	return map[balance.WorkerStatus]string{
		balance.Removed: "gone", balance.Ready: "ready", balance.Draining: "draining",
	}[s]
}
