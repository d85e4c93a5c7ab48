// Package response writes the final answer to the client. Only this package and package ingress know the client
// protocol.
package response

import (
	"net/http"
	"strconv"
	"time"
	"unsafe"

	"swiftdeal/internal/config"
	"swiftdeal/internal/request"
)

// Writer writes answers within the configured limits. It is safe for concurrent use.
type Writer struct{ limits config.Limits }

// New returns a Writer with the given limits.
func New(limits config.Limits) *Writer { return &Writer{limits: limits} }

// statusCodes holds the HTTP status of each verdict. Only Rejected may be 429 or 503: these promise the client that a
// retry is safe.
var statusCodes = [request.VerdictCount]int{
	request.Served: http.StatusOK, request.Rejected: http.StatusServiceUnavailable,
	request.Failed: http.StatusGatewayTimeout, request.Malformed: http.StatusBadRequest,
	request.UnknownClass: http.StatusNotFound, request.WrongMethod: http.StatusMethodNotAllowed,
	request.TooLarge: http.StatusRequestEntityTooLarge,
}

// Render writes an answer to a buffer. If closeConn is set, it announces to the client that the connection will be closed.
func (wr *Writer) Render(w http.ResponseWriter, answer request.Answer, closeConn bool) error {
	text := body(answer)
	setHeader(w.Header(), answer, len(text), closeConn)
	w.WriteHeader(statusCodes[answer.Verdict])
	_, err := w.Write([]byte(text))
	return err
}

// Write writes the answer. If closeConn is set, it announces to the client that the connection will be closed. It
// returns an error if the answer could not be written. If the verdict is request.ClientGone, Write panics with
// http.ErrAbortHandler, which aborts the response.
func (wr *Writer) Write(w http.ResponseWriter, answer request.Answer, closeConn bool) error {
	if answer.Verdict == request.ClientGone {
		// A client that has only closed its sending side would otherwise receive an empty 200 that no worker produced.
		panic(http.ErrAbortHandler)
	}
	text := body(answer)
	setHeader(w.Header(), answer, len(text), closeConn)
	controller := http.NewResponseController(w)
	// A client that does not read must not block the handler.
	controller.SetWriteDeadline(time.Now().Add(wr.limits.WriteTimeout))
	w.WriteHeader(statusCodes[answer.Verdict])
	// net/http copies a string in chunks of its small buffer, with a system call each, but passes a long byte slice on
	// without copying. The bytes share the string's memory and must not be modified.
	if _, err := w.Write(unsafe.Slice(unsafe.StringData(text), len(text))); err != nil {
		return err
	}
	err := controller.Flush()
	controller.SetWriteDeadline(time.Time{})
	return err
}

// body returns the job's result, or the reason why there is none.
func body(answer request.Answer) string {
	if answer.Verdict == request.Served {
		return answer.Result
	}
	return answer.Reason + "\n"
}

// setHeader sets the header of an answer whose body has the given length in bytes.
func setHeader(header http.Header, answer request.Answer, bodyLength int, closeConn bool) {
	if answer.Verdict == request.Served {
		header.Set("Content-Type", "application/octet-stream")
	} else {
		header.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if answer.Verdict == request.WrongMethod {
		header.Set("Allow", http.MethodPost)
	}
	if answer.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if closeConn {
		header.Set("Connection", "close")
	}
	header.Set("Content-Length", strconv.Itoa(bodyLength))
}
