package simulation

import (
	"errors"
	"maps"
	"slices"
	"time"

	"swiftdeal/internal/node"
	"swiftdeal/internal/testing/fake"
)

// faultTarget is what a fault affects.
type faultTarget int

const (
	targetAll faultTarget = iota
	targetWorker
	targetNode
)

// faultKind is a kind of fault: what happens when it begins and when it ends.
type faultKind struct {
	target faultTarget
	help   string // help text: the effect of the fault and the meaning of its amount
	begin  func(sim *Simulation, f *Fault)
	end    func(sim *Simulation, f *Fault)
}

// workerFault returns a kind of fault that sets a worker's misbehavior and resets it at the end.
func workerFault(means string, set func(t *fake.WorkerFaults, amount float64)) faultKind {
	return faultKind{target: targetWorker, help: means,
		begin: func(sim *Simulation, f *Fault) {
			sim.workerOf(f).worker.SetFaults(func(t *fake.WorkerFaults) { set(t, f.Amount) })
		},
		end: func(sim *Simulation, f *Fault) {
			sim.workerOf(f).worker.SetFaults(func(t *fake.WorkerFaults) { set(t, 0) })
		},
	}
}

// faults maps names to kinds. It is filled by init because the functions of the kinds refer to faults themselves, which would be an
// initialization cycle.
var faults map[string]faultKind

func init() {
	faults = map[string]faultKind{}
	for _, kinds := range []map[string]faultKind{misbehavingWorkers(), failingWorkers(), discoveryFaults(), nodeFaults()} {
		maps.Copy(faults, kinds)
	}
}

// misbehavingWorkers returns the faults of workers that keep running.
func misbehavingWorkers() map[string]faultKind {
	return map[string]faultKind{
		"slow": workerFault("the peer is up to 10 times slower", func(t *fake.WorkerFaults, amount float64) {
			t.Slow = 1 + 9*amount
		}),
		"fail": workerFault("the share of jobs that fail at once", func(t *fake.WorkerFaults, amount float64) {
			t.Fail = amount
		}),
		"neighbour": workerFault(
			"the share of the machine that another program takes",
			func(t *fake.WorkerFaults, amount float64) {
				t.StolenCPU = 0.8 * amount
			},
		),
		"report-late": workerFault("reports come up to 5 s late", func(t *fake.WorkerFaults, amount float64) {
			t.ReportDelay = ms(5000 * amount)
		}),
		"report-stuck": workerFault("reports are not renewed", func(t *fake.WorkerFaults, amount float64) {
			t.FrozenReports = amount > 0
		}),
		"report-lies": workerFault("reports say that all is free", func(t *fake.WorkerFaults, amount float64) {
			t.ReportsAllFree = amount > 0
		}),
		"reset": workerFault(
			"the share of jobs whose connection breaks as they end",
			func(t *fake.WorkerFaults, amount float64) {
				t.Reset = amount
			},
		),
		"garble": workerFault("the share of answers that are to no request", func(t *fake.WorkerFaults, amount float64) {
			t.WrongID = amount
		}),
		"pieces": workerFault("answers come in pieces", func(t *fake.WorkerFaults, amount float64) {
			t.Pieces = amount > 0
		}),
		"forget": workerFault("idle connections are closed at once", func(t *fake.WorkerFaults, amount float64) {
			t.CloseIdle = amount > 0
		}),
		"table-full": workerFault(
			"the peer refuses new connections and goes on serving those it has",
			func(t *fake.WorkerFaults, amount float64) {
				t.RefuseConns = amount > 0
			},
		),
	}
}

