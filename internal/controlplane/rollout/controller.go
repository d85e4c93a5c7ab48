package rollout

import (
	"fmt"
	"time"
)

// Controller monitors the open release on the leader and determines which command is due. Its state is not replicated, so a new
// leader starts the soak time anew. It is not safe for concurrent use.
type Controller struct {
	releaseID string
	phase     Phase
	batch     int

	observations    *observations
	gate            gateProgress
	soak            soakTimer
	markedUnhealthy int // number of nodes that were marked unhealthy in this rollback
}

// gateProgress is the progress of a batch's gate as this leader has observed it.
type gateProgress struct {
	evaluations int   // of this release, made by this leader
	nextAt      int64 // the number of requests at updated nodes at which it is evaluated next
	comparisons []Comparison
	waitReason  string
}

// firstEvaluationAt is the number of requests at updated nodes at which the gate of a batch is first evaluated.
const firstEvaluationAt = 40

// soakTimer measures how long all nodes of a batch have been in service with the new version.
type soakTimer struct {
	running bool
	start   time.Duration
}

// NewController returns a controller without observations.
func NewController() *Controller {
	c := &Controller{}
	c.restart(0)
	return c
}

// Comparisons returns the latest comparisons, and what the gate or the batch waits for.
func (c *Controller) Comparisons() ([]Comparison, string) {
	return c.gate.comparisons, c.gate.waitReason
}

// NextCommand records the current observations of the release's nodes, by name, and returns the command that is due; nil if there
// is none. exceededBudget describes the budget that the unavailable nodes exceed; it is empty if there is none. now is monotonic
// time.
func (c *Controller) NextCommand(
	now time.Duration, s *State, observed map[string]NodeObservation, exceededBudget string,
) *Command {
	if !s.Phase.Open() {
		c.releaseID = ""
		return nil
	}
	c.restartOnChange(now, s)
	c.observations.add(now, s, observed)
	if action := c.haltForMissingNode(now, s, observed); action != nil {
		return c.command(s, action)
	}
	switch s.Phase {
	case PhaseRunning:
		return c.command(s, c.nextWhileRunning(now, s, observed, exceededBudget))
	case PhaseRollingBack:
		return c.command(s, c.nextInRollback(s))
	}
	return nil
}

func (c *Controller) command(s *State, action Action) *Command {
	if action == nil {
		return nil
	}
	return &Command{ReleaseID: s.ID, Action: action}
}

// restartOnChange restarts the comparison when the release, its phase or the batch has changed.
func (c *Controller) restartOnChange(now time.Duration, s *State) {
	if c.releaseID != s.ID || c.phase != s.Phase {
		if c.releaseID != s.ID {
			c.gate.evaluations = 0
		}
		c.restart(now)
		c.releaseID, c.phase, c.batch = s.ID, s.Phase, s.Batch
	}
	if c.batch != s.Batch {
		c.restart(c.observations.lastAddedAt)
		c.batch = s.Batch
	}
}

// restart discards all observations and starts a new comparison.
func (c *Controller) restart(now time.Duration) {
	c.observations = newObservations(now)
	c.gate = gateProgress{evaluations: c.gate.evaluations, nextAt: firstEvaluationAt}
	c.soak = soakTimer{}
	c.markedUnhealthy = 0
}

func (c *Controller) halt(unhealthy map[string]string, reason string) Action {
	return Halt{Reason: reason, Comparisons: c.gate.comparisons, Unhealthy: unhealthy}
}

// haltForMissingNode returns a Halt if a node has been out of service for longer than the plan's return timeout; nil otherwise.
func (c *Controller) haltForMissingNode(now time.Duration, s *State, observed map[string]NodeObservation) Action {
	timeout := time.Duration(s.Plan.ReturnTimeoutMs) * time.Millisecond
	for _, name := range s.sortedNodes(anyNode) {
		since, unavailable := c.observations.unavailableSince[name]
		if !unavailable || now-since < timeout {
			continue
		}
		node := s.Nodes[name]
		reason := fmt.Sprintf("%s has not come back within %v", name, timeout)
		switch {
		case s.Phase == PhaseRunning && (observed[name].ExitConfirmed || node.Attempted):
			return c.halt(c.observations.unhealthyNodes(s), reason)
		case s.Phase == PhaseRollingBack && node.Attempted && node.Status != StatusReverted:
			return c.halt(nil, reason)
		}
	}
	return nil
}

