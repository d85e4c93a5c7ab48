package fake

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Shape is the way in which a client sends a request and reads its answer.
type Shape string

// Shapes. Those from Broken on belong to clients that violate the protocol or do not complete their exchange.
const (
	Plain     Shape = ""
	Pieces    Shape = "pieces"     // sends the request in pieces
	Chunked   Shape = "chunked"    // sends a chunked body
	Single    Shape = "single"     // opens a connection for this request only
	SlowRead  Shape = "slow-read"  // reads the answer slowly
	Impatient Shape = "impatient"  // disconnects before its deadline
	Broken    Shape = "broken"     // sends a malformed request (brokenRequests)
	Half      Shape = "half"       // sends half a request, then closes
	Endless   Shape = "endless"    // sends a head that never ends
	Double    Shape = "double"     // request smuggling: Content-Length and chunked, with a second request in the body
	Pipelined Shape = "pipelined"  // sends two requests at once
	Silent    Shape = "silent"     // connects and sends nothing
	Borrowed  Shape = "borrowed"   // uses the id of another client's open request
	NoClass   Shape = "no-class"   // names a class that does not exist
	Huge      Shape = "huge"       // announces a body far above the limit
	HalfClose Shape = "half-close" // closes its sending side after the request, and waits
)

// Shapes lists all shapes.
var Shapes = []Shape{
	Plain,
	Pieces,
	Chunked,
	SlowRead,
	Single,
	Impatient,
	Broken,
	Half,
	Endless,
	Double,
	Pipelined,
	Silent,
	Borrowed,
	NoClass,
	Huge,
	HalfClose,
}

// Conforming reports whether a client of this shape follows the protocol, so that the node owes it an answer in time.
func (s Shape) Conforming() bool {
	return s == Plain || s == Pieces || s == Chunked || s == Single || s == SlowRead || s == Impatient
}

// Job is a job that a client submits.
type Job struct {
	Name             string // prefix of its request ids
	Class            string
	Repeat           bool // the client may retry after any failure
	Refused          bool // the client may retry after a refusal
	Key              string
	Work             float64       // seconds on a standard core
	Hint             time.Duration // cost hint that the client sends; 0: none
	Slots            float64
	Memory           float64
	Timeout          time.Duration // over all attempts
	GiveUp           time.Duration // after which an Impatient client disconnects
	WaitPastDeadline time.Duration // time past its deadline that a client waits before it disconnects
	Body             int           // bytes of padding in the body
	Behind           int           // bytes that the client writes behind the request
	Shape            Shape
	RetryWindow      time.Duration // retries start only within this time after the first attempt; 0: no limit
	Retries          int
	Pause            time.Duration // minimum time before a retry
	RequestID        string        // id to use in place of a generated one, if not empty
}

// Values that Observer.RequestEnded gets in place of a status.
const (
	Cut                = 0  // the connection ended before a whole answer was received
	CutFirst           = -1 // like Cut, on the first request of its connection
	ClosedWhileSending = -2 // the node closed a kept connection before it had read the request; the client sends it again
)

// Dialer chooses nodes and opens connections to them.
type Dialer interface {
	// PickNode returns the node for an attempt, or "" if no node accepts requests. hasIdleConn reports whether an idle connection to a
	// node is kept: such connections remain in use while the node drains.
	PickNode(j *Job, attempt int, hasIdleConn func(node string) bool) string
	// Dial opens a connection; the handler's Closed is called if that fails. rate limits the bytes per second that this end
	// reads; 0: no limit.
	Dial(node string, rate int, h Opener)
}

// Opener is a handler that is notified when its connection is up.
type Opener interface {
	Handler
	Opened(c Conn)
}

const (
	slowReadRate         = 4 << 10         // bytes per second that a SlowRead client reads
	nonconformingTimeout = 8 * time.Second // after which a client that is not Conforming disconnects
)

// Clients is a set of clients that share a pool of kept connections, as a reverse proxy in front of the nodes does.
type Clients struct {
	Clock    Clock
	Observer Observer
	Dialer   Dialer
	random   *rand.Rand
	idle     map[string][]*clientConn
	Open     int // jobs in progress
	// Jobs of conforming clients: submitted, served, and failed after all attempts.
	Asked, Served, Lost int
}

