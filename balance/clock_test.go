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
