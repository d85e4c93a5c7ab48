// Package book keeps the books: how requests ended, and how long that took. It writes them to the log
// sparingly.
package book

import (
	"log/slog"
	"sync"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/request"
)

// Stage keeps the books.
type Stage struct {
	limits config.Limits
	log    *slog.Logger

	mu    sync.Mutex
	count [request.Verdicts]int
	lost  int           // answers that the client did not take
	took  time.Duration // by all requests that were served
	noted int           // requests told in the log so far
	timer *time.Timer   // nil once the books are closed
}

// New returns the stage.
func New(l config.Limits, log *slog.Logger) *Stage {
	s := &Stage{limits: l, log: log}
	s.timer = time.AfterFunc(l.BookEvery, s.tell)
	return s
}

// Close books a request that is over; taken says whether the client took its answer.
func (s *Stage) Close(c *request.Context, taken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := c.Answer().Verdict
	s.count[v]++
	if !taken && v != request.Gone {
		s.lost++
	}
	took := time.Since(c.Arrived)
	if v == request.Served {
		s.took += took
	}
	s.log.Debug("request", "id", c.ID, "class", c.ClassName, "verdict", v, "reason", c.Answer().Reason,
		"took_ms", took.Milliseconds(), "hint_ms", c.Work.Milliseconds(), "slots", c.Slots, "memory", c.Memory)
}

func (s *Stage) tell() {
	s.Tell()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Reset(s.limits.BookEvery)
	}
}

// End writes the books for the last time.
func (s *Stage) End() {
	s.mu.Lock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.mu.Unlock()
	s.Tell()
}

// Tell writes the books to the log if anything has been booked since the last time.
func (s *Stage) Tell() {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, line := 0, []any{}
	for v, n := range s.count {
		if total += n; n > 0 {
			line = append(line, request.Verdict(v).String(), n)
		}
	}
	if total == s.noted {
		return
	}
	s.noted = total
	if n := s.count[request.Served]; n > 0 {
		line = append(line, "mean_ms", (s.took / time.Duration(n)).Milliseconds())
	}
	if s.lost > 0 {
		line = append(line, "not_taken", s.lost)
	}
	s.log.Info("books", line...)
}
