package fleetsim

import (
	"cmp"
	"time"

	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/controlplane/disruption"
)

// groundTruth is the truth.
type groundTruth struct {
	simulation *Simulation
	exits      map[string]bool // planned exits that have begun and are not over, by node
	versions   map[string]string
	disks      map[string]*consensus.PersistentState
	writtenOff map[string]bool // written off by an operator
	begun      int             // exits
	maxOut     int             // planned exits at once
	calls      map[uint64]string
	replies    []string
	worse      map[string]bool
	wrong      map[string]bool // their supervisors start another version than they were told, once
	phases     []string        // of the release, as seats have them
	waits      []float64
	asked      map[string]time.Duration
	failing    int // released nodes before the halt
	halted     time.Duration
	started    time.Duration
	tended     time.Duration
	history    []operation
	opened     map[string]int   // by node: the operation that is not over
	changes    *settingsHistory // of the settings; nil without them
}

// operation is one that a history of exits has: most above 0 begins one where fewer are out, 0 ends one.
type operation struct {
	node         int
	most         int
	begins, ends time.Duration
}

func newField(w *Simulation) *groundTruth {
	f := &groundTruth{
		simulation: w,
		exits:      map[string]bool{},
		versions:   map[string]string{},
		disks:      map[string]*consensus.PersistentState{},
		writtenOff: map[string]bool{},
		calls:      map[uint64]string{},
		opened:     map[string]int{},
		worse:      map[string]bool{},
		wrong:      map[string]bool{},
		asked:      map[string]time.Duration{},
	}
	if w.plan.Settings {
		f.changes = newChanges(f)
	}
	return f
}

func (f *groundTruth) budgets() disruption.Budgets {
	p := f.simulation.plan
	return disruption.Budgets{
		Nodes:           p.Budget,
		NodesPerSite:    cmp.Or(p.SiteBudget, p.Budget),
		NodesPerVersion: p.Budget,
		Workers:         2,
		WorkersPerSite:  2,
		WorkersPerKind:  2,
	}
}

// replicaNames are spread over the sites: members are of site i%3.
func (f *groundTruth) replicaNames() (list []string) {
	for i := range min(f.simulation.plan.Replicas, f.simulation.plan.Members) {
		list = append(list, name(i))
	}
	return list
}

// over ends a planned exit: the node serves again.
func (f *groundTruth) over(node string) {
	f.backAt(node, f.simulation.index(node))
	delete(f.exits, node)
}

// ended takes that a process has ended.
func (f *groundTruth) ended(p *process) {}
