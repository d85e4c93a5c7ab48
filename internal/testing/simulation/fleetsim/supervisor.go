package fleetsim

// fail ends a process by its own fault; its supervisor starts it again.
func (f *groundTruth) fail(p *process) {
	if p.running && !p.paused {
		f.simulation.end(p)
		f.simulation.schedule(f.simulation.now+periods(1), func() { f.startAgain(p.index) })
	}
}

// unheard has the supervisor of a process that does not answer look what any seat wants of its node.
func (f *groundTruth) unheard(p *process) {
	f.simulation.schedule(f.simulation.now+periods(3), func() {
		if !p.running || p.replica != nil {
			return
		}
		was := f.versions[p.name]
		if v := f.wanted(p.name); v != "" && v != was {
			f.simulation.end(p)
			f.simulation.schedule(f.simulation.now+periods(0.5), func() { f.startAgain(p.index) })
			return
		}
		f.unheard(p)
	})
}

// wanted is the version with which any seat wants a node's process to be started; empty: as it was.
func (f *groundTruth) wanted(node string) string {
	for _, q := range f.simulation.processes {
		if q != nil && q.running && !q.paused && q.replica != nil && q.replica.core.MayBeReplica() {
			if d := q.replica.core.SupervisorActionFor(node); d.Action == "restart" {
				return d.Version
			}
		}
	}
	return ""
}

// startAgain has a supervisor start a process, with the version that is wanted of it by any seat that can be asked.
func (f *groundTruth) startAgain(i int) {
	if f.simulation.processes[i].running || f.simulation.processByAddress[addr(i)] != nil {
		return
	}
	if v := f.wanted(name(i)); v != "" {
		f.versions[name(i)] = v
		if f.wrong[name(i)] {
			delete(f.wrong, name(i))
			f.versions[name(i)] = kindsOfVersion[2].name
		}
	}
	if f.rate(f.versions[name(i)]).dead {
		f.simulation.schedule(f.simulation.now+periods(2), func() { f.startAgain(i) })
		return
	}
	f.simulation.start(i, addr(i), false, false)
}
