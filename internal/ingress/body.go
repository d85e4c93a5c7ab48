package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"swiftdeal/internal/request"
)

// initialBodyBytes is how much of a body is read without a reservation.
const initialBodyBytes = 8 << 10

// errNoBodyMemory is the error for a request whose body has to wait for memory for too long.
var errNoBodyMemory = &RequestError{request.Rejected, "too many large requests"}

// bodyReader reads the body of one request.
type bodyReader struct {
	budget      *bodyBudget
	conn        *Conn // may be nil
	until       time.Time
	reservation *bodyReservation // nil until the body is found to be large
}

// readBody reads a request's body, up to the size limit and the given time.
func (r *Reader) readBody(w http.ResponseWriter, httpRequest *http.Request, until time.Time) ([]byte, error) {
	if httpRequest.ContentLength > r.limits.BodyBytes {
		return nil, errTooLarge
	}
	reader := bodyReader{budget: r.bodies, conn: ConnFromRequest(httpRequest), until: until}
	defer reader.release()
	var body []byte
	var err error
	if httpRequest.ContentLength >= 0 {
		body, err = reader.readSized(httpRequest.Body, int(httpRequest.ContentLength))
	} else {
		body, err = reader.readToEnd(http.MaxBytesReader(w, httpRequest.Body, r.limits.BodyBytes), int(r.limits.BodyBytes))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errTooLarge
	case errors.Is(err, errNoBodyMemory):
		return nil, err
	case err != nil:
		return nil, malformed("the body breaks off")
	}
	return body, nil
}

// readSized reads a body of the given size. The full buffer is allocated only after the first initialBodyBytes have come, and its memory
// has been reserved, so that clients cannot take memory by announcing large bodies.
func (r *bodyReader) readSized(source io.Reader, size int) ([]byte, error) {
	body := make([]byte, min(size, initialBodyBytes))
	read := 0
	for {
		n, err := io.ReadFull(source, body[read:])
		read += n
		if err != nil || read == size {
			return body[:read], err
		}
		if err := r.reserve(size); err != nil {
			return nil, err
		}
		grown := make([]byte, size)
		copy(grown, body)
		body = grown
	}
}

// readToEnd reads a body of at most the given size. Its buffer grows, and so may take twice the size for a moment.
func (r *bodyReader) readToEnd(source io.Reader, most int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(source, initialBodyBytes))
	if err != nil || len(body) < initialBodyBytes {
		return body, err
	}
	if err := r.reserve(2 * most); err != nil {
		return nil, err
	}
	rest, err := io.ReadAll(source)
	return append(body, rest...), err
}

// reserve waits for the memory of the body.
func (r *bodyReader) reserve(bytes int) error {
	if r.reservation = r.budget.reserve(r.conn, bytes, r.until); r.reservation == nil {
		return errNoBodyMemory
	}
	return nil
}

// release gives the memory back: from now on that of the request counts.
func (r *bodyReader) release() { r.budget.release(r.reservation) }
