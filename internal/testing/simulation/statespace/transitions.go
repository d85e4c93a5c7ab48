package statespace

import (
	"fmt"
	"slices"

	"swiftdeal/internal/controlplane/disruption"
)

// step is a transition to another state.
type step struct {
	description string
	apply       func(w *state) (begun int) // the node that leaves service; -1: none
}

// send puts a message on its way, unless the same one is.
func (w *state) send(m message) {
	if !slices.Contains(w.messages, m) {
		w.messages = append(w.messages, m)
	}
}

// next lists the steps from a state. Their order is always the same, as it is that in which states are reached.
func (m *Model) next(w *state) []step {
	t := &transitions{model: m, state: w, freeGrant: w.freeGrant()}
	for i := range w.nodes {
		t.addOperators(i)
		t.addObservations(i)
		if t.addProcess(i) {
			t.addNode(i)
		}
	}
	t.addStateLoss()
	for _, x := range w.messages {
		t.addMessage(x)
	}
	return t.list
}

// transitions collects the steps from a state.
type transitions struct {
	model     *Model
	state     *state
	freeGrant uint64 // an id that no grant has
	list      []step
}

// add adds a step in which no node leaves service.
func (t *transitions) add(description string, do func(*state)) {
	t.list = append(t.list, step{description, func(w *state) int {
		do(w)
		return -1
	}})
}

// apply applies a command. A new grant gets an id that no message on its way names.
func (t *transitions) apply(w *state, c *disruption.Command) {
	w.machine.Apply(0, c)
	id := t.freeGrant
	for _, p := range w.machine.Grants {
		if p.Reason == "new" {
			p.ID, p.Reason = id, ""
			id++
		}
	}
}

// freeGrant returns a grant id above all in use.
func (w *state) freeGrant() uint64 {
	index := uint64(len(w.machine.Grants) + 1)
	for _, p := range w.machine.Grants {
		index = max(index, p.ID+1)
	}
	for _, x := range w.messages {
		index = max(index, uint64(x.grant)+1)
	}
	for _, n := range w.nodes {
		index = max(index, uint64(n.grant)+1, uint64(n.awaited)+1)
	}
	return index
}

// addOperators adds the operators' calls for a node, and the leader's work on the queue.
func (t *transitions) addOperators(i int) {
	m, w := t.model, t.state
	of := disruption.Subject{Name: name(i)}
	held := w.machine.GrantOf(of)
	known := w.machine.Members[name(i)]
	if held == nil && w.machine.RequestOf(of) == nil && known != nil {
		t.add("an operator asks to drain "+name(i), func(w *state) {
			t.apply(
				w,
				&disruption.Command{
					Action:   disruption.RequestGrant{Request: disruption.Request{Subject: of, Reason: "new"}},
					Observed: m.observed(w, -1),
				},
			)
		})
	}
	if held != nil && held.Phase != disruption.PhaseReturning || w.machine.RequestOf(of) != nil {
		t.add(
			"an operator asks to resume "+name(i),
			func(w *state) { w.machine.Apply(0, &disruption.Command{Action: disruption.Resume{Subject: of}}) },
		)
	}
	if len(w.machine.Queue) > 0 && i == 0 {
		t.add("the leader evaluates the queue again", func(w *state) {
			t.apply(w, &disruption.Command{Action: disruption.Reevaluate{}, Observed: m.observed(w, -1)})
		})
	}
}

// addObservations adds what others observe of a node, and what follows from it.
func (t *transitions) addObservations(i int) {
	m, w := t.model, t.state
	n, of := w.nodes[i], disruption.Subject{Name: name(i)}
	held := w.machine.GrantOf(of)
	known := w.machine.Members[name(i)]
	truth := !n.dead && !n.drained && n.group == w.group && known != nil && known.InstanceID == uint64(
		n.incarnation,
	)
	if w.observed[i] != truth {
		t.add(fmt.Sprintf("the leader observes %s in service: %v", name(i), truth), func(w *state) { w.observed[i] = truth })
	}
	if m.ReleaseBySilence && held != nil && n.dead {
		t.add("the grant of "+name(i)+" ends, as it is not heard from", func(w *state) {
			w.machine.Grants = slices.DeleteFunc(
				w.machine.Grants,
				func(p *disruption.Grant) bool { return p.Name == name(i) },
			)
		})
	}
	if w.writeOffs > 0 && n.dead && !w.machine.WrittenOff[name(i)] {
		t.add("an operator writes "+name(i)+" off", func(w *state) {
			w.writeOffs--
			w.nodes[i].writtenOff = true
			w.machine.Apply(0, &disruption.Command{Action: disruption.WriteOff{Subject: of}})
		})
	}
}

