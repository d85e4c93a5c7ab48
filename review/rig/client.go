package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is a job that a client hands in.
type request struct {
	class    string
	id       string
	key      string
	deadline time.Duration
	hint     time.Duration
	body     string
}

// reply is what a client got.
type reply struct {
	request
	sent, answered time.Time
	status         int  // 0: none
	taken          bool // the last byte was written
	open           bool // the connection was open as the client gave up
	body           string
	err            error
}

// late returns how long after its time the request was answered, or the time was over without an answer.
func (r reply) late() time.Duration { return r.answered.Sub(r.sent) - r.deadline }

// clients sends requests to a node and keeps connections.
type clients struct {
	w    *world
	addr string

	mu      sync.Mutex
	idle    []*clientConn
	replies []reply
	running sync.WaitGroup
	count   atomic.Int64
	run     string
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func (w *world) newClients(addr string) *clients {
	return &clients{w: w, addr: addr, run: fmt.Sprintf("%08x", time.Now().UnixNano()&0xffffffff)}
}

// newID returns a new request id.
func (c *clients) newID() string { return fmt.Sprintf("%s%08x", c.run, c.count.Add(1)) }

// send hands in a job on a goroutine of its own.
func (c *clients) send(r request) {
	if r.id == "" {
		r.id = c.newID()
	}
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		answer := c.do(r)
		c.mu.Lock()
		c.replies = append(c.replies, answer)
		c.mu.Unlock()
		c.w.note("client: %s %s answered %d after %.3f s, of %.3f s: %q %v", r.class, r.id, answer.status,
			answer.answered.Sub(answer.sent).Seconds(), r.deadline.Seconds(), lastBytes(strings.TrimSpace(answer.body), 60), answer.err)
	}()
}

// take returns a kept connection, or a new one.
func (c *clients) take() (conn *clientConn, kept bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn = c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, true, nil
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.addr, 5*time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{raw, bufio.NewReader(raw)}, false, nil
}

// do hands in a job and waits for the answer, up to a second after its time. A request that crossed the end of a kept connection
// is sent once more on a new one.
func (c *clients) do(r request) reply {
	answer := reply{request: r, sent: time.Now()}
	for {
		conn, kept, err := c.take()
		if err != nil {
			answer.answered, answer.err = time.Now(), err
			return answer
		}
		answer.sent = time.Now()
		answer.taken, answer.status, answer.body, answer.err = c.exchange(conn, r)
		answer.answered = time.Now()
		answer.open = errors.Is(answer.err, os.ErrDeadlineExceeded)
		if kept && answer.err != nil && answer.status == 0 && !answer.open {
			c.w.note("client: %s crossed the end of a kept connection, sent once more", r.id)
			continue
		}
		return answer
	}
}

// exchange sends a job on a connection and reads the answer.
func (c *clients) exchange(conn *clientConn, r request) (taken bool, status int, body string, err error) {
	text := &strings.Builder{}
	fmt.Fprintf(text, "POST /%s?sid=1 HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\n", r.class, r.id)
	fmt.Fprintf(text, "X-Deadline: %.3f\r\n", r.deadline.Seconds())
	if r.key != "" {
		fmt.Fprintf(text, "Idempotency-Key: %s\r\n", r.key)
	}
	if r.hint > 0 {
		fmt.Fprintf(text, "X-Cost-Hint: %d\r\n", r.hint.Microseconds())
	}
	fmt.Fprintf(text, "X-Extras: slots=1,memory=0.5\r\nContent-Length: %d\r\n\r\n%s", len(r.body), r.body)
	conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := io.WriteString(conn, text.String()); err != nil {
		conn.Close()
		return false, 0, "", err
	}
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		conn.Close()
		return true, 0, "", err
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		conn.Close()
		return true, 0, "", err
	}
	if resp.Close {
		conn.Close()
		return true, resp.StatusCode, string(content), nil
	}
	conn.SetDeadline(time.Time{})
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return true, resp.StatusCode, string(content), nil
}

// steady sends rate jobs a second for a time, or until goOn says no.
func (c *clients) steady(rate float64, span time.Duration, next func(i int) request, goOn func() bool) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	end := time.Now().Add(span)
	for i := 0; time.Now().Before(end) && goOn(); i++ {
		c.send(next(i))
		<-ticker.C
	}
}

// wait waits for all answers.
func (c *clients) wait() []reply {
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replies
}
