package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in of a worker, as the protocol page describes it. A job runs for the milliseconds that its body names.
type worker struct {
	record   *record
	id       string
	addr     string
	slots    int
	progress time.Duration
	listener net.Listener
	server   *http.Server

	connMu sync.Mutex
	open   map[net.Conn]bool

	mu       sync.Mutex
	draining bool
	inFlight int
	jobs     []job
	running  chan struct{}
	behave   func(w http.ResponseWriter, r *http.Request, j *job) bool // replaces the usual answer if it returns true
}

// job is one request that has reached a worker whole.
type job struct {
	worker  string
	id, key string
	class   string
	body    string
	at      time.Time
	began   time.Time // zero: it was not started
	ended   string    // how
}

func startWorker(r *record, id string, slots int) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{record: r, id: id, addr: listener.Addr().String(), slots: slots, progress: time.Second, listener: listener}
	w.running = make(chan struct{}, slots)
	w.open = map[net.Conn]bool{}
	w.server = &http.Server{Handler: w, ConnState: func(c net.Conn, state http.ConnState) {
		w.connMu.Lock()
		defer w.connMu.Unlock()
		if state == http.StateClosed {
			delete(w.open, c)
		} else {
			w.open[c] = true
		}
	}}
	go w.server.Serve(listener)
	return w, nil
}

func (w *worker) entry(state string) entry {
	return entry{ID: w.id, Addr: w.addr, Zone: "a", Kind: "std", Cell: 1, State: state, Weight: 1}
}

func (w *worker) close() { w.server.Close() }

// all returns the jobs that have come so far.
func (w *worker) all() []job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]job{}, w.jobs...)
}

func (w *worker) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		w.answerProbe(rw, r)
		return
	}
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	j := job{worker: w.id, id: id, key: r.Header.Get("Idempotency-Key"), class: r.URL.Path[1:], body: string(body), at: time.Now()}
	w.mu.Lock()
	number := len(w.jobs)
	w.jobs = append(w.jobs, j)
	w.inFlight++
	draining := w.draining
	w.mu.Unlock()
	w.record.printf("worker %s: job %s comes (deadline %s)", w.id, id, r.Header.Get("X-Deadline"))
	end := func(how string) {
		w.mu.Lock()
		w.jobs[number].ended = how
		w.inFlight--
		w.mu.Unlock()
		w.record.printf("worker %s: job %s: %s", w.id, id, how)
	}
	if w.behave != nil && w.behave(rw, r, &j) {
		end("answered as the case wants")
		return
	}
	if draining {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		end("turned away, it drains")
		return
	}
	end(w.run(rw, r, number))
}

// run runs a job, tells of its start and progress, and returns how it ended.
func (w *worker) run(rw http.ResponseWriter, r *http.Request, number int) (how string) {
	flusher := rw.(http.Flusher)
	rw.WriteHeader(http.StatusOK)
	flusher.Flush()
	line := func(format string, args ...any) {
		fmt.Fprintf(rw, format+"\n", args...)
		flusher.Flush()
	}
	select {
	case w.running <- struct{}{}:
		defer func() { <-w.running }()
	case <-r.Context().Done():
		return "called off before it started"
	}
	w.mu.Lock()
	w.jobs[number].began = time.Now()
	j := w.jobs[number]
	w.mu.Unlock()
	w.record.printf("worker %s: job %s starts", w.id, j.id)
	line(`{"id":%q,"from":%q,"state":"started"}`, j.id, w.id)
	var spec struct {
		Ms float64 `json:"ms"`
	}
	json.Unmarshal([]byte(j.body), &spec)
	total := time.Duration(spec.Ms * float64(time.Millisecond))
	done := time.NewTimer(total)
	defer done.Stop()
	ticker := time.NewTicker(w.progress)
	defer ticker.Stop()
	for {
		select {
		case <-done.C:
			line(`{"id":%q,"from":%q,"state":"done","result":%q}`, j.id, w.id, "result of "+j.id+" by "+w.id)
			return "done"
		case <-ticker.C:
			share := min(1, time.Since(j.began).Seconds()/total.Seconds())
			line(`{"id":%q,"from":%q,"state":"running","share":%.3f}`, j.id, w.id, share)
		case <-r.Context().Done():
			return "called off while it ran"
		}
	}
}

func (w *worker) answerProbe(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	free, inFlight := w.slots-len(w.running), w.inFlight
	w.mu.Unlock()
	text := ""
	if r.URL.Path == "/status/load" {
		text = "TEXT qps=0." + strconv.Itoa(int(time.Now().UnixMilli()/500%1000)) +
			fmt.Sprintf(", inflight=%d, x0=%d, x1=%d", inFlight, free, free)
	} else if r.URL.Path != "/health" {
		http.NotFound(rw, r)
		return
	}
	io.WriteString(rw, text)
}

// entryIn is entry in another cell.
func (w *worker) entryIn(state string, cell int) entry {
	e := w.entry(state)
	e.Cell = cell
	return e
}

// resetConns resets all connections.
func (w *worker) resetConns() {
	w.connMu.Lock()
	defer w.connMu.Unlock()
	for c := range w.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}
