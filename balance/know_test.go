package balance

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// A job keeps the class and the number of sends under which it was taken; the next one goes by the new settings.
func TestRetune(t *testing.T) {
	s := settings()
	s.MaxAttempts = 3
	b, h := ready(t, s, map[string][2]float64{"w1": {9, 9}})
	b.Accept(time.Second, req("old", 1, 0))
	to := s
	changed := s.Classes[0]
	changed.Effect = Unsafe
	to.Classes, to.MaxAttempts, to.Zone, to.Balancers = append(to.Classes[:1:1], changed), 1, "other", 9
	if err := b.Retune(time.Second, to); err != nil {
		t.Fatal(err)
	}
	if b.s.Zone != "a" || b.s.Balancers != 1 {
		t.Errorf("what needs a restart has changed: %+v", b.s)
	}
	young := req("new", 1, 0)
	young.Class = 1
	b.Accept(time.Second, young)
	h.log = nil
	for _, id := range []string{"old", "new"} {
		b.Done(time.Second, Outcome{Request: id, Worker: "w1", Result: TimedOut})
	}
	b.Timer(3*time.Second, "")
	if got := strings.Join(h.take("fail"), ";"); got != "fail new" {
		t.Errorf("given up: %q", got)
	}
	if r := b.reqs["old"]; r == nil || r.c.Effect != Safe || r.sends != 3 {
		t.Errorf("the open job goes by %+v", r)
	}
	// What cannot be right changes nothing.
	bad := to
	bad.Classes = append(to.Classes[:2:2], Class{Name: "x"})
	less := to
	less.Classes = to.Classes[:1]
	for _, s := range []Settings{bad, less} {
		if err := b.Retune(time.Second, s); err == nil || len(b.s.Classes) != 2 {
			t.Errorf("%v, %d classes", err, len(b.s.Classes))
		}
	}
}

// The time in which repeats of a key are dropped is the one under which its job was taken, though a reload shortens or
// lengthens it meanwhile: the workers heard of the key before.
func TestWindowSpansRetune(t *testing.T) {
	for _, c := range []struct {
		now, then, ends time.Duration // the window, that of the new settings, and when the first attempt breaks
		sent            int           // attempts in all
	}{
		{2 * time.Second, 100 * time.Millisecond, 1500 * time.Millisecond, 2},
		{300 * time.Millisecond, time.Hour, 1500 * time.Millisecond, 1},
	} {
		s := settings()
		s.Classes = []Class{{Name: "k", Aim: time.Hour, Deadline: time.Hour, Effect: Keyed, Scope: SameZone, Window: c.now}}
		b, h := ready(t, s, map[string][2]float64{"w1": {9, 9}, "w2": {9, 9}})
		q := req("r", 1, 0)
		q.Patience = time.Hour
		b.Accept(time.Second, q)
		to := s
		changed := s.Classes[0]
		changed.Window = c.then
		to.Classes = append(to.Classes[:1:1], changed)
		if err := b.Retune(1100*time.Millisecond, to); err != nil {
			t.Fatal(err)
		}
		for _, w := range []string{"w1", "w2"} { // whichever it went to
			b.Done(c.ends, Outcome{Request: "r", Worker: w, Result: Error})
		}
		if got := len(h.take("send r")); got != c.sent {
			t.Errorf("a window of %v, then %v: %d attempts", c.now, c.then, got)
		}
	}
}

// What one balancer has learned holds at the next: sends that a cold worker's budget must count, room that reports do not
// show yet, and workers set aside. What cannot be right is left out.
func TestLearn(t *testing.T) {
	s := settings()
	s.ColdFrom, s.ColdFor, s.FallMultiple, s.FallAfter = 0.2, 20*time.Second, 3, 3*time.Second
	old, _ := ready(t, s, map[string][2]float64{"w1": {1, 9}, "w2": {5, 9}, "w3": {5, 9}})
	old.Members(time.Second, ListChanges, []Worker{{ID: "w2", Zone: "a", State: Ready, Started: time.Second}})
	old.Probed(time.Second, "w2", OK, &Report{FreeSlots: 5, FreeMemory: 9, Queue: -1, InHand: -1, Mark: 2})
	old.Accept(time.Second, req("r1", 1, 0)) // to w3, which then looks ill
	for _, id := range []string{"w1", "w2", "w3"} {
		old.byID[id].events = append(old.byID[id].events, event{time.Second, -1, 0, 9})
	}
	old.byID["w3"].until = 20 * time.Second
	k := old.Know()
	young, h := ready(t, s, map[string][2]float64{"w1": {0, 9}, "w2": {0, 9}, "w3": {0, 9}})
	young.Members(time.Second, ListChanges, []Worker{{ID: "w2", Zone: "a", State: Ready, Started: time.Second}})
	k.Workers = append(k.Workers, Known{ID: "unlisted"})
	odd := k.Workers[0]
	odd.Report.FreeSlots, odd.Until = math.NaN(), math.MaxInt64
	young.Learn(time.Second, Knowledge{Workers: []Known{odd}, Pace: -1, Usual: math.Inf(1), RateN: math.NaN(), Slots: map[string]float64{"": -1}})
	young.Learn(time.Second, k)
	young.Accept(time.Second, req("r2", 1, 0))
	if got := h.take("send"); len(got) != 0 {
		t.Errorf("%v: w1 is full, w2 has had its budget, w3 is ill", got)
	}
	if listed, excluded := young.View(); listed != 3 || excluded != 1 {
		t.Errorf("%d listed, %d excluded", listed, excluded)
	}
}

