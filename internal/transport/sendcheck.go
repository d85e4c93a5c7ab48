package transport

import (
	"context"
	"time"

	"swiftdeal/internal/invariant"
	"swiftdeal/internal/request"
)

// sendCheck decides right before the first byte of an attempt whether it may still be written.
type sendCheck struct {
	transport *Transport
	request   *request.Context
	number    int
	worker    string

	client request.ClientState // as wanted found it last
}

// wanted reports whether the attempt is still wanted, and if not, the reason.
func (s *sendCheck) wanted() (why invariant.SuppressReason, yes bool) {
	if s.ended() {
		return invariant.RequestEnded, false
	}
	if s.request.Client != nil {
		s.client = s.request.Client.State()
	}
	if s.client == request.ClientLeft {
		return invariant.ClientGone, false
	}
	return invariant.WorkerDraining, s.transport.pool.isInService(s.worker)
}

const (
	// maxClientAge is how long before its first byte an attempt's client was surely there. The protocol allows 0.1 s.
	maxClientAge = 60 * time.Millisecond
	// awaitedClientAge is how long before a wait the client must have been there for the wait to end at once.
	awaitedClientAge = maxClientAge / 2
)

// awaitClient waits until the client would be known to have left, if it had at the time that is returned.
func (s *sendCheck) awaitClient(ctx context.Context) (thereAt time.Time) {
	return s.request.Client.AwaitRead(ctx, time.Now().Add(-awaitedClientAge))
}

// mayHaveLeft reports whether the client may have left for too long without that being known. thereAt is when it was last there.
func (s *sendCheck) mayHaveLeft(thereAt time.Time) bool {
	return s.client == request.ClientUnread && time.Since(thereAt) > maxClientAge
}

// ended reports whether the request has its final answer.
func (s *sendCheck) ended() bool {
	select {
	case <-s.request.Done():
		return true
	default:
		return false
	}
}

// begin records the attempt in the request's history and reports whether the retry policy allows it. A routing decision
// that asks for a forbidden attempt is an invariant violation.
func (s *sendCheck) begin() bool {
	history := &s.request.Attempts
	refusal := history.Begin(s.request.Policy, s.number, s.transport.pool.target(s.worker), time.Now())
	if refusal == "" && s.ended() {
		// Guards against an attempt that the history did not show when the request ended: its ID counts as not used then.
		history.End(s.number, true)
		return false
	}
	if refusal == "" {
		return true
	}
	s.transport.monitor.Violated(invariant.RetryAllowed,
		"id", s.request.ID, "attempt", s.number, "worker", s.worker, "why", refusal)
	return false
}

// suppressed reports to the monitor that the attempt was not written.
func (s *sendCheck) suppressed(why invariant.SuppressReason) {
	s.transport.monitor.Suppressed(why, s.request.ID, s.number, s.worker)
}

// checkWritten checks the invariants of an attempt after it was written or writing it failed, based on the time right
// before its first byte.
func (t *Transport) checkWritten(c *request.Context, x *exchange) {
	select {
	case <-c.Done():
		late := x.writeStartedAt.Sub(c.FinishedAt())
		if late > invariant.WantedSlack {
			t.monitor.Violated(invariant.AttemptWanted, "id", c.ID, "worker", x.worker, "late", late)
		}
	default:
	}
	since := t.pool.outOfServiceSince(x.worker)
	if !since.IsZero() && x.writeStartedAt.Sub(since) > invariant.DrainSlack {
		t.monitor.Violated(invariant.WorkerInService, "id", c.ID, "worker", x.worker, "late", x.writeStartedAt.Sub(since))
	}
	left := c.Deadline.Sub(x.writeStartedAt)
	if x.forwardedDeadline > left+invariant.DeadlineSlack {
		t.monitor.Violated(invariant.DeadlineForwarded,
			"id", c.ID, "worker", x.worker, "told", x.forwardedDeadline, "left", left)
	}
}
