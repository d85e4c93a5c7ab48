package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["pipeline"] = pipeline }

const (
	pipelinePatience = 4 * time.Second        // of the clients
	answerAllowance  = 550 * time.Millisecond // later answers are lost: half a second, and 50 ms as on sockets
	toldAllowance    = 150 * time.Millisecond // by so much a worker may be told more than the client has left
)

// pipelineJudge counts the breaks of the rules.
type pipelineJudge struct {
	record *record

	mu         sync.Mutex
	ends       map[string]time.Time // of the clients' patience
	late, told int
	answers    map[int]int
}

// pipeline: clients keep four commands under way on their connections. Nothing else happens.
func pipeline(b *bench) int {
	d := b.deploy(2, 8, 2000, 7500)
	b.startNode(d)
	judge := &pipelineJudge{record: b.record, ends: map[string]time.Time{}, answers: map[int]int{}}
	for _, w := range d.workers {
		w.behave = func(_ http.ResponseWriter, r *http.Request, j *job) bool {
			judge.attempt(w.id, j.id, r.Header.Get("X-Deadline"))
			return false
		}
	}
	underWay := 1
	if b.trouble {
		underWay = 4
	}
	stop := time.Now().Add(30 * time.Second)
	var clients sync.WaitGroup
	for i := range 3 {
		clients.Go(func() {
			p := &pipeliner{judge: judge, name: fmt.Sprint("p", i), node: d.setup.listen}
			for time.Now().Before(stop) && p.connect(underWay, stop) {
			}
		})
	}
	clients.Wait()
	b.record.printf("answers by status: %v; %d later than half a second after their time, %d attempts told more than their client had left",
		judge.answers, judge.late, judge.told)
	return verdictOf(judge.late + judge.told)
}

// attempt judges what a worker is told.
func (p *pipelineJudge) attempt(worker, id, deadline string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end, ok := p.ends[id]
	if !ok {
		return
	}
	seconds, _ := strconv.ParseFloat(deadline, 64)
	if left := time.Until(end).Seconds(); seconds > left+toldAllowance.Seconds() {
		p.told++
		p.record.printf("worker %s: %s is told %.3f s, its client has %.3f s left", worker, id, seconds, left)
	}
}

// answer judges an answer.
func (p *pipelineJudge) answer(r pipelined, status int, text string) {
	over := time.Since(r.end)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[status]++
	if over > answerAllowance {
		p.late++
	}
	p.record.printf("client: answer to %s after %.3f s, %.3f s beyond its time: %d %q",
		r.id, time.Since(r.sent).Seconds(), over.Seconds(), status, strings.TrimSpace(text))
}

// noAnswer judges the end of a connection. A close may have crossed the request and is not judged.
func (p *pipelineJudge) noAnswer(r pipelined, err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		p.record.printf("client: connection ended: %v", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late++
	p.record.printf("client: no answer to %s 3 s after its time", r.id)
}

// pipelined is a request of a client that sends several at once.
type pipelined struct {
	id   string
	sent time.Time
	end  time.Time // of its client's patience
}

// pipeliner is a client that sends several requests at once.
type pipeliner struct {
	judge  *pipelineJudge
	name   string
	node   string
	serial int

	conn  net.Conn
	queue []pipelined
}

// connect opens a connection and keeps so many requests under way on it until the given time. It returns false if it cannot connect.
func (p *pipeliner) connect(underWay int, stop time.Time) bool {
	conn, err := net.Dial("tcp", p.node)
	if err != nil {
		return false
	}
	defer conn.Close()
	p.conn, p.queue = conn, nil
	for range underWay {
		p.send()
	}
	reader := bufio.NewReader(conn)
	for len(p.queue) > 0 {
		first := p.queue[0]
		conn.SetReadDeadline(first.end.Add(3 * time.Second))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			p.judge.noAnswer(first, err)
			return true
		}
		text, _ := io.ReadAll(resp.Body)
		p.queue = p.queue[1:]
		p.judge.answer(first, resp.StatusCode, string(text))
		if time.Now().Before(stop) && !resp.Close {
			p.send()
		}
	}
	return true
}

// send sends a request.
func (p *pipeliner) send() {
	p.serial++
	spec := jobSpec{fmt.Sprintf("%s%06x", p.name, p.serial), "slot-check", 30, pipelinePatience}
	now := time.Now()
	r := pipelined{spec.id, now, now.Add(spec.patience)}
	p.judge.mu.Lock()
	p.judge.ends[r.id] = r.end
	p.judge.mu.Unlock()
	p.queue = append(p.queue, r)
	p.conn.Write(spec.text())
}