// failingWorkers returns the faults of workers that end or are unreachable, and of their jobs.
func failingWorkers() map[string]faultKind {
	return map[string]faultKind{
		"no-connect": {target: targetWorker, help: "connections to the peer do not come up",
			begin: func(sim *Simulation, f *Fault) { sim.workerOf(f).refusesConnections = true },
			end:   func(sim *Simulation, f *Fault) { sim.workerOf(f).refusesConnections = false }},
		"die": {target: targetWorker, help: "the peer dies, and starts cold after a while; discovery tells late",
			begin: func(sim *Simulation, f *Fault) {
				sim.stopWorker(sim.workerOf(f))
				sim.publish(sim.workerOf(f), "terminated")
			},
			end: (*Simulation).restartWorker},
		"restart": {
			target: targetWorker,
			help:   "the peer's process is replaced by a cold one at once, and the list tells late",
			begin:  func(sim *Simulation, f *Fault) { sim.stopWorker(sim.workerOf(f)) },
			end:    (*Simulation).restartWorker,
		},
		"vanish": {target: targetWorker, help: "the machine says nothing for a while",
			begin: func(sim *Simulation, f *Fault) { sim.isolate(sim.workerOf(f), true) },
			end:   func(sim *Simulation, f *Fault) { sim.isolate(sim.workerOf(f), false) }},
		"drain": {target: targetWorker, help: "the peer drains, ends, and starts cold",
			begin: func(sim *Simulation, f *Fault) { sim.drainWorker(sim.workerOf(f)) },
			end: func(sim *Simulation, f *Fault) {
				m := sim.workerOf(f)
				if sim.stopWorker(m); m.entry.State == "terminating" {
					sim.publish(m, "terminated")
					sim.After(ms(300+2000*f.Amount), func() { sim.restartWorker(f) })
				}
			}},
		"drain-die": {target: targetWorker, help: "the peer's drain is told and it dies at the same instant",
			begin: func(sim *Simulation, f *Fault) {
				m := sim.workerOf(f)
				sim.drainWorker(m)
				sim.After(sim.discovery.Delay+ms(f.Amount-0.5), func() { sim.stopWorker(m) })
			},
			end: (*Simulation).restartWorker},
		"heavy-tail": {
			target: targetAll,
			help:   "an eighth of one class's jobs, which the amount picks, are 5 to 30 times as long as their hints say",
			begin:  func(sim *Simulation, f *Fault) { sim.longJobs = f },
			end:    func(sim *Simulation, _ *Fault) { sim.longJobs = nil },
		},
	}
}

// discoveryFaults returns the faults of discovery and its list.
func discoveryFaults() map[string]faultKind {
	return map[string]faultKind{
		"list-down": {target: targetAll, help: "discovery is down",
			begin: func(sim *Simulation, _ *Fault) { sim.forEachFront(func(f *fake.Front) { f.SetDown(true) }) },
			end:   func(sim *Simulation, _ *Fault) { sim.forEachFront(func(f *fake.Front) { f.SetDown(false) }) }},
		"unlist": {target: targetWorker, help: "the list drops the peer, which runs on, and names it again after a while",
			begin: func(sim *Simulation, f *Fault) {
				if m := sim.workerOf(f); m.worker.Up() && m.entry.State == "in_service" {
					sim.publish(m, "terminated")
				}
			},
			end: func(sim *Simulation, f *Fault) {
				if m := sim.workerOf(f); m.worker.Up() && m.entry.State == "terminated" {
					sim.publish(m, "in_service")
				}
			}},
		"list-stale": {target: targetAll, help: "discovery answers with an old list",
			begin: func(sim *Simulation, _ *Fault) { sim.forEachFront(func(f *fake.Front) { f.SetStale(true) }) },
			end:   func(sim *Simulation, _ *Fault) { sim.forEachFront(func(f *fake.Front) { f.SetStale(false) }) }},
		"list-empty": {target: targetAll, help: "discovery answers with an empty list, and tells it",
			begin: func(sim *Simulation, _ *Fault) { sim.forEachFront(func(f *fake.Front) { f.SetEmpty(true) }) },
			end:   func(sim *Simulation, _ *Fault) { sim.forEachFront(func(f *fake.Front) { f.SetEmpty(false) }) }},
		"list-busy": {
			target: targetAll,
			help:   "discovery serves calls one after the other, each up to a second; after a second they fail",
			begin: func(sim *Simulation, f *Fault) {
				sim.discovery.CallTime, sim.discovery.MaxWait = ms(1000*f.Amount), time.Second
			},
			end: func(sim *Simulation, _ *Fault) { sim.discovery.CallTime = 0 },
		},
		"list-silent": {target: targetAll, help: "watches fall silent for good",
			begin: func(sim *Simulation, _ *Fault) { sim.forEachFront(func(f *fake.Front) { f.SilenceWatches() }) }},
		"list-slow": {target: targetAll, help: "discovery answers up to 4 s late",
			begin: func(sim *Simulation, fault *Fault) {
				sim.forEachFront(func(f *fake.Front) { f.Delay = ms(4000 * fault.Amount) })
			},
			end: func(sim *Simulation, _ *Fault) { sim.forEachFront(func(f *fake.Front) { f.Delay = 0 }) }},
		"move": {target: targetAll, help: "discovery moves: SIGHUP with its new address, the old one ends 1.5 s later",
			begin: func(sim *Simulation, _ *Fault) { sim.moveDiscovery() }},
	}
}

