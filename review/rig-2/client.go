package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	class  string
	sent   time.Time
	at     time.Time
	status int // 0: none
	body   string
	err    string
}

// client sends requests to the node over kept connections, one request at a time on each.
type client struct {
	record *record
	http   *http.Client
	node   string
	serial atomic.Int64
	prefix string

	mu      sync.Mutex
	answers []answer
}

func newClient(r *record, node, prefix string) *client {
	dialer := net.Dialer{Timeout: 2 * time.Second}
	return &client{record: r, node: node, prefix: prefix, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 200, DisableCompression: true,
	}}}
}

// send sends a job that runs for ms milliseconds, waits for its answer at most for the patience, and returns the answer.
func (c *client) send(class string, ms int, patience time.Duration) answer {
	id := fmt.Sprintf("%s%06x", c.prefix, c.serial.Add(1))
	return c.sendAs(id, class, ms, patience)
}

func (c *client) sendAs(id, class string, ms int, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience+time.Second)
	defer cancel()
	body := fmt.Sprintf(`{"ms":%d}`, ms)
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.node+"/"+class, strings.NewReader(body))
	r.GetBody = nil // the library must not send it again
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("Idempotency-Key", "key-"+id)
	r.Header.Set("X-Deadline", fmt.Sprintf("%.3f", patience.Seconds()))
	r.Header.Set("X-Cost-Hint", fmt.Sprint(ms*1000))
	r.Header.Set("X-Extras", "slots=1,memory=1")
	a := answer{id: id, class: class, sent: time.Now()}
	c.record.printf("client: sends %s (%s, %d ms)", id, class, ms)
	resp, err := c.http.Do(r)
	if err == nil {
		a.status = resp.StatusCode
		var text []byte
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.body = string(text)
	}
	a.at = time.Now()
	if err != nil {
		a.err = err.Error()
	}
	c.record.printf("client: answer to %s after %.3f s: %d %q %s",
		id, a.at.Sub(a.sent).Seconds(), a.status, strings.TrimSpace(a.body), a.err)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

// sendUntilClosed has some clients send jobs one after the other until end is closed.
func (c *client) sendUntilClosed(end <-chan struct{}, clients, ms int) *sync.WaitGroup {
	var senders sync.WaitGroup
	for range clients {
		senders.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(40 * time.Millisecond):
					c.send("slot-check", ms, 5*time.Second)
				}
			}
		})
	}
	return &senders
}
