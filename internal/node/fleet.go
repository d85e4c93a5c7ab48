package node

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/controlplane/replica"
	"swiftdeal/internal/discovery"
	"swiftdeal/internal/membership/codec"
	"swiftdeal/internal/membership/gossip"
	"swiftdeal/internal/membership/observation"
	"swiftdeal/internal/platform"
)

// fleetMember is the node's membership in its fleet. Nil stands for a node without a fleet; the methods that such a node
// calls may be called on nil. It is safe for concurrent use, except for methods whose comment names their caller.
type fleetMember struct {
	node    *Node
	machine platform.Machine
	config  *config.Config
	log     *slog.Logger

	startedAt   time.Time
	drainsKnown atomic.Bool      // the replica knows which workers are drained
	drainer     *replica.Drainer // sits between discovery and the dispatcher; nil without a control plane

	mu         sync.Mutex
	service    *gossip.Service // nil while another process of the node is the member
	joinBarred bool            // the process is terminating, so join does nothing

	observations     *observation.Tracker         // used by the dispatcher's goroutine only
	lastView         atomic.Pointer[balancerView] // nil before the first one
	restartsAccepted atomic.Int64                 // worker restarts accepted from other nodes' observations
	rates            requestRates                 // used by the membership's goroutine only
}

// newFleetMember returns the node's fleet membership, or nil if no fleet is configured.
func newFleetMember(n *Node, machine platform.Machine, c *config.Config, log *slog.Logger) *fleetMember {
	if c.Fleet == nil {
		return nil
	}
	return &fleetMember{
		node: n, machine: machine, config: c, log: log, startedAt: time.Now(),
		observations: observation.New(observation.DefaultLimits(c.Settings.Balance.SlowStartDuration)),
		rates:        requestRates{since: time.Now()},
	}
}

// name returns the node's name in the fleet.
func (f *fleetMember) name() string {
	if f.config.Fleet.MemberName != "" {
		return f.config.Fleet.MemberName
	}
	return f.config.Name
}

// hasControlPlane reports whether the fleet has a control plane.
func (f *fleetMember) hasControlPlane() bool { return f != nil && f.config.Fleet.ControlPlane != nil }

// wrapDiscovery returns a handler that applies the control plane's drained workers to discovery events before it passes
// them to events. Without a control plane it returns events.
func (f *fleetMember) wrapDiscovery(events discovery.Handler) discovery.Handler {
	if !f.hasControlPlane() {
		return events
	}
	f.drainer = replica.NewDrainer(events, f.node.dispatcher.IdleWorkers)
	return f.drainer
}

// drainedWorkers returns the workers that the control plane has drained. It may be called on nil.
func (f *fleetMember) drainedWorkers() []string {
	if f == nil || f.drainer == nil {
		return nil
	}
	return append([]string{}, f.drainer.Drained()...) // not nil, which a message could not tell from unchanged
}

// inheritDrained drains the workers that another process of the node knows to be drained, unless this process is the member and
// the control plane has told it. It reports whether the workers have changed. It may be called on nil.
func (f *fleetMember) inheritDrained(workers []string, from linkedProcess) (changed bool) {
	if f == nil || f.drainer == nil || from == fromPredecessor && f.drainsKnown.Load() {
		return false
	}
	if slices.Equal(workers, f.drainer.Drained()) {
		return false
	}
	f.drainer.SetDrained(workers)
	return true
}

// withDrained returns an endpoint list in which the workers that the control plane has drained are draining. It may be called on
// nil.
func (f *fleetMember) withDrained(list config.EndpointList) config.EndpointList {
	if f == nil || f.drainer == nil {
		return list
	}
	return f.drainer.Apply(list)
}

// join joins the fleet. A process that replaces another one waits for its address to become free: the predecessor
// releases it when it stops serving clients.
func (f *fleetMember) join(replaces bool) error {
	if f == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.service != nil || f.joinBarred {
		return nil
	}
	service := gossip.New(f.machine, f.options(replaces), f.log)
	if err := service.Start(); err != nil {
		return fmt.Errorf("fleet: member.listen: %w", err)
	}
	f.service = service
	return nil
}

// options returns the options of the membership service.
func (f *fleetMember) options(replaces bool) gossip.Options {
	options := gossip.Options{
		Fleet: f.config.Fleet, Name: f.config.Name, ClientAddr: f.config.Listen, ControlAddr: f.config.Control,
		ProgramVersion: f.config.ProgramVersion, Replaces: replaces, LocalState: f.localState, BindTimeout: f.node.limits.BindTimeout,
	}
	if f.config.Fleet.BelieveObservations {
		options.OnObservations = f.applyObservations
	}
	if f.hasControlPlane() {
		options.NewSubprotocol = f.newReplica
	}
	return options
}

// release stops the membership service without announcing it, because another process of the node continues as the same
// member.
func (f *fleetMember) release() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.service.Close()
	f.service = nil
}

// leave leaves the fleet.
func (f *fleetMember) leave() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.service.Leave()
	f.service = nil
}

// announceDrain announces that the process is terminating, and keeps it from joining again.
func (f *fleetMember) announceDrain() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.joinBarred = true
	f.service.RefreshLocalState()
}

// announceState announces that the node's state has changed. It does not wait, because its caller may hold locks that
// reading the state needs.
func (f *fleetMember) announceState() {
	if f != nil {
		go func() { f.currentService().RefreshLocalState() }()
	}
}

// currentService returns the membership service, or nil if there is none.
func (f *fleetMember) currentService() *gossip.Service {
	if f == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.service
}

// state returns the service state that the node announces.
func (f *fleetMember) state() codec.ServiceState {
	if draining, _ := f.node.drainState.draining(); draining {
		return codec.Draining
	}
	if f.node.Ready() {
		return codec.Serving
	}
	return codec.Starting
}

// FleetView implements control.Backend.
func (n *Node) FleetView() any {
	if report := n.fleet.currentService().Report(); report != nil {
		return report
	}
	return nil
}
