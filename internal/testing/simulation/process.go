package simulation

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftdeal/internal/config"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/node"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/tracecheck"
)

// process is one process of a node. A node that is replaced or restarted gets a new one.
type process struct {
	simulation *Simulation
	nodeIdentity
	lifecycle
	openSockets

	config        *config.Config
	reloads       chan node.Reload
	requestCounts map[string]int // number of client requests taken, and of ended ones by outcome; nil: not counted
	charges       func(worker string) int
	turn          chan struct{} // a receive permits it to process the next event of its queue
	active        bool          // something has happened to it since the last check
	successor     *process      // the process that replaces it
	gossip        *process      // represents the membership goroutine among the processes that wait for their turn
}

// nodeIdentity holds what all processes of a node share.
type nodeIdentity struct {
	index       int
	name        string
	zone        string
	listen      string
	discovery   string // address of discovery
	incarnation int    // of the next process
}

// lifecycle holds the state of a process between its start and its end.
type lifecycle struct {
	startedAt    time.Duration
	running      bool
	ready        bool          // clients are routed to it
	drained      bool          // the drain call was made: only clients with open connections still use it
	terminatedAt time.Duration // time of SIGTERM; 0: not sent
	killed       bool          // killed; its goroutines may still be exiting
	stop         context.CancelFunc
	ended        chan error    // holds the result of serve once it has returned
	gone         chan struct{} // closed when the process is gone
}

// openSockets holds what a process has open.
type openSockets struct {
	clients       *listener
	control       *listener // nil: no control listener
	links         map[*link]bool
	openEndpoints atomic.Int64
	handoverEnds  []*handoverEnd // its ends of handover links
	passedLinks   []*link        // links handed over to other processes
}

// platform returns the simulated platform of a process.
func (n *process) platform() platform.Machine {
	r := rand.New(rand.NewPCG(n.config.Seed, 17))
	n.gossip = &process{
		simulation: n.simulation, turn: make(chan struct{}),
		nodeIdentity: nodeIdentity{index: n.index + 1000, incarnation: n.incarnation},
	}
	return platform.Machine{
		Dial:         n.dial,
		Monotonic:    func() time.Duration { return n.simulation.now() },
		Order:        eventOrder{n},
		ListenPacket: n.listenPacket,
		Random:       r.Uint64,
		Settle:       eventOrder{n.gossip}.Settle,
	}
}

// startNode starts a new process of a node, so that goroutines left over from an earlier process cannot affect it.
func (sim *Simulation) startNode(old *process) {
	n := sim.startProcess(old, nil)
	var ask func()
	ask = func() {
		if n.running && !n.ready && n.terminatedAt == 0 && !n.drained {
			sim.Dial(n.name, 0, &readinessProbe{simulation: sim, process: n, retry: ask})
		}
	}
	sim.After(20*time.Millisecond, ask)
}

// startProcess starts a process of a node. If prior is set, the process takes over from the one that listens there.
func (sim *Simulation) startProcess(old *process, prior *successorListener) *process {
	n := &process{simulation: sim, nodeIdentity: old.nodeIdentity}
	sim.nodes[n.index] = n
	conf := sim.settings[n.index]
	conf.Seed = xxhash.Sum64String(fmt.Sprint(sim.plan.Seed, n.name, n.incarnation))
	conf.Discovery = config.DiscoveryAddresses{File: n.discovery}
	version, list := sim.discovery.List()
	known, err := config.ParseEndpointList(fake.ListMessage(version, true, list))
	if err != nil {
		panic(err)
	}
	conf.CachedEndpoints = known
	for _, e := range list {
		sim.workerNotified(n, e)
	}
	n.incarnation++
	n.config = &conf
	n.config.Fleet = sim.fleetConfig(n)
	n.requestCounts = map[string]int{}
	n.running, n.links, n.startedAt, n.gone = true, map[*link]bool{}, sim.now(), make(chan struct{})
	n.ended, n.reloads, n.turn = make(chan error, 1), make(chan node.Reload), make(chan struct{})
	if prior == nil {
		n.clients = newListener(n)
	} else {
		n.clients = prior.proc.clients // until the handover gives it its own listener
	}
	if sim.plan.hasControl() {
		n.control = newListener(n)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	log := slog.New(slog.DiscardHandler)
	if sim.recorder.nodes != nil {
		log = slog.New(
			slog.NewTextHandler(
				nodeLogWriter{sim, n.name},
				&slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: noTime},
			),
		)
	}
	go n.serve(ctx, prior, nodeLog{slog.New(selfCheckHandler{log.Handler(), &sim.selfChecks, n.name})})
	sim.trace("%s starts", n.name)
	return n
}

