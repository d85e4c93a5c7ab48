package accounting

import (
	"time"

	"swiftdeal/internal/request"
)

// summary counts all requests, for the log.
type summary struct {
	verdicts    [request.VerdictCount]int
	undelivered int           // answers that the client did not receive
	servedTime  time.Duration // total time of served requests
	loggedTotal int           // value of total when the summary was last logged
}

// add counts a request that has ended.
func (s *summary) add(verdict request.Verdict, took time.Duration, delivered bool) {
	s.verdicts[verdict]++
	if verdict == request.Served {
		s.servedTime += took
	}
	if !delivered && verdict != request.ClientGone && verdict != request.Migrated {
		s.undelivered++
	}
}

// total returns the number of requests counted.
func (s *summary) total() (n int) {
	for _, count := range s.verdicts {
		n += count
	}
	return n
}

// attributes returns the counts as attributes of a log record, without those that are 0.
func (s *summary) attributes() (list []any) {
	for verdict, count := range s.verdicts {
		if count > 0 {
			list = append(list, request.Verdict(verdict).String(), count)
		}
	}
	if served := s.verdicts[request.Served]; served > 0 {
		list = append(list, "mean_ms", (s.servedTime / time.Duration(served)).Milliseconds())
	}
	if s.undelivered > 0 {
		list = append(list, "not_taken", s.undelivered)
	}
	return list
}

// logPeriodically logs the summary and restarts the timer.
func (r *Recorder) logPeriodically() {
	r.LogSummary()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.timer != nil {
		r.timer.Reset(r.limits.AccountingLogInterval)
	}
}

// Stop stops the timer and logs the summary a last time.
func (r *Recorder) Stop() {
	r.mu.Lock()
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
	r.mu.Unlock()
	r.LogSummary()
}

// LogSummary logs the summary if any request has ended since it was last logged.
func (r *Recorder) LogSummary() {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.summary.total()
	if total == r.summary.loggedTotal {
		return
	}
	r.summary.loggedTotal = total
	r.log.Info("requests", r.summary.attributes()...)
}
