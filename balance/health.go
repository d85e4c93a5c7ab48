package balance

import (
	"time"
)

// healthCheckBudgetShare is what periodic health checks may cost, as a share of the weight of all requests.
const healthCheckBudgetShare = 0.005

// Limits on health checks on demand, for which a queued request waits. A round has at most choiceCount of
// them.
const (
	checksPerRequest = 4 * choiceCount // tokens added by each request: enough for four full rounds
	maxCheckTokens   = 16 * choiceCount
)

// Health checks are taken to be in outage when more than outageFailures in a row have failed, of any workers,
// and none has been answered for outageDialTimeouts times the dial timeout.
const (
	outageFailures     = 4 * choiceCount
	outageDialTimeouts = 4
)

// The interval between the health checks of a worker has a jitter of 20 % either way.
const (
	checkJitterMin    = 0.8
	checkJitterSpread = 0.4
)

// minArrivalRate is the lower limit, in requests a second, of the rate to which the cost of health checks is
// related.
const minArrivalRate = 0.01

// maxCheckDoublings limits healthCheckBackoff to 2^3 - 1 dial timeouts, before the jitter.
const maxCheckDoublings = 3

// healthChecks is the state of the health checks of all workers. A token pays for one check on demand.
type healthChecks struct {
	tokens       float64
	pending      int           // checks on demand in flight
	pendingUntil time.Duration // until when the queue waits for them
	failed       int           // consecutive failed checks, of any workers
	lastAnswer   time.Duration // when a check was last answered
}

// refill adds the tokens of one request.
func (h *healthChecks) refill() {
	h.tokens = min(h.tokens+checksPerRequest, maxCheckTokens)
}

// awaited reports whether the queue should wait for checks on demand.
func (h *healthChecks) awaited(now time.Duration) bool {
	return h.pending > 0 && now < h.pendingUntil
}

// outage reports whether health checks have failed for a long time, whichever the worker.
func (h *healthChecks) outage(now, dialTimeout time.Duration) bool {
	return h.failed > outageFailures && now-h.lastAnswer > outageDialTimeouts*dialTimeout
}

// HealthCheckDone handles the result of a health check, with the worker's load report, or nil if the worker
// has none yet.
func (b *Balancer) HealthCheckDone(now time.Duration, workerID string, result Result, report *LoadReport) {
	b.now = now
	w := b.workers.byID[workerID]
	if w == nil {
		return
	}
	w.check.open = false
	if w.check.awaited {
		w.check.awaited = false
		b.healthChecks.pending--
	}
	w.health.unresponsive = result == TimedOut || result.connectionBroken()
	if result == OK {
		b.checkSucceeded(w, report)
	} else {
		w.health.failedChecks++
		b.healthChecks.failed++
	}
	b.advance()
}

// checkSucceeded records the answer to a health check.
func (b *Balancer) checkSucceeded(w *worker, report *LoadReport) {
	if report == nil && w.load.hasReport {
		// Only a process that has just started has no report yet, so the worker has restarted, though the
		// endpoint list may not show that yet. All its slots are free, and it is warming up.
		w.restart()
		w.StartedAt = b.now
		w.warmUp.startedAt = b.now
		w.warmUp.restartSeenAt = b.now
	}
	w.health.failedChecks = 0
	w.health.lastSeenAt = b.now
	b.healthChecks.failed = 0
	b.healthChecks.lastAnswer = b.now
	if report != nil {
		b.recordReport(w, report)
	}
	w.health.lastHealthyAt = b.now
	b.workers.markFresh(w)
}

// startHealthCheck sends a health check to a worker.
func (b *Balancer) startHealthCheck(w *worker) {
	w.check.open = true
	w.check.sentAt = b.now
	w.check.jitter = checkJitterMin + checkJitterSpread*b.random.next()
	b.actions.CheckHealth(w.ID)
}

