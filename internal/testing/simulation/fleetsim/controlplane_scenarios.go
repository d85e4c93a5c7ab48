package fleetsim

import (
	"fmt"
	"strings"

	"swiftdeal/internal/controlplane/disruption"
)

// agreed is a fleet on a good network with a council of three, after whose founding things happen.
func agreed(n, budget int, length float64, faults ...Fault) Plan {
	return with(calmPlan(n, length, faults...), func(p *Plan) { p.Replicas, p.Budget, p.SettleBound = 3, budget, 200 })
}

// exits fails a scenario unless so many planned exits have begun.
func exits(least, most int) func(*Simulation) string {
	return func(w *Simulation) string {
		if n := w.truth.begun; n < least || n > most {
			return fmt.Sprintf("%d planned exits began, not %d to %d", n, least, most)
		}
		return ""
	}
}

// ended fails a scenario unless the release came to a phase, and its halt names something.
func ended(phase, why string, most int) func(*Simulation) string {
	return func(w *Simulation) string {
		f := w.truth
		_, r := f.leader()
		if r == nil || r.Phase.String() != phase {
			return fmt.Sprintf("the release went %v, not to %s", f.phases, phase)
		}
		said := ""
		for _, s := range r.BatchResults {
			said += s.Verdict + "; "
		}
		if !strings.Contains(said, why) {
			return fmt.Sprintf("its steps say %q, not %q", said, why)
		}
		if most > 0 && f.failing > most {
			return fmt.Sprintf("%d nodes had the version at the halt", f.failing)
		}
		return ""
	}
}

// release is a plan in which a version is released, by its number among kindsOfVersion.
func release(n, budget, version int, soak, length float64, faults ...Fault) Plan {
	return agreed(
		n, budget, length,
		append([]Fault{{Kind: "release", At: 15, Target: 1, Amount: float64(version), Length: soak}}, faults...)...,
	)
}

