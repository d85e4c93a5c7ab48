// Package lightnode runs nodes without a data path: the control code of the product as it is (the view, the council's holder or seat,
// discovery's watch, the settings), on real sockets and in real time, with nobody to serve. It has no code of its own for anything
// that a scale run measures; hundreds of nodes share a process.
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
	member      platform.Machine
	fleetConfig *config.Fleet
	logger      *slog.Logger
	accounting  *observation.Tracker
	begun       time.Time

	mu     sync.Mutex
	config *config.Config // as last read
	text   []byte
	group  config.EndpointList // as discovery has told it

	service      *gossip.Service
	upstream     *discovery.Client
	drainer      *replica.Drainer
	drained      atomic.Bool
	councilHeard atomic.Bool
	watched      *time.Timer
	reloads      atomic.Int64

	inForce   configversion.ID // of the fleet's settings, in force here; guarded by mu, as what follows
	inForceAt time.Time
	applied   []replica.AppliedSettings
}

// Files is what a node is started with, as the product reads it: its configuration and its part in the fleet.
type Files struct {
	Config []byte // JSON
	Fleet  []byte // TOML
}

// read reads a configuration as the product does.
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
		member:      m,
		begun:       time.Now(),
		config:      c,
		text:        f.Config,
		fleetConfig: fc,
		logger:      log.With("node", c.Name),
		accounting:  observation.New(observation.DefaultLimits(c.Settings.Balance.SlowStartDuration)),
	}
	n.drainer = replica.NewDrainer(
		list{n},
		func(peers []string, quiet func([]string)) { go quiet(peers) },
	) // no attempt is anywhere
	n.upstream = discovery.New(c.Limits, m.Dial, c.Discovery.List(), 0, n.drainer, log)
	o := gossip.Options{
		Fleet:          fc,
		Name:           c.Name,
		ClientAddr:     c.Listen,
		ControlAddr:    c.Control,
		ProgramVersion: c.ProgramVersion,
		LocalState:     n.report,
		BindTimeout:    c.Limits.BindTimeout,
	}
	if fc.BelieveObservations {
		o.OnObservations = n.applyList
	}
	if fc.ControlPlane != nil {
		o.NewSubprotocol = n.part
	}
	n.service = gossip.New(m, o, n.logger)
	if err := n.service.Start(); err != nil {
		n.upstream.Close()
		return nil, fmt.Errorf("%s: member.listen: %w", c.Name, err)
	}
	n.upstream.Watch()
	return n, nil
}

// list takes what discovery tells, as the drainer leaves it.
type list struct{ node *Node }

// again is how soon a watch that has failed is asked for anew.
const again = time.Second

// AwaitListEvents implements discovery.Handler: events take effect at once.
func (list) AwaitListEvents() {}

// HandleListEvent implements discovery.Handler.
func (l list) HandleListEvent(kind balance.EndpointUpdate, g config.EndpointList) {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	switch kind {
	case balance.FailedUpdate:
		if n.watched == nil {
			n.watched = time.AfterFunc(again, func() {
				n.mu.Lock()
				n.watched = nil
				n.mu.Unlock()
				n.upstream.Watch()
			})
		}
	case balance.FullUpdate, balance.DeltaUpdate:
		n.group = n.group.Merge(g)
	}
}

// name is the node's in the fleet.
func (n *Node) name() string {
	if n.fleetConfig.MemberName != "" {
		return n.fleetConfig.MemberName
	}
	return n.config.Name
}

// part makes the node's part in the council.
func (n *Node) part(life uint64, now time.Duration) gossip.Subprotocol {
	s, err := replica.New(
		replica.Config{
			Fleet:             n.fleetConfig,
			Name:              n.name(),
			ProgramVersion:    "0.1.0",
			InstanceID:        life,
			SlowStartDuration: n.config.Settings.Balance.SlowStartDuration,
			LockTimeout:       n.config.Limits.BindTimeout,
			Random:            n.member.Random,
			Drainer:           n.drainer,
		},
		host{n},
		now,
		n.logger,
	)
	if err != nil {
		n.logger.Error("takes no part in the council", "error", err)
		return nil
	}
	return s
}

// load is what a light node says that it serves, jobs a second: a node that had nothing to tell would send shorter words than one
// with clients.
const load = 6.5

// report is what the node says of itself: that it serves a small load, and room for each class.
func (n *Node) report() gossip.LocalState {
	n.mu.Lock()
	defer n.mu.Unlock()
	o := gossip.LocalState{
		State: host{n}.State(),
		Load: codec.Load{
			InFlight:        1,
			ServedPerSecond: load,
			Workers:         uint32(len(n.group.Endpoints)),
			FreeCapacity:    map[string]int32{},
		},
	}
	for _, name := range n.config.Settings.ClassNames() {
		o.Load.FreeCapacity[name] = int32(len(n.group.Endpoints))
	}
	return o
}

// applyList takes what others tell of workers, and weighs it as a node would.
func (n *Node) applyList(told []membership.MemberObservations) {
	var all []codec.Observation
	for _, t := range told {
		all = append(all, t.Observations...)
	}
	n.accounting.Receive(time.Duration(time.Now().UnixNano()), all)
}