// NewClients returns a set of clients.
func NewClients(c Clock, w Observer, r Dialer, seed uint64) *Clients {
	return &Clients{Clock: c, Observer: w, Dialer: r, random: Random(seed, "clients"), idle: map[string][]*clientConn{}}
}

// clientConn is one connection of a client with its open request.
type clientConn struct {
	clients     *Clients
	node        string
	conn        Conn
	inbox       []byte
	submission  *submission
	closed      bool
	answered    bool // at least one answer was received on it
	observed    bool
	pipelinedID string // id of a second request sent together with the first
}

// submission is a job in progress, over all its attempts.
type submission struct {
	*Job
	clients     *Clients
	start       time.Time
	attempt     int
	id          string
	cancelTimer func()
	conn        *clientConn
	finished    bool
}

// Submit starts a job.
func (cl *Clients) Submit(j *Job) {
	a := &submission{Job: j, clients: cl, start: cl.Clock.Now()}
	cl.Open++
	if j.Shape.Conforming() {
		cl.Asked++
	}
	a.sendAttempt(false)
}

// remaining returns the time until the client's deadline.
func (a *submission) remaining() time.Duration { return a.Timeout - a.clients.Clock.Now().Sub(a.start) }

// sendAttempt starts an attempt, on a kept connection if there is one and newConn is not set.
func (a *submission) sendAttempt(newConn bool) {
	cl := a.clients
	if a.remaining() < time.Millisecond {
		a.finish(false)
		return
	}
	a.id = fmt.Sprintf("%s-%d", a.Name, a.attempt)
	if a.RequestID != "" {
		a.id = a.RequestID
	}
	node := cl.Dialer.PickNode(
		a.Job,
		a.attempt,
		func(node string) bool { return !newConn && a.Shape == Plain && cl.hasIdleConn(node) },
	)
	if node == "" {
		a.retry(true, 0)
		return
	}
	if !newConn && a.Shape == Plain {
		for n := len(cl.idle[node]); n > 0; n = len(cl.idle[node]) {
			k := cl.idle[node][n-1]
			cl.idle[node] = cl.idle[node][:n-1]
			if !k.closed {
				k.submission, a.conn = a, k
				k.write()
				return
			}
		}
	}
	k := &clientConn{clients: cl, node: node, submission: a}
	a.conn = k
	rate := 0
	if a.Shape == SlowRead {
		rate = slowReadRate
	}
	a.startTimer()
	cl.Dialer.Dial(node, rate, k)
}

// hasIdleConn reports whether an idle connection to a node is kept.
func (cl *Clients) hasIdleConn(node string) bool {
	list := cl.idle[node]
	for len(list) > 0 && list[len(list)-1].closed {
		list = list[:len(list)-1]
	}
	cl.idle[node] = list
	return len(list) > 0
}

// startTimer sets the timer at which the client disconnects.
func (a *submission) startTimer() {
	if a.cancelTimer != nil {
		a.cancelTimer()
	}
	left := a.remaining() + a.WaitPastDeadline
	if a.Shape == Impatient {
		left = min(left, a.GiveUp)
	}
	if !a.Shape.Conforming() {
		left = nonconformingTimeout
	}
	a.cancelTimer = a.clients.Clock.After(left, func() {
		a.cancelTimer = nil
		k := a.conn
		if k.observed {
			a.clients.Observer.ClientGone(k.node, a.id)
		}
		k.close()
		a.finish(false)
	})
}

// Opened implements Opener.
func (k *clientConn) Opened(c Conn) {
	if k.conn = c; k.closed {
		c.Close()
		return
	}
	k.write()
}

