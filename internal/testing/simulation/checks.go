package simulation

import (
	"fmt"
	"slices"
	"time"

	"swiftdeal/internal/testing/tracecheck"
)

// networkSlack is added to the rules' time limits, to allow for network latency.
const networkSlack = 50 * time.Millisecond

// checkInvariants checks the invariants while all goroutines are blocked.
func (sim *Simulation) checkInvariants() {
	sim.recordViolations(sim.checker.Advance(sim.now()))
	for _, text := range sim.selfChecks.take() {
		sim.fail("own check", text, "", "")
	}
	for _, n := range sim.nodes {
		if !sim.checkNode(n) {
			return
		}
	}
	sim.pendingDials = slices.DeleteFunc(sim.pendingDials, (*pendingDial).isSettled)
	sim.countUnanswered()
	sim.checkStray()
}

// checkNode checks the connections and charges of a node's processes if anything has happened to them since the last check. It reports
// whether the charges are right.
func (sim *Simulation) checkNode(n *process) bool {
	procs := slices.DeleteFunc(
		sim.processes(),
		func(o *process) bool { return o.name != n.name || !o.running || o.killed },
	)
	isActive, connections := false, 0
	for _, o := range procs {
		isActive = isActive || o.active
		connections += int(o.openEndpoints.Load())
		o.active = false
	}
	if !isActive || slices.ContainsFunc(procs, func(o *process) bool { return o.charges == nil }) {
		return true
	}
	sim.checkDescriptors(n, len(procs), connections)
	return sim.checkCharges(n, procs)
}

// checkDescriptors checks that a node's processes together hold no more connections than the node's descriptor budget.
func (sim *Simulation) checkDescriptors(n *process, processes, connections int) {
	limits := n.config.Limits
	most := limits.ClientConns + limits.OverflowConns + limits.WorkerConns + 8*processes
	if connections > most {
		sim.fail(
			"descriptors",
			fmt.Sprintf("%s holds %d connections, %d are its budget", n.name, connections, most),
			n.name,
			"",
		)
	}
}

// checkCharges checks that a node charges each worker with exactly the attempts in flight, and reports whether it does.
func (sim *Simulation) checkCharges(n *process, procs []*process) bool {
	for _, m := range sim.machines {
		if m.worker == nil || sim.messagesInFlight > 0 {
			continue
		}
		out, charged := sim.checker.InFlight(n.name, m.name), 0
		for _, o := range procs {
			out += sim.unsettledDials(o, m)
			charged += o.charges(m.name)
		}
		if charged != out {
			sim.fail(
				"charges",
				fmt.Sprintf("%s charges %s with %d tries, %d are out", n.name, m.name, charged, out),
				n.name,
				"",
			)
			return false
		}
	}
	return true
}

// unsettledDials counts a process's pending dials to a worker for attempts.
func (sim *Simulation) unsettledDials(node *process, m *machine) (count int) {
	for _, d := range sim.pendingDials {
		if d.node == node && d.addr == m.addr && d.purpose != "probe" && !d.isSettled() {
			count++
		}
	}
	return count
}

// countUnanswered records, on every 16th step, the peak number of requests that a node has left unanswered for 5 ms.
func (sim *Simulation) countUnanswered() {
	if sim.steps%16 != 0 {
		return
	}
	for _, n := range sim.nodes {
		sim.outcome.MostOpen = max(
			sim.outcome.MostOpen,
			sim.checker.UnansweredSince(n.name, sim.now()-5*time.Millisecond),
		)
	}
}

// checkStray checks, on every 64th step, that no attempt outlives its request by more than 500 ms.
func (sim *Simulation) checkStray() {
	if sim.steps%64 != 0 || sim.outcome.Fault != "" {
		return
	}
	if e := sim.checker.Stray(sim.now(), 500*time.Millisecond); e != nil && !sim.closeUndetected[e.Request] {
		sim.fail("stray", "a try is still out though its request ended long ago", e.Node, e.Request, e.Worker)
	}
}

// observe passes an event to the checker.
func (sim *Simulation) observe(e tracecheck.Event) {
	e.At = sim.now()
	sim.recordViolations(sim.checker.Step(e))
}

func (sim *Simulation) recordViolations(v []tracecheck.Violation) {
	for _, v := range v {
		sim.outcome.Violations = append(sim.outcome.Violations, v)
		sim.fail(fmt.Sprintf("rule %d", v.Rule), v.Text, v.Node, v.Request, v.Workers...)
	}
}

// fail ends the simulation with a failure; only the first one is recorded in the outcome.
func (sim *Simulation) fail(what, text, node, request string, workers ...string) {
	sim.trace("FAULT %s: %s (node %s, request %s, peers %v)", what, text, node, request, workers)
	if sim.outcome.Fault == "" {
		sim.outcome.Fault, sim.outcome.Text, sim.outcome.At = what, text, sim.now()
		sim.outcome.Node, sim.outcome.Request, sim.outcome.Workers = node, request, workers
	}
}
