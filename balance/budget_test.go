package balance

import (
	"fmt"
	"testing"
	"time"
)

// recalls plays jobs that wait at the worker they are sent to, a second apart, with room reported elsewhere, or a
// queue at every third look, and counts the call-backs. With helps, a job that was called back starts at once where it is sent next.
func recalls(t *testing.T, jobs int, helps bool, queue float64, runs time.Duration) (n int) {
	s := settings()
	s.TellsStart, s.TellsQueue, s.SecondCopies = true, true, true
	b, h := ready(t, s, map[string][2]float64{"w1": {9, 9}, "w2": {9, 9}})
	b.run[0] = runs.Seconds()
	b.Accept(time.Second, req("quick", 1, 0))
	b.Note(1001*time.Millisecond, "quick", 0, Started, 0)
	b.Done(1002*time.Millisecond, Outcome{Request: "quick", Result: OK, Final: true})
	for i := range jobs {
		id, now := fmt.Sprint("r", i), time.Duration(2+i)*time.Second
		show := func(at time.Duration) {
			for k, w := range []string{"w1", "w2"} {
				b.Probed(at, w, OK, &Report{FreeSlots: 9, FreeMemory: 9, Queue: -1, InHand: -1, Mark: uint64(at) + uint64(k)})
			}
		}
		if queue > 0 {
			b.Probed(now-10*time.Millisecond, "w2", OK, &Report{FreeSlots: 0, FreeMemory: 9, Queue: queue, InHand: -1, Mark: uint64(now)})
		}
		b.run[0] = runs.Seconds()
		show(now)
		b.Accept(now, req(id, 1, 0))
		show(now + 100*time.Millisecond)
		b.Timer(now+100*time.Millisecond, "")
		if len(h.take("cancel")) > 0 {
			n++
			if helps {
				b.Note(now+101*time.Millisecond, id, 1, Started, 0)
			}
		}
		for a := range 2 {
			for _, w := range []string{"w1", "w2"} {
				b.Done(now+900*time.Millisecond, Outcome{Request: id, Attempt: a, Worker: w, Result: OK, Final: true})
			}
		}
		h.take("")
	}
	return n
}

// Where call-backs do not help they end: workers that go on with what was called off get no more than a share of work on
// top. Where they help, all of them are made, but not while queues stay long all the same, nor for jobs
// that are far shorter than what is known of other workers is old.
func TestCallBacksThatDoNotHelpEnd(t *testing.T) {
	if n := recalls(t, 200, false, 0, time.Second); n < 200*budgetShare || n > budgetMost+200*budgetShare+1 {
		t.Errorf("%d of 200 jobs are called back in vain", n)
	}
	if n := recalls(t, 200, true, 0, time.Second); n < 195 {
		t.Errorf("only %d of 200 jobs are called back where that helps", n)
	}
	if n := recalls(t, 200, true, 20, time.Second); n < 200*budgetShare || n > 60 {
		t.Errorf("%d of 200 jobs are called back though queues stay long", n)
	}
	if n := recalls(t, 200, true, 0, 20*time.Millisecond); n < 1 || n > 60 {
		t.Errorf("%d of 200 jobs are called back that are far shorter than reports are old", n)
	}
}