// nextInRollback marks nodes that have proved unhealthy, so that their exits consume no budget.
func (c *Controller) nextInRollback(s *State) Action {
	c.gate.waitReason = "nodes that go back"
	unhealthy := c.observations.unhealthyNodes(s)
	if len(unhealthy) <= c.markedUnhealthy {
		return nil
	}
	c.markedUnhealthy = len(unhealthy)
	return MarkUnhealthy{Nodes: unhealthy}
}

// nextWhileRunning halts the release, passes the batch, or returns nil while the batch has to wait.
func (c *Controller) nextWhileRunning(
	now time.Duration, s *State, observed map[string]NodeObservation, exceededBudget string,
) Action {
	if exceededBudget != "" {
		return c.halt(c.observations.unhealthyNodes(s), "budget overdrawn by failures: "+exceededBudget)
	}
	// Crashes are checked first because they show sooner than a difference in request outcomes.
	if reason := c.observations.crashVerdict(); reason != "" {
		return c.halt(c.observations.unhealthyNodes(s), reason)
	}
	counts := c.observations.gateCounts(s.Baseline)
	if action := c.evaluateEarly(s, counts); action != nil {
		return action
	}
	if !batchServes(s, observed) {
		c.soak = soakTimer{}
		c.gate.waitReason = "the batch's nodes"
		return nil
	}
	if c.soak.remaining(now, time.Duration(s.Plan.SoakMs)*time.Millisecond) > 0 {
		c.gate.waitReason = "the soak"
		return nil
	}
	return c.evaluateAtEnd(s, counts)
}

// batchServes reports whether all nodes of the current batch are in service with the new version.
func batchServes(s *State, observed map[string]NodeObservation) bool {
	if !s.batchUpdated() {
		return false
	}
	for _, name := range s.BatchNodes(s.Batch) {
		if !observed[name].Serving || !observed[name].Fresh {
			return false
		}
	}
	return true
}

// remaining returns the rest of the soak time. The first call starts the timer.
func (t *soakTimer) remaining(now, soak time.Duration) time.Duration {
	if !t.running {
		t.running = true
		t.start = now
	}
	return soak - (now - t.start)
}

// evaluateEarly halts a bad version before the end of the soak time. It evaluates the gate each time the number of requests has
// doubled. With so few evaluations, their combined probability of error stays small.
func (c *Controller) evaluateEarly(s *State, counts gateCounts) Action {
	total := counts.updated.sum().Total()
	if total < c.gate.nextAt {
		return nil
	}
	c.gate.nextAt = 2 * total
	verdict := c.evaluate(s, counts)
	if verdict.FailReason == "" {
		return nil
	}
	return c.halt(c.observations.unhealthyNodes(s), verdict.FailReason)
}

// evaluateAtEnd decides on the batch after the soak time, once there are enough requests for a decision.
func (c *Controller) evaluateAtEnd(s *State, counts gateCounts) Action {
	preview := s.Plan.Gate.evaluate(counts, max(1, c.gate.evaluations)) // cannot halt the release, so it does not count as an evaluation
	if preview.WaitReason != "" {
		c.gate.comparisons = preview.Comparisons
		c.gate.waitReason = preview.WaitReason
		return nil
	}
	verdict := c.evaluate(s, counts)
	if verdict.FailReason != "" {
		return c.halt(c.observations.unhealthyNodes(s), verdict.FailReason)
	}
	return PassGate{Batch: s.Batch, Verdict: "passed", Comparisons: verdict.Comparisons}
}

func (c *Controller) evaluate(s *State, counts gateCounts) Verdict {
	c.gate.evaluations++
	verdict := s.Plan.Gate.evaluate(counts, c.gate.evaluations)
	c.gate.comparisons = verdict.Comparisons
	return verdict
}
