// Package statespace explores all states of the grants in a small fleet: every order of requests, confirmations, replies, lost and
// duplicate messages, crashes, restarts, suspended processes, and a control plane that loses its state. The state machine is the
// product's disruption.State; nodes and messages are a model of package controlplane. The result is the number of states, and a trace
// to a state in which more nodes are out of service by plan than a budget allows.
//
// Files: explore (the search), state (a state, its copy and its key), transitions (what may happen in a state).
package statespace

import (
	"fmt"
	"slices"
)

// Model describes the fleet to explore: its size, its budgets, how often each fault may occur, and planted faults.
type Model struct {
	Nodes, Sites     int
	Budget           int // nodes that may be out of service at once
	SiteBudget       int // nodes of one site that may be out of service at once
	Crashes          int // crashes of a node
	Sleeps           int // suspensions of a node's process
	Forgets          int // times that the control plane loses its state and starts as a new group
	WriteOffs        int
	MaxStates        int  // states to explore; 0: all
	Trust            bool // planted fault: nodes unknown to a group are taken to be in service
	Unconfirmed      bool // planted fault: a node leaves service by its grant, without a confirmation
	ReleaseBySilence bool // planted fault: a grant ends when its holder is not heard from
	LateAnswers      bool // planted fault: a confirmation counts although the node has reported its return since it asked
}

// Result is the result of an exploration.
type Result struct {
	States, Steps int
	Complete      bool     // all states were explored
	ExitsBegun    int      // steps in which a node left service
	Trace         []string // descriptions of the steps to a violation of a budget; empty: none was found
}

// violation describes the budget that is exceeded after a node has left service; empty: none.
func (m *Model) violation(w *state, begun int) string {
	out, sites := 0, map[int]int{}
	for i, n := range w.nodes {
		if n.drained && !n.writtenOff {
			out++
			sites[i%m.Sites]++
		}
	}
	if out > m.Budget {
		return fmt.Sprintf("%d planned exits at once, %d allowed", out, m.Budget)
	}
	if s := sites[begun%m.Sites]; s > m.SiteBudget {
		return fmt.Sprintf("%d planned exits at once of a site, %d allowed", s, m.SiteBudget)
	}
	return ""
}

// visit is a state that was reached, and how.
type visit struct {
	state       *state // nil once its steps have been explored
	previous    int    // index of the visit that it was reached from
	description string // of the step from there
}

// exploration is a breadth-first search, so that a trace is as short as possible.
type exploration struct {
	model  *Model
	result Result
	keys   map[uint64]bool // of the states reached
	visits []visit
}

// Explore explores the states of a model until a budget is exceeded or MaxStates have been reached.
func Explore(m Model) Result {
	first := m.first()
	first.normalize()
	e := exploration{model: &m, keys: map[uint64]bool{first.key(): true}, visits: []visit{{state: first}}}
	e.result.Complete = e.run()
	e.result.States = len(e.keys)
	return e.result
}

// run reports whether it has explored all states.
func (e *exploration) run() (complete bool) {
	for at := 0; at < len(e.visits); at++ {
		from := e.visits[at].state
		for _, s := range e.model.next(from) {
			if !e.explore(s, from, at) {
				return false
			}
		}
		e.visits[at].state = nil
	}
	return true
}

// explore takes a step from the state of the visit at. It reports whether to go on.
func (e *exploration) explore(s step, from *state, at int) bool {
	e.result.Steps++
	reached := from.clone()
	if begun := s.apply(reached); begun >= 0 {
		e.result.ExitsBegun++
		if violation := e.model.violation(reached, begun); violation != "" {
			e.result.Trace = append(e.trace(at), s.description, violation)
			return false
		}
	}
	reached.normalize()
	key := reached.key()
	if e.keys[key] {
		return true
	}
	if e.model.MaxStates > 0 && len(e.keys) >= e.model.MaxStates {
		return false
	}
	e.keys[key] = true
	e.visits = append(e.visits, visit{reached, at, s.description})
	return true
}

// trace describes the steps to a visit.
func (e *exploration) trace(at int) (steps []string) {
	for i := at; i > 0; i = e.visits[i].previous {
		steps = append(steps, e.visits[i].description)
	}
	slices.Reverse(steps)
	return steps
}
