package tracecheck

import (
	"fmt"
	"time"

	"swiftdeal/balance"
)

// requestAnswered checks an answer against rules 1 and 2.
func (c *Checker) requestAnswered(e Event) {
	j := c.jobs[key(e)]
	if e.Verdict == Served && !c.results[[2]string{e.Request, e.Result}] {
		c.addViolation(1, e, "served with a result that no worker produced for it")
	}
	if j == nil || j.finished && j.answers == 0 {
		return // no answer was owed: not received whole, client gone, or already reported as overdue
	}
	if j.answers++; j.answers > 1 {
		c.addViolation(1, e, "answered twice")
		return
	}
	j.finished, j.finishedAt = true, e.At
	if e.Verdict == Refused {
		cl := &c.config.Classes[j.class]
		if cl.Idempotency == balance.Idempotent ||
			cl.Idempotency == balance.IdempotentWithKey && cl.KeyScope == balance.AllWorkers {
			return
		}
		if c.config.Unordered {
			c.refused = append(c.refused, j)
			return
		}
		for _, t := range j.attempts {
			if t.inFlight || !t.notRun {
				c.addViolation(2, e, "refused, which allows a retry, though an attempt may have run")
				return
			}
		}
	}
}

// attemptSent checks a new attempt against rules 1 to 3.
func (c *Checker) attemptSent(e Event) {
	w, j := c.worker(e.Worker), c.jobs[key(e)]
	a := &attempt{worker: e.Worker, zone: w.zone, cell: w.cell, sentAt: e.At, inFlight: true}
	if last := w.notified[e.Node]; last.state != balance.Ready && e.At > last.notifiedAt+c.config.DrainGrace {
		c.addViolation(
			3, e,
			fmt.Sprintf("sent to a worker of which the node was notified as %s at %v", stateName(last.state), last.notifiedAt),
		)
	}
	if w.listed != balance.Ready && c.config.ListedAfter > 0 && e.At > w.listedSince+c.config.ListedAfter+c.config.DrainGrace {
		c.addViolation(
			3, e,
			fmt.Sprintf("sent to a worker listed as %s since %v", stateName(w.listed), w.listedSince),
		)
	}
	if j == nil {
		c.addViolation(2, e, "sent for a request that no client has sent")
		return
	}
	if j.finished && !j.sharedID && !c.config.Unordered &&
		!(j.clientGoneAt > 0 && e.At <= j.clientGoneAt+c.config.AnswerGrace) { // the node learns of a disconnect with a delay
		c.addViolation(1, e, "sent after its request ended")
	}
	if c.config.ClientGoneGrace > 0 && j.clientGoneAt > 0 && e.At > j.clientGoneAt+c.config.ClientGoneGrace &&
		!j.sharedID {
		c.addViolation(1, e, fmt.Sprintf("started %v after its client disconnected", e.At-j.clientGoneAt))
	}
	if left := j.answerBy - c.config.AnswerGrace - e.At; c.config.DeadlineSlack > 0 && e.Within > left+c.config.DeadlineSlack &&
		!j.sharedID {
		c.addViolation(1, e, fmt.Sprintf("sent with a deadline of %v, but the client has %v left", e.Within, left))
	}
	cl := &c.config.Classes[j.class]
	for _, other := range j.attempts {
		if j.sharedID {
			break
		}
		if other.notRun && !other.inFlight {
			continue
		}
		switch {
		case other.inFlight && !c.config.Hedges:
			c.addViolation(2, e, "second attempt in flight, but hedges are not allowed")
		case cl.Idempotency == balance.NotIdempotent:
			c.addViolation(2, e, "sent again though an earlier attempt may have run")
		case cl.Idempotency == balance.IdempotentWithKey && cl.KeyScope == balance.SameZone && other.zone != a.zone,
			cl.Idempotency == balance.IdempotentWithKey && cl.KeyScope == balance.SameCell && other.cell != a.cell:
			c.addViolation(2, e, "sent again outside the group that drops duplicates")
		case cl.Idempotency == balance.IdempotentWithKey && e.At > other.sentAt+cl.KeyWindow+c.config.WindowSlack:
			c.addViolation(2, e, fmt.Sprintf("sent again %v after an attempt that may have run", e.At-other.sentAt))
		}
	}
	j.attempts = append(j.attempts, a)
	c.attempts[e.Attempt], c.jobOf[e.Attempt] = a, j
	c.inFlight[[2]string{e.Node, e.Worker}]++
	if !j.sharedID && c.config.MaxAttempts > 0 && len(j.attempts) > c.config.MaxAttempts {
		c.addViolation(2, e, fmt.Sprintf("attempt %d, but at most %d are allowed", len(j.attempts), c.config.MaxAttempts))
	}
}

// attemptArrived checks rule 4. The budget of a window is the configured multiple of the present capacity plus the largest
// job: the rule allows for chance.
func (c *Checker) attemptArrived(e Event) {
	w := c.worker(e.Worker)
	factor := c.slowStartFactor(w, e.At)
	if !w.running || factor >= 1 || c.config.OverloadWindow <= 0 || c.config.OverloadMultiple <= 0 {
		return
	}
	// Whether the node was notified of the start is judged as of now: a later notification does not count.
	last, known := w.notified[e.Node]
	notified := known && last.processStarted >= w.started || c.config.NotifiedAfter > 0 && e.At >= w.started+c.config.NotifiedAfter
	w.dispatched = append(w.dispatched, dispatchedWork{e.At, e.Work, notified})
	for len(w.dispatched) > 0 && w.dispatched[0].startedAt < e.At-c.config.OverloadWindow {
		w.dispatched = w.dispatched[1:]
	}
	sum, notifiedWork, largest := 0.0, 0.0, 0.0
	for _, l := range w.dispatched {
		sum, largest = sum+l.work, max(largest, l.work)
		if l.notified {
			notifiedWork += l.work
		}
	}
	budget := c.config.OverloadMultiple*factor*w.capacity*c.config.OverloadWindow.Seconds() + largest
	if sum > budget && notifiedWork >= sum*2/3 {
		c.addViolation(
			4,
			e,
			fmt.Sprintf(
				"cold worker at %.0f%% capacity received %.2f s of work in %v, its budget is %.2f s",
				factor*100,
				sum,
				c.config.OverloadWindow,
				budget,
			),
		)
	}
}

// slowStartFactor returns the share of its full capacity that a worker has at a time.
func (c *Checker) slowStartFactor(w *worker, at time.Duration) float64 {
	if !w.cold || c.config.ColdFor <= 0 {
		return 1
	}
	return c.config.ColdFrom + (1-c.config.ColdFrom)*min(1, (at-w.started).Seconds()/c.config.ColdFor.Seconds())
}

// addViolation records a violation of a rule, with all workers that the request was sent to.
func (c *Checker) addViolation(rule int, e Event, text string) {
	v := Violation{Rule: rule, At: e.At, Node: e.Node, Request: e.Request, Text: text}
	if j := c.jobs[key(e)]; j != nil {
		for _, t := range j.attempts {
			v.Workers = append(v.Workers, t.worker)
		}
	}
	if e.Worker != "" {
		v.Workers = append(v.Workers, e.Worker)
	}
	c.violations = append(c.violations, v)
}
