package balance

import (
	"math"
	"time"
)

// choiceCount is the number of workers with fresh reports among which a request should choose. Two are best
// when reports are old: the more workers each node compares, the more nodes choose the same few.
const choiceCount = 2

// minQueueLength is the queue length from which a queue counts as not empty, and the number of jobs from
// which a worker counts as not idle. Lengths are fractional where they are estimated from slots.
const minQueueLength = 0.5

// pickWorker returns the worker with the most capacity for a request among those with fresh reports, or nil
// if none has any. It also returns how many had capacity. Where the own zone is preferred and any of its
// workers has capacity, only those of the own zone are chosen from and counted.
func (b *Balancer) pickWorker(r *request) (best *worker, choices int) {
	pool, ignoreHealth := b.workers.fresh, b.ignoresHealthChecks()
	if ignoreHealth {
		pool = b.workers.listed
	}
	var bestSoFar candidate
	mayHaveRun := r.firstMaybeRan()
	foundInZone := false
	for _, w := range pool {
		unhealthy := w.health.failedChecks > 0 && !ignoreHealth
		if unhealthy || !b.eligible(w, r, mayHaveRun) || b.missesObjective(w, r) {
			continue
		}
		capacity := b.capacityFor(w, r)
		preferred := w.Zone == b.settings.Zone || r.mayCrossZones(&b.settings)
		if capacity < 1 || (foundInZone && !preferred) {
			continue
		}
		if preferred && !foundInZone { // discard candidates of other zones
			foundInZone = true
			choices = 0
			bestSoFar = candidate{}
		}
		choices++
		next := candidate{worker: w, capacity: capacity, tieBreak: b.tieBreakFor(w)}
		if next.beats(bestSoFar) {
			bestSoFar = next
		}
	}
	return bestSoFar.worker, choices
}

// candidate is a worker that may receive a request.
type candidate struct {
	worker   *worker // nil: none
	capacity float64 // how many requests of this demand fit
	tieBreak float64 // among equal capacities the smallest wins
}

// beats reports whether a candidate is better than another, or the other is none.
func (c candidate) beats(other candidate) bool {
	if other.worker == nil || c.capacity > other.capacity {
		return true
	}
	return c.capacity == other.capacity && c.tieBreak < other.tieBreak
}

// tieBreakFor returns a random exponential variate with the worker's relative weight as its rate: among
// several workers, each has the smallest one with a probability proportional to its weight.
func (b *Balancer) tieBreakFor(w *worker) float64 {
	return -math.Log(1-b.random.next()) / w.relativeWeight()
}

// mayCrossZones reports whether a request has no preference for workers in the balancer's zone.
func (r *request) mayCrossZones(s *Settings) bool {
	return len(r.attempts) > 0 || s.CrossZoneCost == 0
}

// ignoresHealthChecks reports whether health checks give no information about workers: none are made, or none
// are answered any more, which may be a fault of this node's network. Then all workers are used by their last
// known state.
func (b *Balancer) ignoresHealthChecks() bool {
	return !b.settings.AllowHealthChecks || b.healthChecks.outage(b.now, b.settings.DialTimeout)
}

// excludes reports whether a worker receives no attempts of any request: it drains, is removed, is backed
// off, or has several consecutive failures and an attempt in flight.
func (b *Balancer) excludes(w *worker) bool {
	failing := w.health.consecutiveFailures > 1 && len(w.load.attempts) > 0
	return b.now < w.health.backoffUntil || failing || w.Status != Ready || !w.present
}

// eligible reports whether a worker may run a request, apart from its capacity. mayHaveRun is the request's
// first attempt that may have run, or nil.
func (b *Balancer) eligible(w *worker, r *request, mayHaveRun *attempt) bool {
	if b.excludes(w) || (r.class.WorkerKind != "" && w.Kind != r.class.WorkerKind) {
		return false
	}
	repeatsKey := mayHaveRun != nil && r.class.Idempotency == IdempotentWithKey
	if repeatsKey && !b.deduplicates(w, r.class, mayHaveRun) {
		return false
	}
	return b.slowStartAllows(w, r)
}

