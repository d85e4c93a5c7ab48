package rollout

import (
	"fmt"
	"slices"

	"swiftdeal/internal/controlplane/rejection"
)

// The commands that change the phase of a release.

func (a Start) apply(s *State, c commandContext) (Effects, error) {
	if s.Phase.Open() {
		return reject(ErrReleaseOpen, "release %s is open (%v); end it first", s.ID, s.Phase)
	}
	if a.Plan == nil {
		return reject(ErrInvalidPlan, "no plan")
	}
	if err := a.Plan.Validate(); err != nil {
		return reject(ErrInvalidPlan, "%v", err)
	}
	nodes, err := a.nodesToUpdate()
	if err != nil {
		return Effects{}, err
	}
	*s = State{
		Plan: a.Plan, ID: fmt.Sprintf("%s#%d", a.Plan.Name, c.index), Phase: PhaseRunning, Nodes: nodes, Baseline: a.Baseline,
		StartedBy: c.requestedBy, StartedAtMs: c.atMs, PhaseChangedAtMs: c.atMs,
	}
	s.assignBatches()
	return Effects{Requests: s.startBatch(0)}, nil
}

// nodesToUpdate returns the nodes that run the earlier version. It returns an error if there are none, or if a node's
// version or site is not in the plan.
func (a Start) nodesToUpdate() (map[string]*NodeProgress, error) {
	nodes := map[string]*NodeProgress{}
	for name, node := range a.Nodes {
		switch node.Version {
		case a.Plan.Version:
		case a.Plan.FromVersion:
			nodes[name] = &NodeProgress{Site: node.Site, UpdateLast: slices.Contains(a.UpdateLast, name)}
		default:
			return nil, rejection.New(ErrUnknownVersion,
				"%s runs version %s, which is neither release.version nor release.from", name, node.Version)
		}
		if len(a.Plan.Sites) > 0 && !slices.Contains(a.Plan.Sites, node.Site) {
			return nil, rejection.New(ErrInvalidPlan, "%s is of site %q, which release.sites does not name", name, node.Site)
		}
	}
	if len(nodes) == 0 {
		return nil, rejection.New(ErrUnknownVersion, "no node runs version %s", a.Plan.FromVersion)
	}
	return nodes, nil
}

func (Pause) apply(s *State, c commandContext) (Effects, error) {
	if s.Phase != PhaseRunning {
		return reject(ErrWrongPhase, "the release is %v, not running", s.Phase)
	}
	s.Phase = PhasePaused
	s.Reason = "by " + c.requestedBy
	return Effects{}, nil
}

func (Continue) apply(s *State, c commandContext) (Effects, error) {
	switch s.Phase {
	case PhasePaused:
		s.Phase = PhaseRunning
		s.Reason = ""
		return Effects{}, nil
	case PhaseRunning: // skips a gate that is still waiting
		if !s.batchUpdated() {
			return reject(ErrBatchNotDue, "batch %d is under way", s.Batch)
		}
		s.recordBatch(c.atMs, "passed by "+c.requestedBy+" by hand", nil)
		return Effects{Requests: s.startBatch(s.Batch + 1)}, nil
	case PhaseHalted:
		s.Phase = PhaseRunning
		s.Reason = ""
		s.ActionNeeded = ""
		return Effects{Requests: s.requestAgain()}, nil
	}
	return reject(ErrWrongPhase, "the release is %v", s.Phase)
}

func (a Halt) apply(s *State, c commandContext) (Effects, error) {
	effects := Effects{Unhealthy: a.Unhealthy}
	switch s.Phase {
	case PhaseRunning, PhasePaused:
		s.Phase = PhaseHalted
		s.Reason = a.Reason
		s.ActionNeeded = "look at why; then: release back, or release go to try on"
		s.recordBatch(c.atMs, "halted: "+a.Reason, a.Comparisons)
		s.HaltCount++
		if s.Plan.AutoRollback && c.requestedBy == "" {
			effects.Requests = s.startRollback("by itself: " + a.Reason)
		}
	case PhaseRollingBack:
		s.Phase = PhaseStuck
		s.Reason = a.Reason
		s.ActionNeeded = fmt.Sprintf(
			"mend what the reason names (restart the node with %s, or write it off); then: release back", s.Plan.FromVersion)
		s.recordBatch(c.atMs, "halted on the way back: "+a.Reason, a.Comparisons)
		s.HaltCount++
	default:
		return reject(ErrWrongPhase, "the release is %v already", s.Phase)
	}
	return effects, nil
}

func (RollBack) apply(s *State, c commandContext) (Effects, error) {
	if s.Phase == PhaseRollingBack {
		return reject(ErrWrongPhase, "the release is on its way back already")
	}
	return Effects{Requests: s.startRollback("by " + c.requestedBy)}, nil
}

func (a NextBatch) apply(s *State, _ commandContext) (Effects, error) {
	if s.Phase != PhaseRunning || a.Batch != s.Batch || !s.batchUpdated() {
		return reject(ErrBatchNotDue, "batch %d is not due", a.Batch+1)
	}
	return Effects{Requests: s.startBatch(s.Batch + 1)}, nil
}

func (a PassGate) apply(s *State, c commandContext) (Effects, error) {
	if s.Phase != PhaseRunning || a.Batch != s.Batch {
		return reject(ErrBatchNotDue, "batch %d is not to be judged", a.Batch)
	}
	s.recordBatch(c.atMs, a.Verdict, a.Comparisons)
	return Effects{Requests: s.startBatch(s.Batch + 1)}, nil
}

func (a RemoveNode) apply(s *State, _ commandContext) (Effects, error) {
	if s.Nodes[a.Node] == nil {
		return reject(ErrUnknownNode, "%s is not of the release", a.Node)
	}
	delete(s.Nodes, a.Node)
	s.completeIfDone()
	return Effects{}, nil
}

func (a MarkUnhealthy) apply(*State, commandContext) (Effects, error) {
	return Effects{Unhealthy: a.Nodes}, nil
}

func (a unknownAction) apply(*State, commandContext) (Effects, error) {
	return reject(ErrUnknownCommand, "a command that this version does not know (%d)", a.op)
}

func (s *State) recordBatch(atMs int64, verdict string, comparisons []Comparison) {
	if len(s.BatchResults) >= maxBatchResults {
		s.BatchResults = slices.Delete(s.BatchResults, 0, 1)
	}
	s.BatchResults = append(s.BatchResults, BatchResult{
		Batch: s.Batch, Nodes: s.BatchNodes(s.Batch), AtMs: atMs, Verdict: verdict, Comparisons: comparisons,
	})
}

// completeIfDone ends an update or a rollback if no node is left to do.
func (s *State) completeIfDone() {
	switch s.Phase {
	case PhaseRunning:
		for _, node := range s.Nodes {
			if node.Status != StatusUpdated {
				return
			}
		}
		s.Phase = PhaseCompleted
		s.Reason = ""
	case PhaseRollingBack, PhaseStuck:
		for _, node := range s.Nodes {
			if node.Attempted && node.Status != StatusReverted {
				return
			}
		}
		s.Phase = PhaseRolledBack
		s.ActionNeeded = ""
	}
}
