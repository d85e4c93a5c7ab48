package transport

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/request"
	"swiftdeal/internal/settings"
)

var update = flag.Bool("update", false, "rewrite the golden files in testdata from the current output")

// progressRecorder writes progress events to output.
type progressRecorder struct {
	recordedEvents
	output *strings.Builder
}

func (l progressRecorder) AttemptProgress(id string, attempt int, kind balance.ProgressKind, share float64) {
	fmt.Fprintln(l.output, "note", id, attempt, kind, share)
}

// wireCase is a request to a worker and the worker's answer.
type wireCase struct {
	name     string
	settings string
	send     func(*Transport) (cancel func())
	answer   string // if empty, the attempt is canceled
}

const pulledReports = `"familyInfo":{"reportX0":"free slots"},"loadReport":{"fields":["x0"],"how":"pull"}`

var wireCases = []wireCase{
	{"attempt", pulledReports, sendJob(nil), chunkedAnswer(`{"id":"9b1f","from":"p","state":"started"}`,
		`{"ID":"9b1f","STATE":"running","Share":0.4}`,
		`{"id":"9b1f","from":"p","state":"done","result":"res\u0000ult","load":{"x0":3}}`)},
	{"attempt with headers of one connection and of its own", pulledReports, sendJob(addHeaders),
		statusAnswer(503, "X-Not-Run: 1\r\nX-Load: TEXT x0=2.5\r\n")},
	{"attempt past its deadline, without a body", pulledReports, sendJob(func(c *request.Context) {
		c.Deadline, c.Body = time.Now().Add(400*time.Microsecond), nil
	}), statusAnswer(500, "")},
	{"attempt that is cancelled", pulledReports, sendJob(nil), ""},
	{"probe for a report", pulledReports, sendHealthCheck, "HTTP/1.1 503 X\r\nContent-Length: 11\r\n\r\nTEXT x0=2.5"},
	{"probe", `"loadReport":{"how":"silent"}`, sendHealthCheck, statusAnswer(200, "")},
}

// sendJob returns a function that starts an attempt of a job with 480 ms until its deadline, modified by change.
func sendJob(change func(c *request.Context)) func(*Transport) func() {
	return func(transport *Transport) func() {
		c := newJob("9b1f")
		c.Deadline = time.Now().Add(480 * time.Millisecond)
		c.Header = http.Header{"X-Request-Id": {"9b1f"}, "X-Deadline": {"0.480"}, "Content-Length": {"4"}}
		if change != nil {
			change(c)
		}
		return transport.StartAttempt(c, 2, "p", time.Time{})
	}
}

// addHeaders adds headers that are dropped and headers that are forwarded.
func addHeaders(c *request.Context) {
	for name := range neverForwarded {
		c.Header.Set(name, "1")
	}
	c.Header["Connection"] = []string{"X-Hop, x-other", "Idempotent"}
	passing := []string{"Idempotency-Key", "X-Retry", "X-Cost-Hint", "X-Extras", "Accept"}
	for _, name := range append(passing, "X-Hop", "X-Other", "Idempotent") {
		c.Header.Set(name, "k v")
	}
	c.Header.Add("Accept", "second")
}

func sendHealthCheck(transport *Transport) func() {
	transport.CheckHealth("p")
	return func() {}
}

// run sends the request through a pipe and writes the bytes that arrive at the worker's end, and the result, to got.
func (c wireCase) run(t *testing.T, got *strings.Builder) {
	parsed, err := settings.Parse([]byte("{" + c.settings + "}"))
	if err != nil {
		t.Fatal(err)
	}
	events := recordedEvents{make(chan endedAttempt, 10), make(chan balance.ProgressKind, 10)}
	nodeEnd, workerEnd := net.Pipe()
	limits := config.Limits{
		HeaderBytes: 1 << 10, HeaderFields: 100, WorkerConns: 1, HealthCheckTimeout: time.Minute, WorkerIdleTimeout: time.Hour,
		ResponseEndTimeout: time.Minute, LineBytes: 1 << 10, ReportBytes: 100,
		UnpacedAnswerBytes: 16 << 10, AnswerBytesPerSecond: 64 << 10,
	}
	dial := func(_ context.Context, addr string, _ time.Duration, purpose string) (net.Conn, error) {
		fmt.Fprintf(got, "%s: dials %s for %s\n", c.name, addr, purpose)
		return nodeEnd, nil
	}
	transport := New(limits, parsed, dial, progressRecorder{events, got})
	defer transport.Close()
	transport.UpdateWorkers(workerGroup("10.0.0.1:80", balance.Ready, 0))
	cancel := c.send(transport)
	var sent bytes.Buffer
	closed := make(chan struct{})
	go func() {
		io.Copy(&sent, workerEnd)
		close(closed)
	}()
	synctest.Wait()
	if c.answer == "" {
		cancel()
	}
	fmt.Fprint(workerEnd, c.answer)
	end := <-events.ends
	synctest.Wait()
	select {
	case <-closed:
		sent.WriteString("(closed)")
	default:
	}
	fmt.Fprintf(got, "%q\nresult %v, text %q, report %v\n", sent.Bytes(), end.Result, end.text, formatReport(end.Report))
}

// TestWireGolden compares the bytes of each kind of request to a worker, and the effect of each line of the answer, with
// a golden file.
func TestWireGolden(t *testing.T) {
	var got strings.Builder
	for _, c := range wireCases {
		synctest.Test(t, func(t *testing.T) { c.run(t, &got) })
	}
	const file = "testdata/wire.golden"
	if *update {
		os.WriteFile(file, []byte(got.String()), 0o644)
	}
	if golden, err := os.ReadFile(file); err != nil || got.String() != string(golden) {
		t.Errorf("read error %v, or output differs from %s; got:\n%s", err, file, got.String())
	}
}

// formatReport returns the values of a report in the form of the golden file.
func formatReport(r *balance.LoadReport) string {
	if r == nil {
		return "<nil>"
	}
	return fmt.Sprintf("&{%v %v %v %v %v}", r.FreeSlots, r.FreeMemory, r.QueueLength, r.InFlight, r.Fingerprint)
}
