package fleetsim

import (
	"cmp"
	"container/heap"
	"time"
)

type event struct {
	time     time.Duration
	seq      int
	run      func()
	canceled bool
}

type events []*event

// Len implements heap.Interface.
func (h events) Len() int { return len(h) }

// Less implements heap.Interface.
func (h events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].time, h[j].time), cmp.Compare(h[i].seq, h[j].seq)) < 0
}

// Swap implements heap.Interface.
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (w *Simulation) schedule(t time.Duration, run func()) *event {
	w.seq++
	e := &event{time: max(t, w.now), seq: w.seq, run: run}
	heap.Push(&w.events, e)
	return e
}

// until lets things happen until a time, or until done says so.
func (w *Simulation) until(t time.Duration, done func() bool) bool {
	for w.outcome.Fault == "" {
		if done != nil && done() {
			return true
		}
		if len(w.events) == 0 || w.events[0].time > t {
			w.now = t
			return false
		}
		e := heap.Pop(&w.events).(*event)
		if e.canceled {
			continue
		}
		if w.stepsAtInstant++; e.time > w.now {
			w.stepsAtInstant = 0
		} else if w.stepsAtInstant > 200000 {
			w.fail("time stands still")
		}
		w.now = e.time
		w.outcome.Steps++
		e.run()
	}
	return false
}
