package tracecheck

import (
	"fmt"
	"time"

	"swiftdeal/balance"
)

// Config holds the parameters of the rules. A duration of zero is a bound of zero, except where a field says otherwise;
// without ColdFor or OverloadWindow rule 4 is not checked.
type Config struct {
	Classes       []balance.Class
	AnswerGrace   time.Duration // an answer may come this long after the client's deadline
	DrainGrace    time.Duration // attempts may be sent for this long after the node was notified of a drain
	WindowSlack   time.Duration // retries may be sent this long after the key window of a class has ended
	NotifiedAfter time.Duration // a node counts as notified of a worker's start after this time; 0: only when notified
	ListedAfter   time.Duration // a node counts as notified of the list's content after this time; 0: only when notified
	MaxAttempts   int           // 0 for no limit
	Hedges        bool
	// Unordered is set for traces taken on real sockets. Events of one connection are in order, events of two connections
	// may be seen in either order. A refusal is then checked by Close, and an attempt that is seen after its request's answer
	// is no violation.
	Unordered bool
	// ClientGoneGrace is how long after its client has disconnected an attempt may start; 0: not checked. DeadlineSlack is by
	// how much the deadline sent to a worker may exceed the client's remaining time; 0: not checked.
	ClientGoneGrace, DeadlineSlack time.Duration

	// A cold worker starts at the share ColdFrom of its capacity and reaches all of it after ColdFor. The work sent to it within
	// OverloadWindow may not exceed OverloadMultiple of its capacity.
	ColdFrom         float64
	ColdFor          time.Duration
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

// Violation is one violation of a rule.
type Violation struct {
	Rule    int // 1 to 4
	At      time.Duration
	Node    string
	Request string
	Workers []string
	Text    string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf(
		"rule %d at %v: %s (node %s, request %s, peers %v)",
		v.Rule,
		v.At,
		v.Text,
		v.Node,
		v.Request,
		v.Workers,
	)
}
