// Package gossip runs the membership protocol over UDP: it hosts the Core of package membership. One goroutine, the owner
// goroutine, owns the Core and the subprotocol that shares the socket; another one reads the socket. Exported methods of
// Service are safe for concurrent use. They may also be called on a nil Service, as a node without a fleet has it, and then
// do nothing.
package gossip

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
	"swiftdeal/internal/platform"
)

const (
	// bindRetryInterval is the interval of attempts to bind an address that another process still holds.
	bindRetryInterval = 20 * time.Millisecond
	// ownerTimeout is how long a call waits until the owner goroutine accepts it.
	ownerTimeout = time.Second
)

// LocalState holds what the node announces about itself.
type LocalState struct {
	State        codec.ServiceState
	Load         codec.Load
	Observations []codec.Observation
}

// Options configures a Service.
type Options struct {
	Fleet          *config.Fleet
	Name           string // member name, unless Fleet.MemberName is set
	ClientAddr     string
	ControlAddr    string
	ProgramVersion string
	Replaces       bool          // this process is the successor in a handover
	BindTimeout    time.Duration // how long to wait for an address that another process still holds
	// LocalState returns the node's current state. The owner goroutine calls it once per period; it must not block.
	LocalState func() LocalState
	// OnObservations receives other members' observations of workers. The owner goroutine calls it. It may be nil.
	OnObservations func([]membership.MemberObservations)
	// NewSubprotocol creates the subprotocol that shares the socket. instanceID is that of this member. It may be nil.
	NewSubprotocol func(instanceID uint64, now time.Duration) Subprotocol
}

// Service runs the membership protocol of one node.
type Service struct {
	options   Options
	machine   platform.Machine
	log       *slog.Logger
	fleetTag  uint32
	startedAt time.Time

	ownerCalls chan func()
	stop       chan struct{}
	closeOnce  sync.Once
	running    sync.WaitGroup

	// Used by the owner goroutine only.
	core             *membership.Core
	subprotocol      Subprotocol // nil if there is none
	socket           net.PacketConn
	localStateReadAt time.Duration // time of the last call of Options.LocalState

	sent     trafficCounter
	received trafficCounter
	drops    dropCounter
}

// New returns a service that has not been started.
func New(m platform.Machine, o Options, log *slog.Logger) *Service {
	if o.Fleet.MemberName != "" {
		o.Name = o.Fleet.MemberName
	}
	return &Service{
		options:    o,
		machine:    m,
		log:        log.With("part", "fleet"),
		fleetTag:   codec.FleetTag(o.Fleet.Name),
		startedAt:  time.Now(),
		ownerCalls: make(chan func()),
		stop:       make(chan struct{}),
	}
}

// Start opens the socket and runs the service until Leave or Close. If this process is the successor in a handover, the
// predecessor may still hold the address; Start then returns without an error and retries in the background.
func (s *Service) Start() error {
	socket, err := s.machine.ListenPacket(s.options.Fleet.Listen)
	if err != nil && (!s.options.Replaces || s.options.BindTimeout == 0) {
		return err
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		if err != nil {
			socket = s.awaitSocket(err)
		}
		if socket != nil {
			s.run(socket)
		}
	}()
	return nil
}

// awaitSocket retries to open the socket for up to BindTimeout. It returns nil if that has not succeeded, or if the service
// is closed meanwhile.
func (s *Service) awaitSocket(err error) net.PacketConn {
	for end := time.Now().Add(s.options.BindTimeout); time.Now().Before(end); {
		timer := time.NewTimer(bindRetryInterval)
		select {
		case <-timer.C:
		case <-s.stop:
			timer.Stop()
			return nil
		}
		var socket net.PacketConn
		socket, err = s.machine.ListenPacket(s.options.Fleet.Listen)
		if err == nil {
			return socket
		}
	}
	s.log.Error("fleet not joined, address in use", "address", s.options.Fleet.Listen, "error", err)
	return nil
}

// now returns the time on the core's clock, which is monotonic even if the machine's clock is changed.
func (s *Service) now() time.Duration { return time.Since(s.startedAt) }

// run is the main loop of the owner goroutine.
func (s *Service) run(socket net.PacketConn) {
	s.socket = socket
	inbox := make(chan datagram, inboxSize)
	s.running.Add(1)
	go s.readLoop(socket, inbox)
	defer socket.Close()
	s.createCore()
	if s.subprotocol != nil {
		defer s.subprotocol.Close()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if s.machine.Settle != nil {
			s.machine.Settle()
		}
		next := s.step()
		timer.Reset(next - s.now())
		select {
		case d := <-inbox:
			s.receive(d)
		case call := <-s.ownerCalls:
			call()
		case <-timer.C:
		case <-s.stop:
			s.flush()
			return
		}
	}
}

