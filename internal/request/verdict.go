package request

import "time"

// Verdict classifies how a request ended.
type Verdict int

// Verdicts.
const (
	Served       Verdict = iota // answered with a worker's result
	Rejected                    // not run as far as is known: repeating the request is safe
	Failed                      // not served in time, or the job may have run without a result
	Malformed                   // the request violates the protocol
	UnknownClass                // no such class
	WrongMethod                 // the method is not the one of job requests
	TooLarge                    // the body is too long
	ClientGone                  // the client disconnected before it was answered
	Migrated                    // another process of the node continues the request
	endOfVerdicts
)

// VerdictCount is the number of verdicts.
const VerdictCount = int(endOfVerdicts)

// verdictNames holds the names in metrics and logs.
var verdictNames = [VerdictCount]string{
	Served:       "served",
	Rejected:     "refused",
	Failed:       "failed",
	Malformed:    "malformed",
	UnknownClass: "unknown_class",
	WrongMethod:  "wrong_method",
	TooLarge:     "too_large",
	ClientGone:   "gone",
	Migrated:     "moved",
}

// Faulty reports whether the request itself was at fault.
func (v Verdict) Faulty() bool { return v >= Malformed && v <= TooLarge }

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	Result     string        // the job's result; only if Served
	Reason     string        // human-readable reason for any other verdict
	RetryAfter time.Duration // how long a rejected client should wait before a retry; 0 if unspecified
}
