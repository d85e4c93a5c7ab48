package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Result is the result of a run.
type Result struct {
	Plan     *Plan
	Broken   []Violation
	Unjudged []Violation // of time bounds, seen while the harness itself was late: the plan must be run again
	Stats    Stats
	Trace    []string // set if an invariant broke
}

// Ok reports whether no invariant broke.
func (r *Result) Ok() bool { return len(r.Broken) == 0 }

// Time bounds that only a real failure exceeds.
const (
	startBound  = 30 * time.Second
	settleBound = 30 * time.Second
	endBound    = 15 * time.Second
)

// Run runs a plan. An error means that the harness failed; violations are in the result. All processes are ended in any case.
func Run(p *Plan, opt Options) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	f, err := newCluster(p, opt)
	defer f.close()
	if err != nil {
		return nil, err
	}
	for _, n := range f.nodes {
		if err := f.startProcess(n); err != nil {
			return nil, err
		}
	}
	f.watchReady()
	f.watchLag()
	if !f.waitFor(startBound, func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *node) bool { return !n.ready })
	}) {
		f.addViolation("process", "not all nodes are ready after the start")
	}
	f.play()
	f.settle()
	return f.result(), nil
}

// waitFor waits until a condition holds, and returns false after the bound. The condition runs under the host's lock.
func (f *Cluster) waitFor(bound time.Duration, holds func() bool) bool {
	for end := time.Now().Add(bound); ; time.Sleep(20 * time.Millisecond) {
		ok := false
		f.host.Do(func() { ok = holds() })
		if ok || time.Now().After(end) {
			return ok
		}
	}
}

// play runs the load and the faults.
func (f *Cluster) play() {
	begin := time.Now()
	f.host.Do(f.scheduleRequests)
	done := make(chan struct{}, len(f.plan.Faults))
	for i := range f.plan.Faults {
		t := &f.plan.Faults[i]
		time.AfterFunc(milliseconds(t.At), func() {
			f.traceEvent(
				"trouble",
				string(t.Kind),
				fmt.Sprintf("target %d, for %.0f ms, amount %.2f %s", t.Target, t.Length, t.Amount, t.Syscall),
			)
			f.inject(t)
			f.traceEvent("over", string(t.Kind), "")
			done <- struct{}{}
		})
	}
	time.Sleep(time.Until(begin.Add(milliseconds(f.plan.LengthMs))))
	for range f.plan.Faults {
		<-done
	}
	f.host.Do(func() { f.loadEnded = true })
}

// settling reports whether the load has ended: what is told to end then has all the time it needs.
func (f *Cluster) settling() (yes bool) {
	f.host.Do(func() { yes = f.loadEnded })
	return yes
}

// settle checks what must hold after the load has ended, and ends the processes as an operator would.
func (f *Cluster) settle() {
	if !f.waitFor(settleBound, func() bool { return f.clients.Open == 0 }) {
		f.addViolation("answer", fmt.Sprintf("%d clients still wait", f.clients.Open))
	}
	for _, n := range f.nodes {
		f.checkSettled(n)
	}
	for _, n := range f.nodes {
		f.terminate(n, n.process)
	}
	f.host.Do(func() {
		f.recordViolations(f.checker.Advance(time.Since(f.start)))
		f.recordViolations(f.checker.Close())
	})
}

// checkSettled checks a node's own metrics and descriptors after the load.
func (f *Cluster) checkSettled(n *node) {
	if !n.process.running() {
		f.addViolation("process", n.process.name+" does not run at the end")
		return
	}
	var list map[string]float64
	for end := time.Now().Add(settleBound); ; time.Sleep(50 * time.Millisecond) {
		var err error
		if list, err = f.metrics(n); err == nil && list["gw_in_flight"] == 0 {
			break
		}
		if time.Now().After(end) {
			f.addViolation(
				"settled",
				fmt.Sprintf("%s has %v requests in flight at the end: %v", n.process.name, list["gw_in_flight"], err),
			)
			return
		}
	}
	for name, v := range list {
		if strings.HasPrefix(name, "gw_invariant_violations") && v > 0 {
			f.addViolation(
				"own-check",
				fmt.Sprintf(
					"%s counts %v of %s: %s",
					n.process.name,
					v,
					name,
					strings.Join(n.process.LastLines("invariant", 5), "\n"),
				),
			)
		}
	}
	if descriptors := n.process.Descriptors(); descriptors > socketLimit {
		f.addViolation("limits", fmt.Sprintf("%s holds %d descriptors, its limit is 300", n.process.name, descriptors))
	}
}

// result returns the result, and writes the trace to trace.txt if an invariant broke.
func (f *Cluster) result() *Result {
	r := &Result{Plan: f.plan}
	f.host.Do(func() {
		f.stats.Asked, f.stats.Lost = f.clients.Asked, f.clients.Lost
		r.Broken, r.Unjudged, r.Stats = slices.Clone(f.broken), slices.Clone(f.unjudged), f.stats
		if !r.Ok() {
			r.Trace = slices.Clone(f.trace)
			os.WriteFile(filepath.Join(f.options.Dir, "trace.txt"), []byte(strings.Join(f.trace, "\n")+"\n"), 0o644)
		}
	})
	return r
}
