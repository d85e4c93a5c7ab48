package balance

import (
	"fmt"
	"time"
)

// WorkerStatus is the status of a worker in the endpoint list.
type WorkerStatus int

// Statuses of a worker.
const (
	Removed  WorkerStatus = iota // no longer in the list
	Ready                        // accepts new attempts
	Draining                     // finishes its attempts; accepts no new ones
)

// Worker is one entry of the endpoint list.
type Worker struct {
	ID     string  `json:"ID"`
	Zone   string  `json:"Zone"`
	Cell   string  `json:"Cell"`
	Kind   string  `json:"Kind"`
	Weight float64 `json:"Weight"` // rough relative size; 0 if unknown
	// StartedAt is the time of the worker's last start, by the wall clock of the machine that reports the
	// list. This machine's clock may differ from it. 0 if the start is long ago or unknown.
	StartedAt time.Duration `json:"Started"`
	Status    WorkerStatus  `json:"State"`
	// MaxStartAge is how long ago, at most, a start that the list shows for the first time can have happened,
	// apart from the list's own delay (up to maxListDelay); 0 if unknown. It is measured by a monotonic
	// clock, so a greater age by StartedAt shows that the wall clocks differ.
	MaxStartAge time.Duration `json:"Within"`
}

// EndpointUpdate is the kind of an update to the endpoint list.
type EndpointUpdate int

// Kinds of endpoint list updates.
const (
	DeltaUpdate    EndpointUpdate = iota // only the entries that changed
	FullUpdate                           // the whole list
	CachedUpdate                         // the whole list as last known before a restart, possibly stale
	FailedUpdate                         // a call to discovery failed; no entries
	MovedUpdate                          // discovery has a new address; no entries, earlier ones stay valid
	ObservedUpdate                       // changed entries from other nodes: no sign that discovery is up
	RelayedUpdate                        // changed entries that another process of the node was told
)

// Request is a job to be placed.
type Request struct {
	ID            string        `json:"ID"`
	Class         int           `json:"Class"`    // index into Settings.Classes
	Slots         float64       `json:"Slots"`    // slots that the job occupies; 0 counts as 1
	Memory        float64       `json:"Memory"`   // memory units that the job occupies; 0 if not accounted
	ClientTimeout time.Duration `json:"Patience"` // time until the client gives up
	RunTimeHint   time.Duration `json:"Work"`     // estimated run time on a standard core; 0 if unknown
}

// LoadReport is the load that a worker reports. A negative value means that the worker does not report that
// quantity.
type LoadReport struct {
	FreeSlots   float64 `json:"FreeSlots"`
	FreeMemory  float64 `json:"FreeMemory"`
	QueueLength float64 `json:"Queue"`  // requests waiting at the worker
	InFlight    float64 `json:"InHand"` // requests at the worker, waiting or running
	Fingerprint uint64  `json:"Mark"`   // hash of the raw report: equal fingerprints mean the same report
}

// String formats a report for the debug log. The names in the log are fixed and differ from the field names.
func (r *LoadReport) String() string {
	if r == nil {
		return "<nil>"
	}
	return fmt.Sprintf("&{FreeSlots:%v FreeMemory:%v Queue:%v InHand:%v Mark:%v}",
		r.FreeSlots, r.FreeMemory, r.QueueLength, r.InFlight, r.Fingerprint)
}

// Result says how an attempt or a health check ended.
type Result int

// Results. Their numbers appear in logs and must not change.
const (
	OK              Result = iota
	WorkerError            // the worker answered with an error; the job may have run
	RejectedBusy           // the worker rejected the attempt because it has no capacity; the job never ran
	TimedOut               // no answer in time; the job may have run
	ConnectFailed          // no connection was established; the job never ran
	ConnectionReset        // the connection broke; the job may have run
	Canceled               // canceled by this node; the job may have run
	Suppressed             // canceled before it was sent; the job never ran
	InvalidRequest         // the request is invalid; this says nothing about the worker's health
)

// neverRan reports whether the job of an attempt with this result cannot have run.
func (r Result) neverRan() bool {
	return r == RejectedBusy || r == ConnectFailed || r == Suppressed
}

// connectionBroken reports whether the result is a connection failure: the worker's process may be gone.
func (r Result) connectionBroken() bool {
	return r == ConnectFailed || r == ConnectionReset
}

// Outcome describes how one attempt ended.
type Outcome struct {
	Request string
	Attempt int // index of the attempt within its request, from 0
	Worker  string
	Result  Result
	Elapsed time.Duration
	Final   bool        // the request has its final answer
	Report  *LoadReport // the load report that came with the answer, or nil
}

// ProgressKind is the kind of a worker's progress notification.
type ProgressKind int

// Kinds of progress notifications.
const (
	JobStarted  ProgressKind = iota
	JobAdvanced              // the job has completed a larger share of its work
)

// Actions is implemented by the host to carry out a Balancer's decisions. Calls are made only from inside the
// Balancer's event methods, on the same goroutine. An implementation starts the work and returns; it must not
// call event methods itself.
type Actions interface {
	// SendAttempt starts the next attempt of a request at a worker. The host reports its outcome to
	// AttemptDone.
	SendAttempt(request, worker string)
	// Reject is a final answer that tells the client that a retry is safe, and how long to wait before it; 0
	// gives no advice.
	Reject(request string, retryAfter time.Duration)
	// Fail is a final answer after which a retry may run the job twice.
	Fail(request string)
	// CancelAttempt stops waiting for one attempt, by its index. The host still reports its outcome.
	CancelAttempt(request string, attempt int)
	// CheckHealth requests a worker's load report. The host reports the result to HealthCheckDone.
	CheckHealth(worker string)
	// WatchEndpoints subscribes to changes of the endpoint list.
	WatchEndpoints()
	// FetchEndpoints requests the whole endpoint list once. No decision uses it yet.
	FetchEndpoints()
	// SetTimer requests a call of TimerFired with the same request ID ("" for none) after d.
	SetTimer(d time.Duration, request string)
}
