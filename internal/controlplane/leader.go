package controlplane

import (
	"bytes"
	"time"

	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
	"swiftdeal/internal/membership/codec"
)

// Leader: it determines from polls and from membership which nodes are in service, and proposes commands accordingly.

const (
	// maxPollAgePeriods is the age up to which a node's last poll is taken as its current state.
	maxPollAgePeriods = 4
	// maxPendingProposals limits the number of commands that are proposed but not yet applied.
	maxPendingProposals = 256
	// checksPerPeriod is how often per period a leader checks for commands to propose.
	checksPerPeriod = 2
)

// leaderState is the leader's state that is not replicated. A new leader starts with an empty one, so a node that has not polled it yet
// counts as out of service.
type leaderState struct {
	active        bool
	term          uint64        // in which this replica leads
	since         time.Duration // start of the term
	leaderlessFor time.Duration // time without a leader before the term

	members     map[string]MemberStatus    // by name; maintained on all replicas, leader or not
	lastPolls   map[string]*receivedPoll   // by node
	lastResults map[string]finishedRequest // last completed operator request of each node
	proposals   proposalTracker

	checkedAt     time.Duration // last check for commands to propose
	lastEvaluated []byte        // encoded evaluation for which pending requests were last reevaluated
	release       releaseWatch
	settings      settingsWatch
}

// receivedPoll is a node's most recent poll.
type receivedPoll struct {
	receivedAt time.Duration
	request    pollRequest
}

// finishedRequest is the result of an operator's request, kept for retries of the node that sent it.
type finishedRequest struct {
	seq    uint64
	result Result
}

// pendingProposal is a command that is proposed but not yet applied.
type pendingProposal struct {
	subject string       // at most one proposal per subject is pending
	node    string       // node that waits for the result; empty if none does
	request *pollRequest // that node's poll, or nil
}

// proposalTracker holds the pending proposals.
type proposalTracker struct {
	byID      map[uint64]pendingProposal
	bySubject map[string]uint64 // proposal IDs
}

func newProposalTracker() proposalTracker {
	return proposalTracker{byID: map[uint64]pendingProposal{}, bySubject: map[string]uint64{}}
}

// accepts reports whether a command on a subject may be proposed now.
func (t *proposalTracker) accepts(subject string) bool {
	_, pending := t.bySubject[subject]
	return !pending && len(t.bySubject) < maxPendingProposals
}

func (t *proposalTracker) add(id uint64, p pendingProposal) {
	t.bySubject[p.subject] = id
	t.byID[id] = p
}

// take removes and returns the proposal with the given ID.
func (t *proposalTracker) take(id uint64) (p pendingProposal, ok bool) {
	p, ok = t.byID[id]
	if ok {
		delete(t.byID, id)
		delete(t.bySubject, p.subject)
	}
	return p, ok
}

// reset clears everything but the members.
func (l *leaderState) reset() {
	*l = leaderState{
		members:     l.members,
		lastPolls:   map[string]*receivedPoll{},
		lastResults: map[string]finishedRequest{},
		proposals:   newProposalTracker(),
		checkedAt:   -time.Hour,
		release:     releaseWatch{controller: rollout.NewController()},
	}
}

// startTerm initializes the state for a new term as leader.
func (l *leaderState) startTerm(now time.Duration, term uint64, leaderlessFor time.Duration) {
	l.reset()
	l.active = true
	l.term = term
	l.since = now
	l.leaderlessFor = leaderlessFor
	l.release.withinBudgetAt = now
	l.settings.versionSeenAt = now
}

