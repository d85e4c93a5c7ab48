package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one worker in discovery's list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

type message struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in of the service that lists the workers, as the protocol page describes it. One list may be served at several
// addresses.
type discovery struct {
	record *record

	mu      sync.Mutex
	version int
	list    []entry
	changes []message
	changed chan struct{} // closed at the next change
}

func newDiscovery(r *record) *discovery {
	return &discovery{record: r, version: 1, changed: make(chan struct{})}
}

// set adds or changes an entry, or removes it if it is terminated.
func (d *discovery) set(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	kept := []entry{}
	for _, old := range d.list {
		if old.ID != e.ID {
			kept = append(kept, old)
		}
	}
	if e.State != "terminated" {
		kept = append(kept, e)
	}
	d.list = kept
	d.changes = append(d.changes, message{d.version, false, []entry{e}})
	close(d.changed)
	d.changed = make(chan struct{})
	d.record.printf("discovery: %s is %s from version %d on", e.ID, e.State, d.version)
}

func (d *discovery) full() message {
	d.mu.Lock()
	defer d.mu.Unlock()
	return message{d.version, true, append([]entry{}, d.list...)}
}

// since returns the changes after a version, and the channel that the next change closes.
func (d *discovery) since(version int) (later []message, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range d.changes {
		if change.Version > version {
			later = append(later, change)
		}
	}
	return later, d.changed
}

// front is one address at which discovery is served.
type front struct {
	discovery *discovery
	name      string
	addr      string
	listener  net.Listener
	server    *http.Server

	connMu sync.Mutex
	open   map[net.Conn]bool

	mu   sync.Mutex
	told map[int]time.Time // when the change with a version was first written here
	busy bool              // calls that come now wait too long
}

// callTimeout is how long a call waits for its turn at most.
const callTimeout = time.Second

// setBusy has calls that come from now on wait too long, or not; open watches go on.
func (f *front) setBusy(busy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy = busy
	f.discovery.record.printf("discovery at %s: crowded: %v", f.name, busy)
}

func (f *front) isBusy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.busy
}

func (d *discovery) serveAt(name string) (*front, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &front{discovery: d, name: name, addr: listener.Addr().String(), listener: listener, told: map[int]time.Time{}}
	f.open = map[net.Conn]bool{}
	f.server = &http.Server{Handler: f, ConnState: func(c net.Conn, state http.ConnState) {
		f.connMu.Lock()
		defer f.connMu.Unlock()
		if state == http.StateClosed {
			delete(f.open, c)
		} else {
			f.open[c] = true
		}
	}}
	go f.server.Serve(listener)
	return f, nil
}

// stopAccepting refuses new connections; open ones stay.
func (f *front) stopAccepting() { f.listener.Close() }

// close closes all connections too.
func (f *front) close() { f.server.Close() }

// toldAt returns when the change of a version was written to somebody at this address; zero if it was not.
func (f *front) toldAt(version int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told[version]
}

func (f *front) markTold(version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.told[version].IsZero() {
		f.told[version] = time.Now()
	}
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := f.discovery
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	d.record.printf("discovery at %s: call %s from %s", f.name, r.URL.RequestURI(), r.RemoteAddr)
	if f.isBusy() {
		time.Sleep(callTimeout)
		w.WriteHeader(http.StatusServiceUnavailable)
		d.record.printf("discovery at %s: 503 to %s", f.name, r.RemoteAddr)
		return
	}
	if r.URL.Query().Get("follow") != "1" {
		json.NewEncoder(w).Encode(d.full())
		return
	}
	version, err := strconv.Atoi(r.URL.Query().Get("since"))
	flusher := w.(http.Flusher)
	send := func(m message) {
		text, _ := json.Marshal(m)
		f.markTold(m.Version)
		fmt.Fprintf(w, "%s\n", text)
		flusher.Flush()
		d.record.printf("discovery at %s: version %d written to %s", f.name, m.Version, r.RemoteAddr)
	}
	if whole := d.full(); err != nil || version <= 1 || version > whole.Version {
		send(whole)
		version = whole.Version
	}
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		later, changed := d.since(version)
		for _, m := range later {
			send(m)
			version = m.Version
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-ticker.C:
			fmt.Fprint(w, "\n")
			flusher.Flush()
		}
	}
}

// resetAll closes all open connections.
func (f *front) resetAll() {
	f.connMu.Lock()
	defer f.connMu.Unlock()
	for c := range f.open {
		c.Close()
	}
}
