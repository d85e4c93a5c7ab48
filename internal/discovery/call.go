package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"swiftdeal/internal/httphead"
)

// call is one call to discovery.
type call struct {
	path   string
	ctx    context.Context // once it has ended, results of the call are discarded
	cancel func()          // ends a watch

	address  string // that is being called; set by the call's goroutine
	answered bool   // by a message or a heartbeat; guarded by Client.mu
}

// readAnswer reads the answer to a call. It returns nil if the answer was read to its end.
type readAnswer func(from *call, conn net.Conn, body io.Reader) error

// exchange makes one call to made.address and reads its answer. Connecting takes at most connectTimeout.
func (c *Client) exchange(made *call, connectTimeout time.Duration, read readAnswer) error {
	start, addr := time.Now(), made.address
	conn, err := c.dial(made.ctx, addr, connectTimeout, made.path)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(made.ctx, func() { conn.Close() })()
	conn.SetDeadline(start.Add(c.limits.DiscoveryTimeout)) // a host that is cut off never closes the connection
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", made.path, addr); err != nil {
		return err
	}
	reader := &httphead.Reader{Source: conn}
	most := httphead.Limits{Bytes: c.limits.HeaderBytes, Fields: c.limits.HeaderFields}
	if err := reader.BeginHead(most, nil); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(reader), &http.Request{Method: http.MethodGet})
	if err != nil {
		return err
	}
	reader.EndHead()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{resp.Status}
	}
	// Guards against a server that accepts the call, sends the header of the answer and then nothing: the time-out for the
	// first event is measured from the start of the call.
	conn.SetDeadline(start.Add(c.limits.FirstEventTimeout))
	return read(made, conn, resp.Body)
}

// readList reads a full endpoint list.
func (c *Client) readList(from *call, _ net.Conn, body io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(body, int64(c.limits.EndpointListBytes)))
	if err != nil {
		return err
	}
	return c.deliver(from, text, false)
}
