package node

import (
	"net"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/platform"
)

// silentListener returns a listener whose connections stay open and never receive data.
func silentListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// connectTo returns a connection to a listener.
func connectTo(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// ages maps the names of events to how long before a common instant they happened.
type ages map[string]time.Duration

// stateAges returns the ages of the times in a learned state.
func stateAges(state *balance.LearnedState, now time.Duration) ages {
	found := ages{"last arrival": now - state.LastArrival, "known since": now - state.KnownSince}
	for _, worker := range state.Workers {
		found["backoff until"], found["work rate at"] = now-worker.BackoffUntil, now-worker.WorkRateAt
		for _, event := range worker.LoadEvents {
			found["load event"] = now - event.Time
		}
	}
	return found
}

// requestAges returns the ages of the times in a request's state.
func requestAges(state balance.RequestState, now time.Duration) ages {
	found := ages{"objective": now - state.ObjectiveAt, "deadline": now - state.Deadline}
	for _, attempt := range state.Attempts {
		found["sent"], found["started"] = now-attempt.SentAt, now-attempt.StartedAt
		found["last seen"] = now - attempt.LastSeenAt
	}
	return found
}

// expect fails the test unless the ages are as wanted, within the time that the test may take on a busy machine.
func (a ages) expect(t *testing.T, what string, want ages) {
	t.Helper()
	for name, age := range want {
		if got, ok := a[name]; !ok || (got-age).Abs() > 10*time.Second {
			t.Errorf("%s, %s: %v ago, want %v ago", what, name, got, age)
		}
	}
}

// A process takes over from one whose balancer clock has another offset, and is replaced in turn: the times in the learned
// state and in an open request have the same age in the third process as in the first.
func TestTimesFromAnotherBalancersClock(t *testing.T) {
	for name, offset := range map[string]time.Duration{"ahead": time.Hour, "behind": -time.Hour} {
		t.Run(name, func(t *testing.T) { handOverFromClock(t, time.Duration(time.Now().UnixNano())+offset) })
	}
}

// handOverFromClock acts as a predecessor whose balancer clock reads now, and then as a successor.
func handOverFromClock(t *testing.T, now time.Duration) {
	w := startNode(t, nil)
	c := *w.config
	c.Discovery = config.DiscoveryAddresses{File: silentListener(t).Addr().String()} // so that the endpoint list does not change
	w.config = &c
	workers := silentListener(t) // so that no load report and no response arrives
	worker := balance.Worker{ID: "q", Zone: "a", Status: balance.Ready}
	clocks := &handover.Clocks{Monotonic: platform.Real().Monotonic(), Balancer: now}
	class := c.Settings.Balance.Classes[0]
	state := &balance.LearnedState{
		LastArrival: now - 2*time.Second, KnownSince: now - 40*time.Second, ArrivalCount: 1, ArrivalSeconds: 1,
		Workers: []balance.WorkerState{{
			ID: "q", ConsecutiveFailures: 3, BackoffUntil: now + 30*time.Second, EstimatedCapacity: 1,
			WorkRate: 1, WorkRateAt: now - 3*time.Second,
			LoadEvents: []balance.LoadEvent{{Time: now - time.Second, Slots: -1, Work: 1}},
		}},
	}
	open := &handover.OpenRequest{
		ClassName: class.Name, Class: class, Method: "POST", Target: "/job", Host: "x", WorkerID: "q",
		ArrivedMonotonic: clocks.Monotonic - time.Minute, DeadlineMonotonic: clocks.Monotonic + time.Hour,
		State: balance.RequestState{
			Request:     balance.Request{ID: "r", ClientTimeout: time.Hour, Slots: 1},
			ObjectiveAt: now + 20*time.Minute, Deadline: now + time.Hour, MaxAttempts: 4,
			Attempts: []balance.AttemptState{{
				Worker: worker, SentAt: now - 50*time.Second, StartedAt: now - 45*time.Second,
				LastSeenAt: now - 30*time.Second, InFlight: true,
			}},
		},
	}
	list := config.EndpointList{Version: 1, Full: true, Endpoints: []config.Endpoint{{Address: workers.Addr().String(), Worker: worker}}}
	script := &handoverScript{
		endpoints: &list, state: state, clocks: clocks, listener: silentListener(t),
		passed: []passedMessage{{
			handover.Message{Kind: handover.KindRequest, Request: open, Clocks: clocks},
			[]any{connectTo(t, silentListener(t)), connectTo(t, workers)},
		}},
	}
	next := t.TempDir()
	stop, ended := script.replaceBy(t, w, next)

	link, err := handover.Dial(next, c.Listen, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := handover.Handshake(link, c.Listen, time.Minute); err != nil {
		t.Fatal(err)
	}
	link.Send(handover.Message{Kind: handover.KindTakeOver})
	learned, _, err := link.Receive(time.Minute)
	if err != nil || learned.BalancerState == nil || learned.Clocks == nil {
		t.Fatalf("got %+v, want a learned state: %v", learned, err)
	}
	stateAges(learned.BalancerState, learned.Clocks.Balancer).expect(t, "learned", stateAges(state, now))
	migrated, _, err := link.Receive(time.Minute)
	if err != nil || migrated.Request == nil || migrated.Clocks == nil {
		t.Fatalf("%+v, want a message with an open request: %v", migrated, err)
	}
	requestAges(migrated.Request.State, migrated.Clocks.Balancer).expect(t, "request", requestAges(open.State, now))
	script.link.Close()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
