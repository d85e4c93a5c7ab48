package balance

import (
	"maps"
	"slices"
	"time"
)

// workerSet holds all workers, and what was learned about groups of them.
type workerSet struct {
	byID           map[string]*worker
	listed         []*worker          // workers in the endpoint list, in random order
	absent         []*worker          // kept although they have left the endpoint list, longest ago first
	fresh          []*worker          // workers whose reports are recent enough for placement
	maxSlotsByKind map[string]float64 // the most free slots reported by a worker of each kind
}

func newWorkerSet() workerSet {
	return workerSet{byID: map[string]*worker{}, maxSlotsByKind: map[string]float64{}}
}

// minAbsentKept is how many workers are kept at least after they have left the endpoint list.
const minAbsentKept = 64

// dropAbsent removes workers that are no longer in the endpoint list. byID keeps them for a while.
func (s *workerSet) dropAbsent() {
	s.listed = slices.DeleteFunc(s.listed, func(w *worker) bool {
		w.listed = w.present
		if !w.present && !w.keptAbsent {
			w.keptAbsent = true
			s.absent = append(s.absent, w)
		}
		return !w.present
	})
	s.forgetAbsent()
}

// forgetAbsent forgets the workers that left the list first, so that a list whose workers are replaced
// without end takes bounded memory: as many are kept as are listed, and those that are in use.
func (s *workerSet) forgetAbsent() {
	excess := len(s.absent) - max(len(s.listed), minAbsentKept)
	if excess <= 0 {
		return
	}
	s.absent = slices.DeleteFunc(s.absent, func(w *worker) bool {
		if w.listed { // it is back
			w.keptAbsent = false
			excess--
			return true
		}
		if excess <= 0 || w.inUse() {
			return false
		}
		excess--
		delete(s.byID, w.ID)
		return true
	})
	s.forgetKinds()
}

// forgetKinds forgets what was learned about kinds of which no worker is known, if they are the greater part.
func (s *workerSet) forgetKinds() {
	if len(s.maxSlotsByKind) <= 2*len(s.byID) {
		return
	}
	known := map[string]bool{}
	for _, w := range s.byID {
		known[w.Kind] = true
	}
	maps.DeleteFunc(s.maxSlotsByKind, func(kind string, _ float64) bool { return !known[kind] })
}

// addListed inserts a worker at a random position, so that each balancer checks workers in a different order.
func (s *workerSet) addListed(w *worker, random *randomSource) {
	w.listed = true
	s.listed = append(s.listed, w)
	last := len(s.listed) - 1
	i := int(random.next() * float64(len(s.listed)))
	s.listed[i], s.listed[last] = w, s.listed[i]
}

// markFresh adds a worker to the fresh ones, unless it is there already.
func (s *workerSet) markFresh(w *worker) {
	if !w.fresh {
		w.fresh = true
		s.fresh = append(s.fresh, w)
	}
}

// dropStale removes workers from the fresh ones that are absent or have answered no health check since a
// time.
func (s *workerSet) dropStale(since time.Duration) {
	s.fresh = slices.DeleteFunc(s.fresh, func(w *worker) bool {
		w.fresh = w.health.lastHealthyAt >= since && w.present
		return !w.fresh
	})
}
