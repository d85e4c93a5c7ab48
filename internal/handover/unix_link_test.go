package handover

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// linkPair returns both ends of a link, and the listener that accepted it.
func linkPair(t *testing.T, dir string) (predecessor, successor Link, h SuccessorListener) {
	h, err := Listen(dir, "127.0.0.1:1", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Close() })
	if _, err := Dial(dir, "127.0.0.1:1", time.Second); err == nil {
		t.Error("connected to the listener before Open")
	}
	if err := h.Open(); err != nil {
		t.Fatal(err)
	}
	if successor, err = Dial(dir, "127.0.0.1:1", time.Second); err != nil {
		t.Fatal(err)
	}
	if predecessor, err = h.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { predecessor.Close(); successor.Close() })
	return predecessor, successor, h
}

// A listening socket and connections are passed over a link with the messages that they belong to. The frame with
// a list of over 90,000 bytes takes several reads.
func TestUnix(t *testing.T) {
	predecessor, successor, _ := linkPair(t, t.TempDir())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	held, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	const workers, idBytes = 1000, 90
	g := config.EndpointList{Version: 7}
	for i := range workers {
		worker := balance.Worker{ID: fmt.Sprintf("%0*d", idBytes, i), Status: balance.Ready}
		g.Endpoints = append(g.Endpoints, config.Endpoint{Address: "127.0.0.1:2", Worker: worker})
	}
	closed := make(chan error, 1)
	go func() {
		m, _, err := predecessor.Receive(time.Second)
		if err == nil && (m.Kind != KindHello || m.Version != Version || m.Listen != "here") {
			t.Errorf("%+v", m)
		}
		predecessor.Send(Message{Kind: KindWelcome, Version: Version, Group: &g}, ln)
		predecessor.Send(Message{Kind: KindRequest, Request: &OpenRequest{}}, held, held)
		held.Close()
		closed <- predecessor.Close()
	}()
	prior, got, err := Handshake(successor, "here", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if prior.Group.Version != 7 || !slices.Equal(prior.Group.Endpoints, g.Endpoints) || got.Addr().String() != ln.Addr().String() {
		t.Errorf("%+v", prior.Group.Version)
	}
	got.Close()
	m, both, err := successor.Receive(time.Second)
	if err != nil || m.Kind != KindRequest || len(both) != 2 {
		t.Fatal(m, both, err)
	}
	c := both[0]
	both[1].(net.Conn).Close()
	if err := <-closed; err != nil {
		t.Fatal(err)
	}
	go func() { io.WriteString(c.(net.Conn), "word"); c.(net.Conn).Close() }()
	if text, err := io.ReadAll(client); err != nil || string(text) != "word" {
		t.Errorf("%q %v", text, err)
	}
	if _, _, err := successor.Receive(0); err == nil {
		t.Error("received a message on a closed link")
	}
}

// Guards against a process that serves clients again, after its successor has died, and is not found by the next successor.
func TestOpenAgain(t *testing.T) {
	dir := t.TempDir()
	_, _, h := linkPair(t, dir)
	folder, err := privateDir(dir, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	dead, err := net.Listen("unix", filepath.Join(folder, "dead")) // the successor's socket
	if err != nil {
		t.Fatal(err)
	}
	dead.(*net.UnixListener).SetUnlinkOnClose(false)
	if err := os.Rename(filepath.Join(folder, "dead"), filepath.Join(folder, publicName)); err != nil {
		t.Fatal(err)
	}
	dead.Close()
	if _, err := Dial(dir, "127.0.0.1:1", time.Second); err == nil {
		t.Fatal("connected to the socket of a dead process")
	}
	for range 2 { // also if it is public already
		if err := h.Open(); err != nil {
			t.Fatal(err)
		}
		link, err := Dial(dir, "127.0.0.1:1", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		link.Close()
	}
	h.Close()
	if left, err := os.ReadDir(folder); err != nil || len(left) > 0 {
		t.Errorf("left in the folder: %v, %v", left, err)
	}
}
