// Package accounting keeps the books: how requests ended, by class too, how many tries went out, and how long requests took.
// It writes them to the log sparingly.
package accounting

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/guard"
	"swiftdeal/internal/request"
)

// Stage keeps the books.
type Stage struct {
	limits config.Limits
	log    *slog.Logger

	mu    sync.Mutex
	tally map[string]*Tally // by class
	count [request.Verdicts]int
	lost  int              // answers that the client did not take
	why   map[string]int64 // answers that were no result, by reason
	took  time.Duration    // by all requests that were served
	noted int              // requests told in the log so far
	timer *time.Timer      // nil once the books are closed
}

// Tally is what the books hold of one class, counted from the start.
type Tally struct {
	Class string
	// Requests by the answer that their clients got; Failed is any that is neither a result nor a refusal. Those whose
	// clients left first are Gone.
	Served, Refused, Failed, Gone int64
	Moved                         int64 // to the process that has taken this one's place
	Attempts                      int64 // tries written whole to peers
	Late                          int64 // served, but after the time within which the class is wanted

	aim     time.Duration // 0: lateness is not counted
	stretch float64       // more time for each unit of the request's own work
}

// New returns the stage. The books hold the given classes from the start.
func New(l config.Limits, classes []string, log *slog.Logger) *Stage {
	s := &Stage{limits: l, log: log, tally: map[string]*Tally{}, why: map[string]int64{}}
	s.Classes(classes)
	s.timer = time.AfterFunc(l.BookEvery, s.tell)
	return s
}

// Classes adds classes to the books. Those that they hold already keep their counts, also if they are not named.
func (s *Stage) Classes(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range names {
		if s.tally[n] == nil {
			s.tally[n] = &Tally{Class: n}
		}
	}
}

// Wanted sets within what time classes are wanted, so that late answers are counted.
func (s *Stage) Wanted(classes []balance.Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range classes {
		if t := s.tally[c.Name]; t != nil {
			t.aim, t.stretch = c.Aim, c.Stretch
		}
	}
}

// Tallies returns what the books hold of each class, in the order of their names.
func (s *Stage) Tallies() []Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Tally, 0, len(s.tally))
	for _, t := range s.tally {
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b Tally) int { return cmp.Compare(a.Class, b.Class) })
	return list
}

// Written books a try that has been written whole.
func (s *Stage) Written(c *request.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.tally[c.ClassName]; t != nil {
		t.Attempts++
	}
}

// add books an answer. What names no class has none to be booked under.
func (t *Tally) add(v request.Verdict) {
	switch {
	case t == nil:
	case v == request.Served:
		t.Served++
	case v == request.Refused:
		t.Refused++
	case v == request.Gone:
		t.Gone++
	case v == request.Moved:
		t.Moved++
	default:
		t.Failed++
	}
}

// Close books a request that is over; taken says whether the client took its answer.
func (s *Stage) Close(c *request.Context, taken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := c.Answer().Verdict
	s.count[v]++
	s.tally[c.ClassName].add(v)
	if v != request.Served && v != request.Moved {
		s.why[reason(c.Answer())]++
	}
	if !taken && v != request.Gone && v != request.Moved {
		s.lost++
	}
	took := time.Since(c.Arrived)
	if v == request.Served {
		s.took += took
		if t := s.tally[c.ClassName]; t != nil && t.aim > 0 && took > t.aim+time.Duration(t.stretch*float64(c.Work)) {
			t.Late++
		}
	}
	s.log.Debug("request", "id", c.ID, "class", c.ClassName, "verdict", v, "reason", c.Answer().Reason,
		"took_ms", took.Milliseconds(), "hint_ms", c.Work.Milliseconds(), "slots", c.Slots, "memory", c.Memory)
}

// reason names why an answer is no result. Answers to faulty requests and to nobody are named by their verdict alone: their words
// hold what clients have sent.
func reason(a request.Answer) string {
	if a.Verdict == request.Refused || a.Verdict == request.Failed {
		return a.Reason
	}
	return a.Verdict.String()
}

// Reasons lists how many answers were no result, by reason.
func (s *Stage) Reasons() (list []guard.Count) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(s.why)) {
		list = append(list, guard.Count{Name: name, Value: s.why[name]})
	}
	return list
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
