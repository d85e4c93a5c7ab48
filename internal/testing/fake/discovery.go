package fake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Entry is one worker in discovery's list, as it is sent on the wire.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"` // in_service, terminating or terminated
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// Discovery is a fake of the service that lists the workers. One list may be served at several addresses: each is a Front.
type Discovery struct {
	Clock    Clock
	Delay    time.Duration // from a change to its publication
	History  int           // number of changes kept; a watch from an older version gets the whole list. 0: all are kept
	OnChange func()        // called after each change of the list, if not nil
	CallTime time.Duration // service time of a call; calls are served one after the other. 0: all are served at once
	MaxWait  time.Duration // with CallTime: a call that would wait longer ends with 503, and uses its service time nevertheless

	version int
	current []Entry
	changes []change
	fronts  []*Front
	freeAt  time.Time // when all queued calls will have been served
}

// queueCall queues a call. It returns the time until its answer, and false if the wait exceeds MaxWait.
func (d *Discovery) queueCall() (wait time.Duration, ok bool) {
	now := d.Clock.Now()
	if d.freeAt.Before(now) {
		d.freeAt = now
	}
	wait = d.freeAt.Sub(now)
	d.freeAt = d.freeAt.Add(d.CallTime)
	if d.CallTime > 0 && wait > d.MaxWait {
		return d.MaxWait, false
	}
	return wait + d.CallTime, true
}

// change is one change of the list.
type change struct {
	version int
	entry   Entry
}

// List returns the current list and its version.
func (d *Discovery) List() (version int, list []Entry) { return d.version, slices.Clone(d.current) }

// ListMessage encodes a message of discovery.
func ListMessage(version int, full bool, list []Entry) []byte {
	if list == nil {
		list = []Entry{}
	}
	text, err := json.Marshal(map[string]any{"version": version, "full": full, "servers": list})
	if err != nil {
		panic(err) // cannot happen: all fields of an entry can be encoded
	}
	return text
}

// Set adds, changes or removes one entry of the list. The change is published after Delay.
func (d *Discovery) Set(e Entry) {
	d.Clock.After(d.Delay, func() {
		d.version++
		d.changes = append(d.changes, change{d.version, e})
		if n := len(d.changes) - d.History; d.History > 0 && n > 0 {
			d.changes = d.changes[n:]
		}
		i := slices.IndexFunc(d.current, func(o Entry) bool { return o.ID == e.ID })
		switch {
		case e.State == "terminated" && i >= 0:
			d.current = slices.Delete(slices.Clone(d.current), i, i+1)
		case e.State == "terminated":
		case i >= 0:
			d.current = slices.Clone(d.current)
			d.current[i] = e
		default:
			d.current = append(slices.Clone(d.current), e)
		}
		for _, f := range d.fronts {
			f.notify()
		}
		if d.OnChange != nil {
			d.OnChange()
		}
	})
}

// Front is one address at which discovery is served.
type Front struct {
	Delay      time.Duration      // delay of each answer
	AddressFor func(Entry) string // the address given for an entry at this front; nil: the entry's own

	discovery *Discovery
	down      bool
	stale     int     // the version that is served whatever changes; 0: the current one
	list      []Entry // served while stale is not 0
	watches   []*watch
}

// listMessage encodes a message as this front serves it.
func (f *Front) listMessage(version int, full bool, list []Entry) []byte {
	if f.AddressFor != nil {
		list = slices.Clone(list)
		for i := range list {
			list[i].Addr = f.AddressFor(list[i])
		}
	}
	return ListMessage(version, full, list)
}

// Front adds an address of the service.
func (d *Discovery) Front() *Front {
	f := &Front{discovery: d}
	d.fronts = append(d.fronts, f)
	return f
}

// SetDown stops the service at this address, so that watches are reset and connections refused, or restores it.
func (f *Front) SetDown(down bool) {
	f.down = down
	if down {
		for _, w := range f.watches {
			w.conn.Reset()
		}
		f.watches = nil
	}
}

// SetStale makes this address serve the present list whatever changes later, or the current list again.
func (f *Front) SetStale(stale bool) {
	if stale {
		f.stale, f.list = f.discovery.version, f.discovery.current
	} else {
		f.stale, f.list = 0, nil
		f.notify()
	}
}

// SetEmpty makes this address serve an empty list, or the current list again, and sends that list to its watches.
func (f *Front) SetEmpty(empty bool) {
	f.stale, f.list = 0, f.discovery.current
	if empty {
		f.stale, f.list = f.discovery.version, nil
	}
	for _, w := range f.watches {
		w.version = f.discovery.version
		w.writeLine(w.front.listMessage(f.discovery.version, true, f.list), &Mark{Full: true, List: f.list})
	}
}

