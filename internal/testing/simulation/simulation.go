// Package simulation is a deterministic simulation of whole nodes. It runs the nodes with unmodified network code on a virtual clock
// and a virtual network against fakes with scripted faults, and checks the four rules and further invariants after every step. Each
// run takes place in a testing/synctest bubble, where time advances only while all goroutines are blocked. The scheduler executes one
// network event at a time and waits until every goroutine is blocked before it executes the next. Events of the same instant are
// ordered by random numbers drawn from the seed, so a seed always yields the same trace.
package simulation

import (
	"math"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/tracecheck"
)

// Simulation is one run of a plan: the scheduler, the network, the node processes and the fakes. Only the scheduler's goroutine may
// access it, except for the fields guarded by mu.
type Simulation struct {
	scheduler
	actionQueue
	network
	nodeProcesses
	environment

	plan       *Plan
	checker    *tracecheck.Checker
	selfChecks selfChecks
	recorder   recorder
	outcome    *Outcome
}

// nodeProcesses holds the nodes by index, and the state shared by several processes of one node.
type nodeProcesses struct {
	nodes            []*process                    // the current process of each node
	replaced         []*process                    // earlier processes, some of which may still run
	settings         []config.Config               // configuration of each node
	successors       map[string]*successorListener // by node name; a successor process connects here
	messagesInFlight int                           // handover messages sent and not yet delivered
	requestOwners    map[string]*process           // the process that took a request, by node and request ID
}

// environment holds the fakes around the nodes: workers, discovery and clients.
type environment struct {
	fleet        *fake.WorkerPool
	discovery    *fake.Discovery
	clients      *fake.Clients
	classes      map[string]int // class index by name
	listComplete bool           // the discovery list holds all workers
	longJobs     *Fault         // the active heavy-tail fault: some jobs take longer than their hints say

	// closeUndetected holds requests with pipelined requests behind them: the server cannot detect that their connection closes.
	closeUndetected map[string]bool
}

// network is the virtual network between nodes and fakes.
type network struct {
	machines         []*machine
	machineByAddress map[string]*machine
	linkCount        int
	attemptCount     int
	openEndpoints    int // open endpoints on the nodes' side
	pendingDials     []*pendingDial
	arrivingLink     *link // the link whose bytes a worker is receiving now

	sockets           map[string]*socket // datagram sockets by address; guarded by mu
	cuts              map[int]func(from, to int) bool
	lossRate          float64      // share of datagrams that are lost
	misreportingNodes map[int]bool // nodes that send false observations of workers
	falsifiedRecords  int
}

func newNetwork() network {
	return network{
		machineByAddress: map[string]*machine{}, sockets: map[string]*socket{},
		cuts: map[int]func(int, int) bool{}, misreportingNodes: map[int]bool{},
	}
}

// forever is a time after the end of every simulation.
const forever = time.Duration(math.MaxInt64)
