package chaos

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	maxEvents     = 4000 // entries of the event log kept in memory; the file has all
	evictedEvents = 1000 // entries dropped from memory at once when it is full
	maxFailures   = 50   // failures that a run records
)

// Event is one entry of the event log. Seq numbers them in the order in which the harness saw them.
type Event struct {
	Seq               int64   `json:"seq"`
	Ms                float64 `json:"ms"` // since the harness started; for readers and plots, never for judging safety
	Kind              string  `json:"kind"`
	Actor             string  `json:"who,omitempty"`  // the process, worker or fault
	StartNumber       int     `json:"life,omitempty"` // number of the process's start at its node
	Subject           string  `json:"of,omitempty"`
	MemberIncarnation uint64  `json:"inc,omitempty"` // in membership events: the member's incarnation
	Text              string  `json:"text,omitempty"`
}

// event appends an entry to the event log.
func (f *Cluster) event(e Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	e.Seq, e.Ms = f.seq, float64(time.Since(f.start).Microseconds())/1000
	if len(f.events) >= maxEvents {
		f.events = slices.Delete(f.events, 0, evictedEvents)
	}
	f.events = append(f.events, e)
	if text, err := json.Marshal(e); err == nil && f.log != nil {
		f.log.Write(append(text, '\n'))
	}
}

// errorf records a failure of the run. The run continues, so that it reports all failures (at most maxFailures).
func (f *Cluster) errorf(kind, format string, a ...any) {
	text := kind + ": " + fmt.Sprintf(format, a...)
	f.event(Event{Kind: "FAILED", Text: text})
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failures) < maxFailures {
		f.failures = append(f.failures, text)
	}
}

// timeline returns the last n entries of the event log, followed by the last lines of each process's log.
func (f *Cluster) timeline(n int) string {
	var b strings.Builder
	f.mu.Lock()
	for _, e := range f.events[max(0, len(f.events)-n):] {
		fmt.Fprintf(&b, "%8.0f ms  %-8s %s %s %s\n", e.Ms, e.Kind, e.Actor, e.Subject, e.Text)
	}
	f.mu.Unlock()
	for _, n := range f.nodes {
		if n.process != nil {
			fmt.Fprintf(&b, "--- the end of %s\n%s", n.process.LogFile(), n.process.logTail(8))
		}
	}
	return b.String()
}

// logState is what a process's log has reported so far.
type logState struct {
	incarnation map[string]uint64 // by member
	lastEvent   map[string]string // last membership event, by member
	instance    map[string]uint64
	unavailable map[string]string // state of the workers that its endpoint list reports as draining or gone
}
