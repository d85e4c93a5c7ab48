package tracecheck

import (
	"time"

	"swiftdeal/balance"
)

// Kind is the kind of an event.
type Kind int

// Kinds of event, with the fields that each one uses. At is always set: the time since any fixed start.
const (
	WorkerUp        Kind = iota // Worker, Zone, Cell, Capacity (work per second when warm), Cold: a process starts
	WorkerDown                  // Worker: its process ends
	Notified                    // Node, Worker, State, Zone, Cell, Since: an entry of discovery's list reaches the node
	Listed                      // Worker, State: discovery's list holds this state from now on
	Accepted                    // Node, Request, Class, Until (the client's deadline): the request was received whole
	ClientGone                  // Node, Request: its client has disconnected
	Answered                    // Node, Request, Verdict, Result: the last byte of the answer was written
	Dropped                     // Node, Request, First: the node closed the connection without a whole answer
	AttemptSent                 // Node, Request, Attempt, Worker, Within: the first byte of an attempt was written
	AttemptArrived              // Node, Request, Attempt, Worker, Work: the worker received the attempt whole
	ResultProduced              // Request, Worker, Result: a worker produced a result
	AttemptEnded                // Attempt, NotRun: the node received an attempt's outcome; NotRun if that proves it never ran
	AttemptCanceled             // Attempt: the node canceled an attempt
	Killed                      // Node, Until: its process was killed; requests accepted before Until need no answer
)

// kindNames are the names of the kinds in printed traces.
var kindNames = [...]string{
	"peer up",
	"peer down",
	"told",
	"listed",
	"taken",
	"left",
	"answered",
	"dropped",
	"sent",
	"arrived",
	"made",
	"ended",
	"off",
	"killed",
}

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// Verdict is the outcome that an answer reports to its client.
type Verdict int

// Verdicts.
const (
	Served  Verdict = iota
	Refused         // a retry is safe
	Failed          // may have run
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"served", "refused", "failed"}[v] }

// Event is one entry of a trace.
type Event struct {
	At       time.Duration
	Kind     Kind
	Node     string
	Request  string
	Worker   string
	Attempt  int // unique within the trace
	Class    int
	Until    time.Duration
	Verdict  Verdict
	Result   string
	NotRun   bool
	First    bool // of Dropped: the request was the first of its connection
	State    balance.WorkerStatus
	Zone     string
	Cell     string
	Capacity float64
	Cold     bool
	Since    time.Duration // of Notified: start of the process that the entry describes
	Work     float64       // in units of Capacity times seconds
	Within   time.Duration // of AttemptSent: the deadline sent to the worker; 0: none
}
