package chaos

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Result is the outcome of a run.
type Result struct {
	Plan     *Plan    `json:"Plan"`
	Failures []string `json:"Failures"`
	Stats    Stats    `json:"Stats"`
	Views    []Sample `json:"Views"`    // convergence of the views over time
	Timeline string   `json:"Timeline"` // on failure: the end of the event log and of each process's log
	Dir      string   `json:"Dir"`
	Notes    []string `json:"Notes"` // measurements of the scenario's own checks
}

// Sample counts the correct views, of those that are judged, at one time.
type Sample struct {
	Ms    float64 `json:"Ms"`
	Right int     `json:"Right"`
	Of    int     `json:"Of"`
}

// Ok reports whether the run found no failure.
func (r *Result) Ok() bool { return len(r.Failures) == 0 }

// Check is a further check at the end of a run, while its processes still run. It reports failures to the cluster.
type Check func(f *Cluster)

// Run runs a plan with real processes. An error is a failure of the harness itself; failures of the program are in the
// result. All processes and listeners are gone when it returns, also after an error.
func Run(p *Plan, opt Options, checks ...Check) (*Result, error) {
	if key, what := p.check(); key != "" {
		return nil, fmt.Errorf("%s: %s", key, what)
	}
	if opt.Until == 0 {
		opt.Until = 10 * time.Minute
	}
	f, err := newCluster(p, opt)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	r := &Result{Plan: p, Dir: opt.Dir}
	if err := f.startProcesses(r); err != nil {
		return nil, err
	}
	f.playFaults()
	f.settleAndCheck(r, checks)
	f.finish(r)
	f.judgeExits()
	f.judgeSettings()
	f.mu.Lock()
	r.Failures, r.Stats, r.Notes = slices.Clone(f.failures), f.stats, slices.Clone(f.notes)
	f.mu.Unlock()
	return r, nil
}

// startProcesses starts the processes, their supervisors and watchers, and waits until views and control plane have settled.
func (f *Cluster) startProcesses(result *Result) error {
	p := f.plan
	f.progress(0, "starting "+fmt.Sprint(p.Nodes)+" processes")
	for _, n := range f.nodes[:p.Nodes-p.LateNodes] { // at once: none waits for another
		if err := f.startNode(n, false); err != nil {
			return err
		}
	}
	f.watchReady()
	f.settle(result, "start")
	if p.Replicas > 0 {
		f.controlPlaneSettled("start")
		if l, _ := f.Leader(); l != nil {
			f.firstGroup = l.Group
		}
		for _, n := range f.nodes {
			f.supervise(n)
		}
	}
	if p.Settings {
		f.watchSettings()
	}
	if f.options.Started != nil {
		f.options.Started(f)
	}
	return nil
}

// playFaults submits the load and injects the plan's faults. It returns when the plan's length has passed and all faults are
// over.
func (f *Cluster) playFaults() {
	p := f.plan
	begin := time.Now()
	f.event(Event{Kind: "begin"})
	f.host.Do(f.submitLoad)
	var timers []*time.Timer
	faults := make(chan *Fault, len(p.Faults))
	for i := range p.Faults {
		timers = append(timers, time.AfterFunc(milliseconds(p.Faults[i].At), func() { faults <- &p.Faults[i] }))
	}
	done := make(chan struct{}, len(p.Faults))
	for left, lengthOver := len(p.Faults), time.After(milliseconds(p.LengthMs)); left > 0 || lengthOver != nil; {
		select {
		case fault := <-faults:
			what := fmt.Sprintf("for %g ms, amount %g, other %d", fault.Length, fault.Amount, fault.Other)
			f.event(Event{Kind: "fault", Actor: fault.Kind, Subject: fmt.Sprint(fault.Target), Text: what})
			go func() {
				f.inject(fault)
				done <- struct{}{}
			}()
		case <-done:
			left--
		case <-lengthOver:
			lengthOver = nil
		case <-time.After(200 * time.Millisecond):
			f.progress(time.Since(begin), "playing")
		}
	}
	for _, t := range timers {
		t.Stop()
	}
}

// settleAndCheck waits until views and control plane have settled, and runs the checks while the processes still run.
func (f *Cluster) settleAndCheck(result *Result, checks []Check) {
	p := f.plan
	f.event(Event{Kind: "quiet"})
	f.progress(milliseconds(p.LengthMs), "settling")
	if p.Replicas > 0 {
		f.controlPlaneSettled("quiet")
	}
	f.settle(result, "quiet")
	if p.LoadMs == 0 {
		f.awaitAnswers(result)
	}
	f.recordUsage(time.Since(f.start))
	for _, check := range checks {
		check(f)
	}
	if p.LoadMs > 0 {
		f.host.Do(func() { f.loadEnded = true })
		f.awaitAnswers(result)
	}
	f.mu.Lock()
	f.ending, f.endAt = true, time.Now()
	f.mu.Unlock()
}

// Bound is the limit for settling, which only a real failure reaches.
func (p *Plan) Bound() time.Duration { return milliseconds(p.SettleMs) }

// milliseconds converts a plan's time to a duration.
func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// progress reports the run's progress to the caller of Run.
func (f *Cluster) progress(done time.Duration, what string) {
	if f.options.Progress != nil {
		f.options.Progress(Step{done, milliseconds(f.plan.LengthMs), what})
	}
}

// timelineEvents is the number of event log entries in a failed run's timeline.
const timelineEvents = 120

// finish stops all processes with SIGTERM, as operators do, closes the trace checker and sums up the clients' counts.
func (f *Cluster) finish(result *Result) {
	for _, n := range f.nodes {
		f.terminate(n)
	}
	for _, n := range f.nodes {
		if n.process.running() {
			select {
			case <-n.process.Ended():
			case <-time.After(failureTimeout):
				f.errorf("end", "%s still runs %v after SIGTERM", f.nodeName(n.index), failureTimeout)
			}
		}
	}
	f.host.Do(func() {
		f.recordViolations(f.checker.Advance(time.Since(f.start)))
		f.recordViolations(f.checker.Close())
		for _, c := range f.clients {
			f.stats.Asked, f.stats.Served, f.stats.Lost = f.stats.Asked+c.Asked, f.stats.Served+c.Served, f.stats.Lost+c.Lost
		}
		f.stats.Ruled = len(f.violations)
	})
	f.mu.Lock()
	result.Failures, result.Stats = slices.Clone(f.failures), f.stats
	f.mu.Unlock()
	if !result.Ok() {
		result.Timeline = f.timeline(timelineEvents)
		os.WriteFile(filepath.Join(f.dir, "timeline.txt"), []byte(result.Timeline), 0o644)
	}
}

// sleep waits for the duration of a fault, or until the run is over.
func (f *Cluster) sleep(durationMs float64) {
	select {
	case <-time.After(milliseconds(durationMs)):
	case <-f.stop:
	}
}

// inject applies one fault by its kind's entry in injections, and returns when the injection does: when the
// fault is over, but at once for trap and wrong-binary, which take effect later.
func (f *Cluster) inject(x *Fault) {
	if act := injections[x.Kind]; act != nil {
		act(f, x)
	}
	f.event(Event{Kind: "over", Actor: x.Kind, Subject: fmt.Sprint(x.Target)})
}

// revertAfter waits for the length of a fault and then reverts it.
func (f *Cluster) revertAfter(x *Fault, revert func()) {
	f.sleep(x.Length)
	revert()
}
