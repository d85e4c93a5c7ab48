package chaos

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is one member of the plan.
type node struct {
	index         int
	site          string
	process       *process // nil before the first start
	replaced      []*process
	starts        int
	ready         bool // as the site's load balancer last saw it
	bin           string
	oldWorkerList bool // its configuration file holds an outdated endpoint list
	duplicate     bool // a second process with the name of node duplicateOf
	duplicateOf   int

	version            string // last started by its supervisor; empty: the program's own
	crashed            bool   // its process exited by itself and the supervisor has to start it again
	startsWrongVersion bool   // its supervisor's next start uses the wrong version

	noFleetSettings bool                 // its fleet file has no [settings]
	alterSettings   func(map[string]any) // optional: changes the settings in its file
}

// startNode starts a node's process. With beside it does so even if the node has a running process already.
func (f *Cluster) startNode(n *node, beside bool) error {
	f.mu.Lock()
	ended := f.ended
	f.mu.Unlock()
	if ended || n.process.running() && !beside {
		return nil
	}
	env, args, err := f.writeConfig(n)
	if err != nil {
		return err
	}
	f.mu.Lock()
	n.starts++
	f.mu.Unlock()
	p, err := f.launch(n.index, n.starts, n.bin, env, args...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.process != nil {
		n.replaced = append(n.replaced, n.process)
	}
	n.process = p
	return nil
}

const (
	faultyExitCode = 7   // exit code of builds with the crashes and dead faults
	killedExitCode = 137 // 128 plus SIGKILL
)

// onProcessEnd judges the end of a process: only requested ends and those of builds with a fault are allowed.
func (f *Cluster) onProcessEnd(p *process) {
	f.mu.Lock()
	requested, ended, faultyBuild := p.stopRequested, f.ended,
		f.plan.Replicas > 0 && p.bin != f.options.Bin && p.ExitCode() == faultyExitCode
	if faultyBuild && !requested {
		f.nodes[p.node].crashed = true
	}
	f.mu.Unlock()
	if !requested && !ended && !faultyBuild {
		f.errorf("crash", "%s exited by itself with code %d: %s", p.name, p.ExitCode(), p.logTail(5))
	}
	if requested && p.ExitCode() > 0 && p.ExitCode() != killedExitCode && !p.expectsFailure && !faultyBuild {
		f.errorf("crash", "%s exited with code %d after the harness stopped it", p.name, p.ExitCode())
	}
}

// restartAfter starts a node's process after a delay; a delay of 0 means that it is not started again.
func (f *Cluster) restartAfter(n *node, delayMs float64) {
	if delayMs > 0 {
		time.Sleep(milliseconds(delayMs))
		if err := f.startNode(n, false); err != nil {
			f.errorf("harness", "%v", err)
		}
	}
}

// RestartNode starts a node's process if it does not run, for checks and examples.
func (f *Cluster) RestartNode(i int) { f.restartAfter(f.nodes[i], 1) }

// terminate sends SIGTERM to a node's process, and SIGCONT first in case it is stopped.
func (f *Cluster) terminate(n *node) {
	f.mu.Lock()
	p := n.process
	if p != nil {
		p.stopRequested = true
	}
	f.mu.Unlock()
	if p.running() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
	}
}

// kill sends SIGKILL to a node's process and waits for its end.
func (f *Cluster) kill(n *node) {
	f.mu.Lock()
	p := n.process
	if p != nil {
		p.stopRequested = true
		p.interruptions++
	}
	f.mu.Unlock()
	if p.running() {
		p.signal(syscall.SIGKILL)
		<-p.Ended()
	}
}

// pause stops a node's process with SIGSTOP for a time.
func (f *Cluster) pause(n *node, durationMs float64) {
	f.mu.Lock()
	p := n.process
	if p != nil {
		p.paused = true
		p.interruptions++
	}
	f.mu.Unlock()
	if p == nil {
		return
	}
	p.signal(syscall.SIGSTOP)
	f.sleep(durationMs)
	p.signal(syscall.SIGCONT)
	f.mu.Lock()
	p.paused = false
	f.mu.Unlock()
}

// replace starts a second process of a node that takes over from the first by handover.
func (f *Cluster) replace(n *node) {
	f.mu.Lock()
	old := n.process
	f.mu.Unlock()
	if !old.running() {
		return
	}
	if err := f.startNode(n, true); err != nil {
		f.errorf("harness", "%v", err)
		return
	}
	complete := func() bool { return n.process.LogContains(`"handover complete`) }
	if _, ok := f.Wait(failureTimeout, func() bool { return complete() || !n.process.running() }); !ok {
		f.errorf("replace", "handover to the second process of %s not complete", f.nodeName(n.index))
	}
	f.mu.Lock()
	old.stopRequested = true
	f.mu.Unlock()
	old.signal(syscall.SIGTERM)
	<-old.Ended()
}

// startDuplicate runs a second process with a node's name, at another address, for a time.
func (f *Cluster) startDuplicate(n *node, durationMs float64) {
	duplicate := &node{index: f.plan.Nodes, site: n.site, bin: n.bin, duplicate: true, duplicateOf: n.index}
	f.mu.Lock()
	f.duplicates = append(f.duplicates, duplicate)
	f.mu.Unlock()
	if err := f.startNode(duplicate, false); err != nil {
		f.errorf("harness", "%v", err)
		return
	}
	f.sleep(durationMs)
	f.mu.Lock()
	duplicate.process.stopRequested = true
	f.mu.Unlock()
	duplicate.process.Kill()
}

// startWithoutConfig starts a process with an empty configuration: it must report what is missing and exit.
func (f *Cluster) startWithoutConfig(n *node) {
	empty := filepath.Join(f.dir, "empty.json")
	os.WriteFile(empty, []byte("{}"), 0o644)
	p, err := f.launch(n.index, 1000+n.starts, n.bin, []string{"GW_CONFIG=" + empty}, "serve")
	if err != nil {
		f.errorf("harness", "%v", err)
		return
	}
	f.mu.Lock()
	p.stopRequested, p.expectsFailure = true, true
	f.mu.Unlock()
	select {
	case <-p.Ended():
	case <-time.After(failureTimeout):
		p.Kill()
		f.errorf("bad start", "a process with an empty configuration did not exit")
	}
	if text := p.logTail(5); p.ExitCode() == 0 || !strings.Contains(text, "listen: missing") {
		f.errorf("bad start", "with an empty configuration the process exited with code %d and logged %q", p.ExitCode(), text)
	}
}

// injectSeveral restarts all nodes one after the other ("rolling"), or kills a random share of them at once ("many").
func (f *Cluster) injectSeveral(x *Fault) {
	random := rand.New(rand.NewPCG(f.plan.Seed, 13))
	if x.Kind == "rolling" {
		for _, n := range f.nodes {
			f.terminate(n)
			<-n.process.Ended()
			f.restartAfter(n, max(x.Length, 1))
			f.Wait(failureTimeout, func() bool { return f.View(n.index) != nil })
		}
		return
	}
	var killed []*node
	for _, n := range f.nodes {
		if random.Float64() < x.Amount {
			killed = append(killed, n)
			go f.kill(n)
		}
	}
	f.sleep(max(x.Length, 1))
	for _, n := range killed {
		<-n.process.Ended()
		f.restartAfter(n, 1)
	}
}
