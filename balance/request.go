package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// request is an open request, or a finished one with attempts still in flight.
type request struct {
	Request
	class             *Class        // as configured when it was submitted
	objectiveAt       time.Duration // when its latency objective ends, without the extension for its run time
	deadline          time.Duration // when its final answer is due at the latest
	finished          bool          // its final answer has been given
	queued            bool          // member of Balancer.queue
	held              bool          // came while holdsNew was set
	healthCheckRounds int           // rounds of health checks made for it
	sequence          int           // order of submission
	maxAttempts       int           // as configured when it was submitted; 0 for no limit
	startBy           float64       // clock time in seconds by which it must start to meet its objective
	attempts          []*attempt
}

// firstMaybeRan returns the first attempt that may have run, or nil.
func (r *request) firstMaybeRan() *attempt {
	for _, a := range r.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// inFlight reports whether any attempt is in flight, an abandoned one included.
func (r *request) inFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight })
}

// hasOpenAttempt reports whether an attempt is in flight that is not abandoned.
func (r *request) hasOpenAttempt() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight && !a.abandoned })
}

// attemptsExhausted reports whether at most the given number of attempts are left.
func (r *request) attemptsExhausted(left int) bool {
	return r.maxAttempts > 0 && len(r.attempts)+left >= r.maxAttempts
}

// attempt is one dispatch of a request to a worker. It reserves capacity there until its outcome is known.
type attempt struct {
	request    *request
	worker     *worker
	sentAt     time.Duration
	startedAt  time.Duration // when the notification of the job's start arrived; 0 if it has not
	inFlight   bool
	neverRan   bool          // known not to have run
	lastSeenAt time.Duration // when its last notification arrived
	abandoned  bool          // another attempt may replace it
	progress   float64       // completed share of the work, by its last progress notification ...
	progressAt time.Duration // ... and when that arrived
}

// requestSet holds the requests by ID.
type requestSet struct {
	byID      map[string]*request
	submitted int // number of requests added so far
}

// add adds a request and sets its sequence number.
func (s *requestSet) add(r *request) {
	r.sequence = s.submitted
	s.submitted++
	s.byID[r.ID] = r
}

// open returns the open request with an ID, or nil.
func (s *requestSet) open(id string) *request {
	r := s.byID[id]
	if r == nil || r.finished {
		return nil
	}
	return r
}

// inFlight returns the attempt with an index if it is in flight, or nil.
func (s *requestSet) inFlight(id string, number int) *attempt {
	r := s.byID[id]
	if r == nil || number < 0 || number >= len(r.attempts) || !r.attempts[number].inFlight {
		return nil
	}
	return r.attempts[number]
}

// forgetIfDone drops a finished request once none of its attempts is in flight.
func (s *requestSet) forgetIfDone(r *request) {
	if !r.inFlight() {
		delete(s.byID, r.ID)
	}
}

// inOrder returns the requests in order of submission.
func (s *requestSet) inOrder() []*request {
	return slices.SortedFunc(maps.Values(s.byID), func(x, y *request) int {
		return cmp.Compare(x.sequence, y.sequence)
	})
}
