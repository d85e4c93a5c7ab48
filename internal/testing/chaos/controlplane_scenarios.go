package chaos

import (
	"strings"
	"time"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
)

// controlPlanePlan returns a plan of nodes in two sites, with three control plane replicas, that serve jobs while the faults
// occur.
func controlPlanePlan(nodes, budget int, lengthMs float64, faults ...Fault) Plan {
	return modifyPlan(
		faultPlan(nodes, lengthMs, faults...), func(p *Plan) { p.Replicas, p.Budget, p.Rate = 3, budget, 20 },
	)
}

// releasePlan returns such a plan in which an operator also starts the release of a build.
func releasePlan(build string, nodes, budget int, soakMs, lengthMs float64, faults ...Fault) Plan {
	return modifyPlan(
		controlPlanePlan(
			nodes, budget, lengthMs,
			append([]Fault{{Kind: "release", At: 300, Length: soakMs, Other: 1}}, faults...)...,
		),
		func(p *Plan) { p.Release, p.Rate, p.WorkMs, p.LoadMs = build, 120, 15, 100_000 },
	)
}

// expectPhase fails the run unless the release is in the given phase.
func (f *Cluster) expectPhase(want rollout.Phase) *controlplane.Report {
	r, _ := f.Leader()
	if r == nil || r.ReleasePhase != want {
		f.errorf("release", "the release is %v, not %v", releaseStatus(r), want)
	}
	return r
}

// releaseStatus describes a release's state, for failure messages.
func releaseStatus(r *controlplane.Report) string {
	if r == nil {
		return "no leader"
	}
	return r.ReleasePhaseText + " " + r.ReleaseReason +
		"; waits for " + r.ReleaseWaitReason +
		"; needs " + r.ReleaseActionNeeded
}

// awaitRelease waits until the release is in one of the given phases, and fails the run if the plan's bound passes before.
func (f *Cluster) awaitRelease(want ...rollout.Phase) *controlplane.Report {
	var r *controlplane.Report
	f.Wait(f.plan.Bound(), func() bool {
		if r, _ = f.Leader(); r == nil {
			return false
		}
		for _, w := range want {
			if r.ReleasePhase == w {
				return true
			}
		}
		return false
	})
	for _, w := range want {
		if r != nil && r.ReleasePhase == w {
			return r
		}
	}
	f.errorf("release", "the release has not reached any phase of %v: %v", want, releaseStatus(r))
	return r
}

// expectHistory fails the run unless an entry of the control plane's history contains the text.
func (f *Cluster) expectHistory(what string) {
	r, _ := f.Leader()
	if r != nil {
		for _, e := range r.History {
			if strings.Contains(e.Event+" "+e.Subject+" "+e.Reason, what) {
				return
			}
		}
	}
	f.errorf("council", "no entry of the history contains %q", what)
}

// expectExits fails the run unless at least so many planned exits have begun.
func (f *Cluster) expectExits(least int) {
	f.mu.Lock()
	n := 0
	for _, e := range f.exitLog {
		if e.kind == "leaves" {
			n++
		}
	}
	f.mu.Unlock()
	if n < least {
		f.errorf("council", "%d planned exits began, want at least %d", n, least)
	}
}

// expectVersions fails the run unless node 0 sees every node with the given version.
func (f *Cluster) expectVersions(want string) {
	for _, n := range f.nodes {
		if _, program, _ := f.memberStatus(0, f.nodeName(n.index)); program != want {
			f.errorf("release", "%s runs version %q, want %s", f.nodeName(n.index), program, want)
		}
	}
}

// checkRollback checks the release of a build with a fault: it stops before any node beyond the canary gets the build, and
// every node returns to the earlier version.
func checkRollback(f *Cluster) {
	if r := f.awaitRelease(rollout.PhaseRolledBack); r != nil {
		attempted := 0
		for _, n := range r.ReleaseNodes {
			if n.Attempted {
				attempted++
			}
		}
		if attempted > 1 {
			f.errorf("release", "%d nodes got the faulty build, want at most 1", attempted)
		}
	}
	f.expectVersions(oldVersion)
}

