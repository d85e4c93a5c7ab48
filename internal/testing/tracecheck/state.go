package tracecheck

import (
	"time"

	"swiftdeal/balance"
)

// attempt is one attempt of a request at a worker.
type attempt struct {
	worker, zone, cell string
	sentAt             time.Duration
	inFlight, notRun   bool
}

// job is one accepted request.
type job struct {
	id, node     string
	class        int
	accepted     time.Duration
	answerBy     time.Duration // latest time of the answer
	attempts     []*attempt
	answers      int
	finished     bool          // answered, overdue, its client is gone or its node was killed
	clientGoneAt time.Duration // when its client disconnected; 0: it did not
	finishedAt   time.Duration // valid once finished
	sharedID     bool          // its id was used by a second request meanwhile: their attempts cannot be told apart
}

// worker is what is known of a worker.
type worker struct {
	id, zone, cell string
	capacity       float64
	started        time.Duration
	cold, running  bool
	notified       map[string]notification // by node: the last notification
	listed         balance.WorkerStatus
	listedSince    time.Duration // last change between Ready and not Ready in discovery's list
	dispatched     []dispatchedWork
}

// notification is what discovery has told a node of a worker.
type notification struct {
	state          balance.WorkerStatus
	notifiedAt     time.Duration // last change between Ready and not Ready
	processStarted time.Duration // start of the newest process that the node was notified of
}

// dispatchedWork is a job that a cold worker received.
type dispatchedWork struct {
	startedAt time.Duration
	work      float64
	notified  bool // the node had been notified of the worker's latest start
}

// dueHeap is a heap of jobs by the latest time of their answer.
type dueHeap []*job

// Len implements heap.Interface.
func (h dueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h dueHeap) Less(i, j int) bool { return h[i].answerBy < h[j].answerBy }

// Swap implements heap.Interface.
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
