package balance

import (
	"cmp"
	"slices"
)

// requestQueue holds the requests that wait for capacity, ordered by the time by which they must start.
type requestQueue struct {
	requests []*request
}

// compareStartBy orders requests by the time by which they must start, then by submission.
func compareStartBy(x, y *request) int {
	return cmp.Or(cmp.Compare(x.startBy, y.startBy), cmp.Compare(x.sequence, y.sequence))
}

func (q *requestQueue) empty() bool {
	return len(q.requests) == 0
}

// add inserts a request in order.
func (q *requestQueue) add(r *request) {
	r.queued = true
	i, _ := slices.BinarySearchFunc(q.requests, r, compareStartBy)
	q.requests = slices.Insert(q.requests, i, r)
}

// remove removes a request if it is queued.
func (q *requestQueue) remove(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	if i, ok := slices.BinarySearchFunc(q.requests, r, compareStartBy); ok {
		q.requests = slices.Delete(q.requests, i, i+1)
	}
}

// byUrgency returns the requests in the order in which to send them: the most urgent first, and those that
// can no longer start in time last.
func (q *requestQueue) byUrgency(now float64) []*request {
	first, _ := slices.BinarySearchFunc(q.requests, now, func(r *request, now float64) int {
		return cmp.Compare(r.startBy, now)
	})
	return slices.Concat(q.requests[first:], q.requests[:first])
}

// enqueue queues a request until a worker has capacity for it.
func (b *Balancer) enqueue(r *request) {
	r.startBy = b.now.Seconds() + b.slack(r)
	b.queue.add(r)
}

// slack returns the time in seconds within which a queued request must start to meet its objective: the time
// until objectiveAt, minus the median start latency at workers, plus half of the time that the stretched
// objective leaves beyond the run time, which is RunTimeHint times (ObjectiveStretch - 1) if the stretch is
// above 1. Without a run time hint only the fixed part of the objective counts, as most jobs are far shorter
// than the mean.
func (b *Balancer) slack(r *request) float64 {
	stretch := max(r.class.ObjectiveStretch-1, 0)
	return (r.objectiveAt - b.now).Seconds() - b.starts.median + r.RunTimeHint.Seconds()*stretch/2
}

// timeToObjective returns the time in seconds within which a job that starts now must complete to meet its
// objective.
func (b *Balancer) timeToObjective(r *request) float64 {
	return (r.objectiveAt - b.now).Seconds() + r.class.ObjectiveStretch*r.RunTimeHint.Seconds()
}

// cannotMeetObjective reports whether even a standard core would complete a job too late.
func (b *Balancer) cannotMeetObjective(r *request) bool {
	return r.RunTimeHint > 0 && b.timeToObjective(r) < r.RunTimeHint.Seconds()
}

// dispatchQueued sends queued requests while workers have capacity for them. If too few workers with fresh
// reports have capacity for a request, a few more workers are checked first.
func (b *Balancer) dispatchQueued() {
	if !b.settings.ReportsQueue || b.now >= b.periodicAt {
		b.shedExpired()
	}
	if b.queue.empty() || len(b.workers.listed) == 0 || b.workersBacklogged() ||
		b.healthChecks.awaited(b.now) {
		return
	}
	b.workers.dropStale(b.now - b.reportTTL())
	unplaced := 0
	for _, r := range b.queue.byUrgency(b.now.Seconds()) {
		if r.held && b.holdsNew {
			continue
		}
		w, choices := b.pickWorker(r)
		if r.healthCheckRounds == 0 && choices < choiceCount && b.checkCandidates(r, choiceCount-choices) {
			return
		}
		if w != nil {
			b.queue.remove(r)
			b.startAttempt(r, w)
			continue
		}
		if unplaced == 0 && b.checkCandidates(r, choiceCount) {
			return
		}
		unplaced++
		if unplaced > len(b.workers.fresh) {
			return
		}
	}
}

// workersBacklogged reports whether the median start latency exceeds the tightest objective, where waiting
// attempts cannot be replaced: more attempts would keep the workers' queues too long for short jobs.
func (b *Balancer) workersBacklogged() bool {
	return !b.settings.ReportsQueue && b.starts.median > b.jobs.tightestObjective
}

// shedExpired rejects or fails queued requests that cannot meet their objective, if a late answer earns
// nothing.
func (b *Balancer) shedExpired() {
	for _, r := range slices.Clone(b.queue.requests) {
		if r.class.LateWeight != 0 {
			continue
		}
		lost := b.slack(r) < 0 && r.firstMaybeRan() == nil
		if lost || b.cannotMeetObjective(r) {
			b.rejectOrFail(r)
		}
	}
}