// Text returns the request as the client sends it.
func (a *submission) Text() []byte {
	body := fmt.Appendf(
		nil,
		`{"work":%s,"slots":%g,"memory":%g}%*s`,
		strconv.FormatFloat(a.Work, 'f', 4, 64),
		a.Slots,
		a.Memory,
		a.Body,
		"",
	)
	head := fmt.Sprintf(
		"POST /%s?sid=%s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %.3f\r\nX-Extras: slots=%g,memory=%g\r\n",
		a.Class,
		a.Name,
		a.id,
		a.remaining().Seconds(),
		a.Slots,
		a.Memory,
	)
	if a.Key != "" {
		head += "Idempotency-Key: " + a.Key + "\r\n"
	}
	if a.Hint > 0 {
		head += "X-Cost-Hint: " + strconv.FormatInt(a.Hint.Microseconds(), 10) + "\r\n"
	}
	if a.attempt > 0 {
		head += "X-Retry: 1\r\n"
	}
	if a.Shape == Double {
		return fmt.Appendf(
			nil,
			"%sContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+
				"POST /%s HTTP/1.1\r\nX-Request-Id: hidden-%s\r\nContent-Length: 0\r\n\r\n",
			head,
			a.Class,
			a.Name,
		)
	}
	if a.Shape == Chunked {
		var b bytes.Buffer
		fmt.Fprintf(&b, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		chunk(&b, body[:10])
		chunk(&b, body[10:])
		b.WriteString("0\r\n\r\n")
		return b.Bytes()
	}
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// brokenRequests are malformed requests, each with a different fault. CLASS is replaced by the job's class.
var brokenRequests = []string{
	"\x16\x03\x01 what is this\r\n\r\n",
	"GET /CLASS HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.0\r\nX-Request-Id: b0\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nX-Request-Id: b1\r\nX-Deadline: soon\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nX-Request-Id: b2\r\nX-Deadline: 0\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nX-Request-Id: b3\r\nX-Request-Id: b4\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nX-Request-Id: b5\r\nConnection: X-Request-Id\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nX-Request-Id: b6\r\nX-Extras: slots=many\r\nContent-Length: 0\r\n\r\n",
	"POST /book-visit HTTP/1.1\r\nHost: x\r\nX-Request-Id: b7\r\nContent-Length: 0\r\n\r\n",
	"POST /book-visit HTTP/1.1\r\nHost: x\r\nX-Request-Id: b8\r\nIdempotency-Key: \r\nContent-Length: 0\r\n\r\n",
	"POST http://x/CLASS HTTP/1.1\r\nHost: x\r\nX-Request-Id: b9\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nX-Request-Id: ba\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nX-Request-Id: bb\r\nContent-Length: 70000\r\n\r\n",
}

// write sends the request.
func (k *clientConn) write() {
	a := k.submission
	a.startTimer()
	text := a.Text()
	switch a.Shape {
	case Pieces:
		for i := 0; i < 3 && len(text) > 60; i++ {
			n := 1 + k.clients.random.IntN(len(text)/2)
			k.conn.Write(text[:n], nil)
			text = text[n:]
		}
	case Broken:
		text = []byte(
			strings.ReplaceAll(brokenRequests[Random(uint64(len(a.Name)), a.Name).IntN(len(brokenRequests))], "CLASS", a.Class),
		)
	case Half:
		k.conn.Write(text[:len(text)/2], nil)
		k.close()
		a.finish(false)
		return
	case Endless:
		text = fmt.Appendf(
			nil, "POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Long: %030000d", a.Class, a.id, 7,
		)
	case Pipelined:
		a.id += "p"
		k.pipelinedID = a.id
		text = append(text, a.Text()...)
		a.id = a.id[:len(a.id)-1]
		k.clients.Observer.RequestStarted(k.node, k.pipelinedID, k.clients.Clock.Now().Add(a.remaining()), a.Class)
	case Silent:
		return
	case NoClass:
		text = fmt.Appendf(
			nil, "POST /nothing HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", a.id,
		)
	case Huge:
		text = fmt.Appendf(
			nil,
			"POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nContent-Length: 60000000\r\n\r\n%0200000d",
			a.Class,
			a.id,
			7,
		)
	}
	if a.Shape.Conforming() || a.Shape == Pipelined || a.Shape == HalfClose || a.Shape == Borrowed {
		k.observed = k.clients.Observer.RequestStarted(k.node, a.id, k.clients.Clock.Now().Add(a.remaining()), a.Class)
	}
	k.conn.Write(text, nil)
	if a.Behind > 0 {
		k.conn.Write(make([]byte, a.Behind), nil)
	}
	if a.Shape == HalfClose {
		if h, ok := k.conn.(interface{ CloseWrite() }); ok {
			h.CloseWrite() // the node treats the client as gone: it cannot tell a half close from a full one
			if k.observed {
				k.clients.Observer.ClientGone(k.node, a.id)
			}
		}
	}
}

// close closes the connection on the client's side.
func (k *clientConn) close() {
	if !k.closed {
		k.closed = true
		if k.pipelinedID != "" {
			k.clients.Observer.ClientGone(k.node, k.pipelinedID)
		}
		if k.conn != nil {
			k.conn.Close()
		}
	}
}

// Data implements Handler.
func (k *clientConn) Data(p []byte) {
	k.inbox = append(k.inbox, p...)
	m, rest, ok := cutMessage(k.inbox)
	if !ok || k.closed {
		return
	}
	k.inbox = append([]byte(nil), rest...)
	_, code, _ := requestLine(m.head)
	status, _ := strconv.Atoi(code)
	a := k.submission
	if a == nil {
		return // the answer to the pipelined second request
	}
	if k.observed {
		k.clients.Observer.RequestEnded(k.node, a.id, status, string(m.body))
	}
	k.observed, k.answered, k.submission = false, true, nil
	if headerField(m.head, "Connection") == "close" || a.Shape != Plain {
		k.close()
	} else {
		k.clients.idle[k.node] = append(k.clients.idle[k.node], k)
	}
	if status == 200 {
		a.finish(true)
		return
	}
	wait := time.Duration(0)
	if s, err := strconv.ParseFloat(headerField(m.head, "Retry-After"), 64); err == nil {
		wait = time.Duration(s * float64(time.Second))
	}
	a.retry(a.Repeat || a.Refused && (status == 503 || status == 429), wait)
}

// Closed implements Handler.
func (k *clientConn) Closed(bool) {
	if k.closed {
		return
	}
	k.closed = true
	a := k.submission
	if a == nil {
		return
	}
	if k.pipelinedID != "" {
		k.clients.Observer.ClientGone(k.node, k.pipelinedID)
	}
	k.submission = nil
	if k.observed && k.answered && len(k.inbox) == 0 && !k.requestRead() {
		// The node closed a kept connection before it read the request, so the request is sent again.
		k.clients.Observer.RequestEnded(k.node, a.id, ClosedWhileSending, "")
		a.sendAttempt(true)
		return
	}
	if k.observed && k.answered {
		k.clients.Observer.RequestEnded(k.node, a.id, Cut, "")
	} else if k.observed {
		k.clients.Observer.RequestEnded(k.node, a.id, CutFirst, "")
	}
	a.retry(a.Repeat || !k.observed, 0)
}

// requestRead reports whether the node had received the request before the connection ended. Hosts that cannot tell report no.
func (k *clientConn) requestRead() bool {
	r, ok := k.conn.(interface{ Taken() bool })
	return ok && r.Taken()
}

// retry starts another attempt after a pause, if allowed, or ends the job.
func (a *submission) retry(allowed bool, wait time.Duration) {
	a.stopTimer()
	late := a.RetryWindow > 0 && a.clients.Clock.Now().Add(max(a.Pause, wait)).Sub(a.start) >= a.RetryWindow
	if !allowed || late || a.attempt >= a.Retries || !a.Shape.Conforming() {
		a.finish(false)
		return
	}
	a.attempt++
	a.clients.Clock.After(max(a.Pause, wait, time.Millisecond), func() { a.sendAttempt(false) })
}

// stopTimer stops the disconnect timer.
func (a *submission) stopTimer() {
	if a.cancelTimer != nil {
		a.cancelTimer()
		a.cancelTimer = nil
	}
}

// finish ends a job, after its last attempt.
func (a *submission) finish(served bool) {
	a.stopTimer()
	if a.finished {
		return
	}
	a.finished = true
	a.clients.Open--
	if !a.Shape.Conforming() {
		return
	}
	if served {
		a.clients.Served++
	} else {
		a.clients.Lost++
	}
}
