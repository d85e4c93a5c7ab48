package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"swiftdeal/internal/testing/tracecheck"
)

// node is a node and its current process.
type node struct {
	index          int
	process        *process
	starts         int
	ready          bool      // guarded by the host's lock
	killed         time.Time // time of the last SIGKILL
	discoveryIndex int       // 0 or 1: the address of discovery in its configuration
	clockStep      float64
	syscallFault   string
}

// startProcess starts a new process of a node, unless the run has ended.
func (f *Cluster) startProcess(n *node) error {
	f.mu.Lock()
	runEnded := f.ended
	f.mu.Unlock()
	if runEnded {
		return nil
	}
	path, err := f.config(n)
	if err != nil {
		return err
	}
	temp := filepath.Join(f.options.Dir, f.name(n.index)+".tmp")
	if err := os.MkdirAll(temp, 0o755); err != nil {
		return err
	}
	env := []string{
		"GW_CONFIG=" + path,
		"TMPDIR=" + temp,
		"PATH=" + os.Getenv("PATH"),
		"GOTRACEBACK=all",
		fmt.Sprintf("%s=%d", wallStepEnv, int(n.clockStep)),
	}
	p, err := f.launch(fmt.Sprintf("%s.%d", f.name(n.index), n.starts), n.syscallFault, env)
	if err != nil {
		return err
	}
	f.mu.Lock()
	n.process, n.starts = p, n.starts+1
	f.mu.Unlock()
	f.host.Do(func() { f.stats.Starts++ })
	return nil
}

// processGone reports a violation if a process ended without being asked to, or with an exit code other than 0.
func (f *Cluster) processGone(p *process) {
	f.mu.Lock()
	stopRequested, runEnded := p.stopRequested, f.ended
	f.mu.Unlock()
	if !stopRequested && !runEnded || stopRequested && p.ExitCode() > 0 {
		f.addViolation(
			"process",
			fmt.Sprintf("%s ended with code %d: %s", p.name, p.ExitCode(), strings.Join(p.LastLines("", 12), "\n")),
		)
	}
}

// watchReady polls each node's readiness, as a reverse proxy in front of it does.
func (f *Cluster) watchReady() {
	for _, n := range f.nodes {
		f.background.Go(func() {
			c := http.Client{Timeout: 700 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
			misses := 0
			for every := time.NewTicker(100 * time.Millisecond); ; {
				select {
				case <-f.stop:
					every.Stop()
					return
				case <-every.C:
				}
				resp, err := c.Get("http://" + f.clientAddr(n.index) + "/ready")
				ready := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					resp.Body.Close()
					misses = 0
				} else if misses++; misses < 3 {
					continue
				}
				f.host.Do(func() { n.ready = ready })
			}
		})
	}
}

// kill ends a process by SIGKILL. The requests that it had accepted need no answer.
func (f *Cluster) kill(n *node, p *process) {
	f.mu.Lock()
	p.stopRequested, n.killed = true, time.Now()
	f.mu.Unlock()
	f.host.Do(func() {
		f.stats.Kills++
		f.observe(
			tracecheck.Event{
				Kind: tracecheck.Killed, Node: f.name(n.index), Until: time.Since(f.start) + time.Nanosecond,
			},
		)
	})
	p.Signal(syscall.SIGKILL)
	<-p.Ended()
}

// replace starts a second process of a node, waits until it serves, and ends the first.
func (f *Cluster) replace(n *node, predecessor *process) {
	if !predecessor.running() {
		return
	}
	if err := f.startProcess(n); err != nil {
		f.addViolation("harness", err.Error())
		return
	}
	successor := n.process
	for end := time.Now().Add(startBound); !successor.LogContains(`"serving"`); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) || !successor.running() {
			f.addViolation("process", successor.name+" does not take over: "+strings.Join(successor.LastLines("", 5), "\n"))
			return
		}
	}
	f.terminate(n, predecessor)
}

// terminate ends a process by SIGTERM, and reports a violation if it does not end in time.
func (f *Cluster) terminate(n *node, p *process) {
	f.mu.Lock()
	p.stopRequested = true
	f.mu.Unlock()
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	if f.plan.KillAtEarliest && !f.settling() {
		f.killAtEarliest(n, p)
		return
	}
	if !p.WaitEnd(endBound) {
		f.addViolation("process", fmt.Sprintf("%s has not ended %v after SIGTERM", p.name, endBound))
		p.Kill()
	}
}

const (
	// killDelay is when SIGKILL comes at the earliest after SIGTERM: the longest deadline of the classes and 0.7 s.
	killDelay = 3*time.Second + lateRequest
	// lateRequest is how long after SIGTERM a request has to come so that it must be answered before the kill.
	lateRequest = 700 * time.Millisecond
)

// killAtEarliest waits for the end of a process that was told to end, and kills it when the platform may. What came late and has no
// answer by then is lost.
func (f *Cluster) killAtEarliest(n *node, p *process) {
	terminatedAt := time.Now()
	if p.WaitEnd(killDelay) {
		return
	}
	f.host.Do(func() {
		for id, accepted := range f.accepted {
			if late := accepted.at.Sub(terminatedAt); accepted.node == f.name(n.index) && late > lateRequest {
				text := fmt.Sprintf("%s came %v after SIGTERM to %s, and has no answer at the kill", id, late, p.name)
				f.recordViolation("answer", text, id, true)
			}
		}
	})
	f.kill(n, p)
}
