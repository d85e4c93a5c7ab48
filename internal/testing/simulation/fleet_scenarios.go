package simulation

import (
	"fmt"
	"slices"
	"strings"
)

// maxNodes is the most nodes that a plan may have.
const maxNodes = 128

// Fleet is a failure scenario for many nodes at once. Each node sees few requests, and what one node does is harmless on its own; only
// the sum over all nodes could overload workers or discovery.
type Fleet struct {
	Kind    string
	Nodes   int
	Workers int
	Seed    uint64
}

// Cost is the load that nodes put on workers and discovery, and the share of requests that they serve. As a bound, Served is a minimum
// and the others are maxima; 0 is no bound.
type Cost struct {
	Served       float64 // share of answers that are served
	Probes       float64 // per job
	Dials        float64 // connections requested from workers, per job
	DialsRefused float64 // refused connections, per job
	Calls        float64 // calls for the discovery list, per node
	Conns        float64 // peak number of connections of one worker, per node
}

// fleetKind is a kind of failure scenario: how it changes the plan, and the bounds of its cost.
type fleetKind struct {
	about string
	bound Cost
	set   func(f Fleet, p *Plan)
}

// addFaults adds a fault for each of the targets; at and last return its start and length by the target's index.
func (p *Plan) addFaults(kind string, targets int, at, last func(i int) float64, amount float64) {
	for i := range targets {
		p.Faults = append(p.Faults, Fault{Kind: kind, At: at(i), Length: last(i), Target: i, Amount: amount})
	}
}

func evenly(start, gap float64) func(int) float64 {
	return func(i int) float64 { return start + gap*float64(i) }
}

// fleetKinds maps names to kinds. The bounds hold for the size played in CI and, except for Served, for the size of the operators'
// fleet; each has some margin over the measured value (docs/operators/fleet.md).
var fleetKinds = map[string]fleetKind{
	"idle": {
		about: "nearly no requests: a node that has none costs the peers nothing",
		bound: Cost{Served: 1, Probes: 60, Dials: 60, Calls: 1}, // per job, of which there are only two, each preceded by a node's probes
		set: func(f Fleet, p *Plan) {
			p.Jobs = p.Jobs[:2]
			p.Jobs[1].At = 20000
		},
	},
	"calm": {
		about: "no trouble: nodes look at the same few peers and use their connections again",
		bound: Cost{Served: 0.95, Probes: 4, Dials: 2, Calls: 1, Conns: 1.5},
		set:   func(Fleet, *Plan) {},
	},
	"killed": {
		about: "most nodes are killed at one instant and start with old lists, while peers are replaced and discovery is slow",
		bound: Cost{Served: 0.85, Probes: 6, Dials: 4, Calls: 4}, // requests taken by killed nodes are lost
		set: func(f Fleet, p *Plan) {
			p.addFaults("kill", f.Nodes*7/10, evenly(2500, 0), evenly(400, 0), 0)
			p.addFaults("drain", f.Workers/4, evenly(2300, 2000/float64(f.Workers)), evenly(500, 0), 0)
			p.Faults = append(
				p.Faults, Fault{Kind: "list-slow", At: 2400, Length: 3000, Amount: 0.25 * float64(f.Seed%3)},
			)
		},
	},
	"zone": {
		about: "all peers of one zone die, and return cold within a second",
		bound: Cost{Served: 0.55, Probes: 12, Dials: 5, DialsRefused: 1, Calls: 1},
		set: func(f Fleet, p *Plan) {
			for n := 1; n < f.Workers; n += 2 {
				p.Faults = append(
					p.Faults,
					Fault{
						Kind:   "die",
						At:     2000,
						Length: 1000 + 600*float64(n)/float64(f.Workers) + 300*float64(f.Seed%3),
						Target: n,
					},
				)
			}
		},
	},
	"replaced": {
		about: "six in ten peers are replaced by cold ones one after the other",
		bound: Cost{Served: 0.7, Probes: 12, Dials: 5, Calls: 1},
		set: func(f Fleet, p *Plan) {
			p.addFaults(
				"drain",
				f.Workers*6/10,
				evenly(1500, 3000/float64(f.Workers)),
				evenly(400+200*float64(f.Seed%3), 0),
				0.1,
			)
		},
	},
	"list-busy": {
		about: "all watches break, and discovery answers one call after the other: ten seconds for all nodes at the best",
		// A node that gets no answer calls at least every 4.4 s, since the rules treat a change as known to it after 6 s. The interval
		// is random, with a mean of 2.8 s: ten calls in 28 s.
		bound: Cost{Served: 0.95, Probes: 2, Dials: 0.5, Calls: 11},
		set: func(f Fleet, p *Plan) {
			p.spreadJobs(30000)
			p.Faults = []Fault{
				{Kind: "list-busy", At: 1400, Length: 28000, Amount: 10 / float64(f.Nodes)},
				{Kind: "list-down", At: 1500, Length: 50},
			}
		},
	},
	"list-empty": {
		about: "discovery tells all nodes at once that there are no peers, and later the true list again",
		bound: Cost{Served: 0.9, Probes: 4, Dials: 3, Calls: 1}, // workers that are not listed must not get requests
		set: func(f Fleet, p *Plan) {
			p.Faults = []Fault{{Kind: "list-empty", At: 2500, Length: 400}}
		},
	},
	"table-full": {
		about: "one peer in four takes no new connection, and is neither given up for dead nor hammered",
		bound: Cost{Served: 0.85, Probes: 6, DialsRefused: 1, Calls: 1},
		set: func(f Fleet, p *Plan) {
			p.addFaults("table-full", f.Workers/4, evenly(0, 0), evenly(4000, 0), 1)
		},
	},
	"ill": {
		about: "one peer in eight fails nine in ten of its jobs at once, for four seconds",
		bound: Cost{Served: 0.7, Probes: 12, Dials: 5, Calls: 1},
		set: func(f Fleet, p *Plan) {
			p.addFaults("fail", max(1, f.Workers/8), evenly(1500, 0), evenly(4000, 0), 0.9)
		},
	},
	"one-zone": {
		about: "all peers are in one zone, nodes and clients in both: jobs cross over",
		bound: Cost{Served: 0.95, Probes: 4, Dials: 2, Calls: 1},
		set: func(f Fleet, p *Plan) {
			for i := range p.Workers {
				p.Workers[i].Zone = 0
			}
		},
	},
}

