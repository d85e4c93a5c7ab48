package statespace

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"swiftdeal/internal/controlplane/disruption"
)

// node is a node of the model.
type node struct {
	incarnation, group uint8
	dead, asleep       bool
	drained            bool  // out of service
	grant              uint8 // the grant under which it is out of service
	awaited            uint8 // the grant for which it awaits a confirmation; a suspension or a return ends the wait
	writtenOff         bool
}

// message is a message on its way. It may arrive any number of times until it is lost.
type message struct{ kind, node, incarnation, grant, group uint8 }

// Kinds of messages.
const (
	confirm uint8 = iota
	confirmed
	back
)

// state is a state of the fleet and of the control plane.
type state struct {
	machine                            *disruption.State
	group                              uint8
	nodes                              []node
	messages                           []message // sorted, without duplicates
	observed                           []bool    // for each node, whether the leader takes it to be in service
	crashes, sleeps, resets, writeOffs int
}

// name returns the name of a node.
func name(i int) string { return fmt.Sprintf("n%d", i) }

// first returns the state in which all nodes are in service.
func (m *Model) first() *state {
	w := &state{
		machine:   disruption.New(),
		group:     1,
		nodes:     make([]node, m.Nodes),
		observed:  make([]bool, m.Nodes),
		crashes:   m.Crashes,
		sleeps:    m.Sleeps,
		resets:    m.Forgets,
		writeOffs: m.WriteOffs,
	}
	m.configure(w)
	for i := range w.nodes {
		w.nodes[i] = node{incarnation: 1, group: 1}
		w.register(m, i)
		w.observed[i] = true
	}
	return w
}

// configure sets the budgets.
func (m *Model) configure(w *state) {
	w.machine.Budgets = disruption.Budgets{
		Nodes:           m.Budget,
		NodesPerSite:    m.SiteBudget,
		NodesPerVersion: m.Nodes,
		MaxOvertakes:    1,
	}
}

// register makes a node known to the control plane.
func (w *state) register(m *Model, i int) {
	w.machine.Apply(
		1,
		&disruption.Command{
			Action: disruption.Register{
				Nodes: []disruption.NamedMember{
					{
						Name: name(i),
						Member: disruption.Member{
							InstanceID: uint64(w.nodes[i].incarnation), Site: fmt.Sprint(i % m.Sites),
						},
					},
				},
			},
		},
	)
}

// clone returns a copy. It shares with the original what no step changes.
func (w *state) clone() *state {
	c := *w
	c.nodes, c.messages, c.observed = slices.Clone(w.nodes), slices.Clone(w.messages), slices.Clone(w.observed)
	s := *w.machine
	s.Members, s.Unhealthy, s.WrittenOff, s.History = map[string]*disruption.Member{}, map[string]string{}, map[string]bool{}, nil
	for k, v := range w.machine.Members {
		s.Members[k] = v // replaced whole
	}
	for k, v := range w.machine.WrittenOff {
		s.WrittenOff[k] = v
	}
	s.Queue = make([]*disruption.PendingRequest, len(w.machine.Queue))
	s.Grants = make([]*disruption.Grant, len(w.machine.Grants))
	for i, q := range w.machine.Queue {
		r := *q
		s.Queue[i] = &r
	}
	for i, p := range w.machine.Grants {
		r := *p
		s.Grants[i] = &r
	}
	c.machine = &s
	return &c
}

