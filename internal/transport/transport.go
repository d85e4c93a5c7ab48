// Package transport sends attempts and health checks to workers over HTTP/1.1. It is the only package that knows the
// worker protocol. It makes no routing or retry decisions: each attempt is written at most once.
//
// Connections to workers are pooled, with one limit for all workers. Each connection is read by one goroutine for its
// whole lifetime; each attempt is written by its own goroutine. An attempt ends exactly once, by whichever comes first
// of the reader, the writer, its deadline and its caller.
package transport

import (
	"context"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/invariant"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/ratelimit"
	"swiftdeal/internal/request"
	"swiftdeal/internal/settings"
)

// Events receives the progress and the results of attempts and health checks. It is called concurrently.
type Events interface {
	// AttemptProgress is called when a worker has started a job or reports progress; share is the completed part, from
	// 0 to 1.
	AttemptProgress(id string, attempt int, kind balance.ProgressKind, share float64)
	// AttemptWritten is called when the last byte of an attempt has been written to the connection.
	AttemptWritten(c *request.Context)
	// AttemptDone is called exactly once per attempt, with its outcome, unless the attempt's connection is detached (see
	// DetachAttempt). result is the job's result if the outcome is OK.
	AttemptDone(o balance.Outcome, result string)
	// HealthCheckDone is called exactly once per health check; report is nil if the worker sent none.
	HealthCheckDone(worker string, result balance.Result, report *balance.LoadReport)
}

// Transport sends attempts and health checks. It is safe for concurrent use.
type Transport struct {
	limits       config.Limits
	reportLayout settings.ReportLayout
	pool         *pool
	longLines    *longLines
	linePace     *ratelimit.Limiter // of bytes of answers' lines, final ones apart
	events       Events
	healthPath   string // request path of health checks
	monitor      *invariant.Monitor
}

// Paths of health checks.
const (
	healthPath     = "/health"
	loadReportPath = "/status/load"
)

// New returns a transport that opens its connections with dial.
func New(limits config.Limits, s settings.Settings, dial platform.Dial, events Events) *Transport {
	t := &Transport{
		limits: limits, reportLayout: s.ReportLayout, pool: newPool(limits, dial), events: events, healthPath: healthPath,
		longLines: newLongLines(limits.LongLines),
		linePace:  ratelimit.New(limits.AnswerBytesPerSecond, limits.UnpacedAnswerBytes),
	}
	if s.HasReports {
		t.healthPath = loadReportPath
	}
	return t
}

// SetMonitor sets the monitor that counts suppressed attempts and invariant violations. It must be called before the
// first attempt.
func (t *Transport) SetMonitor(m *invariant.Monitor) { t.monitor = m }

// DelayedReads returns how often reading an answer was delayed because workers send more lines than the node reads.
func (t *Transport) DelayedReads() int64 { return t.linePace.Delays() }

// DelayedLongLines returns how often an answer with a long line had to wait because the memory for such lines was in use.
func (t *Transport) DelayedLongLines() int64 { return t.longLines.delays.Load() }

// Close closes all connections to workers. Attempts in flight end with balance.ConnectionReset.
func (t *Transport) Close() {
	t.pool.close()
	t.longLines.close()
}

// Resize sets the maximum number of connections to workers and closes idle ones above it. Connections in use are not
// closed, so their number may exceed the new maximum for a while.
func (t *Transport) Resize(conns int) { t.pool.resize(conns) }

// SetLongLines sets how many answers may hold a long line in memory at once, at most the limit that the transport was created
// with. Those in use stay.
func (t *Transport) SetLongLines(answers int) { t.longLines.resize(answers) }

// UpdateWorkers applies a full endpoint list or an incremental change.
func (t *Transport) UpdateWorkers(list config.EndpointList) { t.pool.update(list) }

// StartAttempt starts an attempt of a request at a worker. Its last byte must be written by writeDeadline, if that is
// not zero. An attempt that is no longer wanted once the connection is established is suppressed.
func (t *Transport) StartAttempt(
	c *request.Context, attempt int, worker string, writeDeadline time.Time,
) (cancel func()) {
	x := t.newAttempt(c, attempt, worker)
	x.writeDeadline = writeDeadline
	x.check = &sendCheck{transport: t, request: c, number: attempt, worker: worker}
	ctx := x.startClock(c.Deadline)
	reserved := t.pool.reserve(x)
	go t.sendAttempt(ctx, x, reserved, c)
	return func() { x.cancel(errCanceled) }
}

// newAttempt returns the exchange of an attempt and registers it with the pool.
func (t *Transport) newAttempt(c *request.Context, attempt int, worker string) *exchange {
	x := &exchange{worker: worker, name: c.ID, method: c.Method}
	x.answer = &answerReader{transport: t, exchange: x, request: c, attempt: attempt}
	x.onEnd = func(end exchangeEnd) {
		t.pool.forgetAttempt(x)
		c.Attempts.End(attempt, neverRan(end.result))
		t.events.AttemptDone(balance.Outcome{
			Request: c.ID, Attempt: attempt, Worker: worker, Result: end.result, Elapsed: end.elapsed, Report: end.report,
		}, end.text)
	}
	t.pool.trackAttempt(x)
	return x
}

// neverRan reports whether an attempt with this result is known not to have run.
func neverRan(result balance.Result) bool {
	return result == balance.RejectedBusy || result == balance.ConnectFailed || result == balance.Suppressed
}

// sendAttempt acquires a connection and writes an attempt to it.
func (t *Transport) sendAttempt(ctx context.Context, x *exchange, reserved slot, c *request.Context) {
	conn := x.acquire(ctx, t.pool, reserved)
	if conn == nil {
		return
	}
	head, timeLeft := encodeHead(c)
	x.forwardedDeadline = timeLeft
	if x.send(conn, head, c.Body) {
		t.events.AttemptWritten(c)
	}
	t.checkWritten(c, x)
}
