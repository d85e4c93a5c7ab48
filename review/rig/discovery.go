package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// firstVersion is the version of the list at the start of a case.
const firstVersion = 41

// heartbeat is how often a watch holds an empty line while nothing changes.
const heartbeat = 2 * time.Second

// entry is one worker in the list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// discovery is a stand-in for the platform's list of workers.
type discovery struct {
	w     *world
	addr  string
	calls chan time.Time // takes the time of each call, if there is room

	mu      sync.Mutex
	version int
	entries []entry
	changes []entry       // the k-th change made version firstVersion + 1 + k
	changed chan struct{} // closed at the next change
}

// newDiscovery starts a stand-in with the given workers.
func (w *world) newDiscovery(entries []entry) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		w: w, addr: ln.Addr().String(), calls: make(chan time.Time, 1), version: firstVersion, entries: entries,
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serve)
	server := &http.Server{Handler: mux}
	go server.Serve(ln)
	w.onClose(func() { server.Close() })
	return d, nil
}

// list returns the whole list as an object.
func (d *discovery) list() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return object{"version": d.version, "full": true, "servers": slices.Clone(d.entries)}
}

// entriesNow returns the present entries.
func (d *discovery) entriesNow() []entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.entries)
}

// change replaces the entry of a worker.
func (d *discovery) change(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.entries = append(slices.DeleteFunc(slices.Clone(d.entries), func(old entry) bool { return old.ID == e.ID }), e)
	d.changes = append(d.changes, e)
	close(d.changed)
	d.changed = make(chan struct{})
}

// since returns the changes after a version as an object, what closes at the next one, and the present version.
func (d *discovery) since(version int) (message object, changed <-chan struct{}, now int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version < firstVersion || version > d.version {
		return object{"version": d.version, "full": true, "servers": slices.Clone(d.entries)}, d.changed, d.version
	}
	latest := map[string]entry{}
	for _, e := range d.changes[version-firstVersion:] {
		latest[e.ID] = e
	}
	servers := slices.AppendSeq([]entry{}, maps.Values(latest))
	return object{"version": d.version, "full": false, "servers": servers}, d.changed, d.version
}

// serve answers a call for the list, or a watch.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	select {
	case d.calls <- time.Now():
	default:
	}
	if r.URL.Query().Get("follow") == "" {
		json.NewEncoder(w).Encode(d.list())
		return
	}
	version, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err != nil {
		version = 0
	}
	message, changed, version := d.since(version)
	encoder, controller := json.NewEncoder(w), http.NewResponseController(w)
	for encoder.Encode(message) == nil && controller.Flush() == nil {
		d.w.note("discovery: version %d to %s", version, r.RemoteAddr)
		for quiet := true; quiet; {
			select {
			case <-changed:
				quiet = false
			case <-time.After(heartbeat):
				fmt.Fprint(w, "\n")
				controller.Flush()
			case <-r.Context().Done():
				return
			}
		}
		message, changed, version = d.since(version)
	}
}