// FleetKinds returns the kinds of failure scenario, sorted, one line each with its description.
func FleetKinds() (lines []string) {
	for name, k := range fleetKinds {
		lines = append(lines, fmt.Sprintf("%-11s %s", name, k.about))
	}
	slices.Sort(lines)
	return lines
}

// spreadJobs spaces the jobs evenly from 1 s up to the given time.
func (p *Plan) spreadJobs(until float64) {
	for i := range p.Jobs {
		p.Jobs[i].At = 1000 + (until-1000)*float64(i)/float64(len(p.Jobs))
	}
}

// Plan builds the plan of the scenario. The jobs take two thirds of the workers' capacity.
func (f Fleet) Plan() (*Plan, error) {
	k, known := fleetKinds[f.Kind]
	switch {
	case !known:
		return nil, fmt.Errorf("no kind of trouble %q; there are\n%s", f.Kind, strings.Join(FleetKinds(), "\n"))
	case f.Nodes < 2 || f.Nodes > maxNodes:
		return nil, fmt.Errorf("nodes: %d is not among 2 to %d", f.Nodes, maxNodes)
	case f.Workers < 4 || f.Workers > 200:
		return nil, fmt.Errorf("peers: %d is not among 4 to 200", f.Workers)
	}
	p := basePlan(f.Nodes, f.Workers, 24*f.Workers, 180/float64(f.Workers), "")
	p.Scale, p.DiscoveryDelay, p.Seed = 0.5, 300, f.Seed
	for i := range p.Jobs {
		p.Jobs[i].Class = []string{"slot-check", "book-visit", "visit-summary", "send-reminder"}[i%4]
		p.Jobs[i].Work = []float64{200, 300, 700, 500}[i%4]
		p.Jobs[i].Hint, p.Jobs[i].Slots = p.Jobs[i].Work, float64(1+i%7/6)
	}
	k.set(f, p)
	return p, p.check()
}

// Cost computes the cost of a run from its plan and outcome.
func (f Fleet) Cost(p *Plan, o *Outcome) Cost {
	jobs, nodes := float64(len(p.Jobs)), float64(f.Nodes)
	return Cost{
		Served:       float64(o.Served) / max(float64(o.Served+o.Refused+o.Failed), 1),
		Probes:       float64(o.Probes) / jobs,
		Dials:        float64(o.Dials) / jobs,
		DialsRefused: float64(o.DialsRefused) / jobs,
		Calls:        float64(o.DiscoveryCalls) / nodes,
		Conns:        float64(o.MostConns) / nodes,
	}
}

// String formats a cost on one line.
func (c Cost) String() string {
	return fmt.Sprintf(
		"served %.3f, a job: probes %.2f, connections %.2f, refused ones %.2f; "+
			"a node: calls for the list %.2f, connections at one peer %.2f",
		c.Served,
		c.Probes,
		c.Dials,
		c.DialsRefused,
		c.Calls,
		c.Conns,
	)
}

// Exceeded describes the first value that exceeds the kind's bounds, or returns "".
func (f Fleet) Exceeded(c Cost) string {
	b := fleetKinds[f.Kind].bound
	if f.Nodes == ciNodes && c.Served < b.Served { // larger fleets serve less, since each node sees fewer requests
		return fmt.Sprintf("served %.3f, %.2f wanted", c.Served, b.Served)
	}
	for _, x := range []struct {
		name     string
		is, most float64
	}{
		{"probes a job", c.Probes, b.Probes}, {"connections a job", c.Dials, b.Dials},
		{"refused connections a job", c.DialsRefused, b.DialsRefused},
		{"calls for the list a node", c.Calls, b.Calls}, {"connections at one peer a node", c.Conns, b.Conns},
	} {
		if x.most > 0 && x.is > x.most {
			return fmt.Sprintf("%s: %.2f, %.2f are allowed", x.name, x.is, x.most)
		}
	}
	return ""
}

// The fleet size that is feasible in CI.
const (
	ciNodes   = 24
	ciWorkers = 20
)

// Each kind is also a scenario, run with three seeds.
func init() {
	for _, l := range FleetKinds() {
		f := Fleet{Kind: strings.Fields(l)[0], Nodes: ciNodes, Workers: ciWorkers}
		var last *Plan // the plan being run; Want needs its number of jobs
		Scenarios = append(Scenarios, Scenario{
			Name: "fleet-" + f.Kind, About: fleetKinds[f.Kind].about,
			Plans: func() (plans []*Plan) {
				for seed := range uint64(3) {
					f.Seed = seed + 1
					p, err := f.Plan()
					if err != nil {
						panic(err) // cannot happen: kind and size are constant
					}
					plans, last = append(plans, p), p
				}
				return plans
			},
			Want: func(o *Outcome) string { return f.Exceeded(f.Cost(last, o)) },
		})
	}
}