// Once another process has its place, a balancer sends nothing to cold workers, and again when it has it back.
func TestYield(t *testing.T) {
	s := settings()
	s.ColdFrom, s.ColdFor, s.FallMultiple, s.FallAfter = 0.5, 20*time.Second, 3, 3*time.Second
	b, h := ready(t, s, map[string][2]float64{"w1": {0, 9}})
	b.Yield(time.Second, true)
	b.Members(time.Second, ListChanges, []Worker{{ID: "w2", Zone: "a", State: Ready, Started: time.Second}})
	b.Probed(time.Second, "w2", OK, &Report{FreeSlots: 5, FreeMemory: 9, Queue: -1, InHand: -1, Mark: 2})
	b.Accept(time.Second, req("r1", 1, 0))
	if got := h.take("send"); len(got) != 0 {
		t.Errorf("sent to a cold worker: %v", got)
	}
	if b.Yield(time.Second, false); len(h.take("send r1 w2")) != 1 {
		t.Errorf("got %v", h.log)
	}
}

// A request that another balancer has given up goes on with all that was done for it: its attempt that is out is charged,
// what comes of it is taken as if sent from here, and its class's allowance is kept.
func TestMoved(t *testing.T) {
	s := settings()
	s.Classes[0].Effect, s.Classes[0].Scope, s.Classes[0].Window = Keyed, SameZone, 5*time.Second
	s.MaxAttempts = 3
	for _, c := range []struct {
		result Result
		at     time.Duration
		want   string
	}{
		{OK, 2 * time.Second, ""},
		{Full, 2 * time.Second, "send r w2"},
		{Reset, 2 * time.Second, "send r w2"},
		{Reset, 7 * time.Second, "fail r"}, // past the window, counted from the send at the other one
	} {
		old, h := ready(t, s, map[string][2]float64{"w1": {1, 9}})
		old.Accept(time.Second, req("r", 1, 0))
		if out, last, ok := old.Out("r"); out != 1 || last != 0 || !ok || len(h.take("send r w1")) != 1 {
			t.Fatal(out, last, ok)
		}
		m, ok := old.Release(time.Second, "r")
		if _, again := old.Release(time.Second, "r"); !ok || again || old.Charged("w1") != 0 || len(old.reqs) != 0 {
			t.Fatalf("%v %v, charged %d", ok, again, old.Charged("w1"))
		}
		young, h := ready(t, s, map[string][2]float64{"w2": {3, 9}})
		told := 0
		if !young.Adopt(time.Second, m, func() { told++ }) || told != 1 || young.Charged("w1") != 1 {
			t.Fatalf("told %d times, charged %d", told, young.Charged("w1"))
		}
		if young.Adopt(time.Second, m, func() {}) {
			t.Error("taken twice")
		}
		h.log = nil
		young.Done(c.at, Outcome{Request: "r", Worker: "w1", Result: c.result, Final: c.result == OK})
		got := strings.Join(slices.DeleteFunc(h.log, func(l string) bool { return l[:4] != "send" && l[:4] != "fail" }), ";")
		if got != c.want || young.Charged("w1") != 0 {
			t.Errorf("%+v: got %q, charged %d", c, got, young.Charged("w1"))
		}
	}
	held, _ := ready(t, s, map[string][2]float64{"w1": {0, 9}})
	held.Accept(time.Second, req("r", 1, 0))
	m, _ := held.Release(time.Second, "r")
	young, h := ready(t, s, map[string][2]float64{"w2": {3, 9}})
	if young.Adopt(time.Second, m, func() {}); len(h.take("send r w2")) != 1 {
		t.Errorf("a request that waited: %v", h.log)
	}
}
