package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/platform"
)

// successor starts a second process of the world's node, in the way of the first: it asks for the listening socket.
func (w *world) successor(t *testing.T, dir string, next ...string) (stop func(), ended chan error) {
	t.Helper()
	link, err := handover.Find(dir, w.config.Listen, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var d Doors
	if d.Prior, d.Clients, err = handover.Ask(link, w.config.Listen, time.Second); err != nil {
		t.Fatal(err)
	}
	if d.Heirs, err = handover.Listen(append(next, t.TempDir())[0], w.config.Listen, time.Second); err != nil {
		t.Fatal(err)
	}
	if d.Control, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	w.calls = d.Control.Addr().String()
	ctx, stop := context.WithCancel(t.Context())
	ended = make(chan error, 1)
	go func() { ended <- Serve(ctx, platform.Real(), w.config, d, slog.New(slog.DiscardHandler)) }()
	for code, _ := w.call(t, "GET", "/-/ready"); code != 200; code, _ = w.call(t, "GET", "/-/ready") {
		time.Sleep(time.Millisecond)
	}
	return stop, ended
}

type client struct {
	net.Conn
	in *bufio.Reader
}

func (w *world) client(t *testing.T) client {
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return client{c, bufio.NewReader(c)}
}

func (c client) ask(id string) {
	fmt.Fprintf(c, "POST /job HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
}

func (c client) served(t *testing.T) {
	t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil || resp.StatusCode != 200 || resp.Close {
		t.Fatalf("%v %v", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
}

// A second process takes over while clients are served: connections that are idle, or new and silent, or become idle go
// on there, and so does a job that runs; nothing is reset, and the first one ends once it is told to.
func TestReplace(t *testing.T) {
	dir := t.TempDir()
	w := start(t, nil, dir)
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	idle, silent, busy := w.client(t), w.client(t), w.client(t)
	idle.ask("a")
	<-w.jobs
	w.done <- "result"
	idle.served(t)
	busy.ask("long")
	<-w.jobs
	half := w.client(t)
	fmt.Fprint(half, "POST /job HT")
	stop, ended := w.successor(t, dir)
	w.figures(t, `gw_served{class="job"} 0`, "gw_workers_known 1")
	for i, c := range []client{idle, silent, w.client(t)} {
		c.ask(fmt.Sprint("c", i))
		<-w.jobs
		w.figures(t, "gw_in_flight 2") // at the second process, the long one too
		w.done <- "result"
		c.served(t)
		w.figures(t, fmt.Sprintf(`gw_served{class="job"} %d`, i+1))
	}
	fmt.Fprint(half, "TP/1.1\r\nHost: x\r\nX-Request-Id: h\r\nContent-Length: 0\r\n\r\n") // its first bytes are at the first one
	<-w.jobs
	w.figures(t, "gw_in_flight 2") // it has gone over as well
	w.done <- "result"
	w.long <- "result"
	half.served(t)
	busy.served(t)
	for i, c := range []client{half, busy} { // and now they are at the second one
		c.ask(fmt.Sprint("d", i))
		<-w.jobs
		w.done <- "result"
		c.served(t)
	}
	w.figures(t, `gw_served{class="job"} 7`, "gw_in_flight 0")
	w.stop()
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
	idle.ask("e")
	<-w.jobs
	w.done <- "result"
	idle.served(t)
	stop()
	for _, c := range []client{idle, silent, busy, half} {
		c.Close()
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// The first process takes clients again when the second one has died, and hands over to a third.
func TestReplacementDies(t *testing.T) {
	dir := t.TempDir()
	w := start(t, nil, dir)
	for _, take := range []bool{false, true} {
		link, err := handover.Find(dir, w.config.Listen, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		_, ln, err := handover.Ask(link, w.config.Listen, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if take {
			link.Send(handover.Message{Kind: handover.Take})
			if m, _, err := link.Receive(time.Second); err != nil || m.Kind != handover.Taken || len(m.Know.Workers) != 1 {
				t.Fatalf("%+v %v", m, err)
			}
		}
		if code, _ := w.call(t, "GET", "/-/ready"); (code == 200) == take {
			t.Errorf("taken over: %v, ready answers %d", take, code)
		}
		if other, err := handover.Find(dir, w.config.Listen, time.Second); err != nil {
			t.Error(err)
		} else if _, _, err := handover.Ask(other, w.config.Listen, time.Second); err == nil {
			t.Error("two at a time")
		}
		ln.Close()
		link.Close()
		for code := 0; code != 200; code, _ = w.call(t, "GET", "/-/ready") {
			time.Sleep(time.Millisecond)
		}
	}
	c := w.client(t)
	c.ask("a")
	<-w.jobs
	w.done <- "result"
	c.served(t)
	c.Close()
	w.successor(t, dir)
}

// A job that would outlive the replaced process is answered before that ends, and the process ends well.
func TestReplacedInTime(t *testing.T) {
	dir := t.TempDir()
	w := start(t, func(l *config.Limits) { l.DrainLate, l.SeenBytes = 100*time.Millisecond, 0 }, dir) // so that it cannot move
	c := w.client(t)
	c.ask("a")
	<-w.jobs
	w.successor(t, dir)
	w.stop()
	if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode == 200 {
		t.Errorf("%v %v", resp, err)
	}
	c.Close()
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
}

// A job that runs outlives two replacements, and a client that leaves in the third process is noticed there.
func TestMoveTwice(t *testing.T) {
	dir := t.TempDir()
	w := start(t, nil, dir)
	stays, leaves := w.client(t), w.client(t)
	stays.ask("long")
	<-w.jobs
	leaves.ask("long2")
	<-w.jobs
	for range 2 {
		next := t.TempDir()
		stop, ended := w.stop, w.ended
		w.stop, w.ended = w.successor(t, dir, next)
		w.figures(t, "gw_in_flight 2", `gw_attempts{class="job"} 0`)
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		dir = next
	}
	leaves.Close()
	<-w.left
	w.figures(t, "gw_in_flight 1")
	w.long <- "result"
	stays.served(t)
	w.figures(t, `gw_served{class="job"} 1`, "gw_in_flight 0")
	stays.ask("again")
	<-w.jobs
	w.done <- "result"
	stays.served(t)
	stays.Close()
	w.stop()
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
}

// A job that could not go because the other process has died goes on where it was.
func TestMoveBack(t *testing.T) {
	dir := t.TempDir()
	w := start(t, nil, dir)
	c := w.client(t)
	c.ask("long")
	<-w.jobs
	link, err := handover.Find(dir, w.config.Listen, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, ln, err := handover.Ask(link, w.config.Listen, time.Second); err != nil {
		t.Fatal(err)
	} else {
		ln.Close()
	}
	link.Send(handover.Message{Kind: handover.Take})
	link.Close()
	for code := 0; code != 200; code, _ = w.call(t, "GET", "/-/ready") {
		time.Sleep(time.Millisecond)
	}
	w.figures(t, "gw_in_flight 1")
	w.long <- "result"
	c.served(t)
	w.figures(t, `gw_served{class="job"} 1`, `gw_attempts{class="job"} 1`, "gw_in_flight 0")
	c.ask("again")
	<-w.jobs
	w.done <- "result"
	c.served(t)
}

// An old process that hangs once it was told to stop taking clients holds the new one up no longer than a message may
// take, and that serves without what it would have learned.
func TestOldHangs(t *testing.T) {
	w := start(t, func(l *config.Limits) { l.HandWait = 10 * time.Millisecond })
	dir := t.TempDir()
	hangs, err := handover.Listen(dir, w.config.Listen, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { hangs.Close() })
	if err := hangs.Open(); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	over := make(chan struct{})
	go func() {
		l, err := hangs.Accept()
		if err != nil {
			return
		}
		l.Receive(time.Second)
		l.Send(handover.Message{Kind: handover.Welcome, Version: handover.Version, Group: &w.config.Known}, ln)
		l.Receive(time.Second) // take
		<-over
		l.Close()
	}()
	stop, ended := w.successor(t, dir)
	w.addr = ln.Addr().String()
	c := w.client(t)
	c.ask("a")
	<-w.jobs
	w.done <- "result"
	c.served(t)
	close(over)
	stop()
	c.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
