// Package lightnode runs nodes without a data path: the product's own membership, control plane, discovery client and settings, on
// real sockets and in real time, without clients. It has no code of its own for anything that a scale run measures. Hundreds of
// nodes share a process.
package lightnode

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/replica"
	"swiftdeal/internal/controlplane/rollout"
	"swiftdeal/internal/discovery"
	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
	"swiftdeal/internal/membership/gossip"
	"swiftdeal/internal/membership/observation"
	"swiftdeal/internal/platform"
)

// Node is one light node.
type Node struct {
	machine      platform.Machine
	fleetConfig  *config.Fleet
	logger       *slog.Logger
	observations *observation.Tracker
	startedAt    time.Time

	mu        sync.Mutex
	config    *config.Config // as last loaded
	text      []byte
	endpoints config.EndpointList // as received from discovery

	service    *gossip.Service
	discovery  *discovery.Client
	drainer    *replica.Drainer
	drained    atomic.Bool
	synced     atomic.Bool // the node has received its assignment from the control plane
	retryTimer *time.Timer // starts the next watch; nil while none is due
	reloads    atomic.Int64

	inForce   configversion.ID // of the fleet's settings, in force here; guarded by mu, as what follows
	inForceAt time.Time
	applied   []replica.AppliedSettings
}

// Files are the texts of the files that a node is started with.
type Files struct {
	Config []byte // JSON
	Fleet  []byte // TOML
}

// read loads a configuration, or reloads it if there is a running one.
func read(text []byte, running *config.Config) (*config.Config, error) {
	env := func(key string) string { return map[string]string{"GW_CONFIG": "config.json"}[key] }
	open := func(string) ([]byte, error) { return text, nil }
	if running != nil {
		return config.Reload(env, open, running)
	}
	return config.Load(env, open)
}

// Start starts a node.
func Start(m platform.Machine, f Files, log *slog.Logger) (*Node, error) {
	c, err := read(f.Config, nil)
	if err != nil {
		return nil, err
	}
	fc, err := config.LoadFleet("fleet.toml", func(string) ([]byte, error) { return f.Fleet, nil })
	if err != nil {
		return nil, err
	}
	c.Fleet, c.ProgramVersion = fc, "0.1.0"
	n := &Node{
		machine:      m,
		startedAt:    time.Now(),
		config:       c,
		text:         f.Config,
		fleetConfig:  fc,
		logger:       log.With("node", c.Name),
		observations: observation.New(observation.DefaultLimits(c.Settings.Balance.SlowStartDuration)),
	}
	allIdle := func(workers []string, idle func([]string)) { go idle(workers) } // there are no attempts
	n.drainer = replica.NewDrainer(listHandler{n}, allIdle)
	n.discovery = discovery.New(c.Limits, m.Dial, c.Discovery.List(), 0, n.drainer, log)
	options := gossip.Options{
		Fleet:          fc,
		Name:           c.Name,
		ClientAddr:     c.Listen,
		ControlAddr:    c.Control,
		ProgramVersion: c.ProgramVersion,
		LocalState:     n.localState,
		BindTimeout:    c.Limits.BindTimeout,
	}
	if fc.BelieveObservations {
		options.OnObservations = n.applyObservations
	}
	if fc.ControlPlane != nil {
		options.NewSubprotocol = n.newReplica
	}
	n.service = gossip.New(m, options, n.logger)
	if err := n.service.Start(); err != nil {
		n.discovery.Close()
		return nil, fmt.Errorf("%s: member.listen: %w", c.Name, err)
	}
	n.discovery.Watch()
	return n, nil
}

// listHandler receives endpoint lists, after the drainer.
type listHandler struct{ node *Node }

// watchRetryDelay is the time from the failure of a watch to the next one.
const watchRetryDelay = time.Second

// AwaitListEvents implements discovery.Handler: events take effect at once.
func (listHandler) AwaitListEvents() {}

// HandleListEvent implements discovery.Handler.
func (l listHandler) HandleListEvent(kind balance.EndpointUpdate, update config.EndpointList) {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	switch kind {
	case balance.FailedUpdate:
		if n.retryTimer == nil {
			n.retryTimer = time.AfterFunc(watchRetryDelay, func() {
				n.mu.Lock()
				n.retryTimer = nil
				n.mu.Unlock()
				n.discovery.Watch()
			})
		}
	case balance.FullUpdate, balance.DeltaUpdate:
		n.endpoints = n.endpoints.Merge(update)
	}
}