// host is the node as its part in the council sees it.
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
func (h host) SetSynced(told bool) { h.node.councilHeard.Store(told) }

// RequestCounts implements replica.Host: the load, spread over as many classes as a node tells of at most.
func (h host) RequestCounts() map[string]rollout.Count {
	h.node.mu.Lock()
	names := h.node.config.Settings.ClassNames()
	h.node.mu.Unlock()
	names = names[:min(len(names), mostCounts)]
	served := int64(load * time.Since(h.node.begun).Seconds())
	counts := map[string]rollout.Count{}
	for i, name := range names {
		if n := (served + int64(i)) / int64(len(names)); n > 0 {
			counts[name] = rollout.Count{Served: n}
		}
	}
	return counts
}

// mostCounts is how many classes a node tells the council of.
const mostCounts = 12

// ApplySettings implements replica.Host: the revision is laid over the configuration and checked as a node does it, beside
// the owner of the view.
func (h host) ApplySettings(r *configversion.Version) {
	go func() {
		h.node.follow(r)
		h.node.service.Do(func(time.Duration, gossip.Subprotocol) {}) // whoever owns the view looks after each call
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

// follow puts a revision of the fleet's settings into effect, unless a later one is.
func (n *Node) follow(r *configversion.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.ID.Compare(n.inForce) <= 0 {
		return
	}
	s, err := configversion.Unpack(r.Body)
	if err == nil {
		_, err = n.config.WithOverlay(s.Settings)
	}
	if err != nil {
		n.logger.Error("fleet settings refused", "revision", r.ID.String(), "why", err)
		n.applied = append(n.applied, replica.AppliedSettings{ID: r.ID, RejectReason: err.Error()})
		return
	}
	n.inForce, n.inForceAt = r.ID, time.Now()
	n.applied = append(n.applied, replica.AppliedSettings{ID: r.ID})
}

// InForceSince is the revision of the fleet's settings that is in force here, and since when.
func (n *Node) InForceSince() (configversion.ID, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inForce, n.inForceAt
}

// WorkerStates implements replica.Host.
func (h host) WorkerStates() (map[string]balance.WorkerState, map[string]int, time.Duration) {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	known, room := map[string]balance.WorkerState{}, map[string]int{}
	for _, p := range h.node.group.Endpoints {
		known[p.ID] = balance.WorkerState{ID: p.ID, StartedAt: p.StartedAt, SlowStartAt: p.StartedAt}
	}
	for _, name := range h.node.config.Settings.ClassNames() {
		room[name] = len(known)
	}
	return known, room, time.Duration(time.Now().UnixNano())
}

// Reload puts a configuration into effect, as at SIGHUP: it is read anew and checked against the running one, and discovery is
// asked anew.
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
	n.upstream.SetAddresses(c.Discovery.List())
	n.upstream.Watch()
	return nil
}

// Text is the configuration in force, as it was read.
func (n *Node) Text() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.text
}

// State is how much a node holds.
type State struct {
	Members        [codec.Left + 1]int `json:"Members"`
	PendingUpdates int                 `json:"News"`
	Probes         int                 `json:"Probes"`
	Workers        int                 `json:"Workers"`
	Classes        int                 `json:"Classes"`
	CouncilHeard   bool                `json:"Told"` // the council has said what concerns it
}

// State returns how much the node holds; ok is false where its part in the fleet has ended.
func (n *Node) State() (s State, ok bool) {
	z, ok := n.service.Sizes()
	n.mu.Lock()
	defer n.mu.Unlock()
	return State{
		Members:        z.Members,
		PendingUpdates: z.Broadcasts,
		Probes:         z.Probes,
		Workers:        len(n.group.Endpoints),
		Classes:        len(n.config.Settings.Balance.Classes),
		CouncilHeard:   n.councilHeard.Load(),
	}, ok
}

// ControlPlane is what the node knows of the council; nil where it has none.
func (n *Node) ControlPlane() (r *controlplane.Report) {
	n.service.Do(func(now time.Duration, p gossip.Subprotocol) {
		if s, ok := p.(*replica.Service); ok {
			r = s.Report(now)
		}
	})
	return r
}

// Traffic is what the node has sent and received in datagrams.
func (n *Node) Traffic() gossip.Traffic { return n.service.Traffic() }

// Stop ends the node: with a word to the others, as at SIGTERM, or without one, as a crash.
func (n *Node) Stop(crash bool) {
	n.mu.Lock()
	if n.watched != nil {
		n.watched.Stop()
	}
	n.mu.Unlock()
	n.upstream.Close()
	if crash {
		n.service.Close()
	} else {
		n.service.Leave()
	}
}

// IgnoreEvents is a log for hundreds of nodes: warnings alone.
func IgnoreEvents(to io.Writer) *slog.Logger {
	if to == nil {
		to = os.Stderr
	}
	return slog.New(slog.NewTextHandler(to, &slog.HandlerOptions{Level: slog.LevelError}))
}
