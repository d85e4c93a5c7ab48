package replica

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/controlplane/storage"
	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
	"swiftdeal/internal/membership/gossip"
)

// localReadsPerPeriod is how often per period the node's own state is read.
const localReadsPerPeriod = 4

// Config configures a Service.
type Config struct {
	Fleet             *config.Fleet // must have a control plane
	Name              string        // of the node in the fleet
	ProgramVersion    string
	InstanceID        uint64        // of this process, as in membership
	SlowStartDuration time.Duration // duration of a worker's slow start
	LockTimeout       time.Duration // how long to wait for another process that has the data directory open
	Random            func() uint64 // returns random numbers that are unique to this process
	Drainer           *Drainer
}

// Service runs a node's part in the control plane. All methods must be called from the goroutine that owns membership.
type Service struct {
	config    Config
	host      Host
	agent     *controlplane.Agent
	log       *slog.Logger
	persister persister
	actions   []controlplane.Action                 // held back, as the state of the first one could not be persisted
	waiters   map[uint64]chan<- controlplane.Result // by ticket

	membersReadAt    time.Duration
	localReadAt      time.Duration
	local            controlplane.LocalState
	samplePeers      func(n int) []string // nil until first used
	restartBegun     bool                 // whether the supervisor has begun to restart the process
	settingsNotified bool                 // whether the host was notified that the settings are known
}

// New starts the control plane service of a node that joins the fleet. If the node may be a replica and has a data directory configured,
// New opens the directory. It returns errors of storage.Open and controlplane.New.
func New(config Config, host Host, now time.Duration, log *slog.Logger) (*Service, error) {
	s := &Service{
		config: config, host: host, log: log, persister: persister{log: log},
		membersReadAt: -time.Hour, localReadAt: -time.Hour, waiters: map[uint64]chan<- controlplane.Result{},
	}
	settings := config.Fleet.ControlPlane
	var persisted *consensus.PersistentState
	if settings.DataDir != "" && settings.MayVote(config.Name) {
		file, state, err := storage.Open(settings.DataDir, config.Name, config.LockTimeout)
		if err != nil {
			return nil, err
		}
		s.persister.store, persisted = file, state
	}
	agentConfig := controlplane.Config{
		Name:           config.Name,
		Site:           config.Fleet.Site,
		Version:        config.ProgramVersion,
		InstanceID:     config.InstanceID,
		VoterID:        config.Random() | 1,
		Replicas:       settings.Replicas,
		Standbys:       settings.Standbys,
		ReplaceAfter:   settings.ReplaceAfter,
		Budgets:        settings.Budgets,
		Period:         config.Fleet.Period,
		Persisted:      persisted,
		Durable:        s.persister.store != nil,
		ManageSettings: config.Fleet.Settings != nil,
	}
	agent, err := controlplane.New(agentConfig, s.newRandom(), now)
	if err != nil {
		s.Close()
		return nil, err
	}
	s.agent = agent
	return s, nil
}

func (s *Service) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(s.config.Random(), s.config.Random()))
}

// Step implements gossip.Subprotocol.
func (s *Service) Step(now time.Duration, members *membership.Core) []gossip.Message {
	if s.agent.MayBeReplica() && now-s.membersReadAt >= s.config.Fleet.Period {
		s.membersReadAt = now
		s.agent.UpdateMembers(now, memberStatuses(members))
	}
	if now-s.localReadAt >= s.localReadInterval() {
		s.localReadAt = now
		s.local = s.readLocalState()
	}
	s.local.Incarnation = members.Self().Incarnation
	s.local.State = s.host.State()
	s.local.OutOfRotation = s.host.OutOfRotation()
	if s.agent.Distributor() != nil {
		s.local.SamplePeers = s.peerSampler(members)
		for _, applied := range s.host.TakeAppliedSettings() {
			s.agent.SettingsApplied(now, applied.ID, applied.RejectReason)
		}
	}
	s.agent.Step(now, s.local)
	return s.flush(now)
}

func memberStatuses(members *membership.Core) []controlplane.MemberStatus {
	view := members.View()
	statuses := make([]controlplane.MemberStatus, 0, len(view.Members))
	for _, m := range view.Members {
		statuses = append(statuses, controlplane.MemberStatus{
			Name: m.Name, Site: m.Site, InstanceID: m.InstanceID, Status: m.Status, State: m.State,
		})
	}
	return statuses
}

func (s *Service) localReadInterval() time.Duration {
	return s.config.Fleet.Period / localReadsPerPeriod
}

// peerSampler returns the function that picks random other members for the distribution of settings.
func (s *Service) peerSampler(members *membership.Core) func(n int) []string {
	if s.samplePeers == nil {
		random := s.newRandom()
		s.samplePeers = func(n int) []string { return members.Sample(n, random) }
	}
	return s.samplePeers
}

// readLocalState collects the state that the node reports to the control plane.
func (s *Service) readLocalState() controlplane.LocalState {
	drainer := s.config.Drainer
	local := controlplane.LocalState{
		Resumable: !s.restartBegun, RequestCounts: s.host.RequestCounts(), Quiesced: drainer.isQuiesced,
	}
	drainer.queryQuiesced()
	if s.agent.MayBeReplica() {
		workers, freeCapacity, now := s.host.WorkerStates()
		local.FreeCapacity = freeCapacity
		local.Workers = drainer.workerStatuses(now, s.config.SlowStartDuration, workers)
	}
	return local
}

// Receive implements gossip.Subprotocol.
func (s *Service) Receive(now time.Duration, from string, kind codec.Kind, payload []byte) {
	s.agent.Receive(now, from, kind, payload)
}

// NextStepAt implements gossip.Subprotocol.
func (s *Service) NextStepAt() time.Duration {
	next := min(s.agent.NextStepAt(), s.localReadAt+s.localReadInterval())
	if len(s.actions) > 0 {
		next = min(next, s.persister.retryAt)
	}
	return next
}

// Close implements gossip.Subprotocol. It fails the requests that are still waiting.
func (s *Service) Close() {
	s.persister.close()
	for ticket, reply := range s.waiters {
		reply <- controlplane.Result{Text: "the node ends its part in the fleet"}
		delete(s.waiters, ticket)
	}
}

// Submit submits an operator's request to the control plane. The result is sent on reply, which must be buffered.
func (s *Service) Submit(now time.Duration, request controlplane.OperatorRequest, reply chan<- controlplane.Result) {
	s.waiters[s.agent.Submit(now, request)] = reply
}

// SubmitSettings submits a request to replace the version base by settings with the given body, which is in the form that
// configversion.Pack returns. The result is sent on reply, which must be buffered.
func (s *Service) SubmitSettings(
	now time.Duration, body []byte, base configversion.ID, author, reason string, reply chan<- controlplane.Result,
) {
	s.waiters[s.agent.SubmitSettings(now, body, base, author, reason)] = reply
}

// Distributor returns the distributor of the fleet's settings, or nil if the fleet has no managed settings.
func (s *Service) Distributor() *configversion.Distributor { return s.agent.Distributor() }

// Report returns this node's view of the control plane.
func (s *Service) Report(now time.Duration) *controlplane.Report { return s.agent.Report(now) }
