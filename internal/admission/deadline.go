package admission

import (
	"time"

	"swiftdeal/internal/request"
)

// deadlineTimer answers a request that has no answer by the given time.
type deadlineTimer struct {
	*time.Timer
	at      time.Time
	context *request.Context
	held    bool // the request does not count as an open one
}

// startTimer starts the deadline timer of a request; mu is held. It guards against requests that no part of the node answers:
// whatever goes wrong, the client gets an answer before its deadline.
func (a *Controller) startTimer(c *request.Context) {
	at := c.Deadline.Add(-a.limits.AnswerMargin)
	timer := time.AfterFunc(time.Until(at), func() {
		if c.Finish(request.Answer{Verdict: request.Failed, Reason: reasonOutOfTime}) {
			a.onTimeout(c)
		}
	})
	a.requests[c.ID] = &deadlineTimer{Timer: timer, at: at, context: c}
}

// ExpireBy moves the deadline timers of all open requests forward, so that they are answered before the node ends at the given
// time.
func (a *Controller) ExpireBy(end time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := end.Add(-a.limits.AnswerMargin - a.limits.GiveUpMargin/2) // leaves time to write the answers
	for _, timer := range a.requests {
		if at.Before(timer.at) && timer.Stop() {
			timer.at = at
			timer.Reset(time.Until(at))
		}
	}
}

// SetDrainDeadline sets the time by which requests admitted from now on must be answered, since the node may end then.
func (a *Controller) SetDrainDeadline(end time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drainDeadline = end
}
