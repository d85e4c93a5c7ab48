// Package invariant defines runtime checks of a node's guarantees, made right before or after it acts: when it sends or
// retries an attempt, answers a request, closes a connection, or sends work to a worker in slow start. The checks are
// independent of the code that makes the decisions and use records of their own. A broken guarantee is counted and
// logged as a violation. An attempt that events have made obsolete since the decision is suppressed, which is normal,
// and counted by its reason.
package invariant

import "time"

// Kind identifies an invariant.
type Kind int

// Kinds of invariant.
const (
	AttemptWanted     Kind = iota // no attempt begins after its request has ended or its client has disconnected
	WorkerInService               // no attempt begins at a worker that is draining or was removed
	RetryAllowed                  // no attempt repeats a job that may have run, except as its class allows
	DeadlineForwarded             // no worker is given more time than the client has left
	SlowStart                     // no worker in slow start is sent more than the whole fleet may send it
	AnswerInTime                  // every admitted request is answered by its deadline
	RequestAnswered               // no connection is closed while a request that was read is unanswered
	kindCount
)

// Tolerances of the time checks, as the operators' terms allow: a node may be delayed between reading its clock and
// writing.
const (
	WantedSlack   = 100 * time.Millisecond
	DrainSlack    = 500 * time.Millisecond
	DeadlineSlack = 150 * time.Millisecond
	AnswerSlack   = 500 * time.Millisecond
)

// kindNames holds label values of a published metric. They must not change.
var kindNames = [kindCount]string{
	AttemptWanted:     "attempt_wanted",
	WorkerInService:   "worker_in_service",
	RetryAllowed:      "repeat_allowed",
	DeadlineForwarded: "deadline_told",
	SlowStart:         "slow_start",
	AnswerInTime:      "answer_in_time",
	RequestAnswered:   "request_answered",
}

// String returns the invariant's name in metrics and log lines.
func (k Kind) String() string { return kindNames[k] }

// SuppressReason is the reason why an attempt was suppressed.
type SuppressReason int

// Reasons for suppressing an attempt.
const (
	ClientGone      SuppressReason = iota // the connection check found that the client has disconnected
	RequestEnded                          // the request was answered, or its client was already known to have disconnected
	WorkerDraining                        // the worker is draining or was removed
	RetryWindowOver                       // the retry window has ended
	AttemptCanceled                       // the attempt was canceled
	RetryNotAllowed                       // the invariant check forbids the retry
	reasonCount
)

// reasonNames holds label values of a published metric. They must not change.
var reasonNames = [reasonCount]string{
	ClientGone:      "client_gone",
	RequestEnded:    "request_ended",
	WorkerDraining:  "worker_drains",
	RetryWindowOver: "window_over",
	AttemptCanceled: "called_off",
	RetryNotAllowed: "not_allowed",
}

// String returns the reason's name in metrics and log lines.
func (r SuppressReason) String() string { return reasonNames[r] }
