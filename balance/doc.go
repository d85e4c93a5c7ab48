// Package balance decides which worker runs each request of a dispatching node.
//
// A host creates a Balancer with New, reports each event to it with the time of a monotonic clock, and
// carries out its decisions by implementing Actions. A Balancer starts no goroutine, reads no clock, does no
// I/O and is not safe for concurrent use. It is deterministic: equal settings, seed and events give equal
// actions.
//
// Placement: workers that lack a resource the request needs are excluded. The time left to meet the latency
// objective counts as such a resource (see missesObjective). For the remaining workers, free capacity is
// measured in requests of the same demand: for each resource, the amount in the last load report minus the
// node's own reservations since. The request goes to the worker whose scarcest resource has the most free
// capacity, and never to a full one. Requests that fit nowhere wait in a queue.
//
// The files, one concern each:
//
//	api.go        input types (workers, requests, reports, outcomes), and Actions
//	settings.go   classes and settings, their validation, and reconfiguration at run time
//	balancer.go   the Balancer, its clock and timers
//	endpoints.go  the endpoint list, and requests to discovery for it
//	workerset.go  the workers in the list, and those that have left it
//	worker.go     the state of one worker
//	request.go    open requests and their attempts
//	admission.go  submitting a request, and its final answer
//	queue.go      requests that wait for capacity
//	placement.go  choosing a worker
//	attempt.go    starting an attempt, its progress and its outcome
//	retry.go      retries, and replacing stalled attempts
//	health.go     health checks
//	report.go     load reports, and how long they are valid
//	slowstart.go  limits on workers that have just started
//	learning.go   arrival rate, start latency, run times and work rates
//	state.go      learned state, exported and imported when a process replaces another
//	migration.go  open requests, exported and imported in the same way
package balance