// Notifying reports whether this address serves the current list.
func (f *Front) Notifying() bool { return !f.down && f.stale == 0 }

// SilenceWatches makes every open watch send nothing any more, without closing it.
func (f *Front) SilenceWatches() {
	for _, w := range f.watches {
		w.silent = true
	}
	f.watches = nil
}

// notify sends changes to the watches.
func (f *Front) notify() {
	if f.stale > 0 {
		return
	}
	for _, w := range f.watches {
		w.notify()
	}
}

// watch is one connection to discovery. It receives changes once it has asked to follow the list.
type watch struct {
	front   *Front
	conn    Conn
	inbox   []byte
	version int // of the last message sent
	silent  bool
	closed  bool
}

// Open accepts a new connection; nil means that it is refused.
func (f *Front) Open(c Conn) Handler {
	if f.down {
		return nil
	}
	return &watch{front: f, conn: c}
}

// Data implements Handler.
func (w *watch) Data(b []byte) {
	w.inbox = append(w.inbox, b...)
	m, rest, ok := cutMessage(w.inbox)
	if !ok {
		return
	}
	w.inbox = append([]byte(nil), rest...)
	_, target, _ := requestLine(m.head)
	wait, ok := w.front.discovery.queueCall()
	w.front.discovery.Clock.After(w.front.Delay+wait, func() {
		if w.closed || w.front.down {
			w.conn.Reset()
			return
		}
		if !ok {
			w.conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), nil)
			return
		}
		w.answer(target)
	})
}

// answer serves a call.
func (w *watch) answer(target string) {
	f := w.front
	version, list := f.discovery.version, f.discovery.current
	if f.stale > 0 {
		version, list = f.stale, f.list
	}
	path, query, _ := strings.Cut(target, "?")
	if path != "/v1/endpoints" {
		w.conn.Write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"), nil)
		return
	}
	if !strings.Contains(query, "follow=1") {
		text := f.listMessage(version, true, list)
		w.conn.Write(
			fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text),
			&Mark{Full: true, List: list},
		)
		return
	}
	w.conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), nil)
	_, since, _ := strings.Cut(query, "since=")
	from, err := strconv.Atoi(since)
	if err != nil || from <= 0 || from > version || len(f.discovery.changes) > 0 && from < f.discovery.changes[0].version-1 {
		w.version = version
		w.writeLine(w.front.listMessage(version, true, list), &Mark{Full: true, List: list})
	} else if w.version = from; f.stale == 0 {
		w.notify()
	}
	f.watches = append(f.watches, w)
	w.heartbeat()
}

// heartbeatInterval is the interval of the empty lines that keep a watch alive.
const heartbeatInterval = 2 * time.Second

// heartbeat sends an empty line every heartbeatInterval.
func (w *watch) heartbeat() {
	w.front.discovery.Clock.After(heartbeatInterval, func() {
		if !w.closed && !w.silent && !w.front.down {
			w.writeLine(nil, nil)
			w.heartbeat()
		}
	})
}

// notify sends the changes since the last message.
func (w *watch) notify() {
	var list []Entry
	for _, c := range w.front.discovery.changes {
		if c.version > w.version {
			list = append(list, c.entry)
		}
	}
	if len(list) == 0 {
		return
	}
	if c := w.front.discovery.changes; c[0].version > w.version+1 { // some of the changes are no longer kept
		w.version = w.front.discovery.version
		w.writeLine(w.front.listMessage(w.version, true, w.front.discovery.current), &Mark{Full: true, List: w.front.discovery.current})
		return
	}
	w.version = w.front.discovery.version
	w.writeLine(w.front.listMessage(w.version, false, latestPerWorker(list)), &Mark{List: latestPerWorker(list)})
}

// latestPerWorker returns the last entry of each worker.
func latestPerWorker(list []Entry) (last []Entry) {
	for i, e := range list {
		if !slices.ContainsFunc(list[i+1:], func(o Entry) bool { return o.ID == e.ID }) {
			last = append(last, e)
		}
	}
	return last
}

// writeLine sends one line as a chunk.
func (w *watch) writeLine(text []byte, m *Mark) {
	var b bytes.Buffer
	chunk(&b, append(text, '\n'))
	w.conn.Write(b.Bytes(), m)
}

// Closed implements Handler.
func (w *watch) Closed(bool) {
	w.closed = true
	w.front.watches = slices.DeleteFunc(w.front.watches, func(o *watch) bool { return o == w })
}
