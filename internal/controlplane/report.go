package controlplane

import (
	"maps"
	"slices"
	"time"

	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
)

// Report is a node's view of the control plane, as shown to operators. The fields from Budgets to ReleaseWaitReason are set only on a
// replica.
type Report struct {
	Member            string            `json:"member"`
	IsReplica         bool              `json:"seat"` // in a consensus group, so that it has the replicated state
	Group             consensus.GroupID `json:"group"`
	Leader            string            `json:"leader"`
	IsLeader          bool              `json:"leads"`
	Term              uint64            `json:"term"`
	AppliedIndex      uint64            `json:"index"`
	Voters            []string          `json:"voters"`
	PollTargets       []string          `json:"seats"` // replicas that other requests can be sent to
	UnavailableReason string            `json:"trouble,omitempty"`
	ActiveGrant       uint64            `json:"holds,omitempty"`
	DrainedWorkers    []string          `json:"drains"`
	Registered        bool              `json:"known"`
	Stats             Stats             `json:"counts"`
	UnavailableNodes  int               `json:"out_nodes"`

	Budgets         disruption.Budgets            `json:"budgets"`
	Members         map[string]*disruption.Member `json:"members,omitempty"`
	Grants          []disruption.Grant            `json:"permits"`
	PendingRequests []disruption.PendingRequest   `json:"queue"`
	Observed        disruption.Observed           `json:"seen"`
	Unhealthy       map[string]string             `json:"bad,omitempty"`
	History         []disruption.HistoryEntry     `json:"history"`
	Consensus       consensus.Stats               `json:"accord"`

	ReleasePlan         *rollout.Plan                   `json:"release,omitempty"`
	ReleaseID           string                          `json:"release_id,omitempty"`
	ReleasePhase        rollout.Phase                   `json:"release_phase"`
	ReleasePhaseText    string                          `json:"release_says"`
	ReleaseReason       string                          `json:"release_why,omitempty"`
	ReleaseActionNeeded string                          `json:"release_needs,omitempty"`
	ReleaseNodes        map[string]rollout.NodeProgress `json:"release_nodes,omitempty"`
	Batch               int                             `json:"batch"`
	BatchResults        []rollout.BatchResult           `json:"steps,omitempty"`
	Comparisons         []rollout.Comparison            `json:"figures,omitempty"` // most recent ones of the leader
	ReleaseWaitReason   string                          `json:"waits,omitempty"`   // what the leader waits for

	Settings *SettingsReport `json:"settings,omitempty"` // nil if the fleet has no managed settings
}

// Report returns this node's view of the control plane. The caller may keep and modify it.
func (a *Agent) Report(now time.Duration) *Report {
	a.now = max(a.now, now)
	report := &Report{
		Member:            a.config.Name,
		IsReplica:         a.HasState(),
		Group:             a.poller.epoch,
		Leader:            a.poller.preferred,
		Voters:            []string{},
		PollTargets:       a.config.Replicas,
		UnavailableReason: a.UnavailableReason(),
		ActiveGrant:       a.exit.grantID,
		DrainedWorkers:    []string{},
		Registered:        a.assignment.registered,
		Stats:             a.stats,
		Grants:            []disruption.Grant{},
		PendingRequests:   []disruption.PendingRequest{},
		History:           []disruption.HistoryEntry{},
	}
	for _, drain := range a.assignment.workerDrains {
		report.DrainedWorkers = append(report.DrainedWorkers, drain.Worker)
	}
	if a.distributor != nil {
		report.Settings = a.settingsReport()
	}
	if report.IsReplica {
		a.reportConsensus(report)
		a.reportDisruption(report)
		a.reportRelease(report)
	}
	return report
}

func (a *Agent) reportConsensus(report *Report) {
	report.Group, _ = a.consensus.Epoch()
	report.Leader = a.consensus.Leader()
	report.IsLeader = a.consensus.IsLeader()
	report.Term, _ = a.consensus.Progress()
	report.AppliedIndex = a.state.appliedIndex
	report.Consensus = a.consensus.Stats()
	for _, voter := range a.consensus.Voters() {
		report.Voters = append(report.Voters, voter.Node)
	}
}

func (a *Agent) reportDisruption(report *Report) {
	state := *a.state.disruption
	if report.IsLeader { // current observations rather than those of the last command
		state.Observed = *a.observe()
	}
	report.Budgets = state.Budgets
	report.Observed = state.Observed
	report.UnavailableNodes = state.UnavailableNodes()
	report.Unhealthy = maps.Clone(state.Unhealthy)
	report.History = slices.Clone(state.History)
	report.Members = map[string]*disruption.Member{}
	for name, member := range state.Members {
		copied := *member
		report.Members[name] = &copied
	}
	for _, grant := range state.Grants {
		copied := *grant
		copied.PendingNodes = slices.Clone(grant.PendingNodes)
		report.Grants = append(report.Grants, copied)
	}
	for _, request := range state.Queue {
		report.PendingRequests = append(report.PendingRequests, *request)
	}
}

func (a *Agent) reportRelease(report *Report) {
	release := a.state.rollout
	report.ReleasePhase = release.Phase
	report.ReleasePhaseText = release.Phase.String()
	if release.Plan == nil {
		return
	}
	plan := *release.Plan
	report.ReleasePlan = &plan
	report.ReleaseID = release.ID
	report.ReleaseReason = release.Reason
	report.ReleaseActionNeeded = release.ActionNeeded
	report.Batch = release.Batch
	report.BatchResults = slices.Clone(release.BatchResults)
	report.ReleaseNodes = map[string]rollout.NodeProgress{}
	for name, progress := range release.Nodes {
		report.ReleaseNodes[name] = *progress
	}
	if report.IsLeader {
		comparisons, waitReason := a.leader.release.controller.Comparisons()
		report.Comparisons = slices.Clone(comparisons)
		report.ReleaseWaitReason = waitReason
	}
}