// normalize drops messages without an effect and renumbers the grants from 1 in their order, so that states that differ in nothing
// else are equal.
func (w *state) normalize() {
	// A message with the id of a grant that has ended has no effect, and a confirmation none at a node that does not await it.
	w.messages = slices.DeleteFunc(w.messages, func(x message) bool {
		n := w.nodes[x.node]
		if x.kind == confirmed {
			return n.awaited != x.grant || n.incarnation != x.incarnation || n.group != x.group
		}
		return x.group != w.group ||
			!slices.ContainsFunc(w.machine.Grants, func(p *disruption.Grant) bool { return p.ID == uint64(x.grant) })
	})
	var ids []uint64
	add := func(id uint64) {
		if id != 0 && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	for _, p := range w.machine.Grants {
		add(p.ID)
	}
	for _, m := range w.messages {
		add(uint64(m.grant))
	}
	for _, n := range w.nodes {
		add(uint64(n.grant))
		add(uint64(n.awaited))
	}
	slices.Sort(ids)
	renumbered := func(id uint64) uint64 {
		if id == 0 {
			return 0
		}
		return uint64(slices.Index(ids, id) + 1)
	}
	for _, p := range w.machine.Grants {
		p.ID = renumbered(p.ID)
	}
	for i := range w.messages {
		w.messages[i].grant = uint8(renumbered(uint64(w.messages[i].grant)))
	}
	for i := range w.nodes {
		n := &w.nodes[i]
		n.grant = uint8(renumbered(uint64(n.grant)))
		n.awaited = uint8(renumbered(uint64(n.awaited)))
	}
	for i, q := range w.machine.Queue {
		q.ID, q.WaitReason = uint64(i+1), ""
	}
	slices.SortFunc(w.messages, func(a, b message) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	w.messages = slices.Compact(w.messages)
	w.machine.Observed = disruption.Observed{}
}

// flags returns what is true of a node, one bit each.
func (w *state) flags(i int) (bits byte) {
	n := w.nodes[i]
	for position, isSet := range []bool{
		n.dead,
		n.asleep,
		n.drained,
		n.writtenOff,
		w.observed[i],
		w.machine.Members[name(i)] != nil,
		w.machine.WrittenOff[name(i)],
	} {
		if isSet {
			bits |= 1 << position
		}
	}
	return bits
}

// key returns a hash of all that distinguishes a state from others.
func (w *state) key() uint64 {
	var b []byte
	b = append(b, w.group, byte(w.crashes), byte(w.sleeps), byte(w.resets), byte(w.writeOffs))
	for i, n := range w.nodes {
		b = append(b, n.incarnation, n.group, n.grant, n.awaited, w.flags(i))
		if m := w.machine.Members[name(i)]; m != nil {
			b = append(b, byte(m.InstanceID))
		}
	}
	for _, m := range w.messages {
		b = append(b, m.kind, m.node, m.incarnation, m.grant, m.group)
	}
	for _, p := range w.machine.Grants {
		b = append(b, 'p', p.Name[1], byte(p.ID), byte(p.Phase), byte(p.InstanceID))
	}
	for _, q := range w.machine.Queue {
		b = append(b, 'q', q.Name[1], byte(q.Overtaken))
	}
	return xxhash.Sum64(b)
}

// observed returns the nodes that the leader takes to be out of service, right or not, without the node self, whose own message the
// leader handles; -1: none.
func (m *Model) observed(w *state, self int) *disruption.Observed {
	o := &disruption.Observed{}
	for i := range w.nodes {
		known := w.machine.Members[name(i)]
		switch {
		case i == self, isConfirmed(w.machine.GrantOf(disruption.Subject{Name: name(i)})):
		case known == nil && (m.Trust || w.machine.WrittenOff[name(i)]):
		case known == nil:
			o.Nodes = append(
				o.Nodes,
				disruption.Unavailable{Name: name(i), Reason: "unknown", Site: fmt.Sprint(i % m.Sites)},
			)
		case !w.observed[i] && !m.ReleaseBySilence:
			o.Nodes = append(o.Nodes, disruption.Unavailable{Name: name(i), Reason: "out", Site: known.Site})
		}
	}
	return o
}

// isConfirmed reports whether the exit under a grant was confirmed, so that the grant itself counts against the budgets; nil: no.
func isConfirmed(p *disruption.Grant) bool { return p != nil && p.Phase != disruption.PhaseGranted }
