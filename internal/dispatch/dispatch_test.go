package dispatch

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
)

// host stands in for the sender and for discovery; it tells what it is asked to do.
type host struct{ asked chan string }

func (h host) Try(c *request.Context, attempt int, peer string, _ time.Time) func() {
	h.asked <- fmt.Sprint("try ", c.ID, attempt, " ", peer)
	return func() { h.asked <- fmt.Sprint("cancel ", c.ID, attempt) }
}
func (h host) Probe(string)        {}
func (h host) Update(config.Group) {}
func (h host) Watch()              { h.asked <- "watch" }
func (h host) Fetch()              {}
func (h host) Move(addr string)    { h.asked <- "move " + addr }

func (h host) want(t *testing.T, what string) {
	t.Helper()
	if got := <-h.asked; got != what {
		t.Fatalf("asked to %q, want %q", got, what)
	}
}

// start returns a stage that knows one peer without reports.
func start(t *testing.T) (*Stage, host) { return startWith(t, 4) }

// startWith returns the same with a limit of attempts; 0: none.
func startWith(t *testing.T, maxAttempts int) (*Stage, host) {
	r, err := New(balance.Settings{
		MayCancel: true, MustAsk: true, MaxAttempts: maxAttempts, DialTimeout: time.Second,
		Classes: []balance.Class{{Name: "job", Aim: time.Hour, Deadline: 2 * time.Hour, Worth: 1}},
	}, 1, 0, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	h := host{make(chan string, 100)}
	go r.Run(t.Context(), h, h)
	r.Listed(balance.ListCached, config.Group{Full: true, Peers: []config.Peer{{Worker: balance.Worker{ID: "p", State: balance.Ready}}}})
	h.want(t, "watch")
	<-r.Held()
	return r, h
}

func admitted(id string) *request.Context {
	c := request.New()
	c.Request = balance.Request{ID: id, Patience: 2 * time.Hour}
	return c
}

// settle waits until all events posted so far are handled.
func settle(r *Stage) {
	done := make(chan struct{})
	r.box.post(platform.Source{}, func() { close(done) })
	<-done
}

// The first result ends the request; whatever comes for it after that changes nothing.
func TestServed(t *testing.T) {
	r, h := start(t)
	c := admitted("a")
	r.Accept(c)
	h.want(t, "try a0 p")
	r.Advanced("a", 0, balance.Started, 0)
	r.Ended(balance.Outcome{Request: "a", Worker: "p", Result: balance.OK}, "result")
	<-c.Ended()
	if a := c.Answer(); a.Verdict != request.Served || a.Result != "result" {
		t.Fatalf("%+v", a)
	}
	r.Ended(balance.Outcome{Request: "a", Worker: "p", Result: balance.OK}, "other")
	r.Advanced("a", 0, balance.Started, 0)
	r.Vanished(c)
	settle(r)
	if c.Answer().Result != "result" || len(r.open) != 0 || len(h.asked) != 0 {
		t.Errorf("%+v; %d open, %d asked", c.Answer(), len(r.open), len(h.asked))
	}
}

// A client that leaves has its try called off. The try's end is still told, and until then its id is in use: a
// new request under it would be taken for the old one.
func TestVanished(t *testing.T) {
	r, h := start(t)
	c := admitted("a")
	r.Accept(c)
	h.want(t, "try a0 p")
	c.Finish(request.Answer{Verdict: request.Gone})
	r.Vanished(c)
	h.want(t, "cancel a0")
	again := admitted("a")
	r.Accept(again)
	<-again.Ended()
	if again.Answer().Verdict != request.Malformed {
		t.Errorf("%+v", again.Answer())
	}
	r.Ended(balance.Outcome{Request: "a", Worker: "p", Result: balance.Cancelled}, "")
	settle(r)
	if len(r.open) != 0 {
		t.Errorf("%d open", len(r.open))
	}
	third := admitted("a")
	r.Accept(third)
	h.want(t, "try a0 p")
}

// A request that a peer finds faulty is answered as such, and neither sent to others nor held against the peer.
func TestRejected(t *testing.T) {
	r, h := start(t)
	for _, id := range []string{"a", "b", "c"} {
		c := admitted(id)
		r.Accept(c)
		h.want(t, "try "+id+"0 p") // the only peer is not backed off
		r.Ended(balance.Outcome{Request: id, Worker: "p", Result: balance.Rejected}, "")
		if <-c.Ended(); c.Answer().Verdict != request.Malformed {
			t.Errorf("%+v", c.Answer())
		}
	}
	settle(r)
	if len(r.open) != 0 || len(h.asked) != 0 {
		t.Errorf("%d open, %d asked", len(r.open), len(h.asked))
	}
}

// Discovery moves: the new address is asked at once, however long the old one has failed before.
func TestMoved(t *testing.T) {
	r, h := start(t)
	for range 9 {
		r.Listed(balance.ListFailed, config.Group{})
	}
	r.Moved("there")
	h.want(t, "move there")
	h.want(t, "watch")
	r.Accept(admitted("a"))
	h.want(t, "try a0 p") // the peers known before still are
}

// A try for a request whose client has just left is not sent, and its end is told all the same.
func TestMoot(t *testing.T) {
	r, h := start(t)
	c := admitted("a")
	c.Finish(request.Answer{Verdict: request.Gone})
	r.Accept(c)
	r.Vanished(c)
	settle(r)
	settle(r) // the end of the try was posted by the first events
	if len(r.open) != 0 || len(h.asked) != 0 {
		t.Errorf("%d open, %d asked", len(r.open), len(h.asked))
	}
}

// The clock is Unix time, so that start times compare with it, and never goes back.
func TestClock(t *testing.T) {
	r, _ := start(t)
	before := r.now()
	if d := before - time.Duration(r.start.UnixNano()); d < 0 || r.now() < before {
		t.Errorf("clock %v", before)
	}
}

// byName is an order in which sources go by their ids.
type byName struct{}

func (byName) Settle()                          {}
func (byName) Owner(func(string) int)           {}
func (byName) Before(a, b platform.Source) bool { return a.ID < b.ID }

// Under an order of its own, a machine hands out what came at one instant by source, and each source's news as
// they came.
func TestMailboxInOrder(t *testing.T) {
	m, got := newMailbox(), ""
	for i, id := range []string{"b", "a", "b", "c", "a"} {
		m.post(platform.Source{ID: id}, func() { got += fmt.Sprint(id, i, " ") })
	}
	for e, ok := m.first(byName{}); ok; e, ok = m.first(byName{}) {
		e.run()
	}
	if got != "a1 a4 b0 b2 c3 " {
		t.Error(got)
	}
}

// A request's timer ends with it: a later request that uses the id again is none of its business.
func TestTimersEnd(t *testing.T) {
	r, h := start(t)
	c := admitted("a")
	r.Accept(c)
	h.want(t, "try a0 p")
	posted := make(chan *entry, 1)
	r.box.post(platform.Source{}, func() { posted <- r.open["a"] })
	e := <-posted
	r.Ended(balance.Outcome{Request: "a", Worker: "p", Result: balance.OK}, "result")
	<-c.Ended()
	settle(r)
	for _, timer := range e.timers {
		if timer.Stop() {
			t.Error("a timer outlives its request")
		}
	}
	if len(e.timers) == 0 {
		t.Error("no timer was wound")
	}
}

// Events are handled in the order in which they were posted, and posting never blocks.
func TestMailbox(t *testing.T) {
	m, got := newMailbox(), []int{}
	for i := range 1000 {
		m.post(platform.Source{}, func() { got = append(got, i) })
	}
	for _, e := range m.take() {
		e.run()
	}
	for i, v := range got {
		if i != v {
			t.Fatalf("%d at %d", v, i)
		}
	}
	if len(got) != 1000 || len(m.take()) != 0 {
		t.Errorf("%d events", len(got))
	}
}

// A batch's memory is used again, but not while its own events run; what a burst has needed is given back.
func TestMailboxUsesItsMemoryAgain(t *testing.T) {
	m, got := newMailbox(), ""
	post := func(s string) { m.post(platform.Source{}, func() { got += s }) }
	for range 3 {
		post("a")
		post("b")
		for _, e := range m.take() {
			post("c") // by an event of the batch in hand
			e.run()
		}
		for _, e := range m.take() {
			e.run()
		}
	}
	run := func() {}
	n := testing.AllocsPerRun(100, func() { m.post(platform.Source{}, run); m.take() })
	for range 2 * mostSpare {
		m.post(platform.Source{}, run)
	}
	if m.take(); got != "abccabccabcc" || n > 0 || cap(m.spare) > mostSpare {
		t.Errorf("%s, %v allocations an event, room for %d kept", got, n, cap(m.spare))
	}
}

// The deadline timer may answer a request before its acceptance has reached the decisions: nothing is tried for it then, and its
// id is free.
func TestEndedBeforeAccepted(t *testing.T) {
	r, h := startWith(t, 0)
	c := admitted("a")
	c.Finish(request.Answer{Verdict: request.Failed})
	r.Vanished(c)
	r.Accept(c)
	again := admitted("a")
	r.Accept(again)
	select {
	case got := <-h.asked:
		if got != "try a0 p" {
			t.Errorf("asked to %q", got)
		}
	case <-again.Ended():
		t.Errorf("answered with %+v", again.Answer())
	case <-time.After(5 * time.Second): // only a real failure reaches it
		t.Error("the events of the ended request go round and round")
	}
}
