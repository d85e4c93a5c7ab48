// Package logsink writes log lines without ever making the program wait for whoever reads them. A pipe whose reader stalls
// blocks a write for as long; lines are written while locks are held that requests need.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Sink is a writer of whole lines that hands them to another one in the background. What does not fit in its queue is dropped, and
// counted.
type Sink struct {
	lines   chan line
	behind  atomic.Bool // its reader is behind: nobody waits for it
	end     chan struct{}
	over    chan struct{}
	dropped atomic.Int64
}

// line is a line on its way.
type line struct {
	text    []byte
	written chan struct{} // closed once it has been written
}

// patience is how long a write waits for its line to be written while the reader keeps up: lines then are where they belong before
// what follows them happens.
const patience = 2 * time.Millisecond

// New returns a sink with room for so many lines in front of a writer.
func New(to io.Writer, room int) *Sink {
	s := &Sink{lines: make(chan line, room), end: make(chan struct{}), over: make(chan struct{})}
	go s.run(to)
	return s
}

// Write implements io.Writer. It never fails, and waits for a reader that keeps up, a moment at most.
func (s *Sink) Write(text []byte) (int, error) {
	l := line{bytes.Clone(text), make(chan struct{})}
	select {
	case s.lines <- l:
	default:
		s.dropped.Add(1)
		return len(text), nil
	}
	if s.behind.Load() {
		return len(text), nil
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-l.written:
	case <-timer.C:
		s.behind.Store(true)
	}
	return len(text), nil
}

// Dropped is how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close has what is queued written, and waits for that at most so long. Lines that come later may be dropped.
func (s *Sink) Close(wait time.Duration) {
	close(s.end)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.over:
	case <-timer.C:
	}
}

// run writes lines until Close, and then what is left. It says how many were dropped as soon as there is room again.
func (s *Sink) run(to io.Writer) {
	defer close(s.over)
	told := int64(0)
	write := func(l line) {
		to.Write(l.text)
		close(l.written)
		if len(s.lines) == 0 {
			s.behind.Store(false)
		}
		if dropped := s.dropped.Load(); dropped > told && len(s.lines) == 0 {
			fmt.Fprintf(to, "log lines dropped since the start: %d\n", dropped)
			told = dropped
		}
	}
	for {
		select {
		case l := <-s.lines:
			write(l)
			continue
		case <-s.end:
		}
		for {
			select {
			case l := <-s.lines:
				write(l)
			default:
				return
			}
		}
	}
}
