package ingress

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"swiftdeal/internal/request"
	"swiftdeal/internal/settings"
)

// Headers that describe a job.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Deadline"  // the client's timeout in seconds
	headerCostHint       = "X-Cost-Hint" // the run time that the client expects, in microseconds
	headerExtras         = "X-Extras"
	headerRetry          = "X-Retry"
)

// singleValueHeaders lists the headers that affect how a request is handled. They may occur only once: workers
// receive them all and might use a different value than the node did.
var singleValueHeaders = []string{
	headerRequestID, headerIdempotencyKey, headerDeadline, headerCostHint, headerExtras, headerRetry,
}

// maxHeaderValueBytes limits the value of each of the singleValueHeaders.
const maxHeaderValueBytes = 256

// parseHeader reads the headers that describe the job into the request's context. The client's timeout is capped at
// maxTimeout.
func parseHeader(c *request.Context, maxTimeout time.Duration) error {
	if err := checkSingleValueHeaders(c.Header); err != nil {
		return err
	}
	c.ID = c.Header.Get(headerRequestID)
	if c.ID == "" {
		return malformed("%s: missing", headerRequestID)
	}
	if err := checkConnectionHeader(c.Header); err != nil {
		return err
	}
	timeout, err := parseDuration(c.Header, headerDeadline, time.Second)
	if err != nil {
		return err
	}
	if timeout == 0 && c.Header.Get(headerDeadline) != "" {
		return malformed("%s: not above zero", headerDeadline)
	}
	c.ClientTimeout = min(timeout, maxTimeout)
	if c.RunTimeHint, err = parseDuration(c.Header, headerCostHint, time.Microsecond); err != nil {
		return err
	}
	return parseExtras(c, c.Header.Get(headerExtras))
}

// checkSingleValueHeaders rejects a request in which one of the singleValueHeaders is repeated, empty or too long.
func checkSingleValueHeaders(header http.Header) error {
	for _, key := range singleValueHeaders {
		values := header[key]
		if len(values) > 1 {
			return malformed("%s: given %d times", key, len(values))
		}
		if len(values) == 1 && (values[0] == "" || len(values[0]) > maxHeaderValueBytes) {
			return malformed("%s: empty or too long", key)
		}
	}
	return nil
}

// checkConnectionHeader rejects a request whose Connection header lists one of the singleValueHeaders. As a
// hop-by-hop header it would be dropped, and the job would reach its worker without, say, its request ID or
// idempotency key.
func checkConnectionHeader(header http.Header) error {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if slices.Contains(singleValueHeaders, http.CanonicalHeaderKey(strings.TrimSpace(name))) {
				return malformed("Connection: names %s", name)
			}
		}
	}
	return nil
}

// parseDuration parses a header that holds a number of units. It returns 0 if the header is absent.
func parseDuration(header http.Header, key string, unit time.Duration) (time.Duration, error) {
	text := header.Get(key)
	if text == "" {
		return 0, nil
	}
	count, err := settings.ParseNumber([]byte(text))
	const maxDurationNs = float64(1 << 62) // larger values could overflow time.Duration
	if err != nil || count < 0 || count*float64(unit) > maxDurationNs {
		return 0, malformed("%s: bad number %q", key, text)
	}
	return time.Duration(count * float64(unit)), nil
}

// parseExtras parses "name=value,name=value". Unknown names are ignored.
func parseExtras(c *request.Context, text string) error {
	if text == "" {
		return nil
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		number, err := settings.ParseNumber([]byte(strings.TrimSpace(value)))
		if err != nil || number < 0 {
			return malformed("%s: bad number in %q", headerExtras, pair)
		}
		switch strings.TrimSpace(name) {
		case "slots":
			c.Slots = number
		case "memory":
			c.Memory = number
		}
	}
	return nil
}
