package dispatch

import (
	"testing"

	"swiftdeal/balance"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
)

// A request that a worker rejects as invalid is answered as malformed. It is not sent to other workers, and the worker is not
// backed off.
func TestRejected(t *testing.T) {
	d, h := startDispatcher(t)
	for _, id := range []string{"a", "b", "c"} {
		c := admittedRequest(id)
		d.Submit(c)
		h.expect(t, "attempt "+id+"0 p") // the only worker is not backed off
		d.AttemptDone(balance.Outcome{Request: id, Worker: "p", Result: balance.InvalidRequest}, "")
		if <-c.Done(); c.Answer().Verdict != request.Malformed {
			t.Errorf("%+v", c.Answer())
		}
	}
	handleQueued(d)
	if len(d.requests) != 0 || len(h.calls) != 0 {
		t.Errorf("%d open requests, %d calls", len(d.requests), len(h.calls))
	}
}

// An attempt for a request whose client has just disconnected is not sent, and its end is reported all the same.
func TestSuppressedAttempt(t *testing.T) {
	d, h := startDispatcher(t)
	c := admittedRequest("a")
	c.Finish(request.Answer{Verdict: request.ClientGone})
	d.Submit(c)
	d.ClientGone(c)
	handleQueued(d)
	handleQueued(d) // the end of the attempt was enqueued by the first events
	if len(d.requests) != 0 || len(h.calls) != 0 {
		t.Errorf("%d open requests, %d calls", len(d.requests), len(h.calls))
	}
}

// blockDispatcher stops the handling of events until the returned function is called.
func blockDispatcher(d *Dispatcher) (unblock func()) {
	blocked, proceed := make(chan struct{}), make(chan struct{})
	d.queue.enqueue(platform.EventSource{Kind: platform.Drain}, func() {
		close(blocked)
		<-proceed
	})
	<-blocked
	return func() { close(proceed) }
}

// waitingEvents returns how many events of a kind of source wait.
func waitingEvents(d *Dispatcher, source string) int64 {
	for _, count := range d.EventsWaiting() {
		if count.Name == source {
			return count.Value
		}
	}
	return -1
}

// Guards against workers that report progress without end, faster than events are handled, and so fill the node's memory: an
// attempt has at most one progress event in the queue.
func TestProgressWithoutEnd(t *testing.T) {
	d, h := startDispatcher(t)
	d.Submit(admittedRequest("a"))
	h.expect(t, "attempt a0 p")
	for range 2 { // the queue takes progress again once it was handled
		unblock := blockDispatcher(d)
		d.AttemptProgress("a", 0, balance.JobStarted, 0)
		for i := range 10000 {
			d.AttemptProgress("a", 0, balance.JobAdvanced, float64(i)/10000)
		}
		if waiting := waitingEvents(d, "attempt"); waiting != 1 {
			t.Errorf("%d events of one attempt wait", waiting)
		}
		unblock()
		handleQueued(d)
		if waiting := waitingEvents(d, "attempt"); waiting != 0 {
			t.Errorf("%d events wait at the end", waiting)
		}
	}
}

// Of the progress that an attempt reports while an event is queued the Balancer receives the last share. A job that has advanced
// has started, whatever is reported afterwards.
func TestProgressIsMerged(t *testing.T) {
	table, attempt := newProgressTable(), attemptSource("a", 0)
	for _, c := range []struct {
		reports []attemptProgress
		want    attemptProgress
	}{
		{[]attemptProgress{{balance.JobStarted, 0}}, attemptProgress{balance.JobStarted, 0}},
		{[]attemptProgress{{balance.JobStarted, 0}, {balance.JobAdvanced, 0.2}}, attemptProgress{balance.JobAdvanced, 0.2}},
		{[]attemptProgress{{balance.JobAdvanced, 0.2}, {balance.JobAdvanced, 0.4}}, attemptProgress{balance.JobAdvanced, 0.4}},
		{[]attemptProgress{{balance.JobAdvanced, 0.2}, {balance.JobStarted, 0}}, attemptProgress{balance.JobAdvanced, 0.2}},
	} {
		for i, report := range c.reports {
			if enqueue := table.record(attempt, report); enqueue != (i == 0) {
				t.Errorf("%v: report %d is enqueued: %v", c.reports, i, enqueue)
			}
		}
		if got := table.take(attempt); got != c.want {
			t.Errorf("%v: %v, want %v", c.reports, got, c.want)
		}
	}
	if len(table.queued) != 0 {
		t.Errorf("%d attempts left", len(table.queued))
	}
}
