package dispatch

import (
	"fmt"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
)

// The first result completes the request; events that arrive for it later change nothing.
func TestServed(t *testing.T) {
	d, h := startDispatcher(t)
	c := admittedRequest("a")
	d.Submit(c)
	h.expect(t, "attempt a0 p")
	d.AttemptProgress("a", 0, balance.JobStarted, 0)
	d.AttemptDone(balance.Outcome{Request: "a", Worker: "p", Result: balance.OK}, "result")
	<-c.Done()
	if a := c.Answer(); a.Verdict != request.Served || a.Result != "result" {
		t.Fatalf("%+v", a)
	}
	d.AttemptDone(balance.Outcome{Request: "a", Worker: "p", Result: balance.OK}, "other")
	d.AttemptProgress("a", 0, balance.JobStarted, 0)
	d.ClientGone(c)
	handleQueued(d)
	if c.Answer().Result != "result" || len(d.requests) != 0 || len(h.calls) != 0 {
		t.Errorf("%+v; %d open requests, %d calls", c.Answer(), len(d.requests), len(h.calls))
	}
}

// When a client disconnects, its attempt is canceled. The end of the attempt is still reported, and until then the request's id
// is in use: events of the old attempt would be attributed to a new request with that id.
func TestClientGone(t *testing.T) {
	d, h := startDispatcher(t)
	c := admittedRequest("a")
	d.Submit(c)
	h.expect(t, "attempt a0 p")
	c.Finish(request.Answer{Verdict: request.ClientGone})
	d.ClientGone(c)
	h.expect(t, "cancel a0")
	again := admittedRequest("a")
	d.Submit(again)
	<-again.Done()
	if again.Answer().Verdict != request.Malformed {
		t.Errorf("%+v", again.Answer())
	}
	d.AttemptDone(balance.Outcome{Request: "a", Worker: "p", Result: balance.Canceled}, "")
	handleQueued(d)
	if len(d.requests) != 0 {
		t.Errorf("%d open requests", len(d.requests))
	}
	third := admittedRequest("a")
	d.Submit(third)
	h.expect(t, "attempt a0 p")
}

// The deadline timer may answer a request before the dispatcher has handled its submission: no attempt is started for it then,
// and its id is free.
func TestEndedBeforeAccepted(t *testing.T) {
	d, h := startWithMaxAttempts(t, 0)
	c := admittedRequest("a")
	c.Finish(request.Answer{Verdict: request.Failed})
	d.ClientGone(c)
	d.Submit(c)
	again := admittedRequest("a")
	d.Submit(again)
	select {
	case got := <-h.calls:
		if got != "attempt a0 p" {
			t.Errorf("call %q", got)
		}
	case <-again.Done():
		t.Errorf("answered with %+v", again.Answer())
	case <-time.After(5 * time.Second): // only a real failure reaches it
		t.Error("no attempt for the second request: the ended one keeps the event loop busy")
	}
}

// The timers of a request are stopped when it ends, so that they do not fire for a later request with the same id.
func TestTimersEnd(t *testing.T) {
	d, h := startDispatcher(t)
	c := admittedRequest("a")
	d.Submit(c)
	h.expect(t, "attempt a0 p")
	opened := make(chan *openRequest, 1)
	d.queue.enqueue(platform.EventSource{}, func() { opened <- d.requests["a"] })
	open := <-opened
	d.AttemptDone(balance.Outcome{Request: "a", Worker: "p", Result: balance.OK}, "result")
	<-c.Done()
	handleQueued(d)
	for _, timer := range open.timers {
		if timer.Stop() {
			t.Error("a timer outlives its request")
		}
	}
	if len(open.timers) == 0 {
		t.Error("no timer was started")
	}
}

// Guards against clients that send a request, leave and come again without end while decisions take long, and so fill the queue: no
// more requests wait for their first event than may be open. Once that was handled, others are taken.
func TestSubmissionsAreBounded(t *testing.T) {
	const limit = 10
	d, _ := startDispatcher(t)
	d.SetMaxUnhandled(limit)
	unblock := blockDispatcher(d)
	taken := 0
	for i := range 1000 {
		c := admittedRequest(fmt.Sprint("r", i))
		if d.Submit(c) {
			taken++
			c.Finish(request.Answer{Verdict: request.ClientGone})
			d.ClientGone(c)
		}
	}
	if waiting := waitingEvents(d, "client"); taken != limit || waiting != 2*limit {
		t.Errorf("%d requests taken, %d events of clients wait", taken, waiting)
	}
	unblock()
	handleQueued(d)
	if !d.Submit(admittedRequest("later")) {
		t.Error("no request is taken afterwards")
	}
}
