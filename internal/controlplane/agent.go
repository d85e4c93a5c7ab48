package controlplane

import (
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
	"swiftdeal/internal/membership/codec"
)

// ticksPerPeriod is the number of consensus ticks per period.
const ticksPerPeriod = 5

// Config configures an Agent.
type Config struct {
	Name       string // of this node
	Site       string
	Version    string // of the program
	InstanceID uint64 // of this process, as in membership
	VoterID    uint64 // random, unique to this process

	Replicas     []string      // nodes that run the control plane
	Standbys     []string      // nodes that may replace an absent replica
	ReplaceAfter time.Duration // absence after which a standby replaces a replica; 0: only when an operator requests it
	Budgets      disruption.Budgets
	Period       time.Duration // poll interval; 0 selects one second

	Persisted       *consensus.PersistentState // nil if there is none
	Durable         bool                       // emit PersistActions
	SnapshotEntries int                        // see consensus.Config
	ManageSettings  bool                       // the control plane distributes the fleet's settings
	IgnoreSettings  bool                       // for tests: behave like a program version without settings commands
}

// LocalState is the node's own state, which it reports in each poll.
type LocalState struct {
	State         codec.ServiceState
	Incarnation   uint64                   // as in membership
	OutOfRotation bool                     // clients are sent to other nodes
	Resumable     bool                     // the supervisor has not begun to restart the process, so the node can return to service
	RequestCounts map[string]rollout.Count // by class
	Workers       []WorkerStatus           // set only if the node may be a replica
	FreeCapacity  map[string]int           // additional jobs that fit, by class; set only if the node may be a replica
	Quiesced      func(worker string) bool // whether this node has no attempt in flight at a drained worker
	SamplePeers   func(n int) []string     // picks up to n random other members; nil if the fleet has no managed settings
}

// WorkerStatus is a worker's status as seen by this node.
type WorkerStatus struct {
	ID                string
	Site              string
	Kind              string
	UnavailableReason string // empty if the worker is in service
}

// MemberStatus is a node's status in membership.
type MemberStatus struct {
	Name       string
	Site       string
	InstanceID uint64
	Status     codec.Status
	State      codec.ServiceState
}

// Stats are totals since the process started.
type Stats struct {
	PollsSent         int64 `json:"Asks"`
	RepliesReceived   int64 `json:"Answers"`
	Proposals         int64 `json:"Proposed"`
	DrainsStarted     int64 `json:"Begun"`
	Returns           int64 `json:"Returned"`
	AutonomousReturns int64 `json:"Alone"` // returns to service while the control plane did not reply
}

// Agent implements one node's part in the control plane. It is not safe for concurrent use.
type Agent struct {
	config     Config
	random     *rand.Rand
	now        time.Duration
	nextStepAt time.Duration
	local      LocalState

	// Used only on nodes that may be replicas.
	consensus  *consensus.Replica // nil on other nodes
	state      *stateMachine
	leader     leaderState
	lastLeader string // leader that was last logged

	// Used on every node.
	poller      poller
	assignment  assignment
	exit        plannedExit
	requests    requestTracker
	distributor *configversion.Distributor // nil if the fleet has no managed settings

	actions []Action
	stats   Stats
}

// New creates an Agent. It fails if the persisted state is inconsistent.
func New(config Config, random *rand.Rand, now time.Duration) (*Agent, error) {
	if config.Period == 0 {
		config.Period = time.Second
	}
	config.Budgets.Replicas = slices.Sorted(slices.Values(config.Replicas))
	a := &Agent{
		config: config, random: random, now: now, state: newStateMachine(),
		poller: newPoller(slices.Concat(config.Replicas, config.Standbys), random, now),
	}
	a.state.ignoreSettings = config.IgnoreSettings
	if a.poller.isTarget(config.Name) {
		if err := a.startConsensus(); err != nil {
			return nil, err
		}
	}
	a.leader.reset()
	if config.ManageSettings {
		distributorConfig := configversion.Config{Name: config.Name, Period: config.Period}
		a.distributor = configversion.NewDistributor(distributorConfig, random, now)
		a.collect()
	}
	a.scheduleStep()
	return a, nil
}

func (a *Agent) startConsensus() (err error) {
	a.consensus, err = consensus.New(consensus.Config{
		Name:            a.config.Name,
		Replicas:        a.config.Replicas,
		Standbys:        a.config.Standbys,
		ID:              a.config.VoterID,
		TickInterval:    a.config.Period / ticksPerPeriod,
		ReplaceAfter:    a.config.ReplaceAfter,
		SnapshotEntries: a.config.SnapshotEntries,
		Persisted:       a.config.Persisted,
		Durable:         a.config.Durable,
	}, a.state, a.random, a.now)
	return err
}

// NextStepAt returns the time by which Step must be called.
func (a *Agent) NextStepAt() time.Duration { return a.nextStepAt }

// MayBeReplica reports whether this node may be a replica. If so, the host has to call UpdateMembers and to fill in the fields of
// LocalState that replicas need.
func (a *Agent) MayBeReplica() bool { return a.consensus != nil }

