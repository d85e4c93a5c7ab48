package dispatch

import (
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
)

// SendAttempt implements balance.Actions.
func (d *Dispatcher) SendAttempt(id, worker string) {
	open := d.requests[id]
	attempt := len(open.cancelAttempts)
	open.outstanding++
	if d.debugEnabled {
		d.log.Debug("attempt started", "id", id, "attempt", attempt, "worker", worker)
	}
	if open.isDone() {
		// Guards against an attempt whose result nobody would receive: the client has disconnected, or the deadline timer of
		// admission has answered, and the event that reports it to the Balancer is still queued.
		open.cancelAttempts = append(open.cancelAttempts, func() {})
		d.AttemptDone(balance.Outcome{Request: id, Attempt: attempt, Worker: worker, Result: balance.Suppressed}, "")
		return
	}
	var writeBy time.Time
	if deadline, bound := d.balancer.RetryDeadline(id); bound {
		writeBy = d.clock.timeOf(deadline)
	}
	cancel := d.sender.StartAttempt(open.context, attempt, worker, writeBy)
	open.cancelAttempts = append(open.cancelAttempts, cancel)
}

// CancelAttempt implements balance.Actions.
func (d *Dispatcher) CancelAttempt(id string, attempt int) {
	if open := d.requests[id]; open != nil && attempt >= 0 && attempt < len(open.cancelAttempts) {
		open.cancelAttempts[attempt]()
	}
}

// AttemptProgress reports progress of an attempt in flight; share is the completed fraction of the job, from 0 to 1. Reports that
// arrive before an earlier one was handled are merged with it.
func (d *Dispatcher) AttemptProgress(id string, attempt int, kind balance.ProgressKind, share float64) {
	source := attemptSource(id, attempt)
	if !d.progress.record(source, attemptProgress{kind, share}) {
		d.counts.progressMerged.Add(1)
		return
	}
	d.queue.enqueue(source, func() {
		progress := d.progress.take(source)
		d.log.Debug("attempt progress", "id", id, "attempt", attempt, "kind", progress.kind, "share", progress.share)
		d.balancer.AttemptProgress(d.now(), id, attempt, progress.kind, progress.share)
	})
}

// AttemptDone reports the end of an attempt. The first result is sent to the client and completes the request. A worker's answer
// that the request is invalid completes it too, since no other worker would accept it.
func (d *Dispatcher) AttemptDone(outcome balance.Outcome, result string) {
	d.counts.attemptResults[outcome.Result].Add(1)
	d.queue.enqueue(attemptSource(outcome.Request, outcome.Attempt), func() {
		open := d.requests[outcome.Request]
		if open == nil {
			return
		}
		open.outstanding--
		if !open.done {
			open.answerWith(outcome.Result, result)
		}
		outcome.Final = open.done
		d.log.Debug("attempt done", "id", outcome.Request, "attempt", outcome.Attempt, "worker", outcome.Worker,
			"result", outcome.Result, "took_ms", outcome.Elapsed.Milliseconds())
		d.balancer.AttemptDone(d.now(), outcome)
		d.removeIfDone(open)
	})
}

// answerWith answers the client if the outcome of an attempt completes the request.
func (o *openRequest) answerWith(ended balance.Result, result string) {
	switch ended {
	case balance.OK:
		o.markDone()
		o.context.Finish(request.Answer{Verdict: request.Served, Result: result})
	case balance.InvalidRequest:
		o.markDone()
		o.context.Finish(request.Answer{Verdict: request.Malformed, Reason: "turned away by the peer as faulty"})
	}
}

// attemptSource returns the source of the events of an attempt.
func attemptSource(id string, attempt int) platform.EventSource {
	return platform.EventSource{Kind: platform.Attempt, ID: id, Attempt: attempt}
}
