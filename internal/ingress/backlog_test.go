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

// Guards against requests of a client that sends without a pause, but is read in time, waiting as if its system held something back: data
// that comes after the receive buffer was empty shows that it does not.
func TestDataAfterEmptyBufferSettles(t *testing.T) {
	now := time.Now()
	b := backlog{excess: 2 * floodBytes, until: now.Add(floodSettleTime), resentUntil: now.Add(resendTime)}
	b.dataCame(now)
	if !b.until.Equal(now.Add(floodSettleTime)) {
		t.Error("data that was there already ends the wait")
	}
	b.emptiedAt = now
	now = now.Add(time.Second)
	b.until = now.Add(floodSettleTime)
	b.dataCame(now)
	if left := b.until.Sub(now); left > windowUpdateTime || b.excess != 0 || !b.resentUntil.IsZero() {
		t.Errorf("the wait goes on for %v, %+v", left, b)
	}
}
