package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in for a worker with some slots, which runs jobs in the order in which they come.
type worker struct {
	w     *world
	id    string
	addr  string
	slots float64

	// runTime returns how long a job runs.
	runTime  func(r *http.Request) time.Duration
	mu       sync.Mutex
	free     float64
	inflight int
	waiting  []*job
	spoil    func(k *worker, j *job) (spoilt bool) // may write what follows the line of the start; the connection then ends
	conns    map[net.Conn]bool                     // whether the connection has a job
	listener net.Listener
}

// job is an attempt at the worker.
type job struct {
	id    string
	slots float64
	conn  net.Conn
	start chan struct{} // closed when it starts
}

// newWorker starts a worker with the given number of slots.
func (w *world) newWorker(id string, slots float64, runTime func(*http.Request) time.Duration) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &worker{
		w: w, id: id, addr: ln.Addr().String(), slots: slots, free: slots, runTime: runTime, conns: map[net.Conn]bool{}, listener: ln,
	}
	go k.accept(ln)
	w.onClose(k.close)
	return k, nil
}

// entry returns the worker's entry in the list.
func (k *worker) entry(zone string, cell int, state string) entry {
	return entry{ID: k.id, Addr: k.addr, Zone: zone, Kind: "std-4", Cell: cell, State: state, Weight: 1}
}

func (k *worker) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		k.conns[conn] = true
		k.mu.Unlock()
		go k.serve(conn)
	}
}

// close ends the worker and resets its connections.
func (k *worker) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener.Close()
	for conn := range k.conns {
		conn.Close()
	}
}

// serve reads requests from a connection until it ends.
func (k *worker) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		k.mu.Lock()
		delete(k.conns, conn)
		k.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/status/load" || req.URL.Path == "/health" {
			if !k.answerCheck(conn) {
				return
			}
			continue
		}
		if !k.runJob(conn, req) {
			return
		}
	}
}

// answerCheck answers a health check with the load report.
func (k *worker) answerCheck(conn net.Conn) bool {
	k.mu.Lock()
	body := fmt.Sprintf("TEXT qps=1, inflight=%d, x0=%g, x1=%g", k.inflight, k.free, k.free)
	k.mu.Unlock()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// runJob serves one attempt and reports whether the connection is used further.
func (k *worker) runJob(conn net.Conn, req *http.Request) (keep bool) {
	j := &job{id: req.Header.Get("X-Request-Id"), slots: 1, conn: conn, start: make(chan struct{})}
	k.w.note("worker %s: attempt of %s has come, X-Deadline %s", k.id, j.id, req.Header.Get("X-Deadline"))
	k.mu.Lock()
	k.inflight++
	k.waiting = append(k.waiting, j)
	k.startWaiting()
	k.mu.Unlock()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	<-j.start
	ok := writeLine(conn, object{"id": j.id, "from": k.id, "state": "started"})
	k.mu.Lock()
	spoil := k.spoil
	k.mu.Unlock()
	if ok && spoil != nil && spoil(k, j) {
		k.mu.Lock()
		k.inflight--
		k.free += j.slots
		k.startWaiting()
		k.mu.Unlock()
		return false
	}
	span := k.runTime(req)
	begin := time.Now()
	for ok && time.Since(begin) < span {
		left := span - time.Since(begin)
		time.Sleep(min(left, time.Second))
		if share := float64(time.Since(begin)) / float64(span); share < 1 {
			ok = writeLine(conn, object{"id": j.id, "from": k.id, "state": "running", "share": share})
		}
	}
	k.mu.Lock()
	k.inflight--
	k.free += j.slots
	k.startWaiting()
	k.mu.Unlock()
	last := object{"id": j.id, "from": k.id, "state": "done", "result": "made by " + k.id + " for " + j.id}
	if !ok || !writeLine(conn, last) {
		k.w.note("worker %s: %s has been given up", k.id, j.id)
		return false
	}
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	k.w.note("worker %s: %s is done", k.id, j.id)
	return err == nil
}

// startWaiting starts the waiting jobs that fit, in order; mu is held.
func (k *worker) startWaiting() {
	for len(k.waiting) > 0 && k.free >= k.waiting[0].slots {
		j := k.waiting[0]
		k.waiting = k.waiting[1:]
		k.free -= j.slots
		close(j.start)
	}
}

// writeLine writes a line of an answer as a chunk.
func writeLine(conn net.Conn, line object) bool {
	text, _ := json.Marshal(line)
	return writeChunk(conn, append(text, '\n'))
}

func writeChunk(conn net.Conn, text []byte) bool {
	_, err := conn.Write([]byte(strconv.FormatInt(int64(len(text)), 16) + "\r\n" + string(text) + "\r\n"))
	return err == nil
}

// setSpoil sets what writes answers in place of the worker.
func (k *worker) setSpoil(spoil func(k *worker, j *job) (spoilt bool)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.spoil = spoil
}

// runFor returns a run time that is the same for all jobs.
func runFor(span time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return span }
}

// die ends the worker's process: its jobs are lost, its connections are reset, and new ones are refused.
func (k *worker) die() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener.Close()
	k.w.note("worker %s: its process dies with %d connections and %d jobs", k.id, len(k.conns), k.inflight)
	for conn := range k.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// restart starts the worker's process again at its address.
func (k *worker) restart() error {
	ln, err := net.Listen("tcp", k.addr)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.listener = ln
	k.mu.Unlock()
	k.w.note("worker %s: its process starts again", k.id)
	go k.accept(ln)
	return nil
}
