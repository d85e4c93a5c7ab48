package fake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// pieceSize is the size in bytes of the pieces in which answers are written under the Pieces fault.
const pieceSize = 7

// workerConn is one connection to a worker.
type workerConn struct {
	worker          *Worker
	conn            Conn
	incarnation     int
	inbox           []byte
	job             *workerJob
	cancelIdleTimer func() // nil while a job is under way
	closed          bool
}

func (c *workerConn) startIdleTimer() {
	wait := c.worker.Idle
	if c.worker.Faults.CloseIdle {
		wait = time.Millisecond
	}
	if wait > 0 {
		c.cancelIdleTimer = c.worker.Pool.Clock.After(wait, func() {
			if c.job == nil {
				c.close()
			}
		})
	}
}

func (c *workerConn) close() {
	if !c.closed {
		c.closed = true
		c.conn.Close()
		delete(c.worker.conns, c)
	}
}

// Data implements Handler.
func (c *workerConn) Data(b []byte) {
	if c.closed || c.incarnation != c.worker.incarnation {
		return
	}
	c.inbox = append(c.inbox, b...)
	for c.job == nil && !c.closed {
		m, rest, ok := cutMessage(c.inbox)
		if !ok {
			return
		}
		c.inbox = append([]byte(nil), rest...)
		if c.cancelIdleTimer != nil {
			c.cancelIdleTimer()
			c.cancelIdleTimer = nil
		}
		c.handleRequest(m)
	}
}

// Closed implements Handler: the node has canceled its job on this connection.
func (c *workerConn) Closed(bool) {
	if c.closed || c.incarnation != c.worker.incarnation {
		return
	}
	c.closed = true
	delete(c.worker.conns, c)
	if c.cancelIdleTimer != nil {
		c.cancelIdleTimer()
	}
	if j := c.job; j != nil {
		c.job = nil
		c.worker.advance()
		c.worker.remove(j)
		c.worker.startWaiting()
	}
}

// handleRequest handles a job or a probe.
func (c *workerConn) handleRequest(m message) {
	p := c.worker
	method, target, _ := requestLine(m.head)
	if method == "GET" {
		c.answerProbe(target)
		return
	}
	id := headerField(m.head, "X-Request-Id")
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	class, known := p.Pool.Classes[path]
	var body struct {
		Work   float64 `json:"work"`
		Slots  float64 `json:"slots"`
		Memory float64 `json:"memory"`
	}
	if end := bytes.IndexByte(m.body, '}'); id == "" || !known || end < 0 || json.Unmarshal(m.body[:end+1], &body) != nil {
		c.writeStatus("400 Bad Request", "", &Mark{Request: id, Ended: true})
		return
	}
	j := &workerJob{
		conn:      c,
		id:        id,
		class:     path,
		slots:     max(body.Slots, 1),
		mem:       body.Memory,
		work:      body.Work,
		remaining: body.Work,
	}
	j.faultDraw = p.random.Float64()
	if class.Keyed {
		j.key = headerField(m.head, "Idempotency-Key")
		j.dedupGroup = path + "/" + j.key + "/" + map[string]string{"zone": p.Zone, "cell": p.Cell}[class.Scope]
		if first, ok := p.Pool.firstArrival[j.dedupGroup]; !ok || p.Pool.Clock.Now().Sub(first) > class.Window+time.Second {
			p.Pool.firstArrival[j.dedupGroup] = p.Pool.Clock.Now()
			p.Pool.effects[j.dedupGroup] = 0
		}
	}
	c.job = j
	p.Pool.Observer.JobArrived(p.ID, id, j.work*j.slots)
	p.advance()
	switch {
	case j.faultDraw < p.Faults.Fail:
		if p.Progress > 0 && j.faultDraw < p.Faults.Fail/2 {
			c.startAnswer(j)
			c.writeLine(j, "failed", "")
			c.finishAnswer(j, false)
			break
		}
		c.job = nil
		c.writeStatus("500 Internal Server Error", "", &Mark{Request: id, Ended: true})
	case p.draining, j.slots > p.Slots, j.mem > p.Memory, len(p.queue) >= p.Queue && !p.fits(j):
		c.job = nil
		c.writeStatus("503 Service Unavailable", "X-Not-Run: 1\r\n", &Mark{Request: id, Ended: true, NotRun: true})
	default:
		p.queue = append(p.queue, j)
		c.startAnswer(j)
	}
	p.startWaiting()
}

// writeStatus answers with a status and no body.
func (c *workerConn) writeStatus(status, header string, m *Mark) {
	c.conn.Write(fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, header), m)
	c.startIdleTimer()
}

// answerProbe answers a health probe or a request for the load report.
func (c *workerConn) answerProbe(target string) {
	text := ""
	if target == "/status/load" {
		text = c.worker.loadReportText()
	}
	c.conn.Write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text), nil)
	c.startIdleTimer()
}

// startAnswer writes the head of the answer to an accepted job.
func (c *workerConn) startAnswer(*workerJob) {
	if c.worker.Faults.Pieces {
		c.conn.Write([]byte("HTTP/1.1 102 Processing\r\n\r\n"), nil)
	}
	c.write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), nil)
}

// write sends part of an answer, in pieces of a few bytes if that fault is set.
func (c *workerConn) write(b []byte, m *Mark) {
	for c.worker.Faults.Pieces && len(b) > pieceSize {
		var part *Mark
		if len(b)-pieceSize < 3 { // this piece completes the line; only framing follows
			part, m = m, nil
		}
		c.conn.Write(b[:pieceSize], part)
		b = b[pieceSize:]
	}
	c.conn.Write(b, m)
}

// writeLine sends one status line of an answer, with further JSON fields.
func (c *workerConn) writeLine(j *workerJob, state, fields string) {
	id := j.id
	if j.faultDraw > 1-c.worker.Faults.WrongID {
		id = "x" + id
	}
	var b bytes.Buffer
	chunk(&b, fmt.Appendf(nil, `{"id":%q,"from":%q,"state":%q%s}`+"\n", id, c.worker.ID, state, fields))
	var m *Mark
	switch state {
	case "done", "failed", "lost":
		m = &Mark{Request: j.id, Ended: true}
	case "returned":
		m = &Mark{Request: j.id, Ended: true, NotRun: true}
	}
	c.write(b.Bytes(), m)
}

// finishAnswer ends the answer to a job; the connection is idle afterwards.
func (c *workerConn) finishAnswer(j *workerJob, clean bool) {
	j.stop()
	c.job = nil
	c.write([]byte("0\r\n\r\n"), nil)
	c.startIdleTimer()
	if len(c.inbox) > 0 {
		c.Data(nil)
	}
}
