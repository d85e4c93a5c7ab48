package ingress

import (
	"context"
	"net"
	"net/http"
	"time"

	"swiftdeal/internal/request"
)

type connContextKey struct{}

// ConnContext is the server's ConnContext hook. It stores the connection in the context, so that it can be found from
// a request.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// ConnFromRequest returns the connection that a request came on, or nil if it is not a Conn.
func ConnFromRequest(httpRequest *http.Request) *Conn {
	conn, _ := httpRequest.Context().Value(connContextKey{}).(*Conn)
	return conn
}

// clientFromRequest returns the client of a request, or nil if its connection cannot be checked.
func clientFromRequest(httpRequest *http.Request) request.Client {
	if conn := ConnFromRequest(httpRequest); conn != nil {
		return conn
	}
	return nil
}

// takeArrivalDelay returns an upper bound on how long before it was read the request arrived. It resets the value, so
// it is called once for each request.
func takeArrivalDelay(httpRequest *http.Request) time.Duration {
	conn := ConnFromRequest(httpRequest)
	if conn == nil {
		return 0
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.request.takeArrivalDelay()
}

// Disconnected returns a channel that is closed when the client disconnects in cases that do not cancel the request's
// own context.
func (c *Conn) Disconnected() <-chan struct{} { return c.disconnected }

// IsReadinessCheck reports whether a request is a readiness probe (GET /ready). If so, it takes the request's head
// from the connection's buffer.
func IsReadinessCheck(httpRequest *http.Request) bool {
	if httpRequest.Method != http.MethodGet || httpRequest.URL.Path != "/ready" || httpRequest.ContentLength != 0 {
		return false
	}
	if conn := ConnFromRequest(httpRequest); conn != nil {
		conn.takeHead(0)
	}
	return true
}

// AwaitTurn delays a request that came behind another one on its connection, as far as the pace of such requests demands: a client that
// never waits for answers would otherwise keep a core busy.
func AwaitTurn(httpRequest *http.Request) {
	conn := ConnFromRequest(httpRequest)
	if conn == nil || conn.options.ReadAhead == nil {
		return
	}
	conn.mu.Lock()
	pipelined := !conn.request.headArrivedAt.IsZero()
	conn.mu.Unlock()
	if pipelined {
		conn.options.ReadAhead.requests.Wait(httpRequest.Context(), 1)
	}
}

// TakeRefused reports whether a request is a stand-in for requests that were received behind an earlier one, but not kept. If so, it
// returns them, and takes the stand-in's head from the connection's buffer.
func TakeRefused(httpRequest *http.Request) (refused RefusedRequests, ok bool) {
	conn := ConnFromRequest(httpRequest)
	if conn == nil || httpRequest.Host != standInHost {
		return RefusedRequests{}, false
	}
	conn.mu.Lock()
	refused, ok = conn.ahead.takeRefused()
	conn.mu.Unlock()
	if ok {
		conn.takeHead(0)
	}
	return refused, ok
}

// hasTooManyFields reports whether a request's head, which has not been taken yet, has too many fields. It was read behind
// an earlier request then (see Conn.headRefused).
func hasTooManyFields(httpRequest *http.Request) bool {
	conn := ConnFromRequest(httpRequest)
	if conn == nil {
		return false
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.head.tooManyFields()
}

// hasAmbiguousLength takes a request's head from the connection's buffer and reports whether the length of the
// request is ambiguous. The head is parsed a second time only for chunked requests and for HTTP/1.0, where net/http
// ignores Transfer-Encoding.
func hasAmbiguousLength(httpRequest *http.Request) bool {
	conn := ConnFromRequest(httpRequest)
	if conn == nil {
		return false
	}
	head, known := conn.takeHead(httpRequest.ContentLength)
	if httpRequest.ContentLength >= 0 && httpRequest.ProtoAtLeast(1, 1) {
		return false
	}
	return !known || hasConflictingLengths(head)
}
