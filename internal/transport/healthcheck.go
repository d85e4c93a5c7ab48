package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"swiftdeal/balance"
)

// healthCheckPurpose is the purpose passed to the dialer for health checks, for traces.
const healthCheckPurpose = "probe"

// CheckHealth starts a health check of a worker, which may also return a load report. The result goes to
// Events.HealthCheckDone.
func (t *Transport) CheckHealth(worker string) {
	x := &exchange{worker: worker, name: healthCheckPurpose, method: http.MethodGet}
	x.answer = &healthAnswerReader{t, x}
	x.onEnd = func(end exchangeEnd) { t.events.HealthCheckDone(worker, end.result, end.report) }
	ctx := x.startClock(time.Now().Add(t.limits.HealthCheckTimeout))
	reserved := t.pool.reserve(x)
	go t.sendHealthCheck(ctx, x, reserved)
}

// sendHealthCheck acquires a connection and writes a health check to it.
func (t *Transport) sendHealthCheck(ctx context.Context, x *exchange, reserved slot) {
	conn := x.acquire(ctx, t.pool, reserved)
	if conn == nil {
		return
	}
	x.send(conn, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", t.healthPath, x.worker), nil)
}

// healthAnswerReader reads the answer to a health check.
type healthAnswerReader struct {
	transport *Transport
	exchange  *exchange
}

// read implements answerHandler. A load report in the body takes precedence over one in the header.
func (r *healthAnswerReader) read(resp *http.Response) {
	t, x := r.transport, r.exchange
	body, err := io.ReadAll(io.LimitReader(resp.Body, t.limits.ReportBytes+1))
	if err != nil || int64(len(body)) > t.limits.ReportBytes {
		x.abort(balance.ConnectionReset)
		return
	}
	end := exchangeEnd{result: balance.OK, report: t.headerReport(resp)}
	if len(bytes.TrimSpace(body)) > 0 {
		report, err := t.reportLayout.ParseText(body)
		if err != nil {
			x.abort(balance.ConnectionReset)
			return
		}
		end.report = &report
	}
	if resp.StatusCode != http.StatusOK {
		end.result = balance.WorkerError
	}
	x.end(end)
}
