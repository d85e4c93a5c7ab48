package balance

// Slow start: what a worker that has just started can bear, and who may send to it.

import (
	"hash/fnv"
	"math"
	"time"
)

// turns is how many balancers may send to a cold worker; their parts together are just under what it bears.
const turns = 4

// warmth is the share of its capacity that a worker has at least at this time.
func (b *Balancer) warmth(w *worker) float64 {
	if w.warmFrom <= 0 || b.s.ColdFor <= 0 || b.s.ColdFrom <= 0 {
		return 1
	}
	age := min(max((b.now-w.warmFrom).Seconds()/b.s.ColdFor.Seconds(), 0), 1)
	return b.s.ColdFrom + (1-b.s.ColdFrom)*age
}

// share is what each slot of a job gets of a core where a cold worker runs nothing else.
func (b *Balancer) share(w *worker, r *request) float64 {
	if w.capSlots == 0 {
		return 1 // its size is not known
	}
	return min(w.capSlots*b.warmth(w)/r.Slots, 1)
}

// mayCold guards a worker that has just started: its report shows every slot free, but it falls over when all
// balancers send it more than a multiple of what it can do at present. Few balancers may, the same ones by
// its id at each of them: the first 0.48 of that in any window, the next a half, a third and a fourth of it.
func (b *Balancer) mayCold(w *worker, r *request) bool {
	f, own := b.warmth(w), w.sentSince(b.now-b.s.FallAfter)
	if f >= 1 || b.s.FallMultiple <= 0 {
		return true
	}
	size := max(w.capSlots, b.slots[w.Kind])
	if size == 0 { // neither it nor one like it has ever reported
		return w.turn == 0 && own == 0 && b.grown()
	}
	budget := b.s.FallMultiple * f * size * b.s.FallAfter.Seconds()
	return w.turn < turns && b.grown() && 2.1*float64(w.turn+1)*(own+b.work(r)) <= budget
}

// grown reports whether all that this node may have sent within the window of a cold worker's budget is known. Guards against
// a process that was killed and starts anew: it would spend again what the one before it has spent.
func (b *Balancer) grown() bool { return b.now-b.born >= b.s.FallAfter }

// turn is this balancer's place among those that may send to a worker while it is cold, the last of all once it has
// yielded.
func (b *Balancer) turn(id string) int {
	if b.yielded {
		return math.MaxInt32
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	n := uint32(b.s.Balancers)
	return int((uint32(b.s.Me)%n + n - h.Sum32()%n) % n)
}

// listLate is how much later than it happened the list may tell of a start.
const listLate = 6 * time.Second

// warmsUp settles from when on a worker warms up that has started as the list tells. Guards against a wall clock that is off from
// the list's: a start of an hour ago that is news is none, nor is one that is still to come; the worker counts as cold from now.
func (b *Balancer) warmsUp(w *worker, m Worker) {
	age := b.now - m.Started
	switch off := age < 0 || m.Within > 0 && age > m.Within+listLate; {
	case off && w.shownAt > 0: // this restart, most likely
		w.warmFrom = w.shownAt
	case off:
		w.warmFrom = b.now
	default:
		w.warmFrom = max(m.Started, w.shownAt)
	}
	w.shownAt = 0
}

// checkSlowStart counts a send that breaks the rule whatever other balancers do: by this one's own sends alone a worker in slow
// start gets more than all of them together may send it. It goes by none of the shares that decide.
func (b *Balancer) checkSlowStart(w *worker, r *request) {
	size := max(w.capSlots, b.slots[w.Kind])
	f := b.warmth(w)
	if f >= 1 || b.s.FallMultiple <= 0 || size == 0 {
		return
	}
	budget := b.s.FallMultiple * f * size * b.s.FallAfter.Seconds()
	if w.sentSince(b.now-b.s.FallAfter) > budget+b.work(r) {
		b.breaches++
	}
}

// Breaches is how many sends have broken the rule on slow start by this balancer's own doing.
func (b *Balancer) Breaches() int { return b.breaches }