// deduplicates reports whether a worker would drop another attempt with the idempotency key of the first.
func (b *Balancer) deduplicates(w *worker, class *Class, first *attempt) bool {
	if b.now-first.sentAt >= class.KeyWindow {
		return false
	}
	switch class.KeyScope {
	case SameZone:
		return w.Zone == first.worker.Zone
	case SameCell:
		return w.Cell == first.worker.Cell
	}
	return true
}

// missesObjective reports whether a job would miss its objective on a worker. The estimate uses the work rate
// last measured there, and the share of a core that each slot of a large job gets on a warming worker.
func (b *Balancer) missesObjective(w *worker, r *request) bool {
	rate, share := b.jobs.meanWorkRate, b.coreShare(w, r)
	if b.now-w.rate.learnedAt <= workRateTTL && w.rate.value > 0 {
		rate = w.rate.value
	} else if share == 1 {
		return false
	}
	if r.RunTimeHint <= 0 || r.class.LateWeight != 0 {
		return false
	}
	return r.RunTimeHint.Seconds()/(rate*share) > b.timeToObjective(r)
}

// resources is an amount of each resource that requests need.
type resources struct {
	slots  float64
	memory float64
}

// capacityFor returns how many requests of r's demand fit at a worker, by its scarcest resource. Free
// resources are those of the last report minus this node's reservations since, and at most the learned
// capacity minus all of this node's reservations.
func (b *Balancer) capacityFor(w *worker, r *request) float64 {
	if !w.load.hasReport {
		return w.load.estimatedCapacity - float64(len(w.load.attempts)) // conservative until the first report
	}
	ignoreReport := b.now < b.reports.ignoreUntil
	if b.queueLength(w) >= minQueueLength && !ignoreReport {
		return 0 // the request at the head of its queue does not fit: treat the worker as full
	}
	if b.hasWaitingAttempt(w) {
		return 0 // regardless of the report
	}
	limit := b.unreserved(w)
	free := w.reportedFree()
	if ignoreReport {
		free = b.assumedFree(w, limit)
	}
	fit := math.Floor(min(free.slots, limit.slots) / r.Slots)
	if r.Memory > 0 && w.load.report.FreeMemory >= 0 {
		fit = min(fit, math.Floor(min(free.memory, limit.memory)/r.Memory))
	}
	return fit
}

// unreserved returns a worker's capacity minus all of this node's reservations.
func (b *Balancer) unreserved(w *worker) resources {
	slots := math.Floor(w.load.maxSlots * b.slowStartFactor(w))
	limit := resources{slots: max(slots, 1), memory: w.load.maxMemory}
	if w.load.report.InFlight >= 0 && w.load.report.InFlight < minQueueLength {
		limit.slots = w.load.maxSlots // on an idle warming worker a large job runs too, though more slowly
	}
	for _, a := range w.load.attempts {
		limit.slots -= a.request.Slots
		limit.memory -= a.request.Memory
	}
	return limit
}

// reportedFree returns the free resources in a worker's last report, adjusted by this node's reservations
// since.
func (w *worker) reportedFree() resources {
	slots, memory := w.load.changeSince(w.load.measuredAt)
	return resources{
		slots:  math.Round(w.load.report.FreeSlots) + slots,
		memory: w.load.report.FreeMemory + memory,
	}
}

// assumedFree estimates the free resources of a worker whose reports are ignored: each other balancer is
// assumed to have reserved as much there as this one.
func (b *Balancer) assumedFree(w *worker, unreserved resources) resources {
	others := float64(b.settings.Balancers) - 1
	return resources{
		slots:  unreserved.slots - others*(w.load.maxSlots-unreserved.slots),
		memory: unreserved.memory - others*(w.load.maxMemory-unreserved.memory),
	}
}

// CapacityByClass returns, for each class, how many more requests of one slot the listed workers have
// capacity for, by the same estimates as placement.
func (b *Balancer) CapacityByClass(now time.Duration) []int {
	b.now = now
	capacities := make([]int, len(b.settings.Classes))
	for i := range capacities {
		r := &request{Request: Request{Class: i, Slots: 1}, class: &b.settings.Classes[i]}
		for _, w := range b.workers.listed {
			if w.health.failedChecks == 0 && b.eligible(w, r, nil) {
				capacities[i] += int(max(b.capacityFor(w, r), 0))
			}
		}
	}
	return capacities
}
