package chaos

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"swiftdeal/internal/controlplane"
)

// supervise runs a fake process supervisor for a node: it polls the node's control address for the action that is allowed now,
// performs it and confirms it. It restarts a process that has exited by itself.
func (f *Cluster) supervise(n *node) {
	f.background.Add(1)
	go func() {
		defer f.background.Done()
		every := time.NewTicker(100 * time.Millisecond)
		defer every.Stop()
		for {
			select {
			case <-f.stop:
				return
			case <-every.C:
			}
			f.mu.Lock()
			p, over, crashed := n.process, f.ended || f.ending, n.crashed
			f.mu.Unlock()
			switch {
			case over || p == nil:
			case crashed && !p.running():
				f.restartCrashed(n)
			case p.running() && !p.stopRequested && !p.paused:
				f.performAction(n, p)
			}
		}
	}()
}

// supervisorAction fetches the pending supervisor action from a node's control address.
func (f *Cluster) supervisorAction(at int, query string) (d controlplane.SupervisorAction, ok bool) {
	text, code, err := f.getControl(at, "/-/fleet/duty"+query)
	return d, err == nil && code == http.StatusOK && json.Unmarshal(text, &d) == nil
}

// performAction performs the supervisor action that a node reports as allowed now.
func (f *Cluster) performAction(n *node, p *process) {
	d, ok := f.supervisorAction(n.index, "")
	if !ok { // the node does not answer: a control plane replica may know the action for it
		for i := range min(f.plan.Nodes, f.plan.Replicas) {
			if d, ok := f.supervisorAction(i, "?node="+f.nodeName(n.index)); ok && i != n.index {
				if d.Action == "restart" && d.Version != n.version {
					f.event(
						Event{
							Kind:  "supervisor",
							Actor: f.nodeName(n.index),
							Text:  "does not answer; restarts with " + d.Version,
						},
					)
					f.selectBinary(n, d.Version)
					f.terminate(n)
					<-p.Ended()
					f.restartAfter(n, 1)
				}
				break
			}
		}
	}
	if !ok || d.Action != "restart" {
		return
	}
	h := http.Client{Timeout: 2 * time.Second, Transport: f.client.Transport}
	resp, err := h.Post(fmt.Sprintf("http://%s/-/fleet/did?permit=%d", f.Control(n.index), d.GrantID), "", nil)
	if err != nil {
		return
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	f.event(Event{Kind: "supervisor", Actor: f.nodeName(n.index), Text: "restarts with " + d.Version})
	f.selectBinary(n, d.Version)
	f.mu.Lock()
	p.interruptions++
	f.mu.Unlock()
	if !d.OutOfRotation {
		f.replace(n)
		return
	}
	f.terminate(n)
	<-p.Ended()
	f.restartAfter(n, 1)
}

// selectBinary sets the binary of a node's next start by its version.
func (f *Cluster) selectBinary(n *node, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.bin, n.version = f.options.Bin, version
	if bin := f.options.Versions[version]; bin != "" {
		n.bin = bin
	}
	if n.startsWrongVersion {
		n.startsWrongVersion = false
		n.bin = f.options.Versions["wrong"]
	}
}

// restartCrashed restarts a process that has exited by itself, with the version that a control plane replica assigns to its node.
func (f *Cluster) restartCrashed(n *node) {
	for i := range min(f.plan.Nodes, f.plan.Replicas+1) {
		if i == n.index {
			continue
		}
		if d, ok := f.supervisorAction(i, "?node="+f.nodeName(n.index)); ok {
			if d.Action == "restart" {
				f.selectBinary(n, d.Version)
			}
			break
		}
	}
	f.mu.Lock()
	n.crashed = false
	f.mu.Unlock()
	f.event(Event{Kind: "supervisor", Actor: f.nodeName(n.index), Text: "starts it again"})
	f.restartAfter(n, 300)
}

// runsFaultyBuild reports whether a node runs a build with a fault, which may exit by itself without a failure of the run.
func (f *Cluster) runsFaultyBuild(n *node) bool { return f.plan.Replicas > 0 && n.bin != f.options.Bin }