// name returns the node's name in the fleet.
func (n *Node) name() string {
	if n.fleetConfig.MemberName != "" {
		return n.fleetConfig.MemberName
	}
	return n.config.Name
}

// newReplica creates the node's control plane replica. It returns nil on failure.
func (n *Node) newReplica(instanceID uint64, now time.Duration) gossip.Subprotocol {
	s, err := replica.New(
		replica.Config{
			Fleet:             n.fleetConfig,
			Name:              n.name(),
			ProgramVersion:    "0.1.0",
			InstanceID:        instanceID,
			SlowStartDuration: n.config.Settings.Balance.SlowStartDuration,
			LockTimeout:       n.config.Limits.BindTimeout,
			Random:            n.machine.Random,
			Drainer:           n.drainer,
		},
		host{n},
		now,
		n.logger,
	)
	if err != nil {
		n.logger.Error("control plane unavailable", "error", err)
		return nil
	}
	return s
}

// servedPerSecond is the number of requests per second that a light node reports. A node that reported none would send shorter
// messages than one with clients.
const servedPerSecond = 6.5

// localState returns the state that the node announces: a small load, and free capacity for each class.
func (n *Node) localState() gossip.LocalState {
	n.mu.Lock()
	defer n.mu.Unlock()
	state := gossip.LocalState{
		State: host{n}.State(),
		Load: codec.Load{
			InFlight:        1,
			ServedPerSecond: servedPerSecond,
			Workers:         uint32(len(n.endpoints.Endpoints)),
			FreeCapacity:    map[string]int32{},
		},
	}
	for _, name := range n.config.Settings.ClassNames() {
		state.Load.FreeCapacity[name] = int32(len(n.endpoints.Endpoints))
	}
	return state
}

// applyObservations evaluates the observations of other nodes as a node does, without effect.
func (n *Node) applyObservations(received []membership.MemberObservations) {
	var all []codec.Observation
	for _, t := range received {
		all = append(all, t.Observations...)
	}
	n.observations.Receive(time.Duration(time.Now().UnixNano()), all)
}

// host is the interface of the node to its control plane replica.
type host struct{ node *Node }

// State implements replica.Host.
func (h host) State() codec.ServiceState {
	if h.node.drained.Load() {
		return codec.Draining
	}
	return codec.Serving
}

// OutOfRotation implements replica.Host.
func (h host) OutOfRotation() bool { return h.node.drained.Load() }

// Idle implements replica.Host.
func (h host) Idle() bool { return true }

// Drain implements replica.Host.
func (h host) Drain() { h.node.drained.Store(true) }

// Resume implements replica.Host.
func (h host) Resume() { h.node.drained.Store(false) }

// SetSynced implements replica.Host.
func (h host) SetSynced(synced bool) { h.node.synced.Store(synced) }

// RequestCounts implements replica.Host: the load, spread over at most maxReportedClasses classes.
func (h host) RequestCounts() map[string]rollout.Count {
	h.node.mu.Lock()
	names := h.node.config.Settings.ClassNames()
	h.node.mu.Unlock()
	names = names[:min(len(names), maxReportedClasses)]
	served := int64(servedPerSecond * time.Since(h.node.startedAt).Seconds())
	counts := map[string]rollout.Count{}
	for i, name := range names {
		if n := (served + int64(i)) / int64(len(names)); n > 0 {
			counts[name] = rollout.Count{Served: n}
		}
	}
	return counts
}

// maxReportedClasses is the maximum number of classes whose request counts a node reports to the control plane.
const maxReportedClasses = 12

// ApplySettings implements replica.Host: it overlays the configuration with the version and validates it as a node does. It does
// not block the goroutine that owns the membership.
func (h host) ApplySettings(version *configversion.Version) {
	go func() {
		h.node.applyVersion(version)
		h.node.service.Do(func(time.Duration, gossip.Subprotocol) {}) // the owner fetches the results after each call
	}()
}

// TakeAppliedSettings implements replica.Host.
func (h host) TakeAppliedSettings() []replica.AppliedSettings {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	list := h.node.applied
	h.node.applied = nil
	return list
}

// SettingsKnown implements replica.Host.
func (h host) SettingsKnown() {}

