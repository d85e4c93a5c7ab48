package balance

import (
	"testing"
	"time"
)

// offBy is by how much a wall clock is off in these tests.
const offBy = time.Hour

// ramping returns settings with a slow start.
func ramping() Settings {
	s := settings()
	s.ColdFrom, s.ColdFor, s.FallMultiple, s.FallAfter = 0.2, 20*time.Second, 3, 3*time.Second
	return s
}

// A worker whose start lies in the future by this machine's clock, which is behind, warms up from when it was told.
func TestStartInTheFuture(t *testing.T) {
	b, _ := ready(t, ramping(), map[string][2]float64{"w1": {4, 9}})
	now := b.now
	b.Members(now, ListChanges, []Worker{{ID: "w1", Zone: "a", State: Ready, Started: now + offBy}})
	w := b.byID["w1"]
	if f := b.warmth(w); f != b.s.ColdFrom {
		t.Errorf("%.2f warm as it has just started", f)
	}
	b.Timer(now+b.s.ColdFor, "")
	if f := b.warmth(w); f != 1 {
		t.Errorf("%.2f warm after its whole slow start", f)
	}
}

// The list may tell of a restart that a probe has shown before: what was sent to the new process since still counts against its
// budget, also where this machine's clock is behind, so that the start looks later than the probe.
func TestToldOfARestartThatIsKnown(t *testing.T) {
	for name, off := range map[string]time.Duration{"right": 0, "behind": offBy} {
		b, _ := ready(t, ramping(), map[string][2]float64{"w1": {4, 9}})
		began := b.now + 10*time.Millisecond
		now := began + 10*time.Millisecond
		b.Probed(now, "w1", OK, nil)
		w := b.byID["w1"]
		w.events = append(w.events, event{now, -1, -1, 0.5})
		b.Members(now+10*time.Millisecond, ListChanges, []Worker{{ID: "w1", Zone: "a", State: Ready, Started: began + off}})
		if sent := w.sentSince(began); sent != 0.5 {
			t.Errorf("%s: %.2f s of work counts, 0.5 were sent", name, sent)
		}
		if f := b.warmth(w); f > 0.25 {
			t.Errorf("%s: %.2f warm", name, f)
		}
	}
}

// A restart that the list tells of as news, by a clock from which this machine's is an hour ahead, is of now; by clocks that agree
// it is of when the list says, also where the list is seconds late.
func TestNewsOfARestartWithTheClockAhead(t *testing.T) {
	for name, c := range map[string]struct{ ago, warms time.Duration }{
		"ahead": {offBy, 0}, "agrees": {5 * time.Second, 5 * time.Second},
	} {
		b, _ := ready(t, ramping(), map[string][2]float64{"w1": {4, 9}})
		now := b.now + 2*offBy
		b.Members(now, ListChanges, []Worker{{ID: "w1", Zone: "a", State: Ready, Started: now - c.ago, Within: 2 * time.Second}})
		if got := now - b.byID["w1"].warmFrom; got != c.warms {
			t.Errorf("%s: it has warmed up for %v, want %v", name, got, c.warms)
		}
	}
}

// What another process knows is moved to this one's clock: what it has sent counts as long as it did there, and a worker that is
// cold there is as cold here.
func TestKnowledgeOfAnotherClock(t *testing.T) {
	for name, off := range map[string]time.Duration{"behind": -offBy, "ahead": offBy} {
		old, _ := ready(t, ramping(), map[string][2]float64{"w1": {4, 9}})
		start := 3 * offBy
		old.Members(start, ListChanges, []Worker{{ID: "w1", Zone: "a", State: Ready, Started: start, Within: time.Second}})
		old.byID["w1"].events = append(old.byID["w1"].events, event{start, -1, -1, 0.5})
		old.Timer(start+time.Second, "")
		k := old.Know()
		k.Shift(off)
		young, _ := ready(t, ramping(), map[string][2]float64{"w1": {4, 9}})
		young.Members(start+off, ListFull, []Worker{{ID: "w1", Zone: "a", State: Ready, Started: start}})
		young.Learn(start+off+time.Second, k)
		w := young.byID["w1"]
		if got, want := young.warmth(w), old.warmth(old.byID["w1"]); got != want {
			t.Errorf("%s: %.3f warm, %.3f there", name, got, want)
		}
		if sent := w.sentSince(young.now - 2*time.Second); sent != 0.5 {
			t.Errorf("%s: %.2f s of work counts, 0.5 were sent", name, sent)
		}
	}
}
