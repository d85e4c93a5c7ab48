package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
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

// discovery is a stand-in for the platform's list of workers, which does not change in these cases.
type discovery struct {
	w       *world
	addr    string
	entries []entry
}

// newDiscovery starts a stand-in with the given workers.
func (w *world) newDiscovery(entries []entry) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{w: w, addr: ln.Addr().String(), entries: entries}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serve)
	server := &http.Server{Handler: mux}
	go server.Serve(ln)
	w.onClose(func() { server.Close() })
	return d, nil
}

// list returns the whole list as an object.
func (d *discovery) list() object {
	return object{"version": firstVersion, "full": true, "servers": d.entries}
}

// serve answers a call for the list, or a watch.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("follow") == "" {
		json.NewEncoder(w).Encode(d.list())
		return
	}
	message := d.list()
	if since, err := strconv.Atoi(r.URL.Query().Get("since")); err == nil && since == firstVersion {
		message = object{"version": firstVersion, "full": false, "servers": []entry{}}
	}
	text, err := json.Marshal(message)
	if err != nil {
		return
	}
	d.w.note("discovery: version %d to %s", firstVersion, r.RemoteAddr)
	fmt.Fprintf(w, "%s\n", text)
	controller := http.NewResponseController(w)
	for controller.Flush() == nil {
		select {
		case <-time.After(heartbeat):
			fmt.Fprint(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}
