package platform

// EventSource identifies the origin of an event in the node's event queue. Events of one source are handled in the order
// in which they were enqueued.
type EventSource struct {
	Kind    byte   // one of the constants below
	ID      string // id of the request or worker; empty if there is none
	Attempt int    // number of the attempt
}

// Kinds of event sources.
const (
	Client      byte = 'c' // a request that arrives, is canceled by its client or times out
	Discovery   byte = 'd'
	Drain       byte = 'e'
	HealthCheck byte = 'p'
	Timer       byte = 't'
	Attempt     byte = 'y'
)

// EventOrder determines the order in which events that were enqueued at the same instant are handled.
type EventOrder interface {
	// Settle returns once all events of the current instant have been enqueued.
	Settle()
	// ObserveReservations is called once, with a function that returns how many attempts the node has reserved at a
	// worker. That function may be called only while the node is idle.
	ObserveReservations(reserved func(worker string) int)
	// Before reports whether an event of source a is handled before one of source b; a and b differ.
	Before(a, b EventSource) bool
}
