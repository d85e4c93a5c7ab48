package transport

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
	"swiftdeal/internal/settings"
)

func init() { flag.Set("rapid.seed", "1") } // same cases in each run

// scriptedWorker is a worker that answers each request with the raw text of its next answer, and then closes the
// connection if the answer ends in "!". When it has no answers left, it does not respond.
type scriptedWorker struct {
	net.Listener
	answers  chan string
	requests chan string // each request: connection number, method, path and body
	closed   chan int    // numbers of the connections that the node has closed

	mu    sync.Mutex
	conns []net.Conn // in the order in which they were accepted
}

func newScriptedWorker(t interface{ Cleanup(func()) }) *scriptedWorker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	worker := &scriptedWorker{Listener: ln, answers: make(chan string, 10), requests: make(chan string, 10), closed: make(chan int, 10)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			worker.mu.Lock()
			worker.conns = append(worker.conns, c)
			worker.mu.Unlock()
			go worker.serve(c, n)
		}
	}()
	return worker
}

func (worker *scriptedWorker) serve(c net.Conn, n int) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			worker.closed <- n
			return
		}
		body := make([]byte, req.ContentLength)
		if _, err := r.Read(body); err != nil && req.ContentLength > 0 {
			return
		}
		worker.requests <- fmt.Sprint(n, " ", req.Method, " ", req.RequestURI, " ", string(body))
		select {
		case a := <-worker.answers:
			text, last := strings.CutSuffix(a, "!")
			fmt.Fprint(c, text)
			if last {
				return
			}
		default:
		}
	}
}

type endedAttempt struct {
	balance.Outcome
	text string
}

// recordedEvents is an Events that passes on what it receives through channels.
type recordedEvents struct {
	ends     chan endedAttempt
	progress chan balance.ProgressKind
}

func (events recordedEvents) AttemptProgress(_ string, _ int, k balance.ProgressKind, _ float64) {
	events.progress <- k
}
func (events recordedEvents) AttemptDone(o balance.Outcome, text string) {
	events.ends <- endedAttempt{o, text}
}
func (events recordedEvents) AttemptWritten(*request.Context) {}
func (events recordedEvents) HealthCheckDone(worker string, r balance.Result, rep *balance.LoadReport) {
	events.ends <- endedAttempt{balance.Outcome{Worker: worker, Result: r, Report: rep}, "probe"}
}

func newTransport(addr string, change func(*config.Limits)) (*Transport, recordedEvents) {
	parsed, err := settings.Parse([]byte(`{"familyInfo":{"reportX0":"free slots"},"loadReport":{"fields":["x0"],"how":"pull"}}`))
	if err != nil {
		panic(err)
	}
	l := config.Limits{
		HeaderBytes: 1 << 10, HeaderFields: 100, WorkerConns: 4, DialTimeout: time.Minute, HealthCheckTimeout: time.Minute, WorkerIdleTimeout: time.Hour,
		ResponseEndTimeout: time.Minute, LineBytes: 1 << 10, ReportBytes: 100,
		UnpacedAnswerBytes: 16 << 10, AnswerBytesPerSecond: 64 << 10,
	}
	if change != nil {
		change(&l)
	}
	events := recordedEvents{make(chan endedAttempt, 10), make(chan balance.ProgressKind, 10)}
	transport := New(l, parsed, platform.Real().Dial, events)
	list := workerGroup(addr, balance.Ready, 0)
	list.Full = true
	transport.UpdateWorkers(list)
	return transport, events
}

func newJob(id string) *request.Context {
	c := request.New()
	c.ID, c.Method, c.Target, c.Host, c.Body = id, "POST", "/job//x?sid=%2F", "backend", []byte("body")
	c.Header, c.Deadline = http.Header{"X-Request-Id": {id}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}, time.Now().Add(time.Hour)
	return c
}

// chunkedAnswer returns an HTTP response whose chunked body consists of the given lines.
func chunkedAnswer(lines ...string) string {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, l := range append(lines, "") {
		if l != "" {
			l += "\n"
		}
		text += fmt.Sprintf("%x\r\n%s\r\n", len(l), l)
	}
	return text
}

const doneLine = `{"id":"r","from":"p","state":"done","result":"ok","load":{"x0":3}}`

