package balance

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a discovery that replaces workers without end and so fills the node's memory: of the workers that have left the list
// a bounded number is kept, and those with an attempt or a health check in flight.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	b, _ := newReady(t, settings(), map[string][2]float64{"w1": {8, 8}})
	now := time.Second
	b.Submit(now, newRequest("r", 1, 0))
	if b.Reservations("w1") != 1 {
		t.Fatal("no attempt is in flight")
	}
	previous := Worker{ID: "w1"}
	for i := range 5000 {
		now += time.Millisecond
		next := Worker{ID: fmt.Sprint("n", i), Zone: "a", Kind: fmt.Sprint("k", i), Status: Ready}
		previous.Status = Removed
		b.UpdateEndpoints(now, DeltaUpdate, []Worker{next, previous})
		b.HealthCheckDone(now, next.ID, OK, newReport(4, 4, uint64(i)))
		previous = next
	}
	const mostKept = 2 * (minAbsentKept + 2) // twice the absent ones, the listed one and the one in use
	if len(b.workers.byID) > mostKept || len(b.workers.maxSlotsByKind) > mostKept || len(b.workers.absent) > mostKept {
		t.Errorf("%d workers, %d kinds, %d of them absent are kept",
			len(b.workers.byID), len(b.workers.maxSlotsByKind), len(b.workers.absent))
	}
	if b.Reservations("w1") != 1 {
		t.Error("the worker with an attempt in flight is forgotten")
	}
	b.AttemptDone(now, Outcome{Request: "r", Worker: "w1", Result: OK, Final: true})
	back := Worker{ID: "w1", Zone: "a", Status: Ready}
	b.UpdateEndpoints(now, DeltaUpdate, []Worker{back})
	if listed, _ := b.WorkerCounts(); listed != 2 {
		t.Errorf("%d workers are listed", listed)
	}
}

// Guards against attempts that are kept after their end, one for each request that a node has ever served, where the settings allow
// neither cancelling nor hedging.
func TestEndedAttemptsAreForgotten(t *testing.T) {
	for _, allowed := range []struct{ cancel, hedging bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		s := settings()
		s.AllowCancel, s.AllowHedging = allowed.cancel, allowed.hedging
		b, _ := newReady(t, s, map[string][2]float64{"w1": {8, 8}})
		now := time.Second
		for i := range 2000 {
			now += 10 * time.Millisecond
			id := fmt.Sprint("r", i)
			b.Submit(now, newRequest(id, 1, 0))
			b.AttemptDone(now, Outcome{Request: id, Worker: "w1", Result: OK, Final: true})
			b.TimerFired(now, "")
		}
		if len(b.attemptsInFlight) > 2 {
			t.Errorf("%+v: %d attempts are kept, none is in flight", allowed, len(b.attemptsInFlight))
		}
	}
}

// Guards against reservations that are kept without end where a worker never sends a new report: none at all, or the same one again
// and again. The free slots are the same as with all of them.
func TestReservationsAreForgotten(t *testing.T) {
	for name, report := range map[string]*LoadReport{"no report": nil, "the same report": newReport(8, 8, 1)} {
		h := &host{}
		b, err := New(settings(), 1, h)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(time.Second, FullUpdate, []Worker{{ID: "w1", Zone: "a", Status: Ready}})
		b.HealthCheckDone(time.Second, "w1", OK, report)
		w, now := b.workers.byID["w1"], time.Second
		for i := range 5000 {
			now += 10 * time.Millisecond
			id := fmt.Sprint("r", i)
			b.Submit(now, newRequest(id, 1, 1))
			if b.Reservations("w1") != 1 {
				t.Fatalf("%s: request %d is not sent", name, i)
			}
			if free := w.reportedFree(); report != nil && free != (resources{7, 7}) {
				t.Fatalf("%s: %+v free with an attempt in flight", name, free)
			}
			b.AttemptDone(now, Outcome{Request: id, Worker: "w1", Result: OK, Report: report, Final: true})
			if i%10 == 0 {
				b.HealthCheckDone(now, "w1", OK, report)
			}
		}
		within := int(2 * b.loadEventRetention() / (10 * time.Millisecond) * 2)
		if len(w.load.events) > within+minCompactedEvents {
			t.Errorf("%s: %d events are kept", name, len(w.load.events))
		}
	}
}
