// Command toy is a worker and a discovery service for trying out swiftdeal on one machine. The worker accepts any job, reports that it
// has started, waits, and answers with a line of text. It runs two jobs at once. It is not meant for load tests: it measures nothing.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// slots is how many jobs run at once.
	slots = 2
	// watchInterval is the time between the empty lines that a watch of the endpoint list gets.
	watchInterval = 2 * time.Second
)

func main() {
	worker := flag.String("worker", "127.0.0.1:9001", "address of the worker")
	discovery := flag.String("discovery", "127.0.0.1:8500", "address of discovery")
	takes := flag.Duration("takes", 500*time.Millisecond, "how long a job takes")
	flag.Parse()
	log.SetFlags(0)
	go func() { log.Fatal(http.ListenAndServe(*discovery, serveEndpoints(*worker))) }()
	log.Fatal(http.ListenAndServe(*worker, serveJobs(*takes)))
}

// serveEndpoints serves an endpoint list of one worker. A watch of it gets an empty line at each watchInterval, since the list never
// changes.
func serveEndpoints(worker string) http.HandlerFunc {
	text := fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"toy-1","addr":%q,"zone":"here","kind":"toy","cell":0,`+
		`"state":"in_service","weight":1.0,"started_ms":0}]}`, worker)
	return func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, text)
		if r.URL.Query().Get("follow") != "1" {
			return
		}
		tick := time.NewTicker(watchInterval)
		defer tick.Stop()
		for http.NewResponseController(w).Flush() == nil {
			select {
			case <-tick.C:
				fmt.Fprintln(w)
			case <-r.Context().Done():
				return
			}
		}
	}
}

// serveJobs serves jobs, and load reports as the answers to probes.
func serveJobs(duration time.Duration) http.HandlerFunc {
	var busy, served atomic.Int64
	start := time.Now()
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet { // a probe
			tps := float64(served.Load()+1) / time.Since(start).Seconds() // differs in each report, so that none looks like a repeat
			free := slots - busy.Load()
			fmt.Fprintf(w, "TEXT tps=%.6f, concurrent=%d, x0=%d, x1=%d", tps, slots-free, free, free)
			return
		}
		if busy.Add(1) > slots {
			busy.Add(-1)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer busy.Add(-1)
		out, id := json.NewEncoder(w), r.Header.Get("X-Request-Id")
		out.Encode(map[string]any{"id": id, "from": "toy-1", "state": "started"})
		http.NewResponseController(w).Flush()
		select {
		case <-time.After(duration):
			served.Add(1)
			log.Printf("done: %s %s", id, r.RequestURI)
			out.Encode(
				map[string]any{"id": id, "from": "toy-1", "state": "done", "result": "done: " + r.RequestURI + "\n"},
			)
		case <-r.Context().Done(): // the node has cancelled the attempt
			log.Printf("given up: %s", id)
		}
	}
}
