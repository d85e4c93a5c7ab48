package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// slowHandler is a Handler whose events take effect only when they are released.
type slowHandler struct {
	passed  atomic.Int64
	release chan struct{} // closed: all take effect at once
}

// HandleListEvent implements Handler.
func (h *slowHandler) HandleListEvent(balance.EndpointUpdate, config.EndpointList) { h.passed.Add(1) }

// AwaitListEvents implements Handler.
func (h *slowHandler) AwaitListEvents() { <-h.release }

// floodLimits are limits with a low pace of messages.
var floodLimits = config.Limits{
	DiscoveryTimeout: time.Minute, FirstEventTimeout: time.Minute, WatchSilenceTimeout: time.Minute, EndpointListBytes: 1 << 10,
	HeaderBytes: 1 << 10, HeaderFields: 100, ListUpdatesPerSecond: 10, ListUpdateBurst: 20,
}

// watchFlood starts a watch whose answer goes on with the given text without end.
func watchFlood(t *testing.T, handler Handler, text func(n int) string) (client *Client, sent *atomic.Int64) {
	nodeEnd, far := net.Pipe()
	dial := func(context.Context, string, time.Duration, string) (net.Conn, error) { return nodeEnd, nil }
	client = New(floodLimits, dial, []string{"discovery:1"}, 0, handler, slog.New(slog.DiscardHandler))
	t.Cleanup(client.Close)
	client.Watch()
	sent = new(atomic.Int64)
	go func() {
		far.Read(make([]byte, 1<<10))
		io.WriteString(far, head)
		for n := 0; n < 10000; n++ {
			line := text(n)
			if _, err := fmt.Fprintf(far, "%x\r\n%s\r\n", len(line), line); err != nil {
				return
			}
			sent.Add(1)
		}
	}()
	return client, sent
}

func changeMessage(n int) string { return fmt.Sprintf(`{"version":%d,"servers":[]}`+"\n", n+1) }

// Guards against a discovery that sends changes without end and so fills the node's memory with lists that wait: the next message is
// read only when the last one has taken effect.
func TestMessageWaitsForTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := &slowHandler{release: make(chan struct{})}
		watchFlood(t, handler, changeMessage)
		time.Sleep(10 * time.Second)
		if passed := handler.passed.Load(); passed != 1 {
			t.Errorf("%d messages wait", passed)
		}
		close(handler.release)
		time.Sleep(time.Second)
		if passed := handler.passed.Load(); passed < 2 {
			t.Errorf("%d messages after the first took effect", passed)
		}
	})
}

// Guards against a discovery that takes the core from the decisions with messages or heartbeats without end: beyond a burst they are
// read at a pace.
func TestPaceOfMessages(t *testing.T) {
	for name, text := range map[string]func(int) string{
		"changes":    changeMessage,
		"heartbeats": func(int) string { return "\n" },
		"spaces":     func(int) string { return " " },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handler := &slowHandler{release: make(chan struct{})}
				close(handler.release)
				_, sent := watchFlood(t, handler, text)
				const span = 10 * time.Second
				time.Sleep(span)
				burst := int64(floodLimits.ListUpdateBurst)
				most := burst + int64(span.Seconds())*int64(floodLimits.ListUpdatesPerSecond) + 2 // one is read, one being written
				if got := sent.Load(); got > most || got < burst {
					t.Errorf("%d were read in %v, at least %d must and at most %d may be", got, span, burst, most)
				}
			})
		})
	}
}

// Guards against a discovery whose answer has a header without end, which filled the node's memory until the call timed out.
func TestHeaderWithoutEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sent := make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
		field, total := strings.Repeat("X: y\r\n", 1<<10), 0
		for total < 64<<20 {
			n, err := fmt.Fprint(conn, field)
			total += n
			if err != nil {
				break
			}
		}
		sent <- total
	}()
	c, e := newClient(ln.Addr().String(), time.Minute)
	c.Watch()
	if got := <-e; got.kind != balance.FailedUpdate {
		t.Errorf("%+v", got)
	}
	if total := <-sent; total >= 64<<20 {
		t.Errorf("%d bytes of a header were read", total)
	}
}
