package balance

import (
	"hash/fnv"
	"math"
	"time"
)

// slowStartSenders is how many balancers may send to a warming worker. Balancers of rank 0 to
// slowStartSenders - 1 get a budget of 1/(slowStartDivisor*(rank+1)) of the overload budget. These shares sum
// to 0.99, as 1 + 1/2 + 1/3 + 1/4 = 2.08.
const (
	slowStartSenders = 4
	slowStartDivisor = 2.1
)

// maxListDelay is the longest delay after which the endpoint list may show a start.
const maxListDelay = 6 * time.Second

// slowStart is this balancer's state for limiting the load on warming workers.
type slowStart struct {
	knownSince time.Duration // since when this node's attempts, those of a predecessor included, are known
	standby    bool          // another process uses this balancer's rank
	violations int           // attempts after this balancer alone had exceeded the overload budget
}

// warmUp is the state of a worker's slow start.
type warmUp struct {
	startedAt     time.Duration // when slow start began, by this balancer's clock; 0 if no start is known
	listedStart   time.Duration // the worker's last start in the endpoint list
	restartSeenAt time.Duration // when a health check detected a restart that is not listed yet; 0: none
	rank          int           // this balancer's rank among those that may send to the worker in slow start
}

// slowStartFactor returns the least share of its full capacity that a worker has at present.
func (b *Balancer) slowStartFactor(w *worker) float64 {
	minFactor, duration := b.settings.SlowStartMinFactor, b.settings.SlowStartDuration
	if w.warmUp.startedAt <= 0 || duration <= 0 || minFactor <= 0 {
		return 1
	}
	age := min(max((b.now-w.warmUp.startedAt).Seconds()/duration.Seconds(), 0), 1)
	return minFactor + (1-minFactor)*age
}

// coreShare returns the share of a core that each slot of a request gets on a worker that runs nothing else,
// by the worker's present capacity.
func (b *Balancer) coreShare(w *worker, r *request) float64 {
	if w.load.maxSlots == 0 {
		return 1 // unknown number of slots
	}
	return min(w.load.maxSlots*b.slowStartFactor(w)/r.Slots, 1)
}

// slowStartAllows limits the load on a warming worker: its report shows all slots free, but it fails when all
// balancers together send it more than a multiple of its present capacity. Only slowStartSenders balancers
// may send to it, chosen by its ID, so that all balancers agree on them without communication. In any
// overload window, the first may send 0.48 of what the worker can take, the others a half, a third and a
// fourth of that.
func (b *Balancer) slowStartAllows(w *worker, r *request) bool {
	factor := b.slowStartFactor(w)
	if factor >= 1 || b.settings.OverloadMultiple <= 0 {
		return true
	}
	sent := w.load.workSince(b.now - b.settings.OverloadWindow)
	size := b.knownSize(w)
	if size == 0 { // no worker of its kind has ever reported
		return w.warmUp.rank == 0 && sent == 0 && b.knowsOverloadWindow()
	}
	if w.warmUp.rank >= slowStartSenders || !b.knowsOverloadWindow() {
		return false
	}
	return slowStartDivisor*float64(w.warmUp.rank+1)*(sent+b.jobs.expectedWork(r)) <=
		b.overloadBudget(factor, size)
}

// knownSize returns the most free slots that a worker or one of its kind has reported; 0 if none has.
func (b *Balancer) knownSize(w *worker) float64 {
	return max(w.load.maxSlots, b.workers.maxSlotsByKind[w.Kind])
}

// overloadBudget returns the work, in seconds times slots, above which a warming worker fails if it is sent
// within one overload window.
func (b *Balancer) overloadBudget(factor, size float64) float64 {
	return b.settings.OverloadMultiple * factor * size * b.settings.OverloadWindow.Seconds()
}

// knowsOverloadWindow reports whether all attempts that this node may have sent within the overload window
// are known. A process that replaces a killed one does not know what that one sent, and would spend the same
// budget again.
func (b *Balancer) knowsOverloadWindow() bool {
	return b.now-b.slowStart.knownSince >= b.settings.OverloadWindow
}

// slowStartRank returns this balancer's rank among those that may send to a worker in slow start. In standby
// it is too high to send.
func (b *Balancer) slowStartRank(workerID string) int {
	if b.slowStart.standby {
		return math.MaxInt32
	}
	hash := fnv.New32a()
	hash.Write([]byte(workerID))
	n := uint32(b.settings.Balancers)
	return int((uint32(b.settings.Index)%n + n - hash.Sum32()%n) % n)
}

// beginSlowStart sets when a worker's slow start began, by an endpoint list entry with a new start. This
// machine's wall clock may differ from the one that the list uses: a start that is in the future, or too long
// ago for being listed for the first time, shows that. The worker then warms up from now.
func (b *Balancer) beginSlowStart(w *worker, entry Worker) {
	age := b.now - entry.StartedAt
	clockOff := age < 0 || entry.MaxStartAge > 0 && age > entry.MaxStartAge+maxListDelay
	switch {
	case clockOff && w.warmUp.restartSeenAt > 0: // most likely the same restart
		w.warmUp.startedAt = w.warmUp.restartSeenAt
	case clockOff:
		w.warmUp.startedAt = b.now
	default:
		w.warmUp.startedAt = max(entry.StartedAt, w.warmUp.restartSeenAt)
	}
	w.warmUp.restartSeenAt = 0
}

// countSlowStartViolation counts an attempt, already reserved, to a warming worker if the attempts that this
// balancer sent before it within the overload window alone exceed the overload budget that the worker has for
// all balancers. It checks slowStartAllows independently of the shares used there.
func (b *Balancer) countSlowStartViolation(w *worker, r *request) {
	factor, size := b.slowStartFactor(w), b.knownSize(w)
	if factor >= 1 || b.settings.OverloadMultiple <= 0 || size == 0 {
		return
	}
	sent := w.load.workSince(b.now - b.settings.OverloadWindow)
	if sent > b.overloadBudget(factor, size)+b.jobs.expectedWork(r) {
		b.slowStart.violations++
	}
}

// SlowStartViolations returns the number of attempts to warming workers that were sent after this balancer's
// earlier attempts alone had exceeded the worker's overload budget.
func (b *Balancer) SlowStartViolations() int {
	return b.slowStart.violations
}

// Standby sets whether another process uses this balancer's rank at warming workers. In standby the balancer
// sends its open requests only to workers that are not warming up. Requests submitted in standby that are not
// idempotent stay queued, to be exported: the other process may have run a job with the same ID.
func (b *Balancer) Standby(now time.Duration, standby bool) {
	b.now = now
	b.slowStart.standby = standby
	b.holdsNew = standby
	for _, w := range b.workers.byID {
		w.warmUp.rank = b.slowStartRank(w.ID)
	}
	b.advance()
}

// ReleaseHeld lets a balancer in standby send the requests that it has held, as no other process is there for
// them.
func (b *Balancer) ReleaseHeld(now time.Duration) {
	b.now = now
	b.holdsNew = false
	b.advance()
}
