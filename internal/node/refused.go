package node

import (
	"bytes"
	"net/http"
	"time"

	"swiftdeal/internal/ingress"
	"swiftdeal/internal/request"
)

// refusedBatchBytes is the size of one write of refusals.
const refusedBatchBytes = 32 << 10

// serveRefused answers requests that were received behind an earlier one and dropped, for want of room. None of them has run.
func (n *Node) serveRefused(w http.ResponseWriter, r *http.Request, refused ingress.RefusedRequests) {
	answer := request.Answer{
		Verdict: request.Rejected, Reason: "too many requests on one connection", RetryAfter: n.limits.RejectedRetryAfter,
	}
	if n.writeRefusals(ingress.ConnFromRequest(r), answer, refused.Count-1) != nil {
		panic(http.ErrAbortHandler)
	}
	n.responder.Write(w, answer, refused.Final || n.closesConn(ingress.ConnFromRequest(r)))
}

// writeRefusals writes the same answer a number of times. The HTTP server knows nothing of these answers.
func (n *Node) writeRefusals(conn *ingress.Conn, answer request.Answer, count int) error {
	text := n.renderAnswer(answer, false)
	batch := bytes.Repeat(text, max(1, min(count, refusedBatchBytes/len(text))))
	for left := count * len(text); left > 0; {
		part := batch[:min(left, len(batch))]
		n.connections.options.ReadAhead.PayForRefusals(len(part))
		conn.SetWriteDeadline(time.Now().Add(n.limits.WriteTimeout))
		written, err := conn.Write(part)
		if err != nil {
			return err
		}
		left -= written
	}
	conn.SetWriteDeadline(time.Time{})
	return nil
}

// renderAnswer returns an answer as the HTTP server would write it.
func (n *Node) renderAnswer(answer request.Answer, closeConn bool) []byte {
	w := &answerWriter{header: http.Header{}}
	n.responder.Render(w, answer, closeConn) // writing to a buffer cannot fail
	return w.buffer.Bytes()
}

// evictionAnswer returns the answer to a request whose connection is evicted before the request has been received whole.
func (n *Node) evictionAnswer() []byte {
	return n.renderAnswer(n.noConnectionAnswer(), true)
}

// noConnectionAnswer returns the answer to a request that has to make room for another client's connection, or whose connection is
// beyond the limit.
func (n *Node) noConnectionAnswer() request.Answer {
	return request.Answer{Verdict: request.Rejected, Reason: "too many connections", RetryAfter: n.limits.RejectedRetryAfter}
}
