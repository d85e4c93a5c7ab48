package tracecheck

import (
	"container/heap"

	"swiftdeal/balance"
)

// handlers update and check the state for each kind of event.
var handlers = map[Kind]func(*Checker, Event){
	WorkerUp:        (*Checker).workerUp,
	WorkerDown:      func(c *Checker, e Event) { c.worker(e.Worker).running = false },
	Notified:        (*Checker).nodeNotified,
	Listed:          (*Checker).workerListed,
	Accepted:        (*Checker).requestAccepted,
	ClientGone:      (*Checker).clientGone,
	Answered:        (*Checker).requestAnswered,
	Dropped:         (*Checker).requestDropped,
	AttemptSent:     (*Checker).attemptSent,
	AttemptArrived:  (*Checker).attemptArrived,
	ResultProduced:  func(c *Checker, e Event) { c.results[[2]string{e.Request, e.Result}] = true },
	AttemptEnded:    (*Checker).attemptEnded,
	AttemptCanceled: (*Checker).attemptEnded,
	Killed:          (*Checker).nodeKilled,
}

func (c *Checker) workerUp(e Event) {
	w := c.worker(e.Worker)
	w.zone, w.cell, w.capacity = e.Zone, e.Cell, e.Capacity
	w.started, w.cold, w.running = e.At, e.Cold, true
	w.dispatched = nil
}

func (c *Checker) nodeNotified(e Event) {
	w := c.worker(e.Worker)
	if w.zone == "" {
		w.zone, w.cell = e.Zone, e.Cell
	}
	was, known := w.notified[e.Node]
	if !known || (was.state == balance.Ready) != (e.State == balance.Ready) {
		was.notifiedAt = e.At // drain, then removal: the grace period runs from the drain
	}
	was.state, was.processStarted = e.State, max(was.processStarted, e.Since)
	w.notified[e.Node] = was
}

func (c *Checker) workerListed(e Event) {
	w := c.worker(e.Worker)
	if (w.listed == balance.Ready) != (e.State == balance.Ready) {
		w.listedSince = e.At
	}
	w.listed = e.State
}

func (c *Checker) requestAccepted(e Event) {
	if j := c.jobs[key(e)]; j != nil && !j.finished {
		j.sharedID = true // the id is in use: its second sender is owed no answer
		return
	}
	j := &job{id: e.Request, node: e.Node, class: e.Class, accepted: e.At, answerBy: e.Until + c.config.AnswerGrace}
	c.jobs[key(e)] = j
	heap.Push(&c.deadlines, j)
}

func (c *Checker) clientGone(e Event) {
	if j := c.jobs[key(e)]; j != nil && !j.finished {
		j.finished, j.clientGoneAt, j.finishedAt = true, e.At, e.At
	}
}

func (c *Checker) requestDropped(e Event) {
	j := c.jobs[key(e)]
	if j == nil || j.finished {
		return
	}
	j.finished, j.finishedAt = true, e.At
	if e.First && len(j.attempts) == 0 {
		return // to the client the connection never came up
	}
	c.addViolation(1, e, "the node ended the connection without an answer")
}

func (c *Checker) attemptEnded(e Event) {
	if a := c.attempts[e.Attempt]; a != nil {
		a.notRun = e.Kind == AttemptEnded && e.NotRun
		c.endAttempt(e.Attempt)
	}
}

func (c *Checker) nodeKilled(e Event) {
	for _, j := range c.deadlines {
		if j.node == e.Node && !j.finished {
			j.finished, j.finishedAt = j.accepted < e.Until, e.At // an answer to a request accepted later may still arrive
		}
	}
	for number := range c.attempts {
		if c.jobOf[number].node == e.Node {
			c.endAttempt(number)
		}
	}
	for _, w := range c.workers {
		delete(w.notified, e.Node)
	}
}