// AgreedScenarios are the hard cases of drains and releases that the control plane coordinates.
var AgreedScenarios = []Scenario{
	{
		Name: "drain-and-resume",
		Plan: controlPlanePlan(
			5, 1, 6000,
			Fault{Kind: "drain", At: 300, Target: 3, Other: 4},
			Fault{Kind: "drain", At: 400, Target: 4, Other: 0},
			Fault{Kind: "resume", At: 3000, Target: 3, Other: 1},
			Fault{Kind: "resume", At: 5500, Target: 4, Other: 1},
		),
		Then: func(f *Cluster) { f.expectExits(2) },
	},
	{
		Name: "two-operators-across-a-split",
		Plan: modifyPlan(
			controlPlanePlan(
				6, 2, 8000,
				Fault{Kind: "split", At: 300, Length: 4000, Amount: 2},
				Fault{Kind: "drain", At: 1500, Target: 3, Other: 3},
				Fault{Kind: "drain", At: 1500, Target: 5, Other: 4},
				Fault{Kind: "drain", At: 1600, Target: 1, Other: 0},
				Fault{Kind: "resume", At: 7000, Target: 3, Other: 0},
				Fault{Kind: "resume", At: 7100, Target: 5, Other: 0},
				Fault{Kind: "resume", At: 7200, Target: 1, Other: 0},
			),
			func(p *Plan) { p.SiteBudget = 1 },
		),
	},
	{
		Name: "leader-killed-as-it-decides",
		Plan: controlPlanePlan(
			5, 1, 7000,
			Fault{Kind: "trap", At: 200, Length: 800},
			Fault{Kind: "drain", At: 400, Target: 4, Other: 3},
			Fault{Kind: "drain", At: 500, Target: 3, Other: 4},
			Fault{Kind: "resume", At: 6000, Target: 4, Other: 3},
		),
		Then: func(f *Cluster) { f.expectExits(1) },
	},
	{
		Name: "leader-killed-and-back-empty",
		Plan: controlPlanePlan(
			5, 1, 7000,
			Fault{Kind: "drain", At: 300, Target: 4, Other: 3},
			Fault{Kind: "kill-leader", At: 1500, Length: 300},
			Fault{Kind: "drain", At: 1600, Target: 3, Other: 4},
			Fault{Kind: "kill-leader", At: 4000, Length: 300},
			Fault{Kind: "resume", At: 6000, Target: 4, Other: 3},
		),
		Then: func(f *Cluster) { f.expectExits(1) },
	},
	{
		Name: "holder-stopped-before-it-leaves",
		Plan: controlPlanePlan(
			5, 1, 9000,
			Fault{Kind: "trap", At: 200, Target: 4, Amount: 2, Length: 5000},
			Fault{Kind: "drain", At: 400, Target: 4, Other: 3},
			Fault{Kind: "write-off", At: 3000, Target: 4, Other: 0},
			Fault{Kind: "drain", At: 3500, Target: 3, Other: 0},
			Fault{Kind: "resume", At: 8000, Target: 3, Other: 0},
		),
	},
	{
		Name: "leader-stopped-for-long",
		Plan: controlPlanePlan(
			5, 1, 9000,
			Fault{Kind: "drain", At: 300, Target: 4, Other: 3},
			Fault{Kind: "stop-leader", At: 1500, Length: 5000},
			Fault{Kind: "drain", At: 3000, Target: 3, Other: 4},
			Fault{Kind: "resume", At: 8000, Target: 4, Other: 3},
		),
	},
	{
		Name: "no-majority-anywhere",
		Plan: controlPlanePlan(
			6, 2, 9000,
			Fault{Kind: "drain", At: 300, Target: 4, Other: 3},
			Fault{Kind: "split", At: 1500, Length: 4000, Amount: 3},
			Fault{Kind: "drain", At: 2500, Target: 5, Other: 2},
			Fault{Kind: "resume", At: 8000, Target: 4, Other: 3},
		),
		Then: func(f *Cluster) { f.expectExits(1) },
	},
	{
		Name: "seats-lost-and-back-empty",
		Plan: controlPlanePlan(
			5, 1, 9000,
			Fault{Kind: "drain", At: 300, Target: 4, Other: 3},
			Fault{Kind: "seats-lost", At: 1500, Length: 500},
			Fault{Kind: "drain", At: 6500, Target: 3, Other: 3},
		),
		Then: func(f *Cluster) {
			if r, _ := f.Leader(); r == nil || r.Group.Compare(f.firstGroup) <= 0 {
				f.errorf("council", "no new group was founded after all replicas were lost")
			}
		},
	},
	{
		Name: "seats-with-disks",
		Plan: modifyPlan(
			controlPlanePlan(
				5, 1, 9000,
				Fault{Kind: "drain", At: 300, Target: 4, Other: 3},
				Fault{Kind: "seats-lost", At: 1500, Length: 500},
				Fault{Kind: "drain", At: 6500, Target: 3, Other: 3},
			),
			func(p *Plan) { p.Disk = true },
		),
		Then: func(f *Cluster) {
			if r, _ := f.Leader(); r == nil || r.Group != f.firstGroup {
				f.errorf("council", "the group changed although the replicas have disks")
			}
			f.expectHistory("granted node n4")
		},
	},
	{
		Name: "bad-links-to-the-council",
		Plan: controlPlanePlan(
			5, 1, 9000,
			Fault{Kind: "loss", At: 200, Length: 7000, Amount: 0.25},
			Fault{Kind: "jitter", At: 200, Length: 7000, Amount: 40},
			Fault{Kind: "twice", At: 200, Length: 7000, Amount: 0.3},
			Fault{Kind: "drain", At: 500, Target: 4, Other: 3},
			Fault{Kind: "resume", At: 3500, Target: 4, Other: 2},
			Fault{Kind: "drain", At: 4000, Target: 3, Other: 2},
			Fault{Kind: "resume", At: 8000, Target: 3, Other: 2},
		),
	},
	{
		Name: "asks-again-and-again",
		Plan: controlPlanePlan(
			5, 1, 8000,
			Fault{Kind: "drain", At: 300, Target: 4, Other: 3},
			Fault{Kind: "drain", At: 400, Target: 4, Other: 2},
			Fault{Kind: "drain", At: 500, Target: 4, Other: 1},
			Fault{Kind: "resume", At: 2000, Target: 4, Other: 3},
			Fault{Kind: "drain", At: 2050, Target: 4, Other: 1},
			Fault{Kind: "flap", At: 2500, Length: 2500, Target: 4},
			Fault{Kind: "drain", At: 3000, Target: 3, Other: 1},
			Fault{Kind: "resume", At: 6500, Target: 4, Other: 0},
			Fault{Kind: "resume", At: 7500, Target: 3, Other: 0},
		),
	},
	{
		Name: "worker-drained-while-a-node-is-cut-off",
		Plan: controlPlanePlan(
			5, 1, 9000,
			Fault{Kind: "alone", At: 300, Length: 4500, Target: 4},
			Fault{Kind: "drain-worker", At: 1500, Target: 2, Other: 0},
		),
		Then: func(f *Cluster) {
			quiet := func() bool {
				r, _ := f.Leader()
				return r != nil && len(r.Grants) == 1 && r.Grants[0].Quiesced
			}
			if _, ok := f.Wait(f.plan.Bound(), quiet); !ok {
				f.errorf("council", "the drained worker has not become quiet")
			}
			f.host.Do(func() { f.sentTo["w2"] = 0 })
			time.Sleep(time.Second)
			f.host.Do(func() {
				if n := f.sentTo["w2"]; n > 0 {
					f.errorf("council", "%d attempts started at a worker that is quiet", n)
				}
			})
			f.sendOperatorRequest(1, controlplane.OperatorRequest{
				Operation:   "resume",
				SubjectKind: disruption.KindWorker,
				Name:        "w2",
			})
			ended := func() bool {
				r, _ := f.Leader()
				return r != nil && len(r.Grants) == 0
			}
			if _, ok := f.Wait(f.plan.Bound(), ended); !ok {
				f.errorf("council", "the worker's grant has not ended")
			}
		},
	},
	{
		Name: "workers-that-discovery-ends",
		Plan: controlPlanePlan(
			4, 1, 6000,
			Fault{Kind: "worker-drain", At: 300, Length: 3500, Target: 1},
			Fault{Kind: "drain-worker", At: 1200, Target: 2, Other: 0},
		),
		Then: func(f *Cluster) {
			f.mu.Lock()
			replies := strings.Join(f.replies, "; ")
			f.mu.Unlock()
			if !strings.Contains(replies, "waits: workers") {
				f.errorf("council", "the drain of a second worker did not wait although the budget is one worker: %s", replies)
			}
		},
	},
	{
		Name: "release-good",
		Plan: releasePlan("good", 6, 2, 1500, 5000),
		Then: func(f *Cluster) {
			f.awaitRelease(rollout.PhaseCompleted)
			f.expectVersions("good")
			f.expectExits(6)
		},
	},
	{
		Name: "release-by-handover",
		Plan: modifyPlan(releasePlan("good", 4, 1, 1000, 5000), func(p *Plan) { p.Handover = true }),
		Then: func(f *Cluster) {
			f.awaitRelease(rollout.PhaseCompleted)
			f.expectVersions("good")
		},
	},
	{"release-fails", releasePlan("fails", 4, 1, 3000, 5000), checkRollback},
	{"release-slow", releasePlan("slow", 4, 1, 3000, 5000), checkRollback},
	{
		Name: "release-crashes",
		Plan: modifyPlan(
			releasePlan("crashes", 4, 1, 12000, 5000),
			func(p *Plan) { p.WorseRelease = true },
		),
		Then: checkRollback,
	},
	{"release-dead", releasePlan("dead", 4, 1, 2000, 5000), checkRollback},
	{"release-mute", releasePlan("mute", 4, 1, 2000, 5000), checkRollback},
	{
		Name: "release-and-a-third-crash",
		Plan: releasePlan(
			"good", 6, 2, 1500, 9000,
			Fault{Kind: "kill", At: 1500, Length: 5000, Target: 4},
			Fault{Kind: "kill", At: 1500, Length: 5000, Target: 5},
		),
		Then: func(f *Cluster) {
			r := f.awaitRelease(rollout.PhaseCompleted, rollout.PhaseRolledBack)
			if r != nil && r.ReleasePhase == rollout.PhaseRolledBack {
				f.expectHistory("going back")
			}
		},
	},
	{
		Name: "release-and-a-site-lost",
		Plan: releasePlan(
			"good", 6, 2, 1500, 9000,
			Fault{Kind: "site-lost", At: 2000, Length: 3000, Target: 1},
		),
		Then: func(f *Cluster) { f.awaitRelease(rollout.PhaseCompleted, rollout.PhaseRolledBack) },
	},
	{
		Name: "release-and-no-majority",
		Plan: releasePlan(
			"good", 6, 2, 2000, 12000,
			Fault{Kind: "split", At: 2000, Length: 6000, Amount: 3},
		),
		Then: func(f *Cluster) {
			f.awaitRelease(rollout.PhaseRolledBack)
			f.expectHistory("going back")
			f.expectVersions(oldVersion)
		},
	},
	{
		Name: "release-with-a-wrong-binary",
		Plan: releasePlan("good", 4, 1, 1500, 5000, Fault{Kind: "wrong-binary", At: 100, Target: 3}),
		Then: func(f *Cluster) {
			f.awaitRelease(rollout.PhaseRolledBack, rollout.PhaseStuck)
			f.expectHistory("came back with version wrong")
		},
	},
	{
		Name: "release-halted-by-hand",
		Plan: releasePlan("good", 6, 1, 1500, 7000, Fault{Kind: "halt", At: 3000, Other: 2}),
		Then: func(f *Cluster) {
			f.expectPhase(rollout.PhaseHalted)
			f.sendOperatorRequest(2, controlplane.OperatorRequest{Operation: "release-go"})
			f.awaitRelease(rollout.PhaseCompleted)
			f.expectVersions("good")
		},
	},
	{
		Name: "release-with-little-traffic",
		Plan: modifyPlan(
			releasePlan("good", 4, 1, 1000, 6000),
			func(p *Plan) { p.Rate, p.LoadMs = 4, 0 },
		),
		Then: func(f *Cluster) {
			r, _ := f.Leader()
			if r == nil || r.ReleasePhase != rollout.PhaseRunning ||
				!strings.Contains(r.ReleaseWaitReason, "too few requests") {
				f.errorf("release", "the gate does not wait for more requests: %s", releaseStatus(r))
			}
			f.sendOperatorRequest(0, controlplane.OperatorRequest{Operation: "release-back"})
			f.awaitRelease(rollout.PhaseRolledBack)
		},
	},
}
