package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/testing/loopback"
)

// resetDuringHandover returns a connection as a process receives it from another one if the worker sends text and then resets it
// on the way.
func resetDuringHandover(t *testing.T, text string) net.Conn {
	t.Helper()
	sent, worker, err := loopback.ConnPair()
	if err != nil {
		t.Fatal(err)
	}
	defer sent.Close()
	io.WriteString(worker, text)
	if err := loopback.Reset(worker, sent); err != nil {
		t.Fatal(err)
	}
	file, err := sent.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	received, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { received.Close() })
	return received
}

// A connection to a worker that dies while the connection is passed to this process has no peer address. Its attempt ends
// as reset, unless the answer had been received before, and the process keeps running.
func TestResumeAfterReset(t *testing.T) {
	whole := chunkedAnswer(`{"id":"r","state":"started"}`, doneLine)
	half := strings.Index(whole, doneLine)
	for name, c := range map[string]struct {
		received string // by the other process
		unread   string // in the socket's receive buffer
		want     balance.Result
	}{
		"before the answer":            {want: balance.ConnectionReset},
		"within the answer":            {received: whole[:half], want: balance.ConnectionReset},
		"with the rest unread":         {received: whole[:half], unread: whole[half:], want: balance.OK},
		"with the whole answer unread": {unread: whole, want: balance.OK},
		"after the answer":             {received: whole, want: balance.OK},
	} {
		t.Run(name, func(t *testing.T) {
			transport, events := newTransport("127.0.0.1:1", nil)
			transport.EnableMigration()
			conn := resetDuringHandover(t, c.unread)
			if peer := conn.RemoteAddr(); peer != nil {
				t.Fatalf("the system still knows the peer, %v", peer)
			}
			transport.ResumeAttempt(newJob("r"), 2, "p", DetachedConn{Conn: conn, Received: []byte(c.received)})
			got := <-events.ends
			if got.Result != c.want || got.Attempt != 2 || (got.text == "ok") != (c.want == balance.OK) {
				t.Errorf("got %+v, want result %v", got, c.want)
			}
			for !allIdle(transport, 0) { // the connection is never reused
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// connWithoutPeer is an open connection that has no peer address.
type connWithoutPeer struct{ net.Conn }

// RemoteAddr implements net.Conn.
func (connWithoutPeer) RemoteAddr() net.Addr { return nil }

// A connection whose peer address is not known is not kept for later attempts, also not if its worker has left the endpoint list:
// no address matches no address.
func TestUnknownPeerIsNotReused(t *testing.T) {
	transport, events := newTransport("127.0.0.1:1", nil)
	transport.UpdateWorkers(config.EndpointList{Full: true})
	conn, worker := net.Pipe()
	defer worker.Close()
	go io.WriteString(worker, chunkedAnswer(doneLine))
	transport.ResumeAttempt(newJob("r"), 0, "p", DetachedConn{Conn: connWithoutPeer{conn}})
	if got := <-events.ends; got.Result != balance.OK {
		t.Errorf("got %+v", got)
	}
	worker.SetReadDeadline(time.Now().Add(20 * time.Second)) // only a real failure reaches it
	if _, err := worker.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection was kept: %v", err)
	}
}