// ControlPlaneScenarios are the hard cases of agreed drains and releases.
var ControlPlaneScenarios = []Scenario{
	{
		"drain-and-resume",
		agreed(
			6, 1, 80, Fault{Kind: "drain", At: 15, Target: 4}, Fault{Kind: "drain", At: 15.2, Target: 5},
			Fault{Kind: "resume", At: 40, Target: 4},
		),
		exits(2, 2),
	},
	{
		"asks-the-same-once-more",
		agreed(
			6, 1, 80,
			Fault{Kind: "drain", At: 15, Target: 4},
			Fault{Kind: "drain", At: 16, Target: 5},
			Fault{Kind: "resume", At: 25, Target: 5},
			Fault{Kind: "resume", At: 30, Target: 4},
			Fault{Kind: "drain", At: 45, Target: 4},
			Fault{Kind: "drain", At: 46, Target: 5},
			Fault{Kind: "resume", At: 55, Target: 4},
		),
		exits(3, 3),
	},
	{
		"two-operators-across-a-split",
		with(
			agreed(
				6, 2, 90,
				Fault{Kind: "split", At: 20, Length: 40, Amount: 2},
				Fault{Kind: "drain", At: 25, Target: 3, Amount: 1},
				Fault{Kind: "drain", At: 25, Target: 0, Amount: 2},
				Fault{Kind: "drain", At: 65, Target: 3, Amount: 1},
				Fault{Kind: "drain", At: 65, Target: 0, Amount: 2},
			),
			func(p *Plan) { p.SiteBudget = 1 },
		),
		nil,
	},
	{
		"leader-killed",
		agreed(
			6, 1, 80,
			Fault{Kind: "drain", At: 15, Target: 4},
			Fault{Kind: "kill", At: 15.4, Length: 3, Target: 0},
			Fault{Kind: "kill", At: 30, Length: 3, Target: 1},
			Fault{Kind: "drain", At: 31, Target: 5},
			Fault{Kind: "resume", At: 60, Target: 4},
		),
		exits(1, 2),
	},
	{
		"holder-sleeps-before-it-leaves",
		agreed(
			6, 1, 120, Fault{Kind: "drain", At: 15, Target: 4},
			Fault{Kind: "stop", At: 16.2, Length: 50, Target: 4}, Fault{Kind: "drain", At: 20, Target: 5},
			Fault{Kind: "resume", At: 40, Target: 4, Amount: 2},
		),
		exits(1, 2),
	},
	{
		"holder-sleeps-and-is-written-off",
		agreed(
			6, 1, 160,
			Fault{Kind: "drain", At: 15, Target: 4},
			Fault{Kind: "stop", At: 16.2, Length: 60, Target: 4},
			Fault{Kind: "write-off", At: 40, Target: 4, Amount: 2},
			Fault{Kind: "drain", At: 50, Target: 5},
			Fault{Kind: "resume", At: 120, Target: 5},
		),
		nil,
	},
	{
		"leader-sleeps",
		agreed(
			6, 1, 120, Fault{Kind: "drain", At: 15, Target: 4},
			Fault{Kind: "stop", At: 18, Length: 40, Target: 0},
			Fault{Kind: "stop", At: 30, Length: 20, Target: 1}, Fault{Kind: "drain", At: 25, Target: 5},
			Fault{Kind: "resume", At: 80, Target: 4},
		),
		exits(1, 2),
	},
	{
		"a-third-crashes-in-a-batch",
		release(
			9, 2, 0, 8, 160, Fault{Kind: "kill", At: 40, Length: 30, Target: 3},
			Fault{Kind: "kill", At: 40.1, Length: 30, Target: 6},
			Fault{Kind: "kill", At: 40.2, Length: 30, Target: 7},
		),
		ended("undone", "budget overdrawn", 0),
	},
	{
		"site-lost-in-a-release",
		release(
			9, 2, 0, 8, 160, Fault{Kind: "kill", At: 30, Length: 40, Target: 2},
			Fault{Kind: "kill", At: 30, Length: 40, Target: 5},
			Fault{Kind: "kill", At: 30, Length: 40, Target: 8},
		),
		ended("undone", "budget overdrawn", 0),
	},
	{
		"no-majority-anywhere", release(9, 2, 0, 20, 160, Fault{Kind: "split", At: 25, Length: 40, Amount: 3}),
		ended("undone", "no majority", 0),
	},
	{
		"drained-and-alone-comes-back",
		agreed(
			6, 2, 120, Fault{Kind: "release", At: 15, Target: 1, Length: 20},
			Fault{Kind: "slow", At: 15, Length: 1, Target: 5},
			Fault{Kind: "split", At: 17.5, Length: 60, Amount: 3},
		),
		nil,
	},
	{
		"council-emptied",
		agreed(
			6, 1, 120,
			Fault{Kind: "drain", At: 15, Target: 4},
			Fault{Kind: "kill", At: 25, Length: 2, Target: 0},
			Fault{Kind: "kill", At: 25.1, Length: 2, Target: 1},
			Fault{Kind: "kill", At: 25.2, Length: 2, Target: 2},
			Fault{Kind: "drain", At: 45, Target: 5},
		),
		func(w *Simulation) string {
			if s, _ := w.truth.leader(); s == nil || s.RequestOf(disruption.Subject{Name: "n5"}) == nil {
				return "a second node may leave though the first is out under the earlier council's word"
			}
			return ""
		},
	},
	{
		"council-emptied-while-a-holder-is-cut-off",
		agreed(
			6, 1, 120,
			Fault{Kind: "drain", At: 15, Target: 4},
			Fault{Kind: "alone", At: 24, Length: 60, Target: 4},
			Fault{Kind: "kill", At: 25, Length: 2, Target: 0},
			Fault{Kind: "kill", At: 25.1, Length: 2, Target: 1},
			Fault{Kind: "kill", At: 25.2, Length: 2, Target: 2},
			Fault{Kind: "drain", At: 45, Target: 5},
		),
		exits(1, 1),
	},
	{
		"council-emptied-but-for-one",
		agreed(
			6, 1, 120,
			Fault{Kind: "drain", At: 15, Target: 4},
			Fault{Kind: "kill", At: 25, Length: 2, Target: 0},
			Fault{Kind: "kill", At: 25.1, Length: 2, Target: 1},
		),
		func(w *Simulation) string {
			if s, _ := w.truth.leader(); s == nil || len(s.Members) < 6 {
				return "no council after a majority has come back empty"
			}
			return ""
		},
	},
	{
		"council-emptied-with-disks",
		with(
			agreed(
				6, 1, 120,
				Fault{Kind: "drain", At: 15, Target: 4},
				Fault{Kind: "kill", At: 25, Length: 2, Target: 0},
				Fault{Kind: "kill", At: 25.1, Length: 2, Target: 1},
				Fault{Kind: "kill", At: 25.2, Length: 2, Target: 2},
				Fault{Kind: "drain", At: 45, Target: 5},
			),
			func(p *Plan) { p.Disk = true },
		),
		func(w *Simulation) string {
			s, _ := w.truth.leader()
			if s == nil ||
				s.GrantOf(disruption.Subject{Name: "n4"}) == nil ||
				s.RequestOf(disruption.Subject{Name: "n5"}) == nil {
				return "the permit was not kept"
			}
			return ""
		},
	},
	{"seat-comes-back-empty", agreed(6, 1, 60, Fault{Kind: "kill", At: 20, Length: 3, Target: 1}), nil},
	{
		"seat-stays-away",
		agreed(
			7, 1, 160,
			Fault{Kind: "kill", At: 20, Target: 1},
			Fault{Kind: "drain", At: 130, Target: 5},
		),
		func(w *Simulation) string {
			for _, p := range w.processes {
				if p.running && p.replica.core.MayBeReplica() && p.replica.core.Consensus().IsLeader() {
					for _, v := range p.replica.core.Consensus().Voters() {
						if v.Node == "n1" {
							return "n1 has its seat still"
						}
					}
				}
			}
			return ""
		},
	},
	{
		"restarts-with-the-wrong-binary", release(6, 1, 0, 8, 120, Fault{Kind: "wrong", At: 10, Target: 3}),
		ended("undone", "came back with version slow", 0),
	},
	{"release-good", release(12, 3, 0, 10, 400), ended("done", "passed", 0)},
	{"release-fails", release(12, 3, 1, 60, 400), ended("undone", "book failed", 1)},
	{"release-slow", release(12, 3, 2, 60, 400), ended("undone", "book late", 1)},
	{"release-crashes", release(12, 3, 3, 60, 400), ended("undone", "crash", 1)},
	{"release-dead", release(12, 3, 4, 20, 300), ended("undone", "has not come back", 1)},
	{"release-mute", release(12, 3, 5, 20, 300), ended("undone", "has not come back", 1)},
	{"release-harms-in-a-crowd", release(12, 3, 6, 60, 900), ended("undone", "book failed", 0)},
	{"release-broken-goes-back-fast", release(9, 1, 7, 60, 300), ended("undone", "book failed", 1)},
	{
		"lost-word-of-being-back",
		agreed(
			6, 1, 100, Fault{Kind: "drain", At: 15, Target: 4},
			Fault{Kind: "loss", At: 29, Length: 20, Amount: 0.7}, Fault{Kind: "resume", At: 30, Target: 4},
			Fault{Kind: "drain", At: 32, Target: 5},
		),
		exits(1, 2),
	},
	{
		"asks-again-and-again",
		agreed(
			6, 1, 100,
			Fault{Kind: "drain", At: 15, Target: 4},
			Fault{Kind: "drain", At: 15.1, Target: 4, Amount: 1},
			Fault{Kind: "drain", At: 16, Target: 4, Amount: 2},
			Fault{Kind: "flap", At: 20, Length: 30, Target: 4},
			Fault{Kind: "drain", At: 30, Target: 4},
			Fault{Kind: "drain", At: 35, Target: 5},
		),
		exits(1, 1),
	},
	{
		"resume-and-drain-at-once",
		agreed(
			6, 1, 100, Fault{Kind: "drain", At: 15, Target: 4}, Fault{Kind: "resume", At: 25, Target: 4},
			Fault{Kind: "drain", At: 25, Target: 4, Amount: 1},
			Fault{Kind: "resume", At: 25, Target: 4, Amount: 2},
		),
		nil,
	},
	{
		"bad-links",
		with(
			agreed(
				8, 2, 150,
				Fault{Kind: "drain", At: 25, Target: 4},
				Fault{Kind: "drain", At: 26, Target: 5},
				Fault{Kind: "resume", At: 70, Target: 4},
				Fault{Kind: "drain", At: 72, Target: 6},
			),
			func(p *Plan) {
				p.Loss, p.Jitter, p.Duplicates, p.SettleBound = 0.3, 0.2, 0.2, 400
			},
		),
		exits(2, 3),
	},
}
