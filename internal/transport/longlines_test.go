package transport

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/request"
)

// longLineLimits are limits with room for few long lines.
func longLineLimits(slots int) config.Limits {
	return config.Limits{
		HeaderBytes: 1 << 10, HeaderFields: 100, WorkerConns: 10, WorkerIdleTimeout: time.Hour, ResponseEndTimeout: time.Minute, LineBytes: 512 << 10,
		LongLines: slots, LongLineTimeout: 5 * time.Second, UnpacedAnswerBytes: 16 << 10, AnswerBytesPerSecond: 1 << 20,
	}
}

const longResultBytes = 400 << 10

// writeLongAnswer writes an answer with a long result, and stops within it if whole is false. written returns how much the node has
// taken.
func writeLongAnswer(worker net.Conn, id string, whole bool) (written func() int) {
	var total atomic.Int64
	go func() {
		io.WriteString(worker, "HTTP/1.1 200 OK\r\n\r\n"+`{"id":"`+id+`","state":"done","result":"`)
		piece := strings.Repeat("x", 4<<10)
		for total.Load() < longResultBytes {
			n, err := io.WriteString(worker, piece)
			total.Add(int64(n))
			if err != nil {
				return
			}
		}
		if whole {
			io.WriteString(worker, `"}`+"\n")
		}
	}()
	return func() int { return int(total.Load()) }
}

// Guards against workers whose answers together fill the node's memory, each with one line that does not end: few of them may be read
// beyond 64 KiB at once, the others wait. One that does not end in time gives its place up, so that a sound one gets it.
func TestLongLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, spoilt = 2, 5
		transport, events, pipes := newPipedTransport(t, longLineLimits(slots))
		defer transport.Close()
		var taken []func() int
		for i := range spoilt {
			id := fmt.Sprint("spoilt", i)
			taken = append(taken, writeLongAnswer(startPipedAttempt(t, transport, pipes, newJob(id)), id, false))
		}
		synctest.Wait()
		long := 0
		for _, bytes := range taken {
			if bytes() > shortLineBytes+2*readBufferBytes {
				long++
			}
		}
		if long != slots || transport.DelayedLongLines() != spoilt-slots {
			t.Errorf("%d lines are read on, %d wait", long, transport.DelayedLongLines())
		}
		sound := newJob("sound")
		writeLongAnswer(startPipedAttempt(t, transport, pipes, sound), "sound", true)
		start, reset := time.Now(), 0
		for {
			end := <-events.ends
			if end.Request == "sound" {
				if end.Result != balance.OK || len(end.text) != longResultBytes {
					t.Errorf("the sound answer ended as %v with %d bytes", end.Result, len(end.text))
				}
				break
			}
			if end.Result != balance.ConnectionReset {
				t.Errorf("%s ended as %v", end.Request, end.Result)
			}
			reset++
		}
		if took := time.Since(start); took > 15*time.Second {
			t.Errorf("the sound answer came after %v, %d others ended before", took, reset)
		}
		sound.Release()
	})
}

// A long result keeps its place until it has been delivered, as it is in memory until then.
func TestLongResultIsHeldUntilDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, events, pipes := newPipedTransport(t, longLineLimits(1))
		defer transport.Close()
		jobs := []*request.Context{newJob("a"), newJob("b")}
		for _, job := range jobs {
			writeLongAnswer(startPipedAttempt(t, transport, pipes, job), job.ID, true)
		}
		if end := <-events.ends; end.Request != "a" || end.Result != balance.OK {
			t.Errorf("%s ended first, as %v", end.Request, end.Result)
		}
		time.Sleep(time.Minute)
		if len(events.ends) != 0 {
			t.Error("the second result was read before the first one was delivered")
		}
		jobs[0].Release()
		if end := <-events.ends; end.Request != "b" || end.Result != balance.OK {
			t.Errorf("%s ended second, as %v", end.Request, end.Result)
		}
		jobs[1].Release()
		if !transport.longLines.free.TryAcquire(1) {
			t.Error("a place is still taken")
		}
	})
}

// Only a final line may be long: an answer with another one is broken.
func TestLongLineThatIsNotFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, events, pipes := newPipedTransport(t, longLineLimits(1))
		defer transport.Close()
		worker := startPipedAttempt(t, transport, pipes, newJob("r"))
		go io.WriteString(worker, chunkedAnswer(`{"id":"r","state":"running","x":"`+strings.Repeat("x", 100<<10)+`"}`))
		if end := <-events.ends; end.Result != balance.ConnectionReset {
			t.Errorf("ended as %v", end.Result)
		}
		synctest.Wait()
		if !transport.longLines.free.TryAcquire(1) {
			t.Error("its place is still taken")
		}
	})
}

// While two processes share a node's memory each has half of the places, once those in use are free.
func TestLongLinesAreHalved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		places := newLongLines(4)
		free := func() (n int) {
			synctest.Wait()
			for places.free.TryAcquire(1) {
				n++
			}
			for range n {
				places.release()
			}
			return n
		}
		for range 3 {
			places.acquire(t.Context())
		}
		places.resize(2)
		if n := free(); n != 0 {
			t.Errorf("%d of 2 places are free while 3 are in use", n)
		}
		places.release()
		places.release()
		if n := free(); n != 1 {
			t.Errorf("%d of 2 places are free while 1 is in use", n)
		}
		places.resize(4)
		if n := free(); n != 3 {
			t.Errorf("%d of 4 places are free while 1 is in use", n)
		}
	})
}
