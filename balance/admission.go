package balance

import (
	"cmp"
	"time"
)

// minAnswerMargin is the least time between a request's deadline and the end of its client's timeout, except
// where that would be more than half of the timeout.
const minAnswerMargin = 10 * time.Millisecond

// Submit accepts a request. From then on the balancer guarantees it exactly one final answer (Reject, Fail,
// or an outcome that the host passes on) before its client's timeout ends. A request of an unknown class, or
// with the ID of a known one, is ignored.
func (b *Balancer) Submit(now time.Duration, spec Request) {
	b.now = now
	if spec.Class < 0 || spec.Class >= len(b.settings.Classes) || b.requests.byID[spec.ID] != nil {
		return
	}
	spec.Slots = cmp.Or(max(spec.Slots, 0), 1)
	class := &b.settings.Classes[spec.Class]
	spent := b.jobs.timeSpentEarlier(spec.Class, spec.ClientTimeout)
	margin := min(max(2*b.settings.MinEventInterval, minAnswerMargin), spec.ClientTimeout/2)
	r := &request{
		Request:     spec,
		class:       class,
		objectiveAt: now - spent + class.LatencyObjective,
		deadline:    now + spec.ClientTimeout - margin,
		maxAttempts: b.settings.MaxAttempts,
		held:        b.holdsNew && class.Idempotency != Idempotent,
	}
	b.arrivals.record(now)
	b.healthChecks.refill()
	b.retries.refill()
	b.requests.add(r)
	b.actions.SetTimer(r.deadline-now, spec.ID)
	b.enqueue(r)
	if b.outlivesShutdown(r) {
		b.rejectOrFail(r)
	}
	b.advance()
}

// ClientGone handles a client's disconnect: its request is finished without an answer.
func (b *Balancer) ClientGone(now time.Duration, requestID string) {
	b.now = now
	if r := b.requests.open(requestID); r != nil {
		b.finish(r)
	}
	b.advance()
}

// ShutdownAt announces the time at which this balancer will be stopped. Requests that cannot complete by then
// are rejected at once where a retry is safe, running ones included, so that their clients can retry
// elsewhere in time. This applies only to requests with a run time hint, and not to those that cannot meet
// their objective anyway.
func (b *Balancer) ShutdownAt(now, at time.Duration) {
	b.now = now
	b.shutdownAt = at
	for _, r := range b.requests.inOrder() {
		if b.outlivesShutdown(r) && r.mayReject() && !b.cannotMeetObjective(r) {
			b.rejectOrFail(r)
		}
	}
	b.advance()
}

// outlivesShutdown reports whether a request is expected to be running still when this balancer is stopped.
// The estimate extrapolates the progress so far, or is the run time hint at the mean work rate if none is
// known.
func (b *Balancer) outlivesShutdown(r *request) bool {
	left := r.RunTimeHint.Seconds() / b.jobs.meanWorkRate
	for _, a := range r.attempts {
		if a.inFlight && a.progress > 0 {
			ran := (a.progressAt - a.startedAt).Seconds()
			left = ran*(1-a.progress)/a.progress - (b.now - a.progressAt).Seconds()
		}
	}
	return b.shutdownAt > 0 && r.RunTimeHint > 0 && left > (b.shutdownAt-b.now).Seconds()
}

// rejectOrFail gives the final answer to a request that was not served: a rejection if it is safe for the
// client to retry, a failure otherwise.
func (b *Balancer) rejectOrFail(r *request) {
	if r.mayReject() {
		b.actions.Reject(r.ID, b.retryAfter(r))
	} else {
		b.actions.Fail(r.ID)
	}
	b.finish(r)
}

// mayReject reports whether it is safe for the client to retry: the class is idempotent, all workers
// deduplicate by its key, or no attempt can have run.
func (r *request) mayReject() bool {
	switch {
	case r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == AllWorkers:
		return true
	}
	return r.firstMaybeRan() == nil
}

// retryAfter returns the Retry-After of a rejection. After the objective is missed, a retry earns nothing and
// only takes capacity from other requests, so it is MaxRetryAfter; before that, the time until a slot is
// likely to be free.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if r.class.LateWeight == 0 && b.slack(r) < 0 {
		return b.settings.MaxRetryAfter
	}
	return min(b.settings.MaxRetryAfter, b.settings.DialTimeout+seconds(b.starts.median))
}

// finish ends a request. Its attempts still in flight are canceled, as their results are not needed.
func (b *Balancer) finish(r *request) {
	r.finished = true
	b.queue.remove(r)
	for number, a := range r.attempts {
		if a.inFlight && b.settings.AllowCancel {
			b.actions.CancelAttempt(r.ID, number)
		}
	}
	b.requests.forgetIfDone(r)
}
