// Package accounting counts the outcomes of requests by class and by reason, the attempts written to workers and the time that
// requests took. It logs a summary at intervals.
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
	"swiftdeal/internal/invariant"
	"swiftdeal/internal/request"
)

// Recorder counts requests from the start of the process. It may be used by any goroutine.
type Recorder struct {
	limits config.Limits
	log    *slog.Logger

	mu      sync.Mutex
	classes map[string]*ClassCounts // by name
	reasons map[string]int64        // answers without a result, by reason
	summary summary
	timer   *time.Timer // logs the summary; nil once the recorder has stopped
}

// ClassCounts counts the requests of one class, and their attempts.
type ClassCounts struct {
	Class string

	Served     int64 // answered with a result
	Rejected   int64 // answered with a rejection, after which it is safe to repeat the request
	Failed     int64 // answered in any other way
	ClientGone int64 // not answered: the client disconnected first
	Migrated   int64 // continued by the process that has replaced this one

	Attempts int64 // written completely to workers
	Late     int64 // served, but after their latency objective

	latencyObjective time.Duration // 0: late requests are not counted
	objectiveStretch float64       // extends the objective by this multiple of the request's run time hint
}

// New returns a recorder with the given classes, and starts the timer that logs its summary.
func New(l config.Limits, classes []string, log *slog.Logger) *Recorder {
	r := &Recorder{limits: l, log: log, classes: map[string]*ClassCounts{}, reasons: map[string]int64{}}
	r.AddClasses(classes)
	r.timer = time.AfterFunc(l.AccountingLogInterval, r.logPeriodically)
	return r
}

// AddClasses adds classes. Existing classes keep their counts, whether they are named or not.
func (r *Recorder) AddClasses(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if r.classes[name] == nil {
			r.classes[name] = &ClassCounts{Class: name}
		}
	}
}

// SetObjectives sets the latency objectives of known classes, by which late answers are counted. It ignores unknown ones.
func (r *Recorder) SetObjectives(classes []balance.Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, class := range classes {
		if counts := r.classes[class.Name]; counts != nil {
			counts.latencyObjective, counts.objectiveStretch = class.LatencyObjective, class.ObjectiveStretch
		}
	}
}

// Counts returns the counts of each class, sorted by name.
func (r *Recorder) Counts() []ClassCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]ClassCounts, 0, len(r.classes))
	for _, counts := range r.classes {
		list = append(list, *counts)
	}
	slices.SortFunc(list, func(a, b ClassCounts) int { return cmp.Compare(a.Class, b.Class) })
	return list
}

// Reasons returns how many answers carried no result, by reason.
func (r *Recorder) Reasons() (list []invariant.Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.reasons)) {
		list = append(list, invariant.Count{Name: name, Value: r.reasons[name]})
	}
	return list
}

// AttemptWritten counts an attempt that has been written completely.
func (r *Recorder) AttemptWritten(c *request.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if counts := r.classes[c.ClassName]; counts != nil {
		counts.Attempts++
	}
}

// RequestDone counts a request that has ended; delivered tells whether the client received the answer.
func (r *Recorder) RequestDone(c *request.Context, delivered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer, took := c.Answer(), time.Since(c.Arrived)
	counts := r.classes[c.ClassName] // nil: the request has no known class
	if counts != nil {
		counts.add(c, answer.Verdict, took)
	}
	if answer.Verdict != request.Served && answer.Verdict != request.Migrated {
		r.reasons[reasonOf(answer)]++
	}
	r.summary.add(answer.Verdict, took, delivered)
	r.log.Debug("request", "id", c.ID, "class", c.ClassName, "verdict", answer.Verdict, "reason", answer.Reason,
		"took_ms", took.Milliseconds(), "hint_ms", c.RunTimeHint.Milliseconds(), "slots", c.Slots, "memory", c.Memory)
}

// add counts a request that has ended.
func (c *ClassCounts) add(r *request.Context, verdict request.Verdict, took time.Duration) {
	switch verdict {
	case request.Served:
		c.Served++
		if c.isLate(r, took) {
			c.Late++
		}
	case request.Rejected:
		c.Rejected++
	case request.ClientGone:
		c.ClientGone++
	case request.Migrated:
		c.Migrated++
	default:
		c.Failed++
	}
}

// isLate reports whether a request took longer than its latency objective, extended for its own run time.
func (c *ClassCounts) isLate(r *request.Context, took time.Duration) bool {
	stretch := time.Duration(c.objectiveStretch * float64(r.RunTimeHint))
	return c.latencyObjective > 0 && took > c.latencyObjective+stretch
}

// reasonOf returns why an answer carries no result. For verdicts other than Rejected and Failed it is the verdict alone, since the
// reasons of malformed requests contain text sent by clients.
func reasonOf(answer request.Answer) string {
	if answer.Verdict == request.Rejected || answer.Verdict == request.Failed {
		return answer.Reason
	}
	return answer.Verdict.String()
}
