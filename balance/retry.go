package balance

import (
	"math"
	"slices"
	"time"
)

// The retry budget is a token bucket that limits how many attempts are replaced. It prevents retry storms:
// where workers continue to run canceled jobs, each replacement adds work, which makes more jobs wait and be
// replaced.
const (
	retryBudgetShare = 0.07 // tokens that each request adds
	retryBudgetMax   = 10   // most tokens that can be saved up
)

// Replacing a job that is shorter than load reports are apart costs more than a token.
const (
	staleReportCost   = 1.5  // tokens, times the report interval as a multiple of the run time
	minRunTimeSeconds = 1e-3 // lower limit of the run time in that ratio
)

// halfRefundQueue is the average queue length at which half of a token is refunded.
const halfRefundQueue = 2

// retryBudget holds the tokens of the retry budget. A token pays for one replacement.
type retryBudget struct {
	tokens float64
}

// refill adds the tokens of one request.
func (t *retryBudget) refill() {
	t.tokens = min(t.tokens+retryBudgetShare, retryBudgetMax)
}

// available reports whether a replacement may be made.
func (t *retryBudget) available() bool {
	return t.tokens >= 1
}

// spend deducts the cost of a replacement. The state of other workers is as old as their reports: a
// replacement of a job much shorter than that is unreliable, and costs more.
func (t *retryBudget) spend(reportInterval time.Duration, runTime float64) {
	t.tokens -= max(1, staleReportCost*reportInterval.Seconds()/max(runTime, minRunTimeSeconds))
}

// refund returns the token of a replacement that started without a wait, plus the tokens of one request, so
// that effective replacements are not limited. The longer the average queue, the less is refunded (half at a
// length of 2): if queues stay long despite replacements, canceled jobs continue to run or all workers are
// full.
func (t *retryBudget) refund(averageQueue float64) {
	t.tokens = min(t.tokens+(1+retryBudgetShare)/(1+averageQueue/halfRefundQueue), retryBudgetMax)
}

// retryOrFinish queues a request for another attempt if that is allowed, and otherwise rejects or fails it.
func (b *Balancer) retryOrFinish(r *request) {
	b.enqueue(r)
	if r.attemptsExhausted(0) || b.retryForbidden(r) {
		b.rejectOrFail(r)
	}
}

// retryForbidden reports whether another attempt could run a job twice.
func (b *Balancer) retryForbidden(r *request) bool {
	first := r.firstMaybeRan()
	if first == nil {
		return false
	}
	keyExpired := r.class.Idempotency == IdempotentWithKey && b.now-first.sentAt >= r.class.KeyWindow
	return r.class.Idempotency == NotIdempotent || keyExpired
}

// replaceStalled replaces stalled attempts of requests that may be repeated: the worker or the connection is
// silent, or the job waits while another worker has capacity. This requires canceling, and two attempts in
// flight until the canceled one ends.
func (b *Balancer) replaceStalled() {
	b.attemptsInFlight = slices.DeleteFunc(b.attemptsInFlight, func(a *attempt) bool {
		return !a.inFlight || a.abandoned || a.request.finished
	})
	if !b.settings.AllowCancel || !b.settings.AllowHedging {
		return
	}
	for _, a := range slices.Clone(b.attemptsInFlight) {
		b.replaceIfStalled(a)
	}
}

// replaceIfStalled abandons a stalled attempt and queues its request again. If the objective is lost, it
// rejects or fails the request instead, as the job would take a slot from jobs that can meet theirs. If
// reports do not include the queue, a canceled job may run all the same, so waiting alone is no reason to
// replace an attempt.
func (b *Balancer) replaceIfStalled(a *attempt) {
	r, w := a.request, a.worker
	silent := b.workerSilent(a)
	waits := b.settings.ReportsQueue && b.waitsAtWorker(a) || r.class.Idempotency == Idempotent && silent
	stalled := waits || silent || b.connectionSilent(a)
	if r.class.Idempotency == NotIdempotent || r.queued || !stalled {
		return
	}
	if b.attemptExpired(a, waits) {
		b.rejectOrFail(r)
		return
	}
	if r.attemptsExhausted(1) || (!b.retries.available() && !silent) {
		return
	}
	if other, _ := b.pickWorker(r); other != nil {
		b.abandon(a, silent)
		w.load.report.FreeSlots = min(w.load.report.FreeSlots, r.Slots-1) // regardless of its report
		b.actions.CancelAttempt(r.ID, slices.Index(r.attempts, a))
		b.enqueue(r)
	} else if b.healthChecks.pending == 0 {
		b.checkCandidates(r, choiceCount)
	}
}

// silentDialTimeouts is the number of dial timeouts after which a worker that fails health checks is silent.
const silentDialTimeouts = 4

// workerSilent reports whether an attempt's worker answers neither the attempt nor health checks.
func (b *Balancer) workerSilent(a *attempt) bool {
	health := &a.worker.health
	silence := b.now - max(health.lastSeenAt, a.sentAt)
	longest := silentDialTimeouts*b.settings.DialTimeout + b.settings.ProgressInterval
	return health.unresponsive && health.failedChecks > 1 && silence > longest
}

// attemptExpired reports whether the request of a stalled attempt cannot meet its objective, and a late
// answer earns nothing.
func (b *Balancer) attemptExpired(a *attempt, waits bool) bool {
	r := a.request
	slack := b.slack(r)
	if b.queue.empty() { // no request needs the slot, so a long job may still be in time
		slack += b.jobs.classes[r.Class].runTime * max(r.class.ObjectiveStretch-1, 0) / 2
	}
	lost := waits && a.startedAt == 0 && slack < 0
	return r.class.LateWeight == 0 && (lost || b.cannotMeetObjective(r))
}

// abandon marks an attempt as abandoned, to be replaced by another one. If it has not started, its start
// latency is recorded as the largest possible, unless its worker is silent, which says nothing about start
// latency.
func (b *Balancer) abandon(a *attempt, workerSilent bool) {
	a.abandoned = true
	if workerSilent { // it does no work, so the replacement adds no load
		return
	}
	b.retries.spend(b.reports.interval, b.jobs.classes[a.request.Class].runTime)
	if a.startedAt == 0 {
		b.starts.observe(math.MaxInt64, b.settings.DialTimeout)
	}
}
