package transport

import (
	"bytes"
	"encoding/json"
	"net/http"

	"swiftdeal/balance"
	"swiftdeal/internal/request"
)

// answerLine is one line of a worker's answer.
type answerLine struct {
	ID     string          `json:"id"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result *string         `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// States of an answer line. Unknown states are ignored.
const (
	stateStarted  = "started"
	stateRunning  = "running"
	stateDone     = "done"
	stateFailed   = "failed"
	stateReturned = "returned"
	stateLost     = "lost"
)

// Headers of a worker's answer.
const (
	headerNotRun = "X-Not-Run"
	headerLoad   = "X-Load"
)

// answerReader reads a worker's answer to an attempt.
type answerReader struct {
	transport *Transport
	exchange  *exchange
	request   *request.Context
	attempt   int
	lines     lineReader

	report   *balance.LoadReport // the last one of the answer; nil: none
	started  bool                // the start of the job has been passed on
	progress progress            // read and not passed on yet
	long     longLine
	freeLeft int // bytes of lines that may still be read without a delay
	unpaced  int // bytes of lines read beyond that since the last delay
}

// progress is the progress of an attempt as a line of its answer reports it.
type progress struct {
	known bool // there is any
	kind  balance.ProgressKind
	share float64
}

// lineOverheadBytes is what a delayed line counts for beyond its length, as even an empty one takes time to handle.
const lineOverheadBytes = 256

// read reads the answer up to its final line and ends the exchange.
func (r *answerReader) read(resp *http.Response) {
	r.report = r.transport.headerReport(resp)
	if resp.StatusCode != http.StatusOK {
		r.exchange.end(exchangeEnd{result: resultOfStatus(resp), report: r.report})
		return
	}
	r.freeLeft = r.transport.limits.UnpacedAnswerBytes
	r.lines = newLineReader(resp.Body, r.transport.limits.LineBytes, r)
	defer r.dropLongLine()
	defer r.lines.release()
	for r.lines.next() {
		if last := r.handleLine(r.lines.line); last {
			return
		}
		if r.long.held { // only a final line may be long
			r.exchange.abort(balance.ConnectionReset)
			return
		}
		r.count(len(r.lines.line) + 1)
		if r.lines.hasNext() {
			continue
		}
		// Only the last progress is passed on of what was received at once.
		r.passProgress()
		if !r.pace() {
			return
		}
	}
	if !r.exchange.connDetached() {
		r.exchange.abort(balance.ConnectionReset) // truncated answer, or a line is too long
	}
}

// count counts a line that does not end the answer, with its newline.
func (r *answerReader) count(lineBytes int) {
	if r.freeLeft > 0 {
		r.freeLeft -= lineBytes
	} else {
		r.unpaced += lineBytes + lineOverheadBytes
	}
}

// pace waits until more of the answer may be read. It returns false if the exchange has ended.
func (r *answerReader) pace() bool {
	bytes := r.unpaced
	r.unpaced = 0
	return r.transport.linePace.Wait(r.exchange.ctx, bytes)
}

// handleLine processes a line and reports whether it ends the exchange.
func (r *answerReader) handleLine(text []byte) (last bool) {
	if len(bytes.TrimSpace(text)) == 0 {
		return false
	}
	var line answerLine
	// An answer to another request must never be served.
	if json.Unmarshal(text, &line) != nil || line.ID != r.request.ID {
		r.exchange.abort(balance.ConnectionReset)
		return true
	}
	if report := r.transport.lineReport(&line); report != nil {
		r.report = report
	}
	switch line.State {
	case stateStarted:
		r.noteProgress(progress{true, balance.JobStarted, 0})
		return false
	case stateRunning:
		r.noteProgress(progress{true, balance.JobAdvanced, line.Share})
		return false
	}
	return r.handleEnd(&line)
}

// noteProgress keeps the progress until passProgress passes it on. The start is passed on at once, the first time.
func (r *answerReader) noteProgress(p progress) {
	if !r.progress.known || p.kind == balance.JobAdvanced {
		r.progress = p
	}
	if p.kind == balance.JobStarted && !r.started {
		r.started = true
		r.passProgress()
	}
}

// passProgress passes on the progress that was read.
func (r *answerReader) passProgress() {
	if !r.progress.known {
		return
	}
	r.transport.events.AttemptProgress(r.request.ID, r.attempt, r.progress.kind, r.progress.share)
	r.progress = progress{}
}

// handleEnd processes a line that may be the final one, and reports whether it is.
func (r *answerReader) handleEnd(line *answerLine) (last bool) {
	end := exchangeEnd{report: r.report}
	switch line.State {
	case stateDone:
		if line.Result == nil {
			r.exchange.abort(balance.ConnectionReset)
			return true
		}
		end.result, end.text = balance.OK, *line.Result
		r.keepLongLine()
	case stateFailed:
		end.result = balance.WorkerError
	case stateReturned:
		end.result = balance.RejectedBusy
	case stateLost:
		end.result = balance.ConnectionReset
	default:
		return false
	}
	r.passProgress() // before the end: the Balancer learns from the times of both
	r.exchange.end(end)
	return true
}

// resultOfStatus returns the result of an attempt that was answered with a status other than 200.
func resultOfStatus(resp *http.Response) balance.Result {
	code := resp.StatusCode
	notRun := resp.Header.Get(headerNotRun) == "1"
	if notRun && (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) {
		return balance.RejectedBusy
	}
	requestFault := code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests
	if requestFault {
		// The request is at fault, not the worker: one bad request must not make every worker look unhealthy.
		return balance.InvalidRequest
	}
	return balance.WorkerError // the job may have run, whatever X-Not-Run says
}

// lineReport parses the load report of an answer line. It returns nil if there is none or it is malformed.
func (t *Transport) lineReport(line *answerLine) *balance.LoadReport {
	if len(line.Load) == 0 {
		return nil
	}
	report, err := t.reportLayout.ParseObject(line.Load)
	if err != nil {
		return nil
	}
	return &report
}

// headerReport parses the load report in an answer's X-Load header. It returns nil if there is none or it is malformed.
func (t *Transport) headerReport(resp *http.Response) *balance.LoadReport {
	text := resp.Header.Get(headerLoad)
	if text == "" {
		return nil
	}
	report, err := t.reportLayout.ParseText([]byte(text))
	if err != nil {
		return nil
	}
	return &report
}
