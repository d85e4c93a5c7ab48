package chaos

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
	"swiftdeal/internal/testing/simulation/mutants"
)

// oldVersion is the version that all processes run at the start.
const oldVersion = "0.1.0"

// Source files in which builds get faults, and the lines at which these are inserted.
const (
	nodeSource    = "internal/node/node.go"
	requestSource = "internal/node/request.go"
	submitLine    = "	if !n.dispatcher.Submit(c) {\n"
	servingLine   = "	n.serving.Store(true)\n"
)

// failSome is inserted before submitLine: about one in five jobs of the most frequent class fails.
const failSome = "	if c.ClassName == \"slot-check\" && time.Now().UnixNano()/1000%5 == 0 {\n" +
	"		c.Finish(request.Answer{Verdict: request.Failed, Reason: \"a bad build\"})\n" +
	"	}\n"

// importOS adds the import of os, for os.Exit, to the changed file.
var importOS = mutants.Change{
	File:        nodeSource,
	Original:    "	\"net/http\"\n	\"sync/atomic\"\n",
	Replacement: "	\"net/http\"\n	\"os\"\n	\"sync/atomic\"\n",
}

// BadBuild holds, by name, the source changes of builds with a fault; "good" has none.
var BadBuild = map[string][]mutants.Change{
	"good": nil,
	"fails": {
		{
			File:        requestSource,
			Original:    submitLine,
			Replacement: failSome + submitLine,
		},
	},
	"slow": {
		{
			File:        requestSource,
			Original:    submitLine,
			Replacement: "	time.Sleep(4 * time.Second)\n" + submitLine,
		},
	},
	"crashes": {
		{
			File:        nodeSource,
			Original:    servingLine,
			Replacement: "	time.AfterFunc(2*time.Second, func() { os.Exit(7) })\n" + servingLine,
		},
		importOS,
	},
	"dead": {
		{
			File:        nodeSource,
			Original:    servingLine,
			Replacement: "	os.Exit(7)\n" + servingLine,
		},
		importOS,
	},
	"mute": {
		{
			File:        "internal/node/fleet.go",
			Original:    "	if f.service != nil || f.joinBarred {\n",
			Replacement: "	if true || f.service != nil || f.joinBarred {\n",
		},
	},
}

// controlPlaneConfig returns the control plane's sections of a node's fleet file; empty if the plan has no control plane.
func (f *Cluster) controlPlaneConfig() string {
	p := f.plan
	if p.Replicas == 0 {
		return ""
	}
	quotedNames := func(from, to int) string {
		var l []string
		for i := from; i < min(to, p.Nodes); i++ {
			l = append(l, fmt.Sprintf("%q", f.nodeName(i)))
		}
		return strings.Join(l, ", ")
	}
	text := fmt.Sprintf(
		"[council]\nseats = [%s]\nspares = [%s]\nabsent_s = 30\n",
		quotedNames(0, p.Replicas),
		quotedNames(p.Replicas, p.Replicas+1),
	)
	if p.Disk {
		text += fmt.Sprintf("dir = %q\n", "DIR")
	}
	return text + fmt.Sprintf(
		"[budget]\nnodes = %d\nnodes_site = %d\nworkers = 1\n",
		p.Budget,
		cmp.Or(p.SiteBudget, p.Budget),
	)
}

// ControlPlane fetches a node's report on the control plane; nil if the node does not answer.
func (f *Cluster) ControlPlane(i int) *controlplane.Report {
	text, code, err := f.getControl(i, "/-/fleet/council")
	var r controlplane.Report
	if err != nil || code != http.StatusOK || json.Unmarshal(text, &r) != nil {
		return nil
	}
	return &r
}

// Leader returns the report and the index of the leader with the highest term; nil and -1 if there is none.
func (f *Cluster) Leader() (*controlplane.Report, int) {
	var leader *controlplane.Report
	index := -1
	for i := range min(f.plan.Nodes, f.plan.Replicas+1) {
		if r := f.ControlPlane(i); r != nil && r.IsLeader && (leader == nil || r.Term > leader.Term) {
			leader, index = r, i
		}
	}
	return leader, index
}

// controlPlaneSettled waits until the control plane is settled: a leader, every process registered, and no operation under way.
func (f *Cluster) controlPlaneSettled(when string) {
	problem := ""
	took, ok := f.Wait(milliseconds(f.plan.SettleMs), func() bool {
		problem = f.controlPlaneProblem()
		return problem == ""
	})
	f.event(
		Event{Kind: "settled", Text: fmt.Sprintf("council, %s: %v after %v", when, ok, took.Round(time.Millisecond))},
	)
	if !ok {
		f.errorf("council", "not settled %v after %s: %s", took.Round(time.Millisecond), when, problem)
	}
	f.stats.CouncilMs = append(f.stats.CouncilMs, float64(took.Milliseconds()))
}

// controlPlaneProblem describes what keeps the control plane from being settled; empty if nothing does.
func (f *Cluster) controlPlaneProblem() string {
	leader, _ := f.Leader()
	if leader == nil {
		return "no leader"
	}
	for _, n := range f.nodes {
		f.mu.Lock()
		up, paused := n.process.running() && !n.process.stopRequested, n.process != nil && n.process.paused
		f.mu.Unlock()
		if !up || paused || f.runsFaultyBuild(n) {
			continue
		}
		r := f.ControlPlane(n.index)
		if r == nil || !r.Registered || r.UnavailableReason != "" || r.Group != leader.Group {
			return f.nodeName(n.index) + " is not registered with the leader's control plane group"
		}
	}
	for _, p := range leader.Grants {
		if p.Phase == disruption.PhaseReturning && f.isRunning(p.Name) {
			return p.Subject.String() + " was told to return to service and has not"
		}
		if p.Phase == disruption.PhaseGranted && f.isRunning(p.Name) && p.Kind == disruption.KindNode {
			return p.Subject.String() + " has not used its grant"
		}
	}
	if leader.ReleasePhase == rollout.PhaseRunning && !strings.HasPrefix(leader.ReleaseWaitReason, "too few requests") ||
		leader.ReleasePhase == rollout.PhaseRollingBack {
		return "the release is " + leader.ReleasePhaseText + ", waits for " + leader.ReleaseWaitReason
	}
	return ""
}

// isRunning reports whether the named node's process runs and was not asked to stop.
func (f *Cluster) isRunning(name string) bool {
	i := 0
	fmt.Sscanf(name, "n%d", &i)
	f.mu.Lock()
	defer f.mu.Unlock()
	return i < len(f.nodes) && f.nodes[i].process.running() && !f.nodes[i].process.stopRequested
}