// addProcess adds the start, end and suspension of a node's process. It reports whether the node can do more.
func (t *transitions) addProcess(i int) bool {
	w := t.state
	n := w.nodes[i]
	if n.dead {
		t.add(name(i)+" restarts", func(w *state) { w.nodes[i] = node{incarnation: n.incarnation + 1} })
		return false
	}
	if w.crashes > 0 {
		t.add(name(i)+" crashes", func(w *state) {
			w.crashes--
			w.nodes[i].dead, w.nodes[i].asleep = true, false
		})
	}
	if n.asleep {
		t.add(name(i)+" is resumed", func(w *state) {
			w.nodes[i].asleep = false
			w.nodes[i].awaited = 0
		})
		return false
	}
	if w.sleeps > 0 {
		t.add(name(i)+" is suspended", func(w *state) { w.sleeps--; w.nodes[i].asleep = true })
	}
	if n.group != w.group {
		t.add(name(i)+" learns of the group", func(w *state) { w.nodes[i].group, w.nodes[i].awaited = w.group, 0 })
		return false
	}
	return true
}

// addNode adds what a running node does that knows the group.
func (t *transitions) addNode(i int) {
	m, w := t.model, t.state
	n, of := w.nodes[i], disruption.Subject{Name: name(i)}
	held := w.machine.GrantOf(of)
	known := w.machine.Members[name(i)]
	if known == nil || known.InstanceID != uint64(n.incarnation) {
		t.add(name(i)+" registers", func(w *state) { w.register(m, i) })
	}
	if held != nil && held.Phase != disruption.PhaseReturning && !n.drained &&
		(held.Phase == disruption.PhaseGranted || held.InstanceID == uint64(n.incarnation)) {
		if n.awaited != uint8(held.ID) {
			t.add(name(i)+" asks for a confirmation of its exit", func(w *state) {
				w.nodes[i].awaited = uint8(held.ID)
				w.send(message{confirm, uint8(i), n.incarnation, uint8(held.ID), n.group})
			})
		}
		if m.Unconfirmed && held.Phase == disruption.PhaseGranted {
			t.list = append(t.list, step{name(i) + " leaves service without a confirmation", func(w *state) int {
				w.nodes[i].drained, w.nodes[i].grant = true, uint8(held.ID)
				return i
			}})
		}
	}
	if n.drained {
		if held == nil || held.ID != uint64(n.grant) || held.Phase == disruption.PhaseReturning {
			t.add(name(i)+" returns to service", func(w *state) { w.nodes[i].drained, w.nodes[i].grant = false, 0 })
		}
	} else if held != nil && mayReportReturn(held, n.incarnation) {
		t.add(name(i)+" reports its return", func(w *state) {
			if !m.LateAnswers { // a confirmation that arrives later has no effect
				w.nodes[i].awaited = 0
			}
			w.send(message{back, uint8(i), n.incarnation, uint8(held.ID), n.group})
		})
	}
}

// mayReportReturn reports whether a node in service may report its return under a grant: the exit is over, or was confirmed to an
// earlier process of the node.
func mayReportReturn(grant *disruption.Grant, incarnation uint8) bool {
	return grant.Phase == disruption.PhaseReturning ||
		grant.Phase == disruption.PhaseConfirmed && grant.InstanceID != uint64(incarnation)
}

// addStateLoss adds the loss of the control plane's state, after which it starts as a later group.
func (t *transitions) addStateLoss() {
	m, w := t.model, t.state
	if w.resets > 0 {
		t.add("the control plane loses its state", func(w *state) {
			w.resets--
			w.machine = disruption.New()
			w.group++
			m.configure(w)
			for i := range w.observed {
				w.observed[i] = false
			}
		})
	}
}

// addMessage adds the loss and the arrival of a message.
func (t *transitions) addMessage(x message) {
	m, w := t.model, t.state
	description := fmt.Sprintf("of %s.%d, grant %d, group %d", name(int(x.node)), x.incarnation, x.grant, x.group)
	t.add("lost: a message "+description, func(w *state) {
		w.messages = slices.DeleteFunc(w.messages, func(y message) bool { return x == y })
	})
	i, of := int(x.node), disruption.Subject{Name: name(int(x.node))}
	switch x.kind {
	case confirm:
		if x.group == w.group {
			t.add("the control plane receives a request for confirmation "+description, func(w *state) {
				exit := disruption.ConfirmExit{
					Subject: of, GrantID: uint64(x.grant), InstanceID: uint64(x.incarnation),
				}
				if _, err := w.machine.Apply(0, &disruption.Command{Action: exit, Observed: m.observed(w, i)}); err == nil {
					w.send(message{confirmed, x.node, x.incarnation, x.grant, x.group})
				}
			})
		}
	case back:
		if x.group == w.group {
			t.add("the control plane receives the return "+description, func(w *state) {
				w.machine.Apply(
					0,
					&disruption.Command{
						Action: disruption.ReturnToService{
							Subject: of, GrantID: uint64(x.grant), InstanceID: uint64(x.incarnation),
						},
					},
				)
			})
		}
	case confirmed:
		n := w.nodes[i]
		if !n.dead && !n.asleep && !n.drained && n.incarnation == x.incarnation && n.group == x.group &&
			n.awaited == x.grant {
			t.list = append(t.list, step{"the node receives the confirmation and leaves service, " + description, func(w *state) int {
				w.nodes[i].drained, w.nodes[i].grant, w.nodes[i].awaited = true, x.grant, 0
				return i
			}})
		}
	}
}
