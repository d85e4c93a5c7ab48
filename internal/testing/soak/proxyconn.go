package soak

import (
	"bytes"
	"strconv"
	"time"

	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/tracecheck"
)

// proxyConn is one connection between a node and a worker or discovery, with the harness as the proxy: it reports the traffic to the
// checker, and can hold, delay or reset it. Its methods run under the host's lock.
type proxyConn struct {
	cluster  *Cluster
	node     int
	worker   *worker // nil: the connection is to discovery
	nodeConn fake.Conn
	handler  fake.Handler
	request  *requestInFlight // the node's open request, nil if none
	closed   bool
	cutOff   bool // the connection ended within a request: what still comes is the rest of it

	fromNode, toNode     []func() // deliveries that are delayed, or held while the connection is blocked
	fromNodeAt, toNodeAt time.Time
}

// requestInFlight is a request that a node has started to write.
type requestInFlight struct {
	attempt int
	id      string
	text    []byte
	probe   bool
}

// openProxyConn accepts a new connection of a node; nil means that it is refused.
func (f *Cluster) openProxyConn(c fake.Conn, node int, w *worker, openHandler func(fake.Conn) fake.Handler) fake.Handler {
	t := &proxyConn{cluster: f, node: node, worker: w, nodeConn: c}
	if t.handler = openHandler(t); t.handler == nil {
		return nil
	}
	f.conns[t] = true
	return t
}

// blocked reports whether all traffic is held: the worker hangs, or discovery is silent.
func (t *proxyConn) blocked() bool {
	return t.worker != nil && t.worker.hung || t.worker == nil && t.cluster.discoverySilent
}

// enqueue schedules a delivery to the other end, in order and after the configured delay.
func (t *proxyConn) enqueue(queue *[]func(), at *time.Time, do func()) {
	*queue = append(*queue, do)
	t.pump(queue, at)
}

// pump delivers what is queued, or schedules its delivery, unless the connection is blocked.
func (t *proxyConn) pump(queue *[]func(), at *time.Time) {
	if t.blocked() || len(*queue) == 0 {
		return
	}
	delay := time.Duration(0)
	if t.worker != nil {
		delay = t.cluster.workerDelay
	}
	if delay == 0 && !at.After(t.cluster.host.Now()) {
		do := *queue
		*queue = nil
		for _, d := range do {
			d()
		}
		return
	}
	due := t.cluster.host.Now().Add(delay)
	if due.Before(*at) {
		due = *at
	}
	*at = due
	t.cluster.host.After(time.Until(due), func() {
		if !t.blocked() && len(*queue) > 0 {
			d := (*queue)[0]
			*queue = (*queue)[1:]
			d()
		}
	})
}

// flush delivers all that was held while the connection was blocked.
func (t *proxyConn) flush() {
	for _, q := range []*[]func(){&t.fromNode, &t.toNode} {
		do := *q
		*q = nil
		for _, d := range do {
			d()
		}
	}
}

// Data implements fake.Handler: data from the node.
func (t *proxyConn) Data(p []byte) {
	p = bytes.Clone(p)
	if t.worker != nil {
		t.requestSent(p)
	}
	t.enqueue(&t.fromNode, &t.fromNodeAt, func() {
		if !t.closed {
			t.cluster.arrivingNode = t.cluster.name(t.node)
			t.handler.Data(p)
		}
	})
}

// Closed implements fake.Handler: the node closed the connection.
func (t *proxyConn) Closed(reset bool) {
	t.endRequest(true)
	delete(t.cluster.conns, t)
	t.enqueue(&t.fromNode, &t.fromNodeAt, func() {
		if !t.closed {
			t.closed = true
			t.handler.Closed(reset)
		}
	})
}

// Write implements fake.Conn: data from the fake.
func (t *proxyConn) Write(p []byte, m *fake.Mark) {
	p = bytes.Clone(p)
	t.enqueue(&t.toNode, &t.toNodeAt, func() {
		if !t.closed {
			t.applyMark(m)
			t.nodeConn.Write(p, nil)
		}
	})
}

// Close implements fake.Conn.
func (t *proxyConn) Close() {
	t.enqueue(&t.toNode, &t.toNodeAt, func() {
		if !t.closed {
			t.closed = true
			t.endRequest(false)
			t.nodeConn.Close()
		}
	})
}

// Reset implements fake.Conn.
func (t *proxyConn) Reset() {
	if !t.closed {
		t.closed = true
		t.endRequest(false)
		t.nodeConn.Reset()
	}
}

// resetBoth resets the connection at both ends.
func (t *proxyConn) resetBoth() {
	if t.closed {
		return
	}
	t.Reset()
	delete(t.cluster.conns, t)
	t.handler.Closed(true)
}

// requestSent reports an attempt to the checker at its first byte.
func (t *proxyConn) requestSent(p []byte) {
	if t.cutOff {
		return
	}
	f := t.cluster
	if t.request == nil || fake.Complete(t.request.text) {
		t.endRequest(false)
		f.attempts++
		t.request = &requestInFlight{attempt: f.attempts, id: fake.HeaderField(p, "X-Request-Id")}
		if method, _, _ := fake.RequestLine(p); method == "GET" {
			t.request.probe = true
		} else {
			seconds, _ := strconv.ParseFloat(fake.HeaderField(p, "X-Deadline"), 64)
			f.stats.Attempts++
			f.observe(
				tracecheck.Event{
					Kind: tracecheck.AttemptSent, Node: f.name(t.node), Request: t.request.id,
					Worker: t.worker.worker.ID, Attempt: t.request.attempt,
					Within: time.Duration(seconds * float64(time.Second)),
				},
			)
		}
	}
	t.request.text = append(t.request.text, p...)
}

// endRequest reports the end of the open request: canceled by the node, or because the connection ended.
func (t *proxyConn) endRequest(byNode bool) {
	u := t.request
	t.request = nil
	if u == nil {
		return
	}
	whole := fake.Complete(u.text)
	t.cutOff = !whole
	if u.probe {
		return
	}
	if byNode && whole {
		t.cluster.observe(tracecheck.Event{Kind: tracecheck.AttemptCanceled, Attempt: u.attempt})
	} else {
		t.cluster.observe(tracecheck.Event{Kind: tracecheck.AttemptEnded, Attempt: u.attempt, NotRun: !whole})
	}
}

// applyMark reports to the checker what the fake's data tells the node.
func (t *proxyConn) applyMark(m *fake.Mark) {
	if m == nil {
		return
	}
	if u := t.request; m.Ended && u != nil && u.id == m.Request {
		t.request = nil
		t.cluster.observe(tracecheck.Event{Kind: tracecheck.AttemptEnded, Attempt: u.attempt, NotRun: m.NotRun})
	}
	t.cluster.listObserved(t.node, m)
}
