package fleetsim

import (
	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
)

// operatorCall has an operator ask something at a node, which is not the one that is meant.
func (f *groundTruth) operatorCall(x *Fault, t int) {
	at := f.simulation.processes[(t+1+int(x.Amount))%len(f.simulation.processes)]
	if !at.running || at.paused || at.replica == nil {
		return
	}
	c := controlplane.OperatorRequest{
		SubjectKind: disruption.KindNode,
		Name:        name(t),
		RequestedBy: "operator",
		Reason:      "drill",
	}
	switch x.Kind {
	case "drain":
		c.Operation = "drain"
		f.asked[name(t)] = f.simulation.now
	case "resume":
		c.Operation = "resume"
	case "write-off":
		c.Operation = "write-off"
		f.writtenOff[name(t)] = true
	case "halt":
		c.Operation = "release-halt"
	case "go":
		c.Operation = "release-go"
	case "way-back":
		c.Operation = "release-back"
	case "release":
		c.Operation = "release-start"
		k := kindsOfVersion[int(x.Amount)%len(kindsOfVersion)]
		c.Plan = &rollout.Plan{
			Name:            "r",
			Version:         k.name,
			FromVersion:     oldVersion,
			CanarySize:      1,
			BatchSizes:      []int{2, 4},
			SoakMs:          int64(x.Length * 1000),
			ReturnTimeoutMs: 30000,
			AutoRollback:    true,
			Gate:            rollout.Gate{},
		}
		c.Plan.Gate.SetDefaults()
		f.started = f.simulation.now
	}
	f.calls[at.replica.core.Submit(f.simulation.now-at.clockStart, c)] = x.Kind
	f.simulation.collect(at)
}

// operate is what operators do once all is quiet: a release that has come to a halt goes back.
func (f *groundTruth) operate() {
	if f.simulation.now-f.tended < periods(40) {
		return
	}
	f.tended = f.simulation.now
	for _, p := range f.simulation.processes {
		if p != nil && p.running && p.replica != nil && p.replica.core.MayBeReplica() &&
			p.replica.core.Consensus().IsLeader() {
			if _, r := p.replica.core.State(); r.Phase == rollout.PhaseStuck || r.Phase == rollout.PhaseHalted {
				f.operatorCall(&Fault{Kind: "way-back"}, p.index)
			}
		}
	}
}
