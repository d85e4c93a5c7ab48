package simulation

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftdeal/internal/config"
	"swiftdeal/internal/node"
	"swiftdeal/internal/testing/fake"
)

func (sim *Simulation) workerOf(f *Fault) *machine { return sim.machines[f.Target] }

// applyHeavyTail makes an eighth of one class's jobs longer than their hints while a heavy-tail fault is active.
func (sim *Simulation) applyHeavyTail(j *fake.Job) {
	if sim.longJobs == nil || j.Class != classPlans[int(sim.longJobs.Amount*1000)%len(classPlans)].name {
		return
	}
	if h := xxhash.Sum64String(j.Name); h%8 == 0 {
		j.Work *= float64(5 + h/8%26)
	}
}

// scheduleFault schedules the begin and the end of a fault.
func (sim *Simulation) scheduleFault(f *Fault) {
	k, _ := faultOf(f.Kind)
	sim.schedule(ms(f.At), func() {
		sim.trace("fault %s on %d begins (%g for %g ms)", f.Kind, f.Target, f.Amount, f.Length)
		k.begin(sim, f)
	})
	if k.end != nil {
		sim.schedule(ms(f.At+f.Length), func() {
			sim.trace("fault %s on %d ends", f.Kind, f.Target)
			k.end(sim, f)
		})
	}
}

// publish changes the state of a worker's entry in discovery's list.
func (sim *Simulation) publish(m *machine, state string) {
	m.entry.State = state
	sim.discovery.Set(m.entry)
}

func (sim *Simulation) drainWorker(m *machine) {
	if m.worker.Up() && m.entry.State == "in_service" {
		m.worker.Drain()
		sim.publish(m, "terminating")
	}
}

// restartWorker restarts a worker cold and publishes it as in service.
func (sim *Simulation) restartWorker(f *Fault) {
	m := sim.workerOf(f)
	if m.worker.Up() {
		return
	}
	sim.startWorker(m, true)
	m.entry.Started = time.Now().UnixMilli()
	sim.publish(m, "in_service")
}

// forEachFront calls do for every discovery address in service.
func (sim *Simulation) forEachFront(do func(*fake.Front)) {
	for _, m := range sim.fakeMachines() {
		if m.front != nil && !m.gone {
			do(m.front)
		}
	}
	sim.observeList()
}

// moveDiscovery moves discovery to a new address; the old addresses close 1.5 s later.
func (sim *Simulation) moveDiscovery() {
	var old []*machine
	for _, m := range sim.fakeMachines() {
		if m.front != nil && !m.gone {
			old = append(old, m)
		}
	}
	m := sim.newFront()
	for i, n := range sim.nodes {
		sim.nodes[i].discovery = m.addr
		sim.reloadNode(n, m.addr)
	}
	sim.After(1500*time.Millisecond, func() {
		for _, o := range old {
			o.gone = true
			o.front.SetDown(true)
		}
	})
}

// reloadNode sends a node SIGHUP, which is postponed until the node is ready and has run for a second.
func (sim *Simulation) reloadNode(n *process, discovery string) {
	if !n.running || n.killed {
		return
	}
	if !n.ready && n.terminatedAt == 0 || sim.now() < n.startedAt+time.Second {
		sim.After(200*time.Millisecond, func() { sim.reloadNode(n, discovery) })
		return
	}
	to := *n.config
	to.Discovery = config.DiscoveryAddresses{File: discovery}
	sim.trace("%s SIGHUP, discovery at %s", n.name, discovery)
	sim.sendReload(n, node.Reload{Config: &to})
}

// sendReload passes a node the configuration, or the error, that it reads on SIGHUP.
func (sim *Simulation) sendReload(n *process, r node.Reload) {
	reloads := n.reloads
	go func() {
		select {
		case reloads <- r:
		case <-n.gone:
		}
	}()
}

// restartNode restarts a node that is not running.
func (sim *Simulation) restartNode(i int) {
	if n := sim.nodes[i]; !n.running {
		sim.startNode(n)
	}
}
