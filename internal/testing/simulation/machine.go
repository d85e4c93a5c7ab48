package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/tracecheck"
)

// machine is a machine on which a fake runs.
type machine struct {
	name               string
	zone               string
	addr               string
	isolated           bool // neither sends nor receives anything
	refusesConnections bool // drops connection requests without a response
	links              map[*link]bool
	open               func(fake.Conn) fake.Handler
	worker             *fake.Worker
	front              *fake.Front
	entry              fake.Entry
	gone               bool
}

// newFront adds an address at which discovery listens.
func (sim *Simulation) newFront() *machine {
	n := 0
	for _, m := range sim.machines {
		if m.front != nil {
			n++
		}
	}
	m := &machine{
		name:  fmt.Sprintf("d%d", n),
		zone:  zoneName(0),
		addr:  fmt.Sprintf("10.2.0.%d:8500", n+1),
		links: map[*link]bool{},
		front: sim.discovery.Front(),
	}
	m.open = m.front.Open
	sim.machines, sim.machineByAddress[m.addr] = append(sim.machines, m), m
	return m
}

// fakeMachines returns the fakes' machines in order of creation.
func (sim *Simulation) fakeMachines() []*machine { return sim.machines }

// startWorker starts a worker's process.
func (sim *Simulation) startWorker(m *machine, cold bool) {
	if m.worker.Up() {
		return
	}
	sim.trace("%s starts", m.name)
	m.worker.Start(cold)
	sim.observe(tracecheck.Event{
		Kind: tracecheck.WorkerUp, Worker: m.name, Zone: m.zone, Cell: fmt.Sprint(m.entry.Cell),
		Capacity: m.worker.Capacity(), Cold: cold,
	})
}

// stopWorker ends a worker's process, which resets its connections.
func (sim *Simulation) stopWorker(m *machine) {
	if !m.worker.Up() {
		return
	}
	sim.trace("%s dies", m.name)
	m.worker.Stop()
	sim.observe(tracecheck.Event{Kind: tracecheck.WorkerDown, Worker: m.name})
	for _, l := range sortedLinks(m.links) {
		if !l.farClosed {
			l.farClosed = true
			l.reset()
		}
	}
	m.links = map[*link]bool{}
}

// isolate cuts a machine off the network or reconnects it; reconnecting resets the connections that were open.
func (sim *Simulation) isolate(m *machine, cut bool) {
	if m.isolated == cut {
		return
	}
	m.isolated = cut
	sim.trace("%s %s", m.name, map[bool]string{true: "vanishes", false: "is back"}[cut])
	if cut {
		return
	}
	for _, l := range sortedLinks(m.links) {
		if !l.broken && !l.nodeClosed {
			l.reset()
		}
		if !l.farClosed {
			l.farClosed = true
			l.far.Closed(true)
		}
	}
	m.links = map[*link]bool{}
}

func zoneName(i int) string { return []string{"jakarta", "surabaya"}[i] }

func sortedLinks(m map[*link]bool) []*link {
	list := make([]*link, 0, len(m))
	for l := range m {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *link) int { return cmp.Compare(a.id, b.id) })
	return list
}