// nodeFaults returns the faults and operations that affect the nodes' own processes.
func nodeFaults() map[string]faultKind {
	return map[string]faultKind{
		"reload": {target: targetNode, help: "SIGHUP with an unchanged file",
			begin: func(sim *Simulation, f *Fault) { sim.reloadNode(sim.nodes[f.Target], sim.nodes[f.Target].discovery) }},
		"send-away": {target: targetNode, help: "the drain call, four seconds at least, and then the resume call",
			begin: func(sim *Simulation, f *Fault) { sim.startNodeDrain(f.Target) },
			end:   func(sim *Simulation, f *Fault) { sim.resumeNode(f.Target) }},
		"figures": {target: targetNode, help: "the node's figures are read, which must be true once nothing is open",
			begin: func(sim *Simulation, f *Fault) { sim.checkMetrics(sim.nodes[f.Target]) }},
		"retune": {
			target: targetNode,
			help:   "SIGHUP with settings that lack charge-card, a broken file, and then SIGHUP with the class again",
			begin: func(sim *Simulation, f *Fault) {
				n := sim.nodes[f.Target]
				to := *n.config
				all := to.Settings.Balance.Classes
				to.Settings.Balance.Classes = all[:len(all)-1] // the last one
				sim.sendReload(n, node.Reload{Config: &to})
				sim.After(ms(f.Length/2), func() { sim.sendReload(n, node.Reload{Err: errors.New("configuration file truncated")}) })
			},
			end: func(sim *Simulation, f *Fault) {
				n := sim.nodes[f.Target]
				sim.sendReload(n, node.Reload{Config: n.config})
			},
		},
		"term": {target: targetNode, help: "SIGTERM; the node starts again after a while",
			begin: func(sim *Simulation, f *Fault) {
				n := sim.nodes[f.Target]
				sim.terminate(n, func() { sim.After(ms(f.Length), func() { sim.restartNode(f.Target) }) })
			}},
		"replace": {
			target: targetNode,
			help:   "a second process takes the node's place, and the first gets SIGTERM so long after its yes",
			begin:  func(sim *Simulation, f *Fault) { sim.replaceProcess(f.Target, ms(f.Length)) },
		},
		"kill": {target: targetNode, help: "the node is killed, and starts again after a while",
			begin: func(sim *Simulation, f *Fault) {
				n := sim.nodes[f.Target]
				for _, o := range sim.replaced { // its other processes are killed as well
					if o.name == n.name {
						sim.kill(o, forever)
					}
				}
				sim.kill(n, forever)
			},
			end: func(sim *Simulation, f *Fault) { sim.restartNode(f.Target) }},
	}
}

// faultNames returns the sorted names of the kinds of fault, except those of fleetFaults.
func faultNames() (names []string) {
	for k := range faults {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// Help returns a line for each kind of fault.
func Help() (lines []string) {
	for _, k := range faultNames() {
		lines = append(lines, k+": "+faults[k].help)
	}
	for _, k := range slices.Sorted(maps.Keys(fleetFaults)) {
		lines = append(lines, k+" (with fleet): "+fleetFaults[k].help)
	}
	return lines
}
