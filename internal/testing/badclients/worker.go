package badclients

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// workerSlots is how many jobs a worker that has capacity reports to have room for.
const workerSlots = 64

// Attempt is the arrival of a request at a worker.
type Attempt struct {
	ID string
	At time.Time // when the worker had read the request
}

// worker is a fake worker. Its methods are safe for concurrent use.
type worker struct {
	id      string
	server  *http.Server
	address string
	full    atomic.Bool  // it reports no capacity, and returns jobs unstarted
	runTime atomic.Int64 // of a job, in ns

	mu       sync.Mutex
	attempts []Attempt
}

// newWorker starts a worker that has capacity.
func newWorker(id string, runTime time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, address: listener.Addr().String()}
	w.runTime.Store(int64(runTime))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status/load", func(rw http.ResponseWriter, _ *http.Request) { io.WriteString(rw, w.report()) })
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /", w.serveJob)
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(listener)
	return w, nil
}

// report returns the worker's load report.
func (w *worker) report() string {
	slots := workerSlots
	if w.full.Load() {
		slots = 0
	}
	return fmt.Sprintf("TEXT x0=%d.0, x1=%d.0", slots, slots)
}

// jobEvent is a line of a worker's answer.
type jobEvent struct {
	ID     string `json:"id"`
	From   string `json:"from"`
	State  string `json:"state"`
	Result string `json:"result,omitempty"`
}

// serveJob runs a job, or returns it unstarted if the worker is full.
func (w *worker) serveJob(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.mu.Lock()
	w.attempts = append(w.attempts, Attempt{id, time.Now()})
	w.mu.Unlock()
	if w.full.Load() {
		rw.Header().Set("X-Not-Run", "1")
		rw.Header().Set("X-Load", w.report())
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	lines := json.NewEncoder(rw)
	lines.Encode(jobEvent{ID: id, From: w.id, State: "started"})
	http.NewResponseController(rw).Flush()
	select {
	case <-time.After(time.Duration(w.runTime.Load())):
	case <-r.Context().Done():
		return
	}
	lines.Encode(jobEvent{ID: id, From: w.id, State: "done", Result: resultPrefix + id})
}

// resultPrefix begins the result of each job; the request's ID follows.
const resultPrefix = "result of "
