package dispatch

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
)

// fakeHost is a fake Sender and EndpointSource that records the calls made to it.
type fakeHost struct{ calls chan string }

func (h fakeHost) StartAttempt(c *request.Context, attempt int, worker string, _ time.Time) func() {
	h.calls <- fmt.Sprint("attempt ", c.ID, attempt, " ", worker)
	return func() { h.calls <- fmt.Sprint("cancel ", c.ID, attempt) }
}

func (h fakeHost) CheckHealth(string)                {}
func (h fakeHost) UpdateWorkers(config.EndpointList) {}
func (h fakeHost) Watch()                            { h.calls <- "watch" }
func (h fakeHost) Fetch()                            {}
func (h fakeHost) SetAddresses(addresses []string)   { h.calls <- "move " + strings.Join(addresses, " ") }

func (h fakeHost) expect(t *testing.T, want string) {
	t.Helper()
	if got := <-h.calls; got != want {
		t.Fatalf("call %q, want %q", got, want)
	}
}

// startDispatcher returns a running dispatcher that knows one worker, which has sent no report.
func startDispatcher(t *testing.T) (*Dispatcher, fakeHost) { return startWithMaxAttempts(t, 4) }

// startWithMaxAttempts is startDispatcher with a limit on the attempts of a request; 0: no limit.
func startWithMaxAttempts(t *testing.T, maxAttempts int) (*Dispatcher, fakeHost) {
	d, err := New(balance.Settings{
		AllowCancel: true, PollEndpoints: true, MaxAttempts: maxAttempts, DialTimeout: time.Second,
		Classes: []balance.Class{{Name: "job", LatencyObjective: time.Hour, Deadline: 2 * time.Hour, PriorityWeight: 1}},
	}, 1, 0, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	h := fakeHost{make(chan string, 100)}
	go d.Run(t.Context(), h, h)
	worker := balance.Worker{ID: "p", Status: balance.Ready}
	d.HandleListEvent(balance.CachedUpdate, config.EndpointList{Full: true, Endpoints: []config.Endpoint{{Worker: worker}}})
	h.expect(t, "watch")
	<-d.EndpointsKnown()
	return d, h
}

func admittedRequest(id string) *request.Context {
	c := request.New()
	c.Request = balance.Request{ID: id, ClientTimeout: 2 * time.Hour}
	return c
}

// handleQueued waits until all events enqueued so far are handled.
func handleQueued(d *Dispatcher) {
	done := make(chan struct{})
	d.queue.enqueue(platform.EventSource{}, func() { close(done) })
	<-done
}

// The clock starts at Unix time, so that the start times of workers can be compared with it, and never goes back.
func TestClock(t *testing.T) {
	d, _ := startDispatcher(t)
	before := d.now()
	if elapsed := before - time.Duration(d.clock.startedAt.UnixNano()); elapsed < 0 || d.now() < before {
		t.Errorf("clock reads %v", before)
	}
}