// createCore creates the core, and the subprotocol if there is one.
func (s *Service) createCore() {
	fleet := s.options.Fleet
	random := rand.New(rand.NewPCG(s.machine.Random(), s.machine.Random()))
	s.core = membership.New(membership.Config{
		Self: codec.Record{
			Identity:       codec.Identity{Name: s.options.Name},
			Site:           fleet.Site,
			Addr:           fleet.Advertise,
			ClientAddr:     s.options.ClientAddr,
			ControlAddr:    s.options.ControlAddr,
			ProgramVersion: s.options.ProgramVersion,
			Replaces:       s.options.Replaces,
		},
		InstanceID:  s.machine.Random(),
		Seeds:       fleet.Seeds,
		Period:      fleet.Period,
		MaxMembers:  fleet.MaxMembers,
		ForgetAfter: fleet.ForgetAfter,
	}, random, s.now())
	instanceID := s.core.Self().InstanceID
	if s.options.NewSubprotocol != nil {
		s.subprotocol = s.options.NewSubprotocol(instanceID, s.now())
	}
	s.log.Info("fleet joined",
		"fleet", fleet.Name, "member", s.options.Name, "site", fleet.Site, "address", fleet.Advertise, "instance", instanceID)
	s.localStateReadAt = -fleet.Period
}

// step runs all work that is due, and returns the time of the next step.
func (s *Service) step() (next time.Duration) {
	period := s.options.Fleet.Period
	if now := s.now(); now-s.localStateReadAt >= period {
		s.localStateReadAt = now
		s.setLocalState()
	}
	s.core.Step(s.now())
	next = min(s.core.NextStepAt(), s.localStateReadAt+period)
	if s.subprotocol != nil {
		s.sendMessages(s.subprotocol.Step(s.now(), s.core))
		next = min(next, s.subprotocol.NextStepAt())
	}
	s.flush()
	return next
}

// receive passes a datagram to the core, and a subprotocol message from an active member also to the subprotocol.
func (s *Service) receive(d datagram) {
	s.core.Receive(s.now(), d.from, d.packet)
	m, ok := d.packet.Message.(codec.SubprotocolMessage)
	if !ok || s.subprotocol == nil || d.packet.Recipient != s.options.Name {
		return
	}
	if s.core.VerifySender(d.from, d.packet.From) {
		s.subprotocol.Receive(s.now(), d.packet.From.Name, m.Number, m.Body)
	}
}

// setLocalState passes the node's current local state to the core.
func (s *Service) setLocalState() {
	state := s.options.LocalState()
	s.core.SetLocalState(s.now(), state.State, state.Load, state.Observations)
}

// flush sends the core's queued datagrams, logs its changes and passes on its observations.
func (s *Service) flush() {
	for _, d := range s.core.TakeOutgoing() {
		s.send(d)
	}
	for _, change := range s.core.TakeChanges() {
		s.logChange(change)
	}
	observations := s.core.TakeObservations()
	if len(observations) > 0 && s.options.OnObservations != nil {
		s.options.OnObservations(observations)
	}
	s.drops.log(s.log)
}

// runOnOwner runs a function on the owner goroutine and waits for it. It returns false if the function was not run: the
// service is closed, is still waiting for its address, or did not accept the call within ownerTimeout.
func (s *Service) runOnOwner(fn func()) bool {
	done := make(chan struct{})
	call := func() {
		fn()
		close(done)
	}
	timer := time.NewTimer(ownerTimeout)
	defer timer.Stop()
	select {
	case s.ownerCalls <- call:
		<-done
		return true
	case <-s.stop:
	case <-timer.C:
	}
	return false
}

// RefreshLocalState makes the service read the local state now instead of at its next period. It does not block.
func (s *Service) RefreshLocalState() {
	if s != nil {
		go s.runOnOwner(s.setLocalState)
	}
}

// Leave announces to the fleet that this node is leaving, and closes the service.
func (s *Service) Leave() {
	if s == nil {
		return
	}
	s.runOnOwner(func() {
		s.core.Leave(s.now())
		s.flush()
	})
	s.Close()
}

// Close stops the service without notifying the fleet. To other members this looks like a crash, unless a successor process
// takes over the address. It may be called more than once.
func (s *Service) Close() {
	if s == nil {
		return
	}
	s.closeOnce.Do(func() { close(s.stop) })
	s.running.Wait()
}
