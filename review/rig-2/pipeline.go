package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// jobSpec is a job as a client sends it.
type jobSpec struct {
	id, class string
	ms        int
	patience  time.Duration
}

// text is the request.
func (s jobSpec) text() []byte {
	body := fmt.Sprintf(`{"ms":%d}`, s.ms)
	return fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %.3f\r\n"+
		"Idempotency-Key: key-%s\r\nX-Cost-Hint: %d\r\nX-Extras: slots=1,memory=1\r\nContent-Length: %d\r\n\r\n%s",
		s.class, s.id, s.patience.Seconds(), s.id, s.ms*1000, len(body), body)
}

func init() { cases["pipeline"] = pipeline }

// pipelined is a request of a client that sends several at once.
type pipelined struct {
	id   string
	sent time.Time
	end  time.Time // of its client's patience
}

// pipeline: a client keeps four commands under way on its connection. Nothing else happens.
func pipeline(b *bench) int {
	const patience = 4 * time.Second
	d := newDiscovery(b.record)
	f := b.front(d, "discovery")
	w1, w2 := b.worker("s-1", 8), b.worker("s-2", 8)
	d.set(w1.entry("in_service"))
	d.set(w2.entry("in_service"))
	s := b.setup("n1", f.addr)
	set := settings(class("slot-check", "retryable", "all", 2000, 7500, 5000))
	if err := writeConfig(s.config, s, set, d.full()); err != nil {
		return notRun
	}
	n := b.start(s)
	if n == nil || !n.awaitYes(s.control, "/-/ready", 10*time.Second) || !n.awaitYes(s.listen, "/ready", 6*time.Second) {
		return notRun
	}
	underWay := 1
	if b.trouble {
		underWay = 4
	}
	var mu sync.Mutex
	ends := map[string]time.Time{}
	late, told, answers := 0, 0, map[int]int{}
	judge := func(w *worker) {
		w.behave = func(_ http.ResponseWriter, r *http.Request, j *job) bool {
			seconds, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
			mu.Lock()
			defer mu.Unlock()
			left := time.Until(ends[j.id]).Seconds()
			if seconds > left+0.15 {
				told++
				b.record.printf("worker %s: %s is told %.3f s, its client has %.3f s left", w.id, j.id, seconds, left)
			}
			return false
		}
	}
	judge(w1)
	judge(w2)
	stop := time.Now().Add(30 * time.Second)
	var clients sync.WaitGroup
	for i := range 3 {
		clients.Go(func() {
			serial := 0
			for time.Now().Before(stop) {
				conn, err := net.Dial("tcp", s.listen)
				if err != nil {
					return
				}
				var queue []pipelined
				send := func() bool {
					serial++
					spec := jobSpec{fmt.Sprintf("p%d%05x", i, serial), "slot-check", 30, patience}
					p := pipelined{spec.id, time.Now(), time.Now().Add(patience)}
					mu.Lock()
					ends[p.id] = p.end
					mu.Unlock()
					queue = append(queue, p)
					_, err := conn.Write(spec.text())
					return err == nil
				}
				for range underWay {
					send()
				}
				reader := bufio.NewReader(conn)
				for len(queue) > 0 {
					first := queue[0]
					conn.SetReadDeadline(first.end.Add(3 * time.Second))
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						// A close crosses what the node has not read: not judged.
						if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
							late++
							b.record.printf("client: no answer to %s 3 s after its time", first.id)
						} else {
							b.record.printf("client: connection ended: %v", err)
						}
						break
					}
					text, _ := io.ReadAll(resp.Body)
					queue = queue[1:]
					over := time.Since(first.end)
					mu.Lock()
					answers[resp.StatusCode]++
					if over > 550*time.Millisecond {
						late++
					}
					mu.Unlock()
					b.record.printf("client: answer to %s after %.3f s, %.3f s beyond its time: %d %q", first.id,
						time.Since(first.sent).Seconds(), over.Seconds(), resp.StatusCode, strings.TrimSpace(string(text)))
					if time.Now().Before(stop) && !resp.Close && !send() {
						break
					}
				}
				conn.Close()
			}
		})
	}
	clients.Wait()
	b.record.printf("answers by status: %v; %d later than half a second after their time, %d attempts told more than their client had left", answers, late, told)
	if late > 0 || told > 0 {
		return broken
	}
	return held
}
