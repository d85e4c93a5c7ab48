package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/accounting"
	"swiftdeal/internal/admission"
	"swiftdeal/internal/config"
	"swiftdeal/internal/control"
	"swiftdeal/internal/discovery"
	"swiftdeal/internal/dispatch"
	"swiftdeal/internal/handover"
	"swiftdeal/internal/ingress"
	"swiftdeal/internal/invariant"
	"swiftdeal/internal/listen"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
	"swiftdeal/internal/response"
	"swiftdeal/internal/transport"
)

// Node is a running node. It is safe for concurrent use.
type Node struct {
	config  *config.Config // the configuration at process start
	limits  config.Limits  // of config; limits that change while the node runs are in limitsInForce
	machine platform.Machine
	log     *slog.Logger

	stages
	clients     net.Listener
	connections *connTracker
	discovery   *discovery.Client
	addresses   discoveryAddresses
	file        configFile
	listEvents  discovery.Handler // receives updates of the endpoint list
	invariants  *invariant.Monitor

	limitsInForce limitsInForce
	settings      settingsInForce
	drainState    drainState
	held          heldRequests
	handover      *processHandover // nil if this process neither replaces one nor can be replaced
	fleet         *fleetMember     // nil if the node is not a member of a fleet
	fleetSettings *fleetSettings   // nil if there are no fleet-wide settings

	serving atomic.Bool // client connections are accepted
	readyBy time.Time   // from then on the node is ready even without an endpoint list
	counters
}

// stages are the stages of request processing, in order.
type stages struct {
	ingress    *ingress.Reader
	admission  *admission.Controller
	dispatcher *dispatch.Dispatcher
	transport  *transport.Transport
	responder  *response.Writer
	accounting *accounting.Recorder
}

// counters are the counts that belong to no stage.
type counters struct {
	reloadsOK      atomic.Int64
	reloadsFailed  atomic.Int64
	acceptFailures atomic.Int64
}

// Listeners are the inputs of a node. Serve closes the listeners and links.
type Listeners struct {
	Clients     net.Listener
	Control     net.Listener               // nil for no control address
	Reloads     <-chan Reload              // nil for no reloads
	Predecessor *handover.Predecessor      // the process that this one replaces; nil if none
	Successors  handover.SuccessorListener // accepts the process that replaces this one; nil if it cannot be replaced
}

// Serve runs a node on the listeners until the context is canceled, and then drains it. New configurations are applied
// until it returns, also while it drains. It returns an error if the node cannot start or a listener fails. When it
// returns, everything that it started has ended.
func Serve(ctx context.Context, machine platform.Machine, c *config.Config, listeners Listeners, log *slog.Logger) error {
	n, err := newNode(machine, c, listeners, log)
	if err != nil {
		return err
	}
	return n.serve(ctx, listeners)
}

// serve is Serve for a node that has been created for the listeners.
func (n *Node) serve(ctx context.Context, listeners Listeners) error {
	workCtx, stop := context.WithCancel(context.Background()) // not canceled before the drain ends
	defer stop()
	endpoints := startingEndpoints(n.config, listeners.Predecessor)
	n.connect(endpoints.Version)
	defer n.transport.Close()
	defer n.discovery.Close()
	defer n.accounting.Stop()
	go n.dispatcher.Run(workCtx, n.transport, n.discovery)
	n.listEvents.HandleListEvent(balance.CachedUpdate, endpoints)
	go n.reloadLoop(workCtx, listeners.Reloads)
	failed := make(chan error, 2) // one for each server
	if listeners.Control != nil {
		server := control.New(n.limits, n, n.log)
		defer server.Close()
		go serveControl(server, listeners.Control, failed)
	}
	replaces := listeners.Predecessor != nil
	if replaces {
		n.shareLimits(true)
	}
	if n.handover != nil {
		defer n.handover.close()
		n.handover.begin(ctx, listeners.Predecessor)
	}
	if replaces {
		n.followDrain(listeners.Predecessor.Drain)
	}
	n.serving.Store(true)
	if err := n.fleet.join(replaces); err != nil {
		return err
	}
	defer n.fleet.leave()
	n.log.Info("serving", "name", n.config.Name, "listen", n.clients.Addr(), "workers", len(endpoints.Endpoints))
	return n.serveClients(ctx, failed)
}

