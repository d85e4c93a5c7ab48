package simulation

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftdeal/internal/platform"
)

// scheduler holds the virtual time and the events scheduled in it.
type scheduler struct {
	start  time.Time
	random *rand.Rand // for ties, jitter and loss; plans, workers and clients have their own sources
	events eventHeap
	seq    int
	steps  int           // number of executed events
	wake   chan struct{} // signaled when there is something for the scheduler to process
}

// event is a scheduled event.
type event struct {
	time     time.Duration
	tie      uint64
	seq      int
	run      func()
	canceled bool
}

type eventHeap []*event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(
		cmp.Compare(h[i].time, h[j].time), cmp.Compare(h[i].tie, h[j].tie), cmp.Compare(h[i].seq, h[j].seq),
	) < 0
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// now returns the virtual time since the start.
func (s *scheduler) now() time.Duration { return time.Since(s.start) }

// schedule adds an event. Events of the same instant run in the order of their ties, which are drawn at random here.
func (s *scheduler) schedule(t time.Duration, run func()) *event {
	s.seq++
	e := &event{time: max(t, s.now()), tie: s.random.Uint64(), seq: s.seq, run: run}
	heap.Push(&s.events, e)
	return e
}

// Now implements fake.Clock.
func (s *scheduler) Now() time.Time { return time.Now() }

// After implements fake.Clock.
func (s *scheduler) After(d time.Duration, f func()) func() {
	e := s.schedule(s.now()+max(d, 0), f)
	return func() { e.canceled = true }
}

// wakeUp makes the scheduler process the nodes' actions. It may be called at any time from any goroutine.
func (s *scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run executes events until the given time, until done returns true, until no event is left or until a check fails.
func (sim *Simulation) run(until time.Duration, done func() bool) {
	for sim.outcome.Fault == "" {
		synctest.Wait()
		select {
		case <-sim.wake:
		default:
		}
		if sim.applyActions() {
			continue
		}
		if sim.grantTurn() {
			continue
		}
		sim.checkInvariants()
		if done != nil && done() {
			return
		}
		for len(sim.events) > 0 && sim.events[0].canceled {
			heap.Pop(&sim.events)
		}
		wait := until - sim.now()
		if len(sim.events) > 0 {
			wait = min(wait, sim.events[0].time-sim.now())
		}
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-sim.wake:
				timer.Stop()
			}
			continue
		}
		if sim.now() >= until || len(sim.events) == 0 {
			return
		}
		e := heap.Pop(&sim.events).(*event)
		sim.steps++
		e.run()
	}
}

// grantTurn lets one waiting node process one event of its queue, and reports whether a node was waiting.
func (sim *Simulation) grantTurn() bool {
	sim.mu.Lock()
	if len(sim.waiting) == 0 {
		sim.mu.Unlock()
		return false
	}
	n := slices.MinFunc(sim.waiting, func(a, b *process) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.incarnation, b.incarnation))
	})
	sim.stopWaiting(n)
	sim.mu.Unlock()
	n.active = true
	n.turn <- struct{}{}
	return true
}

// eventOrder orders a node's events of the same instant by a hash that depends on the seed.
type eventOrder struct{ process *process }

// Settle implements platform.EventOrder.
func (o eventOrder) Settle() {
	n := o.process
	n.simulation.mu.Lock()
	if n.killed {
		n.simulation.mu.Unlock()
		return
	}
	n.simulation.waiting = append(n.simulation.waiting, n)
	n.simulation.mu.Unlock()
	n.simulation.wakeUp()
	<-n.turn
}

// Before implements platform.EventOrder.
func (o eventOrder) Before(a, b platform.EventSource) bool {
	x, y := o.rank(a), o.rank(b)
	if x != y {
		return x < y
	}
	return a.Kind < b.Kind || a.Kind == b.Kind && (a.ID < b.ID || a.ID == b.ID && a.Attempt < b.Attempt)
}

func (o eventOrder) rank(s platform.EventSource) uint64 {
	b := make([]byte, 0, 64)
	b = binary.LittleEndian.AppendUint64(b, o.process.simulation.plan.Seed)
	b = binary.LittleEndian.AppendUint64(b, uint64(o.process.simulation.now()))
	b = append(append(b, s.Kind, byte(s.Attempt)), s.ID...)
	return xxhash.Sum64(b)
}

// ObserveReservations implements platform.EventOrder.
func (o eventOrder) ObserveReservations(charges func(worker string) int) { o.process.charges = charges }
