package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/request"
	"swiftdeal/internal/settings"
)

// discardedProgress is an Events that discards progress.
type discardedProgress struct{ recordedEvents }

func (discardedProgress) AttemptProgress(string, int, balance.ProgressKind, float64) {}

// startPipedAttempt starts an attempt over a pipe and returns the worker's end, from which the request has been read.
func startPipedAttempt(t *testing.T, transport *Transport, pipes chan<- net.Conn, c *request.Context) net.Conn {
	t.Helper()
	nodeEnd, workerEnd := net.Pipe()
	pipes <- nodeEnd
	t.Cleanup(transport.StartAttempt(c, 0, "p", time.Time{})) // also ends a delayed reader
	go io.Copy(io.Discard, workerEnd)
	synctest.Wait()
	return workerEnd
}

// newPipedTransport returns a transport that takes its connections from a channel.
func newPipedTransport(t *testing.T, limits config.Limits) (*Transport, recordedEvents, chan<- net.Conn) {
	t.Helper()
	parsed, err := settings.Parse([]byte("{" + pulledReports + "}"))
	if err != nil {
		t.Fatal(err)
	}
	events := recordedEvents{make(chan endedAttempt, 10), nil}
	pipes := make(chan net.Conn, 1)
	dial := func(context.Context, string, time.Duration, string) (net.Conn, error) { return <-pipes, nil }
	transport := New(limits, parsed, dial, discardedProgress{events})
	transport.UpdateWorkers(workerGroup("10.0.0.1:80", balance.Ready, 0))
	return transport, events, pipes
}

// Guards against workers that send lines without end, whatever they say, and so take the core from the decisions and from all
// other answers: the pace at which all of them together are read has a bound. A sound answer beside them is not delayed.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		floods = 3
		span   = 10 * time.Second
	)
	limits := config.Limits{
		HeaderBytes: 1 << 10, HeaderFields: 100, WorkerConns: floods + 1, WorkerIdleTimeout: time.Hour, ResponseEndTimeout: time.Minute,
		LineBytes: 1 << 10, UnpacedAnswerBytes: 4 << 10, AnswerBytesPerSecond: 8 << 10,
	}
	mostDelayed := (int(span.Seconds())*limits.AnswerBytesPerSecond + limits.UnpacedAnswerBytes) / lineOverheadBytes
	for name, line := range map[string]string{
		"progress": `{"id":"r","from":"p","state":"running","share":0.5}`,
		"starts":   `{"id":"r","from":"p","state":"started"}`,
		"unknown":  `{"id":"r","from":"p","state":"novel"}`,
		"empty":    "",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				free := limits.UnpacedAnswerBytes/(len(line)+1) + 1
				mostLines := int64(mostDelayed + floods*(free+2)) // each has a line in its buffer and one being written
				transport, events, pipes := newPipedTransport(t, limits)
				defer transport.Close()
				var lines atomic.Int64
				for range floods {
					worker := startPipedAttempt(t, transport, pipes, newJob("r"))
					go func() {
						io.WriteString(worker, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
						chunk := fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)
						for lines.Load() <= mostLines {
							if _, err := io.WriteString(worker, chunk); err != nil {
								return
							}
							lines.Add(1)
						}
					}()
				}
				time.Sleep(span)
				if lines.Load() > mostLines {
					t.Errorf("%d lines were read in %v, at most %d may be", lines.Load(), span, mostLines)
				}
				if transport.DelayedReads() == 0 {
					t.Error("no delay is counted")
				}
				sound := startPipedAttempt(t, transport, pipes, newJob("r"))
				start := time.Now()
				io.WriteString(sound, chunkedAnswer(`{"id":"r","state":"started"}`, doneLine))
				if end := <-events.ends; end.Result != balance.OK || time.Since(start) != 0 {
					t.Errorf("the sound answer ended as %v after %v", end.Result, time.Since(start))
				}
			})
		})
	}
}

// A result is not delayed by its length: only lines that do not end the answer count.
func TestLongResultIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := config.Limits{
			HeaderBytes: 1 << 10, HeaderFields: 100, WorkerConns: 1, WorkerIdleTimeout: time.Hour, ResponseEndTimeout: time.Minute,
			LineBytes: 512 << 10, LongLineTimeout: time.Second, UnpacedAnswerBytes: 1 << 10, AnswerBytesPerSecond: 1 << 10,
		}
		transport, events, pipes := newPipedTransport(t, limits)
		defer transport.Close()
		worker := startPipedAttempt(t, transport, pipes, newJob("r"))
		start := time.Now()
		result := strings.Repeat("x", 500<<10)
		io.WriteString(worker, chunkedAnswer(`{"id":"r","state":"done","result":"`+result+`"}`))
		if end := <-events.ends; end.text != result || time.Since(start) != 0 {
			t.Errorf("%d bytes of the result after %v", len(end.text), time.Since(start))
		}
	})
}

// An answer that is too long to be passed to another process is refused at once, also while its reader waits for its turn: the
// goroutine that owns the Balancer waits for the refusal.
func TestDetachOfDelayedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := config.Limits{
			HeaderBytes: 1 << 10, HeaderFields: 100, WorkerConns: 1, WorkerIdleTimeout: time.Hour, ResponseEndTimeout: time.Minute, LineBytes: 1 << 10,
			UnpacedAnswerBytes: 8 << 10, AnswerBytesPerSecond: 1, ReplayableResponseBytes: 4 << 10, DetachTimeout: time.Minute,
		}
		transport, _, pipes := newPipedTransport(t, limits)
		transport.EnableMigration()
		defer transport.Close()
		worker := startPipedAttempt(t, transport, pipes, newJob("r"))
		go io.WriteString(worker, chunkedAnswer(slices.Repeat([]string{`{"id":"r"}`}, 2000)...))
		time.Sleep(time.Second)
		start := time.Now()
		if transport.DelayedReads() == 0 || transport.DetachAttempt("r") != nil || time.Since(start) != 0 {
			t.Errorf("%d delays, the detach took %v", transport.DelayedReads(), time.Since(start))
		}
	})
}
