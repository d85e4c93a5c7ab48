package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"swiftdeal/internal/request"
)

// openConn returns a connection whose request has been read and is open, as the server leaves it: reading in the background for one byte.
// Reading on has the given pace.
func openConn(t *testing.T, bytesPerSecond int) (client *net.TCPConn, conn *Conn) {
	t.Helper()
	client, conn = connPair(t, 0)
	options := testOptions(0)
	options.ReadAhead = NewReadAheadBudget(1<<20, bytesPerSecond, 1000)
	conn.options = options
	client.Write([]byte(jobRequest))
	if _, err := io.ReadFull(conn, make([]byte, len(jobRequest))); err != nil {
		t.Fatal(err)
	}
	conn.takeHead(0)
	go conn.Read(make([]byte, 1))
	return client, conn
}

// awaitUnread waits until the client has sent what has not been read.
func awaitUnread(t *testing.T, conn *Conn) {
	t.Helper()
	for end := time.Now().Add(failureTimeout); conn.State() != request.ClientUnread; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing is unread")
		}
	}
}

// awaitRead calls AwaitRead and fails the test if it does not return in time.
func awaitRead(t *testing.T, conn *Conn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), failureTimeout)
	defer cancel()
	conn.AwaitRead(ctx, time.Now())
	if ctx.Err() != nil {
		t.Fatal("AwaitRead has not returned")
	}
}

// Guards against an attempt for a client that has left: its close is behind what the node, which reads at a pace, has not read. A wait for
// that is not slowed by the pace.
func TestAwaitReadFindsClose(t *testing.T) {
	for _, size := range []int{1 << 10, 100 << 10, 8 << 20} {
		client, conn := openConn(t, 100<<10)
		go func() {
			client.Write(make([]byte, size))
			client.Close()
		}()
		time.Sleep(50 * time.Millisecond)
		awaitRead(t, conn)
		if conn.State() != request.ClientLeft {
			t.Errorf("%d bytes: the client is reported as connected, but has left", size)
		}
	}
}

// A client that stays is not waited for without end, whether it has sent much or goes on sending.
func TestAwaitReadOfClientThatStays(t *testing.T) {
	for name, endless := range map[string]bool{"much": false, "without end": true} {
		client, conn := openConn(t, 1<<20)
		text := bytes.Repeat([]byte(pipelinedText(1, 100)), 1000)
		go func() {
			for _, err := client.Write(text); endless && err == nil; {
				_, err = client.Write(text)
			}
		}()
		awaitUnread(t, conn)
		awaitRead(t, conn)
		if conn.State() == request.ClientLeft {
			t.Errorf("%s: the client is reported as gone, but stays", name)
		}
		client.Close()
	}
}

// Right after a backlog an empty receive buffer does not show that the client has not left: its system may hold back the rest. It does a
// little later, also if nothing more comes. The same holds after packets have been dropped.
func TestBacklogSettles(t *testing.T) {
	for name, find := range map[string]func(a *readAhead){
		"backlog": func(a *readAhead) { a.backlog.extend(time.Now().Add(resendTime)) },
		"drops":   func(a *readAhead) { a.backlog.drops-- },
	} {
		t.Run(name, func(t *testing.T) {
			client, conn := openConn(t, 100<<20)
			client.Write(make([]byte, 2*backlogBytes))
			awaitUnread(t, conn)
			awaitRead(t, conn)
			for end := time.Now().Add(failureTimeout); conn.State() != request.ClientConnected; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the client that stays is not reported as connected")
				}
			}
			conn.mu.Lock()
			begin := time.Now()
			find(conn.ahead)
			conn.mu.Unlock()
			if state := conn.State(); state != request.ClientUnread {
				t.Errorf("the state is %v", state)
			}
			awaitRead(t, conn)
			if took := time.Since(begin); took < resendTime*9/10 {
				t.Errorf("the wait took %v", took)
			}
		})
	}
}

// A burst that the system could take at once holds up an attempt for some milliseconds, less than data that was dropped would need.
func TestBurstSettlesSoon(t *testing.T) {
	client, conn := openConn(t, 100<<20)
	begin := time.Now()
	client.Write(make([]byte, 3*backlogBytes))
	awaitUnread(t, conn)
	awaitRead(t, conn)
	if state, took := conn.State(), time.Since(begin); state != request.ClientConnected || took >= unknownDropsTime {
		t.Errorf("state %v after %v", state, took)
	}
}

// Guards against a request that goes on in a new process although its client has left: the close is behind what the client wrote while
// the connection was handed over.
func TestResumedConnFindsClose(t *testing.T) {
	client, conn := connPair(t, 0)
	written := make(chan struct{})
	go func() {
		defer close(written)
		client.Write(make([]byte, 1<<20)) // more than the receive buffer holds
		client.Close()
	}()
	time.Sleep(50 * time.Millisecond)
	resumed := ResumeConn(conn.Conn, testOptions(0), []byte(pipelinedText(1, 0)), true)
	awaitRead(t, resumed)
	if resumed.State() != request.ClientLeft {
		t.Error("the client is reported as connected, but has left")
	}
	<-written
}