// newNode creates the parts of a node. It starts none of them but the client listener.
func newNode(machine platform.Machine, c *config.Config, listeners Listeners, log *slog.Logger) (*Node, error) {
	balanceSettings := c.Settings.Balance
	balanceSettings.PollEndpoints = true // over sockets no list is pushed; the settings value is about the simulator's discovery
	metricsInterval := c.Limits.MetricsInterval
	if listeners.Control == nil { // nothing reads the metrics
		metricsInterval = 0
	}
	dispatcher, err := dispatch.New(balanceSettings, c.Seed, metricsInterval, machine.Order, log)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	dispatcher.SetMaxUnhandled(c.Limits.OpenRequests)
	monitor := invariant.NewMonitor(log)
	n := &Node{
		drainState: drainState{holdsNone: make(chan struct{})},
		config:     c, limits: c.Limits, machine: machine, log: log,
		stages: stages{
			ingress:    ingress.New(c.Limits),
			admission:  admission.New(c.Limits, c.Settings.Balance.Classes, dispatcher.ClientGone),
			dispatcher: dispatcher,
			responder:  response.New(c.Limits),
			accounting: accounting.New(c.Limits, c.Settings.ClassNames(), log),
		},
		connections:   newConnTracker(c.Limits, monitor),
		addresses:     discoveryAddresses{inForce: startingAddresses(c, listeners.Predecessor)},
		listEvents:    dispatcher,
		invariants:    monitor,
		limitsInForce: limitsInForce{limits: c.Limits, fromSettings: c.Limits},
		settings:      settingsInForce{settings: c.Settings, dispatcher: dispatcher},
		readyBy:       time.Now().Add(c.Limits.ReadyTimeout),
	}
	n.connections.options.EvictionAnswer = n.evictionAnswer
	n.connections.refuseHeld = func(count int) int { return n.held.refuse(count, n.noConnectionAnswer()) }
	n.accounting.SetObjectives(c.Settings.Balance.Classes)
	n.fleet = newFleetMember(n, machine, c, log)
	n.fleetSettings = newFleetSettings(c)
	n.listEvents = n.fleet.wrapDiscovery(n.listEvents)
	n.file.apply(c.FileText())
	if listeners.Predecessor != nil {
		n.file.rejected = listeners.Predecessor.RejectedFile
		n.fleet.inheritDrained(listeners.Predecessor.Drained, fromPredecessor)
	}
	if listeners.Successors != nil || listeners.Predecessor != nil {
		n.handover = newProcessHandover(n, newHandoverListener(listeners.Clients, n.acceptFailed), listeners.Successors)
		n.listEvents, n.clients = n.handover.endpoints, n.handover.listener
	} else {
		n.clients = listen.New(listeners.Clients, n.acceptFailed)
	}
	return n, nil
}

// startingEndpoints returns the endpoint list that the node starts with: the predecessor's, unless that of the
// configuration file is later.
func startingEndpoints(c *config.Config, predecessor *handover.Predecessor) config.EndpointList {
	if predecessor != nil && predecessor.Group.Version >= c.CachedEndpoints.Version {
		return predecessor.Group
	}
	return c.CachedEndpoints
}

// startingAddresses returns the addresses of discovery that the node starts with: those that reloads have put in force at the
// predecessor, which are newer than the GW_DISCOVERY variable.
func startingAddresses(c *config.Config, predecessor *handover.Predecessor) config.DiscoveryAddresses {
	if predecessor == nil || predecessor.Discovery == nil {
		return c.Discovery
	}
	return c.Discovery.Inherit(*predecessor.Discovery)
}

// connect creates the transport to the workers and the discovery client, which requests changes since a version of the
// endpoint list.
func (n *Node) connect(version int64) {
	n.transport = transport.New(n.limits, n.config.Settings, n.machine.Dial, attemptEvents{n.dispatcher, n.accounting})
	n.discovery = discovery.New(n.limits, n.machine.Dial, n.addresses.current().List(), version, n.listEvents, n.log)
	n.transport.SetMonitor(n.invariants)
	if n.handover != nil {
		n.transport.EnableMigration()
	}
}

// attemptEvents passes the results of attempts and health checks to the dispatcher, and written attempts to accounting.
type attemptEvents struct {
	*dispatch.Dispatcher
	accounting *accounting.Recorder
}

// AttemptWritten implements transport.Events.
func (e attemptEvents) AttemptWritten(c *request.Context) { e.accounting.AttemptWritten(c) }

// serveControl serves the control address until its server is closed.
func serveControl(server *control.Server, listener net.Listener, failed chan<- error) {
	if err := server.Serve(listener); err != nil {
		failed <- fmt.Errorf("control: %w", err)
	}
}

// serveClients serves clients until the context is canceled, and then drains the node. It returns early if a server
// fails.
func (n *Node) serveClients(ctx context.Context, failed chan error) error {
	server := &http.Server{
		Handler:           n,
		ReadHeaderTimeout: n.limits.HeadTimeout,
		IdleTimeout:       n.limits.IdleTimeout,
		MaxHeaderBytes:    n.limits.HeaderBytes,
		ConnState:         n.connections.stateChanged,
		ConnContext:       n.connections.connContext,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),

		DisableGeneralOptionsHandler: true,
	}
	go func() { failed <- server.Serve(n.connections.wrap(n.clients)) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	n.drainState.shutDown() // before the announcement, which reads this state
	n.fleet.announceDrain()
	n.log.Info("draining", "open", n.admission.OpenRequests(), "connections", n.connections.count())
	n.drain()
	server.Close()
	n.log.Info("drained", "open", n.admission.OpenRequests())
	return nil
}

// acceptFailed records an accept error after which the listener goes on accepting.
func (n *Node) acceptFailed(err error) {
	if n.acceptFailures.Add(1) == 1 { // later ones only show in the metrics
		n.log.Warn("accept failed, retrying", "error", err)
	}
}
