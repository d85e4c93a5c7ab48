package transport

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/invariant"
	"swiftdeal/internal/request"
)

// violations returns how often a monitor counted a violation of an invariant.
func violations(m *invariant.Monitor, i invariant.Kind) int64 { return m.Violations()[i].Value }

// disconnectedClient is a client that has disconnected.
type disconnectedClient struct{}

func (disconnectedClient) State() request.ClientState { return request.ClientLeft }
func (disconnectedClient) AwaitRead(context.Context, time.Time) time.Time {
	return time.Now()
}

// An attempt whose client has disconnected is suppressed even if the server has not read the end of the client's
// connection yet.
func TestClientDisconnectNotYetRead(t *testing.T) {
	worker := newScriptedWorker(t)
	transport, events := newTransport(worker.Addr().String(), nil)
	defer transport.Close()
	m := invariant.NewMonitor(slog.New(slog.DiscardHandler))
	transport.SetMonitor(m)
	c := newJob("r")
	c.Client = disconnectedClient{}
	transport.StartAttempt(c, 0, "p", time.Time{})
	if got := <-events.ends; got.Result != balance.Suppressed {
		t.Errorf("%+v", got)
	}
	if n := m.AttemptsSuppressed()[invariant.ClientGone].Value; n != 1 || len(worker.requests) != 0 {
		t.Errorf("%d attempts suppressed, %d requests at the worker; want 1 and 0", n, len(worker.requests))
	}
}

// readingClient is a client of which data is unread. Reading that finds what is behind it.
type readingClient struct {
	states []request.ClientState // one after the other; the last one stays
	ages   []time.Duration       // of what reading finds, likewise
	waits  int
}

func (c *readingClient) State() request.ClientState {
	state := c.states[0]
	if len(c.states) > 1 {
		c.states = c.states[1:]
	}
	return state
}

func (c *readingClient) AwaitRead(context.Context, time.Time) time.Time {
	c.waits++
	age := c.ages[0]
	if len(c.ages) > 1 {
		c.ages = c.ages[1:]
	}
	return time.Now().Add(-age)
}

// While a client's data is unread, an attempt waits: it is suppressed if the client has left, and else it is sent. It waits again if
// reading took so long that the client may have left since.
func TestAttemptWaitsForReading(t *testing.T) {
	fresh, old := []time.Duration{0}, []time.Duration{time.Second, 0}
	for _, c := range []struct {
		after request.ClientState
		ages  []time.Duration
		waits int
		want  balance.Result
	}{
		{request.ClientLeft, fresh, 1, balance.Suppressed}, {request.ClientConnected, fresh, 1, balance.OK},
		{request.ClientUnread, fresh, 1, balance.OK}, {request.ClientUnread, old, 2, balance.OK},
		{request.ClientConnected, old, 1, balance.OK},
	} {
		worker := newScriptedWorker(t)
		transport, events := newTransport(worker.Addr().String(), nil)
		defer transport.Close()
		client := &readingClient{states: []request.ClientState{request.ClientUnread, c.after}, ages: c.ages}
		job := newJob("r")
		job.Client = client
		if c.want == balance.OK {
			worker.answers <- chunkedAnswer(doneLine)
		}
		transport.StartAttempt(job, 0, "p", time.Time{})
		if got := <-events.ends; got.Result != c.want || client.waits != c.waits {
			t.Errorf("then %v: %+v after %d waits, want %v after %d", c.after, got, client.waits, c.want, c.waits)
		}
	}
}

// A retry that the class's policy forbids is suppressed and counted as a violation even if a routing decision asks for
// it.
func TestForbiddenRetry(t *testing.T) {
	worker := newScriptedWorker(t)
	transport, events := newTransport(worker.Addr().String(), nil)
	defer transport.Close()
	m := invariant.NewMonitor(slog.New(slog.DiscardHandler))
	transport.SetMonitor(m)
	c := newJob("r")
	c.Policy = invariant.RetryPolicy{Idempotency: balance.NotIdempotent}
	worker.answers <- statusAnswer(500, "")
	transport.StartAttempt(c, 0, "p", time.Time{})
	if got := <-events.ends; got.Result != balance.WorkerError {
		t.Fatalf("%+v", got)
	}
	<-worker.requests
	transport.StartAttempt(c, 1, "p", time.Time{})
	if got := <-events.ends; got.Result != balance.Suppressed {
		t.Errorf("%+v", got)
	}
	if n := violations(m, invariant.RetryAllowed); n != 1 || len(worker.requests) != 0 {
		t.Errorf("%d violations, %d more requests at the worker; want 1 and 0", n, len(worker.requests))
	}
}

// The connection of a worker that answers before it has read the whole request is not reused: the next attempt would be
// written behind the rest of the body.
func TestAnswerBeforeRequestIsRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.(*net.TCPConn).SetReadBuffer(4 << 10)
			conns <- c
		}
	}()
	transport, events := newTransport(ln.Addr().String(), func(l *config.Limits) { l.ResponseEndTimeout = 20 * time.Millisecond })
	defer transport.Close()
	large := newJob("large")
	large.Body = bytes.Repeat([]byte("x"), 32<<20)
	transport.StartAttempt(large, 0, "p", time.Time{})
	first := <-conns
	defer first.Close()
	if _, err := http.ReadRequest(bufio.NewReader(first)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(first, statusAnswer(503, "X-Not-Run: 1\r\n"))
	if got := <-events.ends; got.Result != balance.RejectedBusy {
		t.Fatalf("%+v", got)
	}
	small := newJob("small")
	transport.StartAttempt(small, 0, "p", time.Time{})
	select {
	case second := <-conns:
		defer second.Close()
		req, err := http.ReadRequest(bufio.NewReader(second))
		if err != nil || req.Header.Get("X-Request-Id") != "small" {
			t.Errorf("%v %v", req, err)
		}
	case <-time.After(20 * time.Second): // far above the normal duration, to avoid false failures
		t.Error("no second connection within 20 s: the next attempt waits behind the rest of the body")
	}
}