// openListeners opens the listeners of a process, as the successor of the process that listens at prior, if any.
func (n *process) openListeners(prior *successorListener) (d node.Listeners, err error) {
	d = node.Listeners{Clients: n.clients, Reloads: n.reloads}
	if n.control != nil {
		d.Control = n.control
	}
	if n.simulation.plan.replacesProcesses() {
		d.Successors = newSuccessorListener(n)
	}
	if prior != nil {
		successorEnd, predecessorEnd := newHandoverLink(n, prior.proc)
		select {
		case prior.incoming <- predecessorEnd:
		case <-prior.done:
			return d, net.ErrClosed
		}
		if d.Predecessor, d.Clients, err = handover.Handshake(successorEnd, n.listen, n.config.Limits.HandoverMessageTimeout); err == nil {
			n.clients = d.Clients.(*listener)
		}
	}
	return d, err
}

// serve runs a process until it ends.
func (n *process) serve(ctx context.Context, prior *successorListener, log nodeLog) {
	d, err := n.openListeners(prior)
	if err == nil {
		err = node.Serve(ctx, n.platform(), n.config, d, log.Logger)
	}
	n.ended <- err
	n.simulation.wakeUp()
}

const (
	// killDelay is the time between SIGTERM and SIGKILL.
	killDelay = 3700 * time.Millisecond
	// killExemption is the node's drain grace: requests taken within it after SIGTERM keep their deadline and may be lost at SIGKILL.
	// Requests taken later must be answered before that.
	killExemption = 700 * time.Millisecond
)

// terminate sends SIGTERM to a node, and SIGKILL if it has not ended killDelay later. Then then is called, if set.
func (sim *Simulation) terminate(n *process, then func()) {
	if !n.running || n.terminatedAt > 0 {
		return
	}
	sim.trace("%s SIGTERM", n.name)
	n.terminatedAt = sim.now()
	n.stop()
	sim.After(ms(200+200*sim.random.Float64()), func() { n.ready = false })
	deadline := sim.now() + killDelay
	var poll func()
	poll = func() {
		if !n.running {
			return
		}
		select {
		case err := <-n.ended:
			n.ended <- err
			sim.processExited(n)
		default:
			if sim.now() < deadline {
				sim.After(20*time.Millisecond, poll)
				return
			}
			sim.kill(n, n.terminatedAt+killExemption)
		}
		if then != nil {
			then()
		}
	}
	sim.After(20*time.Millisecond, poll)
}

// processExited handles a process that has ended by itself.
func (sim *Simulation) processExited(n *process) {
	err := <-n.ended
	n.ended <- err
	sim.trace("%s ends: %v", n.name, err)
	if n.openEndpoints.Load() != 0 {
		sim.fail(
			"leak",
			fmt.Sprintf("%s has ended and left %d connections open", n.name, n.openEndpoints.Load()),
			n.name,
			"",
		)
	}
	sim.processGone(n, 0)
	if err != nil {
		sim.fail("crash", err.Error(), n.name, "")
	}
}

