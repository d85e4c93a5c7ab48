package fleetsim

import (
	"slices"
	"time"
)

// behavior is how a version serves.
type behavior struct {
	fails, late  float64
	crash        time.Duration // it ends by itself after that; 0: it does not
	dead         bool          // it does not start
	unresponsive bool          // it takes no part in the fleet
	crowd        float64       // it harms only where more than this share of nodes have it
}

// versions by number: good ones, and those with a fault.
var kindsOfVersion = []struct {
	name string
	rate behavior
}{
	{"good", behavior{fails: 0.01, late: 0.02}},
	{"fails", behavior{fails: 0.2, late: 0.02}},
	{"slow", behavior{fails: 0.01, late: 0.4}},
	{"crashes", behavior{fails: 0.01, late: 0.02, crash: 10 * time.Second}},
	{"dead", behavior{dead: true}},
	{"mute", behavior{fails: 0.01, late: 0.02, unresponsive: true}},
	{"crowd", behavior{fails: 0.15, late: 0.02, crowd: 0.5}},
	{"broken", behavior{fails: 0.9}},
}

const oldVersion = "0"

func (f *groundTruth) rate(version string) behavior {
	for _, k := range kindsOfVersion {
		if k.name == version {
			if k.rate.crowd > 0 {
				n := 0
				for _, p := range f.simulation.processes {
					if p != nil && p.running && p.replica != nil && p.replica.version == version {
						n++
					}
				}
				if float64(n) <= k.rate.crowd*float64(len(f.simulation.processes)) {
					return kindsOfVersion[0].rate
				}
			}
			return k.rate
		}
	}
	return kindsOfVersion[0].rate
}

// countsAsOut reports whether a seat holds a node for one that serves worse than if it were out: by the rule it counts as out already.
func (f *groundTruth) countsAsOut(node string) bool {
	return slices.ContainsFunc(f.simulation.processes, func(p *process) bool {
		if p == nil || p.replica == nil || !p.replica.core.MayBeReplica() {
			return false
		}
		s, _ := p.replica.core.State()
		return s.Unhealthy[node] != ""
	})
}

// bad makes one node serve worse for a while.
func (f *groundTruth) bad(t int, long time.Duration) {
	f.worse[name(t)] = true
	f.simulation.schedule(f.simulation.now+long, func() { delete(f.worse, name(t)) })
}

// Versions lists the versions that may be released, by number.
func Versions() (names []string) {
	for _, k := range kindsOfVersion {
		names = append(names, k.name)
	}
	return names
}

// Release plays a release of a version, by its number, on a fleet, and returns how it ended: the phase, nodes released when it was
// halted, periods until then and until the end.
func Release(
	n, seats, budget, version int,
	seed uint64,
	length float64,
) (phase string, released int, halt, end float64, o *Outcome) {
	p := calmPlan(n, length, Fault{Kind: "release", At: 20, Target: 1, Amount: float64(version), Length: 10})
	p.Seed, p.Replicas, p.Budget, p.MaxMembers = seed, seats, budget, 2*n
	w := build(&p, false)
	for i := range n {
		w.start(i, addr(i), false, false)
	}
	for i := range p.Faults {
		w.scheduleFault(&p.Faults[i])
	}
	over := func() bool {
		for _, q := range w.processes {
			if q != nil && q.running && q.replica != nil && q.replica.core.MayBeReplica() &&
				q.replica.core.Consensus().IsLeader() {
				_, r := q.replica.core.State()
				return r.Plan != nil && !r.Phase.Open()
			}
		}
		return false
	}
	w.until(periods(length), over)
	if len(w.truth.phases) > 0 {
		phase = w.truth.phases[len(w.truth.phases)-1]
	}
	return phase, w.truth.failing, (w.truth.halted - w.truth.started).Seconds(), (w.now - w.truth.started).Seconds(), w.outcome
}
