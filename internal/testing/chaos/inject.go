package chaos

import (
	"maps"
	"math/rand/v2"

	"swiftdeal/internal/testing/fake"
)

// injection applies one kind of fault. It returns when the fault is over, except that
// trap and wrong-binary return at once and take effect later.
type injection func(f *Cluster, x *Fault)

// injections holds the injection of each kind of fault.
var injections = func() map[string]injection {
	all := map[string]injection{}
	for _, some := range []map[string]injection{
		processInjections, networkInjections, discoveryInjections, workerInjections, controlPlaneInjections,
	} {
		maps.Copy(all, some)
	}
	return all
}()

// processInjections are faults of nodes' processes.
var processInjections = map[string]injection{
	"kill": func(f *Cluster, x *Fault) {
		f.kill(f.nodes[x.Target])
		f.restartAfter(f.nodes[x.Target], x.Length)
	},
	"old-start": func(f *Cluster, x *Fault) {
		n := f.nodes[x.Target]
		f.kill(n)
		n.oldWorkerList = true
		f.restartAfter(n, max(x.Length, 1))
	},
	"term": func(f *Cluster, x *Fault) { f.restartWith(f.nodes[x.Target], "", x.Length) },
	"other": func(f *Cluster, x *Fault) {
		f.restartWith(f.nodes[x.Target], f.options.Other, x.Length)
	},
	"stop": func(f *Cluster, x *Fault) { f.pause(f.nodes[x.Target], x.Length) },
	"slow": func(f *Cluster, x *Fault) {
		share := min(x.Amount, 0.95)
		for past := 0.0; past < x.Length; past += 100 {
			f.pause(f.nodes[x.Target], 100*share)
			f.sleep(100 * (1 - share))
		}
	},
	"replace":   func(f *Cluster, x *Fault) { f.replace(f.nodes[x.Target]) },
	"twin":      func(f *Cluster, x *Fault) { f.startDuplicate(f.nodes[x.Target], x.Length) },
	"many":      (*Cluster).injectSeveral,
	"rolling":   (*Cluster).injectSeveral,
	"bad-start": func(f *Cluster, x *Fault) { f.startWithoutConfig(f.nodes[x.Target]) },
}

// networkInjections are faults of the datagrams between nodes.
var networkInjections = map[string]injection{
	"split": func(f *Cluster, x *Fault) {
		parts := max(2, int(x.Amount))
		f.cutDuring(x, func(a, b int) bool { return a%parts != b%parts })
	},
	"alone": func(f *Cluster, x *Fault) { f.cutDuring(x, isolates(x.Target)) },
	"half": func(f *Cluster, x *Fault) {
		t := x.Target
		f.cutDuring(x, func(a, b int) bool { return a == t && b != t && b%2 == 0 || b == t && a != t && a%2 == 0 })
	},
	"cut": func(f *Cluster, x *Fault) {
		f.cutDuring(x, func(a, b int) bool { return a == x.Target && b == x.Other || a == x.Other && b == x.Target })
	},
	"one-way": func(f *Cluster, x *Fault) {
		f.cutDuring(x, func(a, b int) bool { return a == x.Target && b == x.Other })
	},
	"flap": func(f *Cluster, x *Fault) {
		for past := 0.0; past < x.Length; past += 4 * f.plan.PeriodMs {
			heal := f.relay.cut(isolates(x.Target))
			f.sleep(2 * f.plan.PeriodMs)
			heal()
			f.sleep(2 * f.plan.PeriodMs)
		}
	},
	"loss":    func(f *Cluster, x *Fault) { f.revertAfter(x, f.relay.setFault(&f.relay.loss, min(x.Amount, 0.95))) },
	"delay":   func(f *Cluster, x *Fault) { f.revertAfter(x, f.relay.setFault(&f.relay.delay, x.Amount)) },
	"jitter":  func(f *Cluster, x *Fault) { f.revertAfter(x, f.relay.setFault(&f.relay.jitter, x.Amount)) },
	"twice":   func(f *Cluster, x *Fault) { f.revertAfter(x, f.relay.setFault(&f.relay.duplicate, min(x.Amount, 1))) },
	"corrupt": func(f *Cluster, x *Fault) { f.revertAfter(x, f.relay.setFault(&f.relay.corrupt, min(x.Amount, 0.95))) },
	"narrow":  func(f *Cluster, x *Fault) { f.revertAfter(x, f.relay.limitRate(x.Target, max(x.Amount, 1))) },
	"again": func(f *Cluster, x *Fault) {
		for past := 0.0; past <= x.Length; past += 100 {
			f.relay.replay(x.Target)
			f.sleep(100)
		}
	},
	"strangers": func(f *Cluster, x *Fault) {
		for past := 0.0; past <= x.Length; past += 200 {
			f.relay.sendForged(x.Target)
			f.sleep(200)
		}
	},
}