// kill ends a node's process at once. Requests that it took before the given time are exempt from the rules.
func (sim *Simulation) kill(n *process, excused time.Duration) {
	if !n.running {
		return
	}
	sim.trace("%s is killed", n.name)
	sim.processGone(n, excused)
}

// processGone does what the kernel does after a process has ended. Requests that it took before the given time are exempt from the
// rules, unless another process of the node is still running.
func (sim *Simulation) processGone(n *process, excused time.Duration) {
	other := n.otherProcess()
	if other == nil {
		sim.observe(tracecheck.Event{Kind: tracecheck.Killed, Node: n.name, Until: excused})
	}
	sim.mu.Lock()
	n.killed, n.running, n.ready = true, false, false
	waited := sim.stopWaiting(n)
	sim.mu.Unlock()
	for _, d := range sim.pendingDials {
		if d.node == n {
			d.settle(dialResult{err: syscall.ECONNABORTED})
		}
	}
	close(n.gone)
	n.stop()
	n.clients.Close()
	if n.control != nil {
		n.control.Close()
	}
	for _, e := range n.handoverEnds {
		e.Close()
	}
	if other != nil { // connections not yet accepted can be accepted there
		for _, e := range n.clients.backlog {
			other.takeOver(e.link)
		}
	}
	sim.resetLinks(n)
	if waited {
		n.turn <- struct{}{}
	}
	if n.gossip != nil {
		sim.closeDatagramSockets(n)
	}
}

// stopWaiting removes a process from those that wait for their turn, and reports whether it was among them. The caller holds mu.
func (sim *Simulation) stopWaiting(n *process) bool {
	i := slices.Index(sim.waiting, n)
	if i < 0 {
		return false
	}
	sim.waiting = slices.Delete(sim.waiting, i, i+1)
	return true
}

// resetLinks resets the connections of a process that has ended.
func (sim *Simulation) resetLinks(n *process) {
	for _, l := range sortedLinks(n.links) {
		l.request = nil
		if !l.farClosed && !l.broken {
			l.farClosed = true
			sim.schedule(sim.now()+sim.latency(l), func() {
				if l.far != nil && !l.machine.isolated {
					l.far.Closed(true)
				}
			})
		}
		l.broken = true
		l.endpoint.closedByPeer(true)
	}
	n.links = map[*link]bool{}
	n.openEndpoints.Store(0)
}

// closeDatagramSockets closes the datagram sockets of a process that has ended.
func (sim *Simulation) closeDatagramSockets(n *process) {
	sim.mu.Lock()
	n.gossip.killed = true
	waited := sim.stopWaiting(n.gossip)
	for address, s := range sim.sockets {
		if s.process == n {
			delete(sim.sockets, address)
		}
	}
	sim.mu.Unlock()
	if waited {
		n.gossip.turn <- struct{}{}
	}
}

// otherProcess returns another running process of the node, or nil.
func (n *process) otherProcess() *process {
	for _, o := range n.simulation.processes() {
		if o != n && o.name == n.name && o.running {
			return o
		}
	}
	return nil
}

// processes lists all running and former processes of all nodes, the current ones first.
func (sim *Simulation) processes() []*process { return slices.Concat(sim.nodes, sim.replaced) }

// readinessProbe is a load balancer in front of the nodes that checks whether a node is ready.
type readinessProbe struct {
	simulation *Simulation
	process    *process
	conn       fake.Conn
	retry      func()
}

// Opened implements fake.Opener.
func (a *readinessProbe) Opened(c fake.Conn) {
	a.conn = c
	c.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
}

// Data implements fake.Handler.
func (a *readinessProbe) Data(p []byte) {
	_, code, _ := fake.RequestLine(p)
	a.conn.Close()
	if code == "200" && a.process.terminatedAt == 0 {
		a.process.ready = true
		return
	}
	a.simulation.After(50*time.Millisecond, a.retry)
}

// Closed implements fake.Handler.
func (a *readinessProbe) Closed(bool) { a.simulation.After(50*time.Millisecond, a.retry) }
