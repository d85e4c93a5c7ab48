package discovery

import (
	"bufio"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/platform"
)

// Makes rapid generate the same cases in every run.
func init() { flag.Set("rapid.seed", "1") }

type listEvent struct {
	kind  balance.EndpointUpdate
	group config.EndpointList
}

type eventChannel chan listEvent

func (e eventChannel) HandleListEvent(kind balance.EndpointUpdate, g config.EndpointList) {
	e <- listEvent{kind, g}
}

// AwaitListEvents implements Handler.
func (e eventChannel) AwaitListEvents() {}

// serveOnce starts a server that answers one call with raw text. It then closes the connection, or, if silent is set, keeps it
// open without sending more. The requested path is sent to the channel.
func serveOnce(t interface{ Cleanup(func()) }, answer string, silent bool) (addr string, requested chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	requested = make(chan string, 1)
	t.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		requested <- req.RequestURI
		fmt.Fprint(c, answer)
		if silent {
			t.Cleanup(func() { c.Close() })
		} else {
			c.Close()
		}
	}()
	return ln.Addr().String(), requested
}

func newClient(addr string, silence time.Duration) (*Client, eventChannel) {
	e := make(eventChannel, 100)
	limits := config.Limits{
		DiscoveryTimeout: time.Minute, FirstEventTimeout: time.Minute, WatchSilenceTimeout: silence, EndpointListBytes: 1 << 10,
		HeaderBytes: 1 << 10, HeaderFields: 100, ListUpdatesPerSecond: 1000, ListUpdateBurst: 1000,
	}
	return New(limits, platform.Real().Dial, []string{addr}, 41, e, slog.New(slog.DiscardHandler)), e
}

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunks(lines ...string) string {
	text := head
	for _, l := range lines {
		text += fmt.Sprintf("%x\r\n%s\n\r\n", len(l)+1, l)
	}
	return text
}

func endpointJSON(state string) string {
	return `{"id":"s","addr":"127.0.0.1:80","zone":"a","cell":1,"state":"` + state + `","started_ms":0}`
}

// After a change of the address, late messages of the old one are discarded, on its watch and from a fetch: they would undo
// updates from the new address. The new watch starts from the version of the old one.
func TestMove(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, e := newClient(ln.Addr().String(), time.Minute)
	c.Watch()
	c.Fetch()
	var old [2]net.Conn
	for i := range old {
		if old[i], err = ln.Accept(); err != nil {
			t.Fatal(err)
		}
		http.ReadRequest(bufio.NewReader(old[i]))
	}
	addr, requested := serveOnce(t, chunks(`{"version":43,"servers":[]}`), true)
	c.SetAddresses([]string{addr})
	c.Watch()
	for _, o := range old { // late answers
		fmt.Fprint(o, chunks(`{"version":42,"full":true,"servers":[]}`), "0\r\n\r\n")
		o.Close()
	}
	if got := <-requested; got != "/v1/endpoints?follow=1&since=41" {
		t.Errorf("requested %s", got)
	}
	if got := <-e; got.group.Version != 43 || len(e) != 0 {
		t.Errorf("%+v and %d more", got, len(e))
	}
}

// A call fails if discovery answers with an error status, sends a message that is too long, or cannot be reached. A watch that is
// replaced ends without a failure event.
func TestFailures(t *testing.T) {
	addr, _ := serveOnce(t, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", false)
	c, e := newClient(addr, time.Minute)
	c.Fetch()
	if got := <-e; got.kind != balance.FailedUpdate {
		t.Errorf("%+v", got)
	}
	addr, _ = serveOnce(t, chunks("", strings.Repeat("x", 2<<10)), false)
	c, e = newClient(addr, time.Minute)
	c.Watch()
	if got := <-e; got.kind != balance.FailedUpdate { // the line exceeds the size limit
		t.Errorf("%+v", got)
	}
	addr, requested := serveOnce(t, chunks(""), true)
	c, e = newClient(addr, time.Minute)
	c.Watch()
	<-requested
	c.SetAddresses([]string{"127.0.0.1:1"}) // refuses connections
	c.Watch()
	if got := <-e; got.kind != balance.FailedUpdate || len(e) != 0 {
		t.Errorf("%+v and %d more", got, len(e))
	}
}

// A full list that was requested before a change must not undo it, in whichever order the two arrive, and neither may an older
// message on a watch. A full list that starts a new watch is applied whatever its version.
func TestOlderListsUndoNothing(t *testing.T) {
	list := func(version int, state string) []byte {
		return fmt.Appendf(nil, `{"version":%d,"full":true,"servers":[%s]}`, version, endpointJSON(state))
	}
	change := []byte(`{"version":43,"servers":[` + endpointJSON("terminating") + `]}`)
	renumbered := []byte(`{"version":4,"servers":[` + endpointJSON("terminating") + `]}`)
	for _, c := range []struct {
		name     string
		messages [][]byte
		first    []bool
		want     string // the state of the worker delivered with each message, "-" if none
	}{
		{"requested before, arrives after", [][]byte{change, list(42, "in_service")}, []bool{true, false}, "2-"},
		{"requested before, arrives before", [][]byte{list(42, "in_service"), change}, []bool{false, true}, "12"},
		{"older", [][]byte{change, []byte(`{"version":42,"servers":[` + endpointJSON("in_service") + `]}`)}, []bool{true, true}, "2-"},
		{"same version again", [][]byte{change, list(43, "terminating")}, []bool{true, true}, "22"},
		{"discovery restarts its numbering", [][]byte{change, list(3, "in_service"), renumbered}, []bool{true, true, false}, "212"},
	} {
		cl, e := newClient("127.0.0.1:1", time.Minute)
		got := ""
		for i, text := range c.messages {
			if err := cl.deliver(&call{ctx: t.Context()}, text, c.first[i]); err != nil {
				t.Fatal(err)
			}
			if m := <-e; len(m.group.Endpoints) == 0 && m.kind == balance.DeltaUpdate {
				got += "-"
			} else {
				got += fmt.Sprint(int(m.group.Endpoints[0].Status))
			}
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Changes that another process of the node has heard are applied once, in the order of versions, and only if they come from an
// address of this client's discovery.
func TestRelay(t *testing.T) {
	c, e := newClient("127.0.0.1:1", time.Minute)
	relay := func(source string, version int64) {
		c.Relay(config.EndpointList{Version: version, Source: source, Endpoints: []config.Endpoint{{Worker: balance.Worker{ID: "w"}}}})
	}
	relay("127.0.0.1:1", 41) // known already
	relay("127.0.0.1:2", 50) // another service
	if len(e) != 0 {
		t.Errorf("%+v", <-e)
	}
	relay("127.0.0.1:1", 42)
	if got := <-e; got.kind != balance.RelayedUpdate || got.group.Version != 42 || len(got.group.Endpoints) != 1 {
		t.Errorf("%+v", got)
	}
	older := []byte(`{"version":41,"servers":[` + endpointJSON("in_service") + `]}`) // would undo what was relayed
	if err := c.deliver(&call{ctx: t.Context()}, older, true); err != nil {
		t.Fatal(err)
	}
	if got := <-e; len(got.group.Endpoints) != 0 {
		t.Errorf("%+v", got)
	}
	c.SetAddresses([]string{"127.0.0.1:3"})
	relay("127.0.0.1:1", 43)
	c.Close()
	relay("127.0.0.1:3", 44)
	if len(e) != 0 {
		t.Errorf("%+v", <-e)
	}
}
