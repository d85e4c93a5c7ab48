// Package asynclog writes log lines without blocking the program on a slow reader of the log. A write to a pipe
// blocks for as long as its reader stalls, and lines are logged under locks that request handling needs.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Writer passes lines to another writer in the background. Lines that do not fit in its queue are dropped and
// counted. It is safe for concurrent use.
type Writer struct {
	target        io.Writer
	queue         chan entry
	maxBytes      int64        // of all queued lines
	queuedBytes   atomic.Int64 // with the line being written
	lagging       atomic.Bool  // target is behind, and Write does not wait for it
	closing       chan struct{}
	finished      chan struct{} // closed once all queued lines have been written
	dropped       atomic.Int64
	reportedDrops int64 // how many of the dropped lines the log has reported; used only by run
}

// entry is a queued line.
type entry struct {
	text    []byte
	written chan struct{} // closed once the line has been written
}

// maxWriteWait bounds how long Write waits for its line to be written while target keeps up. The wait ensures that the
// line is written before whatever the caller does next.
const maxWriteWait = 2 * time.Millisecond

// New returns a Writer with a queue of the given number of lines in front of target, which together have at most maxBytes.
// Nothing else may write to target until the Writer is closed.
func New(target io.Writer, lines int, maxBytes int64) *Writer {
	w := &Writer{
		target: target, queue: make(chan entry, lines), maxBytes: maxBytes,
		closing: make(chan struct{}), finished: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails. While target keeps up, it waits at most maxWriteWait for the line to be
// written.
func (w *Writer) Write(text []byte) (int, error) {
	e := entry{written: make(chan struct{})}
	if !w.enqueue(&e, text) {
		w.dropped.Add(1)
		return len(text), nil
	}
	if w.lagging.Load() {
		return len(text), nil
	}
	timer := time.NewTimer(maxWriteWait)
	defer timer.Stop()
	select {
	case <-e.written:
	case <-timer.C:
		w.lagging.Store(true)
	}
	return len(text), nil
}

// enqueue adds a copy of a line to the queue, and returns false if there is no room for it.
func (w *Writer) enqueue(e *entry, text []byte) bool {
	size := int64(len(text))
	if w.queuedBytes.Add(size) <= w.maxBytes {
		e.text = bytes.Clone(text)
		select {
		case w.queue <- *e:
			return true
		default:
		}
	}
	w.queuedBytes.Add(-size)
	return false
}

// Dropped returns the number of lines dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close waits for the queued lines to be written, for at most the given timeout. Lines written after the call may be
// dropped. It must be called only once.
func (w *Writer) Close(timeout time.Duration) {
	close(w.closing)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.finished:
	case <-timer.C:
	}
}

// run writes queued lines until Close is called, and then those that remain.
func (w *Writer) run() {
	defer close(w.finished)
	for {
		select {
		case e := <-w.queue:
			w.writeEntry(e)
		case <-w.closing:
			w.drain()
			return
		}
	}
}

// drain writes the lines that remain in the queue.
func (w *Writer) drain() {
	for {
		select {
		case e := <-w.queue:
			w.writeEntry(e)
		default:
			return
		}
	}
}

// writeEntry writes a line. Once the queue is empty, it also reports how many lines have been dropped.
func (w *Writer) writeEntry(e entry) {
	w.target.Write(e.text)
	w.queuedBytes.Add(-int64(len(e.text)))
	close(e.written)
	if len(w.queue) > 0 {
		return
	}
	w.lagging.Store(false)
	if dropped := w.dropped.Load(); dropped > w.reportedDrops {
		fmt.Fprintf(w.target, "log lines dropped since the start: %d\n", dropped)
		w.reportedDrops = dropped
	}
}
