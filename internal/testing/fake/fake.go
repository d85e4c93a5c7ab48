// Package fake implements fakes of the parties that a node talks to: workers, discovery and clients, as PROTOCOL describes
// them, with injectable faults. The fakes are state machines without goroutines, clocks or sockets of their own: a host
// delivers the data received on their connections and fires their timers. The simulation hosts them on a virtual network;
// Sockets hosts them on loopback.
package fake

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Clock is the host's clock. Callbacks run one at a time, and never during a call that a fake makes.
type Clock interface {
	Now() time.Time
	After(d time.Duration, f func()) (stop func())
}

// Conn is a fake's end of a connection. Its methods do not block.
type Conn interface {
	// Write sends bytes. A mark, if not nil, tells the host what the other end knows once it has received all of p.
	Write(p []byte, m *Mark)
	// Close closes the connection after all data written so far has been sent.
	Close()
	// Reset closes the connection at once; data not yet sent is lost.
	Reset()
}

// Handler receives the data and the end of a connection.
type Handler interface {
	Data(p []byte)
	// Closed is called when the other end has closed the connection, or when it failed (reset).
	Closed(reset bool)
}

// Mark describes what an answer, or a part of it, tells the node.
type Mark struct {
	Request string // id of the request that is answered
	Ended   bool   // the attempt has ended
	NotRun  bool   // the answer proves that the attempt never ran
	Full    bool   // discovery's message holds the whole list
	List    []Entry
}

// Observer receives the events at the fakes, so that a checker can judge them. Its methods may be no-ops.
type Observer interface {
	JobArrived(workerID, request string, work float64) // a job was received whole; work is in slot seconds
	ResultProduced(workerID, request, result string)   // a worker produced a result
	// RequestStarted reports that a client has sent a request's last byte. It returns false if the request's end is not to be
	// reported because its id is in use by an open request.
	RequestStarted(node, request string, until time.Time, class string) bool
	// RequestEnded reports that a whole answer was received, or the end that status names: Cut, CutFirst or ClosedWhileSending.
	RequestEnded(node, request string, status int, body string)
	ClientGone(node, request string) // a client stopped waiting
}

// Random returns a random source for the named component. Each component has its own, so that adding one does not change
// the numbers that the others draw.
func Random(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}
