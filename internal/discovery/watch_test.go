package discovery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"swiftdeal/balance"
)

func TestWatch(t *testing.T) {
	whole := `{"version":43,"full":true,"servers":[` + endpointJSON("in_service") + `]}`
	change := `{"version":44,"full":false,"servers":[` + endpointJSON("terminating") + `]}`
	addr, requested := serveOnce(t, chunks(whole, "", change), false)
	c, e := newClient(addr, time.Minute)
	c.Watch()
	if got := <-requested; got != "/v1/endpoints?follow=1&since=41" {
		t.Errorf("requested %s", got)
	}
	for i, want := range []balance.EndpointUpdate{balance.FullUpdate, balance.DeltaUpdate, balance.FailedUpdate} {
		got := <-e
		if got.kind != want || (i < 2 && got.group.Version != int64(43+i)) {
			t.Errorf("%d: %+v", i, got)
		}
	}
	if c.version != 44 {
		t.Errorf("the next watch would start from version %d", c.version)
	}
}

// However a call ends, its failure is reported at most once; a truncated or corrupted message never yields an empty list.
func TestWatchCuts(t *testing.T) {
	whole := chunks(`{"version":43,"full":true,"servers":[`+endpointJSON("in_service")+`]}`, "", `{"version":44,"servers":[]}`)
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(whole)
		if n := rapid.IntRange(0, len(text)-1).Draw(t, "at"); rapid.Bool().Draw(t, "cut") {
			text = text[:n]
		} else {
			text[n] = rapid.Byte().Draw(t, "byte")
		}
		addr, _ := serveOnce(t, string(text), false)
		c, e := newClient(addr, time.Minute)
		if rapid.Bool().Draw(t, "fetch") {
			c.exchange(&call{path: "/", ctx: t.Context(), address: addr}, time.Minute, c.readList)
		} else {
			c.run(&call{path: "/", ctx: t.Context()}, []string{addr}, c.readWatch)
		}
		failed := 0
		for len(e) > 0 {
			switch got := <-e; {
			case got.kind == balance.FailedUpdate:
				failed++
			case got.group.Full && len(got.group.Endpoints) == 0 && len(text) < len(whole):
				t.Errorf("%q is delivered as an empty list", text)
			}
		}
		if failed > 1 {
			t.Errorf("%q: failure reported %d times", text, failed)
		}
	})
}

// A host that is cut off sends nothing more: a call fails after a period of silence, although its connection stays open.
func TestSilence(t *testing.T) {
	for name, answer := range map[string]string{"no answer": "", "no line": head, "no further line": chunks("", "")} {
		addr, _ := serveOnce(t, answer, true)
		c, e := newClient(addr, time.Millisecond)
		c.limits.DiscoveryTimeout, c.limits.FirstEventTimeout = 20*time.Millisecond, 20*time.Millisecond
		c.Watch()
		if got := <-e; got.kind != balance.FailedUpdate {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// A message may be indented and span several lines and chunks, with heartbeats between messages.
func TestIndented(t *testing.T) {
	text := strings.ReplaceAll(`{"version":43,"full":true,"servers":[`+endpointJSON("in_service")+`]}`, ",", ",\n\t")
	addr, _ := serveOnce(t, head+inChunksOf(text+"\n\n \n"+`{"version":44,"servers":[]}`+"\n", 7), true)
	c, e := newClient(addr, time.Minute)
	c.Watch()
	for i, want := range []balance.EndpointUpdate{balance.FullUpdate, balance.DeltaUpdate} {
		if got := <-e; got.kind != want || got.group.Version != int64(43+i) || (i == 0) != (len(got.group.Endpoints) == 1) {
			t.Errorf("%d: %+v", i, got)
		}
	}
}

// inChunksOf encodes a text as a chunked body with chunks of n bytes.
func inChunksOf(text string, n int) (out string) {
	for ; text != ""; text = text[min(n, len(text)):] {
		out += fmt.Sprintf("%x\r\n%s\r\n", min(n, len(text)), text[:min(n, len(text))])
	}
	return out
}

// connWithoutDeadline is a connection whose deadline is ignored.
type connWithoutDeadline struct{ net.Conn }

// SetDeadline implements net.Conn.
func (connWithoutDeadline) SetDeadline(time.Time) error { return nil }

// Guards against heartbeats without end, which filled the node's memory: what comes between two messages is not kept.
func TestHeartbeatsWithoutEnd(t *testing.T) {
	const heartbeats = 8 << 20
	beats := 0
	body := io.MultiReader(
		strings.NewReader(`{"version":1}`+"\n"), strings.NewReader(strings.Repeat("\n", heartbeats)), strings.NewReader(`{"version":2}`+"\n"))
	reader := &watchReader{
		conn: connWithoutDeadline{}, body: body, silenceTimeout: time.Hour, maxBytes: 1 << 10, onHeartbeat: func() { beats++ },
		pace: func() error { return nil },
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	messages := 0
	err := reader.readMessages(func([]byte) error { messages++; return nil })
	runtime.ReadMemStats(&after)
	if messages != 2 || beats == 0 || !errors.Is(err, io.EOF) {
		t.Errorf("%d messages, %d reads of heartbeats, error %v", messages, beats, err)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 1<<20 {
		t.Errorf("%d bytes allocated for %d heartbeats", allocated, heartbeats)
	}
}

// White space inside a message is part of it, wherever the message is cut on its way and whatever has come together with the end of
// the message before.
func TestWhiteSpaceInsideMessages(t *testing.T) {
	messages := []string{`{"a":"x  y", "b":1}`, "{\n  \"a\": \"  \"\n}", `{"a":" "}`}
	text := strings.Join(messages, "\n\n \n") + "\n"
	for first := range len(text) {
		for second := first; second < len(text); second++ {
			body := io.MultiReader(
				strings.NewReader(text[:first]), strings.NewReader(text[first:second]), strings.NewReader(text[second:]))
			reader := &watchReader{
				conn: connWithoutDeadline{}, body: body, silenceTimeout: time.Hour, maxBytes: 1 << 10, onHeartbeat: func() {},
				pace: func() error { return nil },
			}
			var got []string
			err := reader.readMessages(func(message []byte) error { got = append(got, string(message)); return nil })
			if !slices.Equal(got, messages) || !errors.Is(err, io.EOF) {
				t.Fatalf("cut at %d and %d: %q, error %v", first, second, got, err)
			}
		}
	}
}