// discoveryInjections are faults of the link between a node and discovery.
var discoveryInjections = map[string]injection{
	"disco-down": func(f *Cluster, x *Fault) {
		f.host.Do(func() { f.fronts[x.Target].SetDown(true) })
		f.revertAfter(x, func() { f.host.Do(func() { f.fronts[x.Target].SetDown(false) }) })
	},
	"disco-cut":  func(f *Cluster, x *Fault) { f.cutLink(x, f.links[[2]int{x.Target, -1}]) },
	"disco-late": func(f *Cluster, x *Fault) { f.delayLink(x, f.links[[2]int{x.Target, -1}]) },
}

// workerInjections are faults of workers, and of the link between a node and a worker.
var workerInjections = map[string]injection{
	"worker-cut":  func(f *Cluster, x *Fault) { f.cutLink(x, f.links[[2]int{x.Target, x.Other}]) },
	"worker-late": func(f *Cluster, x *Fault) { f.delayLink(x, f.links[[2]int{x.Target, x.Other}]) },
	"worker-kill": func(f *Cluster, x *Fault) {
		f.updateWorker(x, f.stopWorker)
		if x.Length > 0 {
			f.revertAfter(x, func() { f.updateWorker(x, f.startCold) })
		}
	},
	"worker-drain": func(f *Cluster, x *Fault) {
		f.updateWorker(x, func(s *workerState) {
			s.worker.Drain()
			s.entry.State = "terminating"
			f.discovery.Set(s.entry)
		})
		f.revertAfter(x, func() {
			f.updateWorker(x, func(s *workerState) {
				f.stopWorker(s)
				f.startCold(s)
			})
		})
	},
	"worker-ill": func(f *Cluster, x *Fault) {
		fail := func(failing bool, share float64) {
			f.updateWorker(x, func(s *workerState) {
				s.failing = failing
				s.worker.SetFaults(func(t *fake.WorkerFaults) { t.Fail = share })
			})
		}
		fail(true, x.Amount)
		f.revertAfter(x, func() { fail(false, 0) })
	},
	"worker-slow": func(f *Cluster, x *Fault) {
		slow := func(times float64) {
			f.updateWorker(x, func(s *workerState) { s.worker.SetFaults(func(t *fake.WorkerFaults) { t.Slow = times }) })
		}
		slow(max(1, x.Amount))
		f.revertAfter(x, func() { slow(1) })
	},
	"many-workers": (*Cluster).killWorkers,
}

// isolates returns a filter of the datagrams lost while a node is cut off from all others.
func isolates(node int) func(from, to int) bool {
	return func(from, to int) bool { return (from == node) != (to == node) }
}

// cutDuring drops the datagrams that lost selects while a fault lasts.
func (f *Cluster) cutDuring(x *Fault, lost func(from, to int) bool) {
	f.revertAfter(x, f.relay.cut(lost))
}

// cutLink holds back all traffic on a link while a fault lasts.
func (f *Cluster) cutLink(x *Fault, l *linkState) {
	f.host.Do(func() { l.cut = true })
	f.revertAfter(x, func() { f.host.Do(l.heal) })
}

// delayLink delays all traffic on a link while a fault lasts.
func (f *Cluster) delayLink(x *Fault, l *linkState) {
	f.host.Do(func() { l.delay = milliseconds(x.Amount) })
	f.revertAfter(x, func() { f.host.Do(func() { l.delay = 0 }) })
}

// updateWorker runs a function on the worker that a fault targets, under the host's lock.
func (f *Cluster) updateWorker(x *Fault, do func(s *workerState)) {
	f.host.Do(func() { do(f.workers[x.Target]) })
}

// restartWith stops a node's process with SIGTERM and starts it again after a delay, with another binary if one is given.
func (f *Cluster) restartWith(n *node, binary string, delayMs float64) {
	f.terminate(n)
	<-n.process.Ended()
	if binary != "" {
		n.bin = binary
	}
	f.restartAfter(n, delayMs)
}

// killWorkers stops a random share of all workers at once and starts them again cold when the fault is over.
func (f *Cluster) killWorkers(x *Fault) {
	random := rand.New(rand.NewPCG(f.plan.Seed, 17))
	var killed []*workerState
	f.host.Do(func() {
		for _, s := range f.workers {
			if random.Float64() < x.Amount {
				killed = append(killed, s)
				f.stopWorker(s)
			}
		}
	})
	f.revertAfter(x, func() {
		f.host.Do(func() {
			for _, s := range killed {
				f.startCold(s)
			}
		})
	})
}
