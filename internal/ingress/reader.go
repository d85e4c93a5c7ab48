// Package ingress reads clients' requests into request contexts and manages the client connections that they arrive
// on. It and package response are the only packages that know the client protocol.
package ingress

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/request"
)

// Reader reads requests within the configured limits. It is safe for concurrent use.
type Reader struct {
	limits config.Limits
	bodies *bodyBudget
}

// New returns a Reader with the given limits.
func New(limits config.Limits) *Reader {
	return &Reader{limits: limits, bodies: newBodyBudget(limits.BodyMemoryBytes, limits.NewConnGrace)}
}

// SetBodyMemory sets BodyMemoryBytes. What is reserved stays reserved.
func (r *Reader) SetBodyMemory(bytes int) { r.bodies.resize(bytes) }

// RequestError is the reason why a request is rejected before admission, and determines the response.
type RequestError struct {
	Verdict request.Verdict
	Reason  string // text for the client
}

// Error implements error.
func (e *RequestError) Error() string { return e.Reason }

// malformed returns the error for a request that violates the protocol.
func malformed(format string, args ...any) error {
	return &RequestError{request.Malformed, fmt.Sprintf(format, args...)}
}

// errTooLarge is the error for a request whose body exceeds the limit.
var errTooLarge = &RequestError{request.TooLarge, "the body is too large"}

// Read reads a request with its whole body, as the server detects a disconnect of the client only after the body has
// been read. A request that is rejected is returned with its answer already set; what is left of its body may be read
// until the read deadline.
func (r *Reader) Read(w http.ResponseWriter, httpRequest *http.Request) *request.Context {
	c := request.New()
	err := r.readInto(c, w, httpRequest)
	if err == nil {
		return c
	}
	var rejection *RequestError
	if !errors.As(err, &rejection) {
		rejection = &RequestError{request.Malformed, err.Error()}
	}
	answer := request.Answer{Verdict: rejection.Verdict, Reason: rejection.Reason}
	if answer.Verdict == request.Rejected {
		answer.RetryAfter = r.limits.RejectedRetryAfter
	}
	c.Finish(answer)
	return c
}

// readInto reads a request into its context.
func (r *Reader) readInto(c *request.Context, w http.ResponseWriter, httpRequest *http.Request) error {
	c.Method, c.Target, c.Host = httpRequest.Method, httpRequest.RequestURI, httpRequest.Host
	c.Header = httpRequest.Header
	c.Client = clientFromRequest(httpRequest)
	controller := http.NewResponseController(w)
	// Limits the wait for a body that never comes, both here and in the server, which goes on reading the body after
	// an early response.
	bodyDeadline := c.Arrived.Add(r.limits.BodyTimeout)
	controller.SetReadDeadline(bodyDeadline)
	tooManyFields := hasTooManyFields(httpRequest)
	ambiguous := hasAmbiguousLength(httpRequest) // takes the head, which updates the arrival delay
	c.Arrived = c.Arrived.Add(-takeArrivalDelay(httpRequest))
	if tooManyFields {
		return malformed("too many header fields")
	}
	if ambiguous {
		return malformed("Content-Length beside Transfer-Encoding, or a head that cannot be made out")
	}
	if httpRequest.Method != http.MethodPost {
		return &RequestError{request.WrongMethod, "jobs come by POST"}
	}
	if err := parseHeader(c, r.limits.MaxClientTimeout); err != nil {
		return err
	}
	var err error
	if c.ClassName, err = classNameFromTarget(httpRequest.RequestURI); err != nil {
		return err
	}
	if c.Body, err = r.readBody(w, httpRequest, bodyDeadline); err != nil {
		return err
	}
	controller.SetReadDeadline(time.Time{})
	if conn := ConnFromRequest(httpRequest); conn != nil && !conn.completeRequest() {
		return malformed("the connection was closed before the end of the request")
	}
	return nil
}

// classNameFromTarget returns the first segment of the target's path. It uses the raw target, which is what the
// worker receives: if it were decoded here, the node and the worker could disagree on the class.
func classNameFromTarget(target string) (string, error) {
	path, ok := strings.CutPrefix(target, "/")
	if !ok {
		return "", malformed("the target is not a path")
	}
	if end := strings.IndexAny(path, "/?"); end >= 0 {
		path = path[:end]
	}
	return path, nil
}
