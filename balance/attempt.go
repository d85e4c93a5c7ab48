package balance

import (
	"math"
	"slices"
	"time"
)

// startAttempt sends a request to a worker and reserves capacity there.
func (b *Balancer) startAttempt(r *request, w *worker) {
	a := &attempt{request: r, worker: w, sentAt: b.now, inFlight: true}
	r.attempts = append(r.attempts, a)
	b.attemptsInFlight = append(b.attemptsInFlight, a)
	w.load.reserve(a, b.jobs.expectedWork(r))
	w.load.compact(b.now - b.loadEventRetention())
	b.countSlowStartViolation(w, r)
	b.actions.SendAttempt(r.ID, w.ID)
	if b.settings.ReportsJobStart {
		b.actions.SetTimer(b.startGrace(w), "") // to detect that it waits at the worker
	}
}

// AttemptProgress handles a worker's notification about an attempt, given by its index. For JobAdvanced,
// progress is the completed share of the work.
func (b *Balancer) AttemptProgress(
	now time.Duration, requestID string, number int, kind ProgressKind, progress float64,
) {
	b.now = now
	if a := b.requests.inFlight(requestID, number); a != nil {
		a.lastSeenAt = now
		a.worker.health.lastSeenAt = now
		if a.startedAt == 0 {
			b.attemptStarted(a)
		}
		if kind == JobAdvanced {
			b.observeWorkRate(a, progress)
		}
		a.worker.health.consecutiveFailures = 0
	}
	b.advance()
}

// attemptStarted records that an attempt's job has started.
func (b *Balancer) attemptStarted(a *attempt) {
	a.startedAt = b.now
	a.progressAt = b.now
	waited := b.now - a.sentAt
	if a.replacesAbandoned() && waited < b.startGrace(a.worker) {
		b.retries.refund(b.reports.averageQueue)
	}
	b.starts.observe(waited, b.settings.DialTimeout)
	b.starts.updateMedian(waited.Seconds())
}

// replacesAbandoned reports whether an attempt is its request's latest and replaces an abandoned one.
func (a *attempt) replacesAbandoned() bool {
	all := a.request.attempts
	last := len(all) - 1
	return last > 0 && all[last] == a && all[last-1].abandoned
}

// AttemptDone handles the outcome of an attempt. For an attempt that is not in flight only the load report is
// recorded.
func (b *Balancer) AttemptDone(now time.Duration, outcome Outcome) {
	b.now = now
	if w := b.workers.byID[outcome.Worker]; w != nil && outcome.Report != nil {
		b.recordReport(w, outcome.Report)
	}
	a := b.requests.inFlight(outcome.Request, outcome.Attempt)
	if a == nil {
		return
	}
	r := a.request
	a.inFlight = false
	a.neverRan = outcome.Result.neverRan()
	a.worker.load.release(a, now)
	b.recordOutcome(a, outcome.Result)
	if outcome.Final && !r.finished {
		b.finish(r)
	}
	if r.finished {
		b.requests.forgetIfDone(r)
	} else if !r.queued && !r.hasOpenAttempt() {
		b.retryOrFinish(r)
	}
	b.advance()
}

// capacityStep is how many attempts beyond those in flight a success allows before the first report.
const capacityStep = 2

// recordOutcome updates the estimates of run time and capacity and the worker's health by an outcome.
func (b *Balancer) recordOutcome(a *attempt, result Result) {
	w := a.worker
	switch result {
	case OK:
		w.health.consecutiveFailures = 0
		w.health.lastSeenAt = b.now
		b.observeWorkRate(a, 1)
		ran := b.now - max(a.sentAt, a.startedAt)
		b.jobs.observeRunTime(a.request.Class, ran.Seconds())
		w.load.estimatedCapacity = max(w.load.estimatedCapacity, float64(len(w.load.attempts)+capacityStep))
	case RejectedBusy:
		w.load.estimatedCapacity = max(1, math.Floor(w.load.estimatedCapacity/2))
		w.load.report.FreeSlots = min(w.load.report.FreeSlots, 0) // until the next report
		w.check.sentAt = 0                                        // check at once
		b.recordFailure(w, result)
	case WorkerError, ConnectFailed, ConnectionReset, TimedOut:
		b.recordFailure(w, result)
	}
}

// A worker's backoff after a failure is the dial timeout, doubled for each further consecutive failure up to
// maxFailureDoublings times, with a jitter of 25 % either way.
const (
	maxFailureDoublings = 4
	failureJitterMin    = 0.75
	failureJitterSpread = 0.5
)

