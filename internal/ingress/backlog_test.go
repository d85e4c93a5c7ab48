package ingress

import (
	"errors"
	"os"
	"testing"
	"time"

	"swiftdeal/internal/request"
	"swiftdeal/internal/socketreader"
)

// Guards against an attempt for a client that has left while its system was told that there is no room: it holds the rest and the close
// back, for a long time, in which the receive buffer is empty.
func TestCloseBehindClosedWindow(t *testing.T) {
	const leastBuffer, observed = 1, 100 * time.Millisecond
	client, conn := connPair(t, 0)
	conn.ahead = &readAhead{options: conn.options}
	conn.ahead.begin(nil, true)
	client.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := client.Write(make([]byte, 64<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the system takes all: ", err)
	}
	client.Close()
	conn.reader.LimitReceiveBuffer(leastBuffer)
	buffer := make([]byte, drainReadBytes)
	for {
		if _, err := conn.readAvailable(buffer); errors.Is(err, socketreader.ErrNoData) {
			break
		}
	}
	for end := time.Now().Add(observed); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if conn.State() == request.ClientConnected {
			t.Fatal("the client is reported as connected, but has left")
		}
	}
}

// A client that goes on to send at a usual rate, and is read in time, is not taken for one that floods. One that sends more at once is.
func TestFloodIsExcess(t *testing.T) {
	const packet, pause = 1 << 10, time.Millisecond
	var usual, flood backlog
	now := time.Now()
	for range 2 * floodBytes / packet {
		now = now.Add(pause)
		usual.addExcess(packet, now)
		usual.emptiedAt = now
		flood.addExcess(packet, now)
	}
	if usual.excess > 2*packet || flood.excess <= floodBytes {
		t.Errorf("excess of a usual client %d bytes, of one that floods %d", usual.excess, flood.excess)
	}
}
