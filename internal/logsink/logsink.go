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
	lines   chan []byte
	end     chan struct{}
	over    chan struct{}
	dropped atomic.Int64
}

// New returns a sink with room for so many lines in front of a writer.
func New(to io.Writer, room int) *Sink {
	s := &Sink{lines: make(chan []byte, room), end: make(chan struct{}), over: make(chan struct{})}
	go s.run(to)
	return s
}

// Write implements io.Writer. It never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
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
	write := func(line []byte) {
		to.Write(line)
		if dropped := s.dropped.Load(); dropped > told && len(s.lines) == 0 {
			fmt.Fprintf(to, "log lines dropped since the start: %d\n", dropped)
			told = dropped
		}
	}
	for {
		select {
		case line := <-s.lines:
			write(line)
			continue
		case <-s.end:
		}
		for {
			select {
			case line := <-s.lines:
				write(line)
			default:
				return
			}
		}
	}
}