func statusAnswer(code int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", code, more)
}

// An attempt that may have run must never be reported as one that has not, and vice versa.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         balance.Result
	}{
		{"done", chunkedAnswer(`{"id":"r","state":"started"}`, `{"id":"r","state":"running","share":0.4}`,
			`{"id":"r","state":"novel"}`, doneLine), balance.OK},
		{"interim first", "HTTP/1.1 103 X\r\n\r\n" + chunkedAnswer(doneLine), balance.OK},
		{"failed", chunkedAnswer(`{"id":"r","state":"failed"}`), balance.WorkerError},
		{"returned", chunkedAnswer(`{"id":"r","state":"returned"}`), balance.RejectedBusy},
		{"lost", chunkedAnswer(`{"id":"r","state":"lost"}`), balance.ConnectionReset},
		{"500", statusAnswer(500, ""), balance.WorkerError},
		{"503 not run", statusAnswer(503, "X-Not-Run: 1\r\n"), balance.RejectedBusy},
		{"504 not run", statusAnswer(504, "X-Not-Run: 1\r\n"), balance.RejectedBusy},
		{"503 may have run", statusAnswer(503, ""), balance.WorkerError},
		{"400 the request is at fault", statusAnswer(400, ""), balance.InvalidRequest},
		{"429 says nothing against the request", statusAnswer(429, ""), balance.WorkerError},
		{"404 the request is at fault", statusAnswer(404, ""), balance.InvalidRequest},
		{"500 cannot say that it has not run", statusAnswer(500, "X-Not-Run: 1\r\n"), balance.WorkerError},
		{"no last line", chunkedAnswer(`{"id":"r","state":"started"}`), balance.ConnectionReset},
		{"another request's result", chunkedAnswer(`{"id":"other","state":"done","result":"ok"}`), balance.ConnectionReset},
		{"no result", chunkedAnswer(`{"id":"r","state":"done"}`), balance.ConnectionReset},
		{"line too long", chunkedAnswer(`{"id":"r","state":"` + strings.Repeat("x", 1<<10) + `"}`), balance.ConnectionReset},
		{"header too long", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<14), balance.ConnectionReset},
		// Guards against heads of many short fields that do not end, which took twenty times their length in memory.
		{"too many header fields", "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 101), balance.ConnectionReset},
		{"too many header fields after an interim answer", "HTTP/1.1 103 X\r\n" + strings.Repeat("a:\r\n", 90) + "\r\n" +
			"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 110), balance.ConnectionReset},
		{"most header fields", "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 100) + "\r\n" + doneLine + "\n" + strings.Repeat("\n", 100) + "!",
			balance.OK},
		{"closed", "!", balance.ConnectionReset},
	} {
		worker := newScriptedWorker(t)
		transport, events := newTransport(worker.Addr().String(), nil)
		worker.answers <- c.answer
		transport.StartAttempt(newJob("r"), 0, "p", time.Time{})
		if got := <-events.ends; got.Result != c.want || (got.text == "ok") != (c.want == balance.OK) {
			t.Errorf("%s: %+v", c.name, got)
		} else if c.name == "done" && (len(events.progress) != 2 || got.Report == nil || got.Report.FreeSlots != 3) {
			t.Errorf("%s: %d progress events, report %v", c.name, len(events.progress), got.Report)
		}
		if got := <-worker.requests; got != "0 POST /job//x?sid=%2F body" {
			t.Errorf("%s: the worker received %q", c.name, got)
		}
		// The transport must not resend a request by itself: that would be a second copy.
		if len(worker.requests) != 0 || len(events.ends) != 0 {
			t.Errorf("%s: %d more requests, %d more ends", c.name, len(worker.requests), len(events.ends))
		}
	}
}

// An answer truncated before the end of its last line is a connection reset; from then on it is served, without waiting
// for the rest.
func TestTruncatedAnswer(t *testing.T) {
	whole := chunkedAnswer(`{"id":"r","state":"started"}`, doneLine)
	served := strings.Index(whole, doneLine) + len(doneLine) + 1
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		worker := newScriptedWorker(t)
		transport, events := newTransport(worker.Addr().String(), nil)
		worker.answers <- whole[:n] + "!"
		transport.StartAttempt(newJob("r"), 0, "p", time.Time{})
		// A last line that ends with the connection instead of a newline also counts as complete.
		if got := <-events.ends; got.Result != balance.ConnectionReset && n < served-1 || got.Result != balance.OK && n >= served {
			t.Errorf("truncated to %d of %d bytes (complete from %d): %+v", n, len(whole), served, got)
		}
	})
}

