package transport

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"swiftdeal/internal/request"
)

// initialHeadBytes is the initial buffer size; most heads fit in it.
const initialHeadBytes = 512

// neverForwarded lists the headers that are never forwarded: hop-by-hop headers and those that the node sets itself.
var neverForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "X-Deadline": true,
}

// encodeHead returns the request line and header that are sent to a worker. The client's end-to-end headers are
// forwarded unchanged. It also returns the time left until the deadline, at least 1 ms; X-Deadline carries it in
// seconds, rounded to 1 ms.
func encodeHead(c *request.Context) (head []byte, left time.Duration) {
	var b bytes.Buffer
	b.Grow(initialHeadBytes)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Target, c.Host)
	c.Header.WriteSubset(&b, droppedHeaders(c.Header))
	left = max(time.Until(c.Deadline), time.Millisecond)
	seconds := strconv.FormatFloat(left.Seconds(), 'f', 3, 64)
	fmt.Fprintf(&b, "X-Deadline: %s\r\nContent-Length: %d\r\n\r\n", seconds, len(c.Body))
	return b.Bytes(), left
}

// droppedHeaders returns the headers that are not forwarded: neverForwarded and those that Connection names.
func droppedHeaders(header http.Header) map[string]bool {
	named := header["Connection"]
	if len(named) == 0 {
		return neverForwarded
	}
	dropped := maps.Clone(neverForwarded)
	for _, name := range strings.Split(strings.Join(named, ","), ",") {
		dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	return dropped
}
