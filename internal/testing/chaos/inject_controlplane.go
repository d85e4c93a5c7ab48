package chaos

import (
	"cmp"
	"fmt"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
)

// controlPlaneInjections are operators' requests, and faults that apply only to plans with a control plane.
var controlPlaneInjections = map[string]injection{
	"drain":     requestForNode("drain"),
	"resume":    requestForNode("resume"),
	"write-off": requestForNode("write-off"),

	"drain-worker":  requestForWorker("drain"),
	"resume-worker": requestForWorker("resume"),

	"release":  (*Cluster).startRelease,
	"halt":     requestForRelease("release-halt"),
	"go":       requestForRelease("release-go"),
	"pause":    requestForRelease("release-pause"),
	"way-back": requestForRelease("release-back"),

	"kill-leader": func(f *Cluster, x *Fault) {
		if _, i := f.Leader(); i >= 0 {
			f.kill(f.nodes[i])
			f.restartAfter(f.nodes[i], x.Length)
		}
	},
	"stop-leader": func(f *Cluster, x *Fault) {
		if _, i := f.Leader(); i >= 0 {
			f.pause(f.nodes[i], x.Length)
		}
	},
	"trap": (*Cluster).setTrap,
	"wrong-binary": func(f *Cluster, x *Fault) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.nodes[x.Target].startsWrongVersion = true
	},
	"site-lost": func(f *Cluster, x *Fault) {
		var lost []*node
		for _, n := range f.nodes {
			if n.site == siteName(x.Target%f.plan.Sites) {
				lost = append(lost, n)
			}
		}
		f.loseNodes(lost, x.Length)
	},
	"seats-lost": func(f *Cluster, x *Fault) { f.loseNodes(f.nodes[:f.plan.Replicas], x.Length) },
}

// operatorNode is the node to which the operator sends the request.
func (f *Cluster) operatorNode(x *Fault) int { return x.Other % f.plan.Nodes }

// requestForNode returns an injection that sends an operator's request about the target node.
func requestForNode(operation controlplane.Operation) injection {
	return func(f *Cluster, x *Fault) {
		name := f.nodeName(x.Target % f.plan.Nodes)
		f.sendOperatorRequest(f.operatorNode(x), controlplane.OperatorRequest{Operation: operation, Name: name})
	}
}

// requestForWorker returns an injection that sends an operator's request about the target worker.
func requestForWorker(operation controlplane.Operation) injection {
	return func(f *Cluster, x *Fault) {
		name := fmt.Sprintf("w%d", x.Target)
		f.sendOperatorRequest(f.operatorNode(x), controlplane.OperatorRequest{
			Operation: operation, SubjectKind: disruption.KindWorker, Name: name,
		})
	}
}

// requestForRelease returns an injection that sends an operator's request about the release.
func requestForRelease(operation controlplane.Operation) injection {
	return func(f *Cluster, x *Fault) {
		f.sendOperatorRequest(f.operatorNode(x), controlplane.OperatorRequest{Operation: operation})
	}
}

// startRelease sends an operator's request to start the plan's release.
func (f *Cluster) startRelease(x *Fault) {
	p := &rollout.Plan{
		Name: "r", Version: f.plan.Release, FromVersion: oldVersion, CanarySize: 1, BatchSizes: []int{2, 3},
		SoakMs: int64(cmp.Or(x.Length, 1500)), ReturnTimeoutMs: 8000, AutoRollback: true, Handover: f.plan.Handover,
		Gate: rollout.Gate{MinDifference: 0.3},
	}
	p.Gate.SetDefaults()
	f.sendOperatorRequest(f.operatorNode(x), controlplane.OperatorRequest{Operation: "release-start", Plan: p})
}

// setTrap installs a trap for the next confirmed exit.
func (f *Cluster) setTrap(x *Fault) {
	f.mu.Lock()
	f.traps = append(f.traps, &trap{
		message: "exit confirmed", kill: x.Amount == 0, strikesHolder: x.Amount == 2, durationMs: x.Length,
	})
	f.mu.Unlock()
	if x.Amount == 2 { // the delay lets the harness, however busy, stop the holder before the confirmation reaches it
		f.relay.setNodeDelay(x.Target, confirmationDelayMs)
	}
}

// loseNodes kills nodes' processes at once, and starts them again after length ms.
func (f *Cluster) loseNodes(nodes []*node, delayMs float64) {
	for _, n := range nodes {
		go f.kill(n)
	}
	f.sleep(max(delayMs, 1))
	for _, n := range nodes {
		<-n.process.Ended()
		f.restartAfter(n, 1)
	}
}