// A malformed answer never crashes the node and is never served, neither for an attempt nor for a health check.
func TestMalformedAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worker := newScriptedWorker(t)
		transport, events := newTransport(worker.Addr().String(), nil)
		garbage := rapid.StringOf(rapid.RuneFrom([]rune("{}:,\"idstaefrou \r\n0123\x00"))).Draw(t, "garbage")
		if rapid.Bool().Draw(t, "framed") {
			garbage = chunkedAnswer(strings.ReplaceAll(garbage, "\r", ""))
		}
		worker.answers <- garbage + "!"
		if rapid.Bool().Draw(t, "probe") {
			transport.CheckHealth("p")
		} else {
			transport.StartAttempt(newJob("r"), 0, "p", time.Time{})
		}
		if got := <-events.ends; got.Result == balance.OK && (got.text != "probe" || got.Report != nil) {
			t.Errorf("%q: %+v", garbage, got)
		}
	})
}

// Attempts and health checks reuse the same connection while it is open, because new connections are work for the
// worker.
func TestConnectionReuse(t *testing.T) {
	worker := newScriptedWorker(t)
	transport, events := newTransport(worker.Addr().String(), nil)
	report := "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nTEXT x0=2.5"
	for i, answer := range []string{chunkedAnswer(doneLine), report, chunkedAnswer(doneLine), report + "!", report} {
		worker.answers <- answer
		if i%2 == 0 && i < 4 {
			transport.StartAttempt(newJob("r"), 0, "p", time.Time{})
		} else {
			transport.CheckHealth("p")
		}
		if got := <-events.ends; got.Result != balance.OK || (got.text == "probe" && got.Report.FreeSlots != 2.5) {
			t.Fatalf("%d: %+v", i, got)
		}
		n := 0
		if i == 4 { // the worker has closed the first connection
			n = 1
		}
		if got := <-worker.requests; !strings.HasPrefix(got, fmt.Sprint(n, " ")) {
			t.Errorf("request %d arrived on the wrong connection: %q", i, got)
		}
		for !allIdle(transport, map[bool]int{true: 0, false: 1}[i == 3]) { // wait until the answer has been read to its end
			time.Sleep(time.Millisecond)
		}
	}
}

// allIdle reports whether n connections are open, all of them idle.
func allIdle(transport *Transport, n int) bool {
	transport.pool.mu.Lock()
	defer transport.pool.mu.Unlock()
	return len(transport.pool.idle) == n && transport.pool.connCount == n
}

// Canceling closes the connection, which signals the cancellation to the worker, and ends the attempt exactly once.
func TestCancel(t *testing.T) {
	worker := newScriptedWorker(t)
	transport, events := newTransport(worker.Addr().String(), nil)
	cancel := transport.StartAttempt(newJob("r"), 0, "p", time.Time{})
	<-worker.requests
	cancel()
	if got := <-events.ends; got.Result != balance.Canceled {
		t.Errorf("%+v", got)
	}
	<-worker.closed
	cancel()
	for !allIdle(transport, 0) {
		time.Sleep(time.Millisecond)
	}
	if len(events.ends) != 0 {
		t.Error("the attempt ended twice")
	}
}

// Attempts and health checks time out at a worker that neither answers nor closes the connection.
func TestSilentWorker(t *testing.T) {
	worker := newScriptedWorker(t)
	transport, events := newTransport(worker.Addr().String(), func(l *config.Limits) { l.HealthCheckTimeout = time.Millisecond })
	transport.CheckHealth("p")
	if got := <-events.ends; got.Result != balance.TimedOut {
		t.Errorf("health check: %+v", got)
	}
	for wait := time.Duration(0); ; wait = 2*wait + time.Millisecond {
		c := newJob("r")
		c.Deadline = time.Now().Add(wait)
		transport.StartAttempt(c, 0, "p", time.Time{})
		got := <-events.ends
		if got.Result != balance.TimedOut && got.Result != balance.ConnectFailed {
			t.Fatalf("attempt: %+v", got)
		}
		select {
		case r := <-worker.requests:
			if strings.Contains(r, "GET") {
				continue // the health check's request
			}
			if got.Result != balance.TimedOut {
				t.Errorf("an attempt that was written ended as one that never ran: %+v", got)
			}
			return
		default:
			if wait == 0 && got.Result != balance.ConnectFailed {
				t.Errorf("an attempt whose deadline passed before it began: %+v", got)
			}
		}
	}
}

