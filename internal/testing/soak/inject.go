package soak

import (
	"slices"
	"strings"
	"syscall"
	"time"

	"swiftdeal/internal/testing/fake"
)

// holdFault waits for the length of a fault, or the end of the run, and then ends the fault.
func (f *Cluster) holdFault(t *Fault, end func()) {
	select {
	case <-time.After(milliseconds(t.Length)):
	case <-f.stop:
	}
	end()
}

// inject injects one fault, and returns when it is over.
func (f *Cluster) inject(fault *Fault) {
	if fault.Kind == Calls || fault.Kind == Clock && fault.Amount > -3600 && fault.Amount < 3600 {
		return // set from the node's start on: setStartFaults
	}
	if fault.Kind == ClientsCrowd {
		f.injectCrowd(fault)
		return
	}
	if slices.ContainsFunc(allKinds(), func(k faultRange) bool { return k.kind == fault.Kind && k.node }) {
		f.injectNode(fault, f.nodes[fault.Target])
		return
	}
	if strings.HasPrefix(string(fault.Kind), "disco") {
		f.injectDiscovery(fault)
	} else if strings.HasPrefix(string(fault.Kind), "worker") {
		f.injectWorkers(fault)
	} else {
		f.injectClients(fault)
	}
}

// signalPause is the time between two signals of a series.
const signalPause = 15 * time.Millisecond

// injectNode injects a fault into a node's process.
func (f *Cluster) injectNode(t *Fault, n *node) {
	restart := func() {
		if err := f.startProcess(n); err != nil {
			f.addViolation("harness", err.Error())
		}
	}
	p := n.process
	switch t.Kind {
	case Signals:
		for range int(t.Amount) {
			p.Signal(syscall.SIGHUP)
			time.Sleep(signalPause)
		}
		p.Signal(syscall.SIGHUP)
		f.terminate(n, p)
		f.holdFault(t, restart)
	case Term:
		f.terminate(n, p)
		f.holdFault(t, restart)
	case Kill:
		f.kill(n, p)
		f.holdFault(t, restart)
	case HeldUp:
		for past := 0.0; past < t.Length; past += 400 {
			p.Signal(syscall.SIGSTOP)
			time.Sleep(100 * time.Millisecond)
			p.Signal(syscall.SIGCONT)
			time.Sleep(300 * time.Millisecond)
		}
	case Reload:
		times := max(1, int(t.Amount))
		for range times {
			n.discoveryIndex = 1 - n.discoveryIndex
			if _, err := f.config(n); err != nil {
				f.addViolation("harness", err.Error())
			}
			p.Signal(syscall.SIGHUP)
			time.Sleep(milliseconds(t.Length / float64(times)))
		}
	case Replace:
		f.replace(n, p)
	case Clock:
		step := syscall.SIGUSR1
		if t.Amount < 0 {
			step = syscall.SIGUSR2
		}
		p.Signal(step)
		n.clockStep += t.Amount // the clock stays stepped: later processes of the node start with the same offset
	case LogStall:
		p.Stall(true)
		f.holdFault(t, func() { p.Stall(false) })
	}
}

// injectDiscovery injects a fault into discovery, at all nodes' addresses.
func (f *Cluster) injectDiscovery(t *Fault) {
	each := func(do func(*fake.Front)) {
		f.host.Do(func() {
			for _, pair := range f.fronts {
				do(pair[0])
				do(pair[1])
			}
		})
	}
	switch t.Kind {
	case DiscoDown:
		each(func(fr *fake.Front) { fr.SetDown(true) })
		f.holdFault(t, func() { each(func(fr *fake.Front) { fr.SetDown(false) }) })
	case DiscoSilent:
		each((*fake.Front).SilenceWatches)
	case DiscoSlow:
		each(func(fr *fake.Front) { fr.Delay = milliseconds(t.Amount) })
		f.holdFault(t, func() { each(func(fr *fake.Front) { fr.Delay = 0 }) })
	}
}

// injectWorkers injects a fault into workers or their connections.
func (f *Cluster) injectWorkers(t *Fault) {
	affected := f.drawWorkers(t.Amount)
	each := func(list []*worker, do func(*worker)) {
		f.host.Do(func() {
			for _, w := range list {
				do(w)
			}
		})
	}
	withFaults := func(change func(*fake.WorkerFaults)) func(*worker) {
		return func(w *worker) { w.worker.SetFaults(change) }
	}
	switch t.Kind {
	case WorkerDrain:
		each(affected, func(w *worker) {
			w.worker.Drain()
			w.entry.State = "terminating"
			f.discovery.Set(w.entry)
		})
		f.holdFault(t, func() { each(affected, func(w *worker) { f.stopWorker(w); f.startCold(w) }) })
	case WorkerKill:
		each(affected, f.stopWorker)
		f.holdFault(t, func() { each(affected, f.startCold) })
	case WorkerHang:
		each(affected, func(w *worker) { w.hung = true })
		f.holdFault(t, func() {
			each(affected, func(w *worker) {
				w.hung = false
				for _, s := range f.connsTo(w) {
					s.flush()
				}
			})
		})
	case WorkerFail:
		each(
			f.workers,
			withFaults(func(x *fake.WorkerFaults) { x.Fail, x.Reset, x.WrongID = t.Amount/3, t.Amount/3, t.Amount/3 }),
		)
		f.holdFault(t, func() { each(f.workers, withFaults(func(x *fake.WorkerFaults) { *x = fake.WorkerFaults{} })) })
	case WorkerForget:
		each(f.workers, withFaults(func(x *fake.WorkerFaults) { x.CloseIdle, x.Pieces = true, true }))
		f.holdFault(t, func() { each(f.workers, withFaults(func(x *fake.WorkerFaults) { *x = fake.WorkerFaults{} })) })
	case WorkerLate:
		f.host.Do(func() { f.workerDelay = milliseconds(t.Amount) })
		f.holdFault(t, func() { f.host.Do(func() { f.workerDelay = 0 }) })
	case WorkerReset:
		for past := 0.0; past < t.Length; past += 300 {
			each(affected, func(w *worker) {
				for _, s := range f.connsTo(w) {
					s.resetBoth()
				}
			})
			time.Sleep(300 * time.Millisecond)
		}
	}
}