// recordFailure backs off from a worker, longer with each consecutive failure. After the backoff, a worker
// with more than one consecutive failure receives one attempt at a time until a success or a progress
// notification resets their number (see excludes). Without the backoff a worker that quickly answers with
// errors would have its reservations released early, and would keep being chosen.
func (b *Balancer) recordFailure(w *worker, result Result) {
	if result.connectionBroken() && b.settings.AllowHealthChecks {
		// Send nothing until a health check succeeds: the process may be gone, or replaced by a new one that
		// is warming up.
		w.health.failedChecks = max(w.health.failedChecks, 1)
		if !w.check.open {
			b.startHealthCheck(w)
		}
	}
	w.health.consecutiveFailures++
	multiple := float64(int(1) << min(w.health.consecutiveFailures-1, maxFailureDoublings))
	backoff := float64(b.settings.DialTimeout) * multiple *
		(failureJitterMin + failureJitterSpread*b.random.next())
	w.health.backoffUntil = b.now + time.Duration(backoff)
}

// AttemptsInFlight returns the number of attempts in flight of an open request, and the index of the last of
// them. ok is false if no such request is open.
func (b *Balancer) AttemptsInFlight(requestID string) (count, last int, ok bool) {
	r := b.requests.open(requestID)
	if r == nil {
		return 0, 0, false
	}
	for number, a := range r.attempts {
		if a.inFlight {
			count++
			last = number
		}
	}
	return count, last, true
}

// Reservations returns how many attempts reserve capacity at a worker. Hosts use it to check their
// accounting.
func (b *Balancer) Reservations(workerID string) int {
	if w := b.workers.byID[workerID]; w != nil {
		return len(w.load.attempts)
	}
	return 0
}

// RetryDeadline returns the time by which the last byte of a request's latest attempt must be written, if
// that attempt repeats an idempotency key: workers deduplicate only for the class's key window, counted from
// the first attempt that may have run. bound is false if there is no such limit.
func (b *Balancer) RetryDeadline(requestID string) (until time.Duration, bound bool) {
	r := b.requests.byID[requestID]
	if r == nil || r.class.Idempotency != IdempotentWithKey {
		return 0, false
	}
	first := r.firstMaybeRan()
	if first == nil || first == r.attempts[len(r.attempts)-1] { // the latest attempt repeats no key
		return 0, false
	}
	return first.sentAt + r.class.KeyWindow, true
}

// missedNotifications is how many progress notifications a running job misses until its connection counts as
// silent.
const missedNotifications = 2

// connectionSilent reports whether an attempt's connection seems to be lost though its worker is alive: a
// running job sends no progress notifications, or a job has not started though a later one in the same FIFO
// queue has.
func (b *Balancer) connectionSilent(a *attempt) bool {
	dial := b.settings.DialTimeout
	if b.settings.ProgressInterval > 0 && a.startedAt > 0 {
		return b.now-a.lastSeenAt > missedNotifications*(b.settings.ProgressInterval+dial)
	}
	laterStarted := func(x *attempt) bool {
		return x.sentAt > a.sentAt+dial && x.startedAt > 0 && b.now-x.startedAt > dial
	}
	waits := b.settings.FIFOWorkers && a.startedAt == 0
	return waits && slices.ContainsFunc(a.worker.load.attempts, laterStarted)
}

// waitsAtWorker reports whether an attempt waits in its worker's queue. Known only if workers send a
// notification when a job starts.
func (b *Balancer) waitsAtWorker(a *attempt) bool {
	return b.settings.ReportsJobStart && a.startIsLate(b.now, b.startGrace(a.worker))
}

// hasWaitingAttempt reports whether any attempt of this node waits in a worker's queue.
func (b *Balancer) hasWaitingAttempt(w *worker) bool {
	if !b.settings.ReportsJobStart {
		return false
	}
	grace := b.startGrace(w)
	for _, a := range w.load.attempts {
		if a.startIsLate(b.now, grace) {
			return true
		}
	}
	return false
}

// startIsLate reports whether a job has not started within the grace time after its attempt was sent.
func (a *attempt) startIsLate(now, grace time.Duration) bool {
	return a.startedAt == 0 && now-a.sentAt >= grace
}

// graceRoundTrips is how many round trips, of the shortest duration seen, startGrace allows for.
const graceRoundTrips = 4

// startGrace returns the time within which the start notification of a job that does not wait, or the answer
// to a health check, should arrive. It allows for a new connection to another zone, which takes several
// longer round trips, and for answers that arrive in pieces.
func (b *Balancer) startGrace(w *worker) time.Duration {
	return max(graceRoundTrips*b.starts.roundTrip+2*b.settings.MinEventInterval, w.connectTime, b.starts.p80)
}