// runLeader performs the periodic work of the leader. On other replicas it only resets the leader's state.
func (a *Agent) runLeader() {
	term, _ := a.consensus.Progress()
	if !a.consensus.IsLeader() {
		if a.leader.active {
			a.leader.reset()
		}
		return
	}
	if !a.leader.active || a.leader.term != term {
		a.leader.startTerm(a.now, term, a.consensus.LeaderlessFor())
	}
	if a.now-a.leader.checkedAt < a.config.Period/checksPerPeriod {
		return
	}
	a.leader.checkedAt = a.now
	if !bytes.Equal(codec.Encode(a.state.disruption.Budgets), codec.Encode(a.config.Budgets)) {
		budgets := a.config.Budgets
		a.proposeDisruption("budgets", disruption.Configure{Budgets: &budgets, RequestedBy: a.config.Name}, nil)
		return
	}
	a.registerNodes()
	a.recordQuiesced()
	a.endWorkerGrants()
	if a.distributor != nil {
		a.proposeCarryOver()
		a.logPropagation()
	}
	observed := a.observe()
	a.reevaluateRequests(observed)
	a.driveRelease(observed)
}

// proposeDisruption proposes a command on grants whose result no node waits for.
func (a *Agent) proposeDisruption(subject string, action disruption.Action, observed *disruption.Observed) {
	a.propose(pendingProposal{subject: subject}, &logCommand{Disruption: &disruption.Command{Action: action, Observed: observed}})
}

// propose sets the command's timestamp and proposes it, unless a proposal on the same subject is pending.
func (a *Agent) propose(pending pendingProposal, command *logCommand) {
	if !a.leader.proposals.accepts(pending.subject) {
		return
	}
	atMs := a.now.Milliseconds()
	switch {
	case command.Disruption != nil:
		command.Disruption.AtMs = atMs
	case command.Rollout != nil:
		command.Rollout.AtMs = atMs
	}
	id, err := a.consensus.Propose(codec.Encode(command))
	if err != nil {
		return // the requesting node retries, or the next check proposes it again
	}
	a.stats.Proposals++
	a.leader.proposals.add(id, pending)
	a.collect()
}

// handleApplied removes an applied command from the pending proposals and replies to the node that waits for it.
func (a *Agent) handleApplied(applied consensus.AppliedCommand) {
	if applied.ProposalID == 0 {
		return
	}
	pending, ok := a.leader.proposals.take(applied.ProposalID)
	if !ok || pending.request == nil {
		return
	}
	result, _ := applied.Result.(Result)
	reply := a.newPollReply(pending.node, pending.request, true)
	switch {
	case pending.request.Operator != nil:
		a.leader.lastResults[pending.node] = finishedRequest{pending.request.Seq, result}
		reply.Result = &result
	case result.OK:
		reply.ConfirmedGrant = pending.request.ConfirmGrant
	}
	a.sendReply(pending.node, reply)
}

// evaluation holds everything that determines whether a pending request can be granted.
type evaluation struct {
	Observed       *disruption.Observed `cbor:"1,keyasint"`
	Requests       []uint64             `cbor:"2,keyasint"`
	BlockedRelease string               `cbor:"3,keyasint"`
	Unhealthy      int                  `cbor:"4,keyasint"`
	Grants         []uint64             `cbor:"5,keyasint"`
}

// reevaluateRequests proposes to reevaluate the pending requests if the evaluation has changed since the last time.
func (a *Agent) reevaluateRequests(observed *disruption.Observed) {
	state := a.state.disruption
	if len(state.Queue) == 0 {
		return
	}
	present := evaluation{Observed: observed, BlockedRelease: state.BlockedRelease, Unhealthy: len(state.Unhealthy)}
	for _, request := range state.Queue {
		present.Requests = append(present.Requests, request.ID)
	}
	for _, grant := range state.Grants {
		present.Grants = append(present.Grants, grant.ID)
	}
	encoded := codec.Encode(present)
	if bytes.Equal(encoded, a.leader.lastEvaluated) {
		return
	}
	a.leader.lastEvaluated = encoded
	a.proposeDisruption("settle", disruption.Reevaluate{}, observed)
}

// settingsWatch tracks how long the current version of the settings takes to reach all nodes.
type settingsWatch struct {
	latestVersion     configversion.ID
	versionSeenAt     time.Duration
	propagationLogged bool // whether it was logged that all nodes use the version
}