// An attempt that cannot be sent never ran: the connection was refused, the worker was removed, or the connection limit
// was reached.
func TestNotSent(t *testing.T) {
	worker := newScriptedWorker(t)
	transport, events := newTransport(worker.Addr().String(), func(l *config.Limits) { l.WorkerConns = 1 })
	transport.StartAttempt(newJob("r"), 0, "p", time.Time{})
	<-worker.requests
	transport.StartAttempt(newJob("r2"), 0, "p", time.Time{})
	if got := <-events.ends; got.Request != "r2" || got.Result != balance.Suppressed {
		t.Errorf("connection limit reached: %+v", got)
	}
	worker.Close()
	transport, events = newTransport(worker.Addr().String(), nil)
	transport.StartAttempt(newJob("r"), 0, "p", time.Time{})
	if got := <-events.ends; got.Result != balance.ConnectFailed {
		t.Errorf("connection refused: %+v", got)
	}
	transport.UpdateWorkers(config.EndpointList{Full: true})
	transport.StartAttempt(newJob("r"), 1, "p", time.Time{})
	if got := <-events.ends; got.Result != balance.ConnectFailed || got.Attempt != 1 {
		t.Errorf("worker removed: %+v", got)
	}
}

// The node closes an idle connection before the worker would: a request written while the worker closes it would end as
// a connection reset.
func TestIdleTimeout(t *testing.T) {
	worker := newScriptedWorker(t)
	transport, events := newTransport(worker.Addr().String(), func(l *config.Limits) { l.WorkerIdleTimeout = time.Millisecond })
	worker.answers <- chunkedAnswer(doneLine)
	transport.StartAttempt(newJob("r"), 0, "p", time.Time{})
	<-events.ends
	if <-worker.closed != 0 {
		t.Error("closed a connection other than number 0")
	}
}

// Hop-by-hop headers are dropped, all others are forwarded.
func TestEncodeHead(t *testing.T) {
	c := newJob("r")
	c.Header.Set("Idempotency-Key", "k")
	c.Header.Set("X-Deadline", "99999")
	text := string(encodedHead(c))
	for _, want := range []string{
		"POST /job//x?sid=%2F HTTP/1.1\r\nHost: backend\r\n", "Idempotency-Key: k\r\n", "X-Request-Id: r\r\n",
		"Content-Length: 4\r\n\r\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in %q", want, text)
		}
	}
	if strings.Contains(text, "99999") || strings.Contains(text, "X-Hop") {
		t.Errorf("%q", text)
	}
}

// Lines are returned whole however the input is split into reads, a line that is too long ends the reading, and
// contents of the pooled buffer from an earlier answer do not leak into a later one.
func TestLineReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.StringMatching(`[a-z]{0,90}`), 1, 9).Draw(t, "lines")
		most := rapid.IntRange(1, 120).Draw(t, "most")
		in := newLineReader(iotest.OneByteReader(strings.NewReader(strings.Join(want, "\n")+"\n")), most, nil)
		if rapid.Bool().Draw(t, "at once") {
			in.source = strings.NewReader(strings.Join(want, "\n") + "\n")
		}
		*in.buffer = make([]byte, rapid.IntRange(1, 16).Draw(t, "room"))
		defer in.release()
		for i, w := range want {
			if len(w) >= most && !in.next() {
				return // the line is too long
			} else if len(w) < most && (!in.next() || string(in.line) != w) {
				t.Fatalf("line %d: %q, want %q", i, in.line, w)
			}
		}
		if in.next() {
			t.Fatalf("one more line: %q", in.line)
		}
	})
}

// encodedHead returns the encoded head alone.
func encodedHead(c *request.Context) []byte {
	text, _ := encodeHead(c)
	return text
}