// checkCandidates checks up to count workers that could run a request and have no fresh report: first warming
// workers, to which few balancers may send, then any in this balancer's random order. It reports whether the
// queue should wait for the results.
func (b *Balancer) checkCandidates(r *request, count int) bool {
	r.healthCheckRounds++
	if b.settings.AllowHealthChecks {
		warming := func(w *worker) bool { return b.slowStartFactor(w) < 1 }
		count -= b.checkOnDemand(r, count, warming)
		b.checkOnDemand(r, count, func(*worker) bool { return true })
	}
	return b.healthChecks.pending > 0
}

// checkOnDemand checks up to count matching workers, and returns how many it checked. If attempts across
// zones have a cost, the first round checks only workers of the own zone.
func (b *Balancer) checkOnDemand(r *request, count int, match func(*worker) bool) (checked int) {
	anyZone := r.healthCheckRounds > 1 || r.mayCrossZones(&b.settings)
	mayHaveRun := r.firstMaybeRan()
	for _, w := range b.workers.listed {
		if checked >= count || b.healthChecks.tokens < 1 {
			break
		}
		if !match(w) || w.check.open || w.fresh || b.now < w.check.sentAt+b.healthCheckBackoff(w) {
			continue
		}
		if (!anyZone && w.Zone != b.settings.Zone) || !b.eligible(w, r, mayHaveRun) {
			continue
		}
		b.awaitHealthCheck(w)
		checked++
	}
	return checked
}

// awaitHealthCheck checks a worker on demand and makes the queue wait for the result.
func (b *Balancer) awaitHealthCheck(w *worker) {
	b.healthChecks.tokens--
	b.startHealthCheck(w)
	w.check.awaited = true
	b.healthChecks.pending++
	b.healthChecks.pendingUntil = max(b.healthChecks.pendingUntil, b.now+b.startGrace(w))
	b.actions.SetTimer(b.healthChecks.pendingUntil-b.now, "")
}

// checkPeriodically makes the periodic health checks that are due, and returns when it is to be called next.
// Periodic checks are made only if their cost allows an interval of at most twice reportTTL. With a longer
// one reports would be stale most of the time, so workers are checked on demand instead.
func (b *Balancer) checkPeriodically() (next time.Duration) {
	next = b.now + b.settings.DialTimeout
	interval := b.healthCheckInterval()
	if !b.settings.AllowHealthChecks || interval > 2*b.reportTTL().Seconds() {
		return next
	}
	for _, w := range b.workers.listed {
		if w.check.open {
			continue
		}
		due := w.check.sentAt + seconds(interval*w.check.jitter)
		if w.health.unresponsive { // detect soon that it is back, and whether it has restarted
			due = min(due, w.check.sentAt+b.healthCheckBackoff(w))
		}
		if b.now >= due {
			b.startHealthCheck(w)
		} else {
			next = min(next, due)
		}
	}
	return next
}

// healthCheckInterval returns the number of seconds between periodic health checks of a worker: the interval
// between new reports, or longer if needed to stay within healthCheckBudgetShare. That share is doubled while
// the queue is not empty.
func (b *Balancer) healthCheckInterval() float64 {
	cost := float64(len(b.workers.listed)) * b.settings.HealthCheckCost /
		max(b.arrivals.rate(), minArrivalRate)
	if !b.queue.empty() {
		cost /= 2
	}
	return max(b.reports.interval.Seconds(), cost/healthCheckBudgetShare)
}

// healthCheckBackoff returns how long to wait before the next check of a worker that did not answer. It grows
// exponentially: on a worker whose connection table is full, dials from many balancers would keep it from
// answering anyone.
func (b *Balancer) healthCheckBackoff(w *worker) time.Duration {
	multiple := float64(int(1)<<min(w.health.failedChecks, maxCheckDoublings) - 1)
	return time.Duration(multiple * w.check.jitter * float64(b.settings.DialTimeout))
}
