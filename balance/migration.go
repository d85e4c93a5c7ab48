package balance

import (
	"time"
)

// RequestState is an open request in the form passed from one process to another. Times are those of the
// balancer's clock. The JSON names must not change, as processes of different versions exchange them.
type RequestState struct {
	Request           Request        `json:"Request"`
	ObjectiveAt       time.Duration  `json:"Aim"`
	Deadline          time.Duration  `json:"End"`
	MaxAttempts       int            `json:"Sends"`
	HealthCheckRounds int            `json:"Looks"`
	Attempts          []AttemptState `json:"Tries"`
}

// AttemptState is an attempt of a migrating request.
type AttemptState struct {
	Worker     Worker        `json:"Worker"`
	SentAt     time.Duration `json:"Sent"`
	StartedAt  time.Duration `json:"Started"`
	LastSeenAt time.Duration `json:"Heard"`
	ProgressAt time.Duration `json:"SharedAt"`
	Progress   float64       `json:"Share"`
	InFlight   bool          `json:"Out"`
	NeverRan   bool          `json:"Never"`
}

// Shift converts all times to another clock by adding an offset. A time of 0, which means none, stays.
func (s *RequestState) Shift(by time.Duration) {
	shiftTimes(by, &s.ObjectiveAt, &s.Deadline)
	for i := range s.Attempts {
		a := &s.Attempts[i]
		shiftTimes(by, &a.SentAt, &a.StartedAt, &a.LastSeenAt, &a.ProgressAt)
	}
}

// ExportRequest removes an open request without an answer, for another balancer to continue it. Its attempts
// no longer reserve capacity here. ok is false if no such request is open.
func (b *Balancer) ExportRequest(now time.Duration, requestID string) (state RequestState, ok bool) {
	b.now = now
	r := b.requests.open(requestID)
	if r == nil {
		return state, false
	}
	state = RequestState{
		Request:           r.Request,
		ObjectiveAt:       r.objectiveAt,
		Deadline:          r.deadline,
		MaxAttempts:       r.maxAttempts,
		HealthCheckRounds: r.healthCheckRounds,
	}
	for _, a := range r.attempts {
		state.Attempts = append(state.Attempts, a.export())
		a.worker.load.remove(a)
		a.inFlight = false
	}
	r.finished = true
	b.queue.remove(r)
	b.requests.forgetIfDone(r)
	b.advance()
	return state, true
}

// export returns the exported state of an attempt.
func (a *attempt) export() AttemptState {
	return AttemptState{
		Worker:     a.worker.Worker,
		SentAt:     a.sentAt,
		StartedAt:  a.startedAt,
		LastSeenAt: a.lastSeenAt,
		ProgressAt: a.progressAt,
		Progress:   a.progress,
		InFlight:   a.inFlight,
		NeverRan:   a.neverRan,
	}
}

// ImportRequest continues a request that another balancer has exported, in the class given by its Request. It
// reports whether the request was valid, and calls ready before it makes any decision on it. The load events
// of the other balancer's attempts are imported by ImportState.
func (b *Balancer) ImportRequest(now time.Duration, state RequestState, ready func()) bool {
	b.now = now
	spec := state.Request
	classKnown := spec.Class >= 0 && spec.Class < len(b.settings.Classes)
	if !classKnown || b.requests.byID[spec.ID] != nil || !(spec.Slots > 0) {
		return false
	}
	r := &request{
		Request:           spec,
		class:             &b.settings.Classes[spec.Class],
		objectiveAt:       state.ObjectiveAt,
		deadline:          state.Deadline,
		maxAttempts:       state.MaxAttempts,
		healthCheckRounds: state.HealthCheckRounds,
	}
	for i := range state.Attempts {
		b.importAttempt(r, &state.Attempts[i])
	}
	b.requests.add(r)
	ready()
	b.actions.SetTimer(r.deadline-now, r.ID)
	if !r.hasOpenAttempt() {
		b.retryOrFinish(r)
	}
	b.advance()
	return true
}

// importAttempt adds an attempt to an imported request.
func (b *Balancer) importAttempt(r *request, from *AttemptState) {
	w := b.workers.byID[from.Worker.ID]
	if w == nil { // no longer in the endpoint list: keep it only for its reservation
		w = b.addWorker(from.Worker)
	}
	a := &attempt{
		request:    r,
		worker:     w,
		sentAt:     from.SentAt,
		startedAt:  from.StartedAt,
		lastSeenAt: from.LastSeenAt,
		progressAt: from.ProgressAt,
		progress:   from.Progress,
		inFlight:   from.InFlight,
		neverRan:   from.NeverRan,
	}
	r.attempts = append(r.attempts, a)
	if a.inFlight {
		w.load.attempts = append(w.load.attempts, a) // its load event comes with ImportState
		b.attemptsInFlight = append(b.attemptsInFlight, a)
	}
}