// Consensus returns the consensus replica, or nil if this node may not be one.
func (a *Agent) Consensus() *consensus.Replica { return a.consensus }

// HasState reports whether this node is a replica in a consensus group and therefore holds the replicated state.
func (a *Agent) HasState() bool {
	if a.consensus == nil {
		return false
	}
	epoch, _ := a.consensus.Epoch()
	return !epoch.IsZero()
}

// State returns the state that this replica has applied. The caller must not modify it.
func (a *Agent) State() (*disruption.State, *rollout.State) {
	return a.state.disruption, a.state.rollout
}

// TakeConfirmedExits returns and clears the confirmed exits that this replica has applied since the last call.
func (a *Agent) TakeConfirmedExits() []ConfirmedExit {
	exits := a.state.confirmedExits
	a.state.confirmedExits = nil
	if a.consensus != nil {
		epoch, _ := a.consensus.Epoch()
		for i := range exits {
			exits[i].Epoch = epoch
		}
	}
	return exits
}

// UpdateMembers replaces the membership status of all nodes. It has to be called once per period if MayBeReplica is true.
func (a *Agent) UpdateMembers(now time.Duration, members []MemberStatus) {
	a.now = max(a.now, now)
	if a.consensus == nil {
		return
	}
	a.leader.members = map[string]MemberStatus{}
	var peers []consensus.PeerStatus
	for _, member := range members {
		a.leader.members[member.Name] = member
		if a.poller.isTarget(member.Name) {
			peers = append(peers, consensus.PeerStatus{Name: member.Name, Reachable: member.Status <= codec.Suspect})
		}
	}
	a.consensus.UpdatePeers(now, peers)
}

// Step performs all work that is due. It may be called at any time and must be called by NextStepAt.
func (a *Agent) Step(now time.Duration, local LocalState) {
	a.now = max(a.now, now)
	a.local = local
	if a.consensus != nil {
		a.consensus.Step(now)
		a.collect()
		a.runLeader()
	}
	a.checkExit()
	if a.now >= a.poller.nextAt {
		a.poller.scheduleNext(a.now, a.config.Period, a.random)
		a.poll()
	}
	a.retryRequests()
	if a.distributor != nil {
		a.distributor.Step(a.now, a.peerSampler())
	}
	a.collect()
	a.scheduleStep()
}

// peerSampler returns the function with which the distributor picks members. If the host provides none, the distributor is stepped
// with one that picks no members: without that step it would stay due, and Step would be called in a loop.
func (a *Agent) peerSampler() func(n int) []string {
	if a.local.SamplePeers == nil {
		return func(int) []string { return nil }
	}
	return a.local.SamplePeers
}

// Receive handles the payload of a datagram from another node's Agent. Malformed payloads are dropped.
func (a *Agent) Receive(now time.Duration, from string, kind codec.Kind, payload []byte) {
	a.now = max(a.now, now)
	switch kind {
	case codec.KindConsensus:
		if a.consensus != nil {
			a.consensus.Receive(now, from, payload)
			a.collect()
		}
	case codec.KindPollRequest:
		var request pollRequest
		if a.consensus != nil && codec.Decode(payload, &request) == nil {
			a.handlePollRequest(from, &request)
			a.collect()
		}
	case codec.KindPollReply:
		var reply pollReply
		if codec.Decode(payload, &reply) == nil {
			a.handlePollReply(&reply)
		}
	case codec.KindConfigVersion:
		if a.distributor != nil {
			a.distributor.HandleMessage(now, from, payload)
			a.collect()
		}
	}
	a.scheduleStep()
}

// scheduleStep updates the time by which Step must be called.
func (a *Agent) scheduleStep() {
	next := min(a.poller.nextAt, a.requests.nextRetryAt(a.poller.nextAt))
	if a.consensus != nil {
		next = min(next, a.consensus.NextStepAt())
	}
	if a.distributor != nil {
		next = min(next, a.distributor.NextStepAt())
	}
	a.nextStepAt = max(next, a.now)
}

// collect takes over pending actions of consensus and of the settings distributor.
func (a *Agent) collect() {
	if a.consensus != nil {
		a.collectConsensus()
	}
	if a.distributor != nil {
		a.collectSettings()
	}
}

func (a *Agent) collectConsensus() {
	for _, action := range a.consensus.TakeActions() {
		switch action := action.(type) {
		case consensus.PersistAction:
			a.emit(PersistAction{State: action.State})
		case consensus.SendAction:
			a.send(action.Recipient, codec.KindConsensus, action.Payload)
		}
	}
	for _, applied := range a.consensus.TakeApplied() {
		a.handleApplied(applied)
	}
	for _, line := range a.consensus.TakeLogLines() {
		a.logf("%s", line)
	}
	if leader := a.consensus.Leader(); leader != a.lastLeader {
		a.lastLeader = leader
		term, _ := a.consensus.Progress()
		a.logf("leader is %q, term %d", leader, term)
	}
}