// applyVersion puts a version of the fleet's settings in force, unless a later one is.
func (n *Node) applyVersion(version *configversion.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version.ID.Compare(n.inForce) <= 0 {
		return
	}
	s, err := configversion.Unpack(version.Body)
	if err == nil {
		_, err = n.config.WithOverlay(s.Settings)
	}
	if err != nil {
		n.logger.Error("fleet settings refused", "revision", version.ID.String(), "why", err)
		n.applied = append(n.applied, replica.AppliedSettings{ID: version.ID, RejectReason: err.Error()})
		return
	}
	n.inForce, n.inForceAt = version.ID, time.Now()
	n.applied = append(n.applied, replica.AppliedSettings{ID: version.ID})
}

// InForceSince returns the version of the fleet's settings in force, and since when.
func (n *Node) InForceSince() (configversion.ID, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inForce, n.inForceAt
}

// WorkerStates implements replica.Host.
func (h host) WorkerStates() (map[string]balance.WorkerState, map[string]int, time.Duration) {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	states, freeCapacity := map[string]balance.WorkerState{}, map[string]int{}
	for _, endpoint := range h.node.endpoints.Endpoints {
		states[endpoint.ID] = balance.WorkerState{
			ID: endpoint.ID, StartedAt: endpoint.StartedAt, SlowStartAt: endpoint.StartedAt,
		}
	}
	for _, name := range h.node.config.Settings.ClassNames() {
		freeCapacity[name] = len(states)
	}
	return states, freeCapacity, time.Duration(time.Now().UnixNano())
}

// Reload puts a configuration in force, as at SIGHUP: it is validated against the running one, and a new watch is started.
func (n *Node) Reload(text []byte) error {
	n.mu.Lock()
	running := n.config
	n.mu.Unlock()
	c, err := read(text, running)
	if err != nil {
		return err
	}
	c.Fleet, c.ProgramVersion = n.fleetConfig, running.ProgramVersion
	n.mu.Lock()
	n.config, n.text = c, text
	n.mu.Unlock()
	n.reloads.Add(1)
	n.discovery.SetAddresses(c.Discovery.List())
	n.discovery.Watch()
	return nil
}

// Text returns the text of the configuration in force.
func (n *Node) Text() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.text
}

// State is the size of a node's state.
type State struct {
	Members        [codec.Left + 1]int `json:"Members"`
	PendingUpdates int                 `json:"News"`
	Probes         int                 `json:"Probes"`
	Workers        int                 `json:"Workers"`
	Classes        int                 `json:"Classes"`
	CouncilHeard   bool                `json:"Told"` // the node has received its assignment from the control plane
}

// State returns the size of the node's state; ok is false if the node has left the fleet.
func (n *Node) State() (s State, ok bool) {
	sizes, ok := n.service.Sizes()
	n.mu.Lock()
	defer n.mu.Unlock()
	return State{
		Members:        sizes.Members,
		PendingUpdates: sizes.Broadcasts,
		Probes:         sizes.Probes,
		Workers:        len(n.endpoints.Endpoints),
		Classes:        len(n.config.Settings.Balance.Classes),
		CouncilHeard:   n.synced.Load(),
	}, ok
}

// ControlPlane returns the node's report on the control plane, or nil if there is none.
func (n *Node) ControlPlane() (report *controlplane.Report) {
	n.service.Do(func(now time.Duration, p gossip.Subprotocol) {
		if s, ok := p.(*replica.Service); ok {
			report = s.Report(now)
		}
	})
	return report
}

// Traffic returns the datagram traffic of the node.
func (n *Node) Traffic() gossip.Traffic { return n.service.Traffic() }

// Stop ends the node: it leaves the fleet, as at SIGTERM, or just ends, as in a crash.
func (n *Node) Stop(crash bool) {
	n.mu.Lock()
	if n.retryTimer != nil {
		n.retryTimer.Stop()
	}
	n.mu.Unlock()
	n.discovery.Close()
	if crash {
		n.service.Close()
	} else {
		n.service.Leave()
	}
}

// IgnoreEvents returns a logger for hundreds of nodes, which writes errors only.
func IgnoreEvents(to io.Writer) *slog.Logger {
	if to == nil {
		to = os.Stderr
	}
	return slog.New(slog.NewTextHandler(to, &slog.HandlerOptions{Level: slog.LevelError}))
}
