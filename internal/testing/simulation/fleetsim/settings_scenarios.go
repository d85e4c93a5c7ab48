package fleetsim

import (
	"fmt"
)

// changing is a fleet on a good network with a council of three that decides on settings.
func changing(n int, length float64, faults ...Fault) Plan {
	return with(agreed(n, 1, length, faults...), func(p *Plan) { p.Settings = true })
}

// set is an operator's change at a node.
func set(at float64, node int, amount float64) Fault {
	return Fault{Kind: "set", At: at, Target: node, Amount: amount}
}

// hits are several faults of one kind, a tenth of a period apart.
func hits(kind string, at, long float64, targets ...int) (list []Fault) {
	for i, t := range targets {
		list = append(list, Fault{Kind: kind, At: at + 0.1*float64(i), Length: long, Target: t})
	}
	return list
}

// came fails a scenario unless operators had so many changes answered with yes and with no.
func came(yes, no int, more ...func(*Simulation) string) func(*Simulation) string {
	return func(w *Simulation) string {
		c := w.truth.changes
		if c.acceptedCount != yes || c.rejectedCount != no {
			return fmt.Sprintf("%d yes and %d no, not %d and %d", c.acceptedCount, c.rejectedCount, yes, no)
		}
		for _, f := range more {
			if why := f(w); why != "" {
				return why
			}
		}
		return ""
	}
}

// numbered says the number of the revision that the node holds last.
func numbered(node int, no uint64) func(*Simulation) string {
	return func(w *Simulation) string {
		if id := w.processes[node].replica.core.Distributor().Latest().Header().ID; id.Number != no {
			return fmt.Sprintf("%s holds %v, not number %d", name(node), id, no)
		}
		return ""
	}
}

// together puts lists of faults together.
func together(lists ...[]Fault) (all []Fault) {
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

// lone lists faults.
func lone(f ...Fault) []Fault { return f }

// sends fails a scenario where more was sent to spread settings.
func sends(most int64) func(*Simulation) string {
	return func(w *Simulation) string {
		if w.outcome.RevisionBytes > most {
			return fmt.Sprintf("%d bytes were sent to spread settings", w.outcome.RevisionBytes)
		}
		return ""
	}
}

// SettingsScenarios are the hard cases of settings of the fleet.
var SettingsScenarios = []Scenario{
	{"change", changing(8, 60, set(30, 5, 1), set(40, 6, 1)), came(2, 0, numbered(3, 2))},
	{"long-body", changing(8, 60, set(30, 5, 700)), came(1, 0, numbered(3, 1), sends(1_200_000))},
	{"two-at-once", changing(8, 60, set(30, 5, 1), set(30, 6, 1)), came(1, 1, numbered(3, 1))},
	{
		"two-at-once-at-two-ends-of-a-cut",
		changing(
			9, 120, set(25, 5, 1), Fault{Kind: "region", At: 30, Length: 40, Target: 0}, set(35, 3, 1),
			set(35, 4, 1),
		),
		came(2, 1, numbered(3, 2)),
	},
	{
		"back",
		changing(
			8, 80, set(30, 5, 1), set(40, 6, 1), Fault{Kind: "set-back", At: 50, Target: 4},
			Fault{Kind: "set-back", At: 60, Target: 7},
		),
		came(4, 0, numbered(3, 4)),
	},
	{
		"region-away-for-long",
		changing(
			9, 400, set(25, 5, 1), Fault{Kind: "region", At: 30, Length: 360, Target: 2}, set(35, 3, 1),
			set(100, 4, 300), set(200, 6, 1),
		),
		came(4, 0, numbered(8, 4)),
	},
	{
		"leader-killed-as-it-decides",
		changing(8, 90, together(lone(set(30, 5, 1), set(40, 5, 1)), hits("kill", 40.05, 3, 0, 1))...), nil,
	},
	{
		"minority-of-seats-lost",
		changing(8, 120, together(lone(set(30, 5, 1)), hits("kill", 40, 60, 0), lone(set(60, 6, 1)))...),
		came(2, 0, numbered(3, 2)),
	},
	{
		"majority-of-seats-comes-back-empty",
		changing(
			8, 120,
			together(lone(set(30, 5, 1), set(35, 5, 1)), hits("kill", 40, 3, 0, 1), lone(set(90, 6, 1)))...,
		),
		came(3, 0, numbered(3, 3)),
	},
	{
		"all-seats-come-back-empty",
		changing(
			8, 120,
			together(lone(set(30, 5, 1), set(35, 5, 1)), hits("kill", 40, 3, 0, 1, 2), lone(set(90, 6, 1)))...,
		),
		came(3, 0, numbered(3, 3)),
	},
	{
		"asked-while-all-seats-come-back-empty",
		changing(
			8, 120,
			together(
				lone(set(30, 5, 1), set(35, 5, 1)), hits("kill", 40, 1, 0, 1, 2),
				lone(set(45, 6, 1), set(50, 0, 1)),
			)...,
		),
		numbered(3, 3),
	},
	{
		"all-seats-lost-while-a-region-has-the-latest",
		changing(
			9, 160,
			together(
				lone(set(25, 5, 1)), hits("kill", 40, 3, 0, 1, 2),
				lone(Fault{Kind: "alone", At: 40.2, Length: 4, Target: 3}, set(90, 6, 1)),
			)...,
		),
		came(2, 0, numbered(3, 2)),
	},
	{
		"seats-with-disks-all-killed",
		with(
			changing(
				8, 120,
				together(lone(set(30, 5, 1), set(35, 5, 1)), hits("kill", 40, 3, 0, 1, 2), lone(set(60, 6, 1)))...,
			),
			func(p *Plan) { p.Disk = true },
		),
		came(3, 0, numbered(3, 3)),
	},
	{
		"whole-fleet-killed-with-disks",
		with(
			changing(
				8, 120,
				together(
					lone(set(30, 5, 1), set(35, 5, 1)), hits("kill", 40, 3, 0, 1, 2, 3, 4, 5, 6, 7),
					lone(set(70, 6, 1)),
				)...,
			),
			func(p *Plan) { p.Disk = true },
		),
		came(3, 0, numbered(3, 3)),
	},
	{
		"starts-late",
		changing(8, 120, together(hits("kill", 20, 60, 7), lone(set(30, 5, 1), set(40, 5, 300)))...),
		came(2, 0, numbered(7, 2)),
	},
	{
		"sleeps-through-changes",
		changing(8, 120, together(hits("stop", 27, 60, 7), lone(set(30, 5, 1), set(40, 5, 1), set(50, 4, 300)))...),
		came(3, 0, numbered(7, 3)),
	},
	{
		"returns-while-its-earlier-life-is-heard",
		changing(
			8, 120,
			together(
				lone(set(30, 5, 1)), hits("kill", 34, 1, 5),
				lone(set(38, 4, 1), Fault{Kind: "again", At: 39, Length: 20, Target: 4}, set(45, 5, 1)),
			)...,
		),
		came(3, 0, numbered(5, 3)),
	},
	{
		"bad-links-carry-changes",
		with(
			changing(8, 150, set(40, 5, 1), set(70, 6, 300), set(110, 4, 1)),
			func(p *Plan) { p.Loss, p.Jitter, p.Duplicates, p.Damage = 0.25, 0.3, 0.3, 0.05 },
		),
		came(3, 0, numbered(3, 3)),
	},
	{
		"handed-over-damaged",
		changing(8, 160, together(hits("garbles", 20, 100, 5, 6), lone(set(30, 4, 500), set(80, 3, 500)))...),
		came(2, 0, numbered(7, 2)),
	},
	{
		"source-goes",
		changing(
			4, 160,
			together(
				hits("alone", 29, 40, 3), lone(set(30, 0, 700)), hits("kill", 69.5, 0, 0), lone(set(100, 1, 1)),
			)...,
		),
		came(2, 0, numbered(3, 2)),
	},
	{
		"refused-here",
		with(
			changing(8, 90, set(30, 5, 1), set(40, 5, 1), set(50, 5, 1), set(60, 5, 1)),
			func(p *Plan) { p.Refuses = []int{3, 6} },
		),
		came(4, 0, func(w *Simulation) string {
			c := w.truth.changes
			if got := w.processes[3].replica.core.Distributor().ActiveID(); c.said["refused"] == 0 || got.IsZero() {
				return fmt.Sprintf("%d refusals, and %v is in force", c.said["refused"], got)
			}
			return ""
		}),
	},
	{
		"dies-as-it-applies",
		changing(8, 90, together(hits("dies-applying", 20, 2, 3, 6), lone(set(30, 5, 1), set(50, 4, 1)))...),
		came(2, 0, numbered(6, 2)),
	},
	{
		"older-nodes",
		with(
			changing(8, 90, set(30, 5, 1), set(40, 4, 1), Fault{Kind: "upgrade", At: 50, Target: 6}),
			func(p *Plan) { p.Older = []int{6, 7} },
		),
		came(2, 0, numbered(6, 2), func(w *Simulation) string {
			if w.processes[7].replica.core.Distributor() != nil {
				return "the older program knows settings"
			}
			return ""
		}),
	},
	{
		"older-seats-updated-one-by-one",
		with(
			changing(
				8, 220,
				set(30, 5, 1),
				Fault{Kind: "upgrade", At: 40, Target: 0},
				set(70, 4, 1),
				Fault{Kind: "upgrade", At: 80, Target: 1},
				set(110, 4, 1),
				Fault{Kind: "upgrade", At: 120, Target: 2},
				set(160, 3, 1),
				set(180, 3, 1),
			),
			func(p *Plan) { p.Older = []int{0, 1, 2} },
		),
		func(w *Simulation) string {
			if c := w.truth.changes; c.acceptedCount < 2 {
				return fmt.Sprintf("%d yes, %d no", c.acceptedCount, c.rejectedCount)
			}
			return ""
		},
	},
	{
		"an-older-seat-among-newer-ones",
		with(
			changing(
				8, 220,
				together(
					lone(set(30, 5, 1), set(50, 5, 1)),
					hits("kill", 60, 3, 0),
					hits("kill", 90, 3, 2),
					lone(set(130, 4, 1)),
					hits("kill", 150, 3, 0),
					lone(set(190, 4, 1)),
				)...,
			),
			func(p *Plan) { p.Older = []int{1} },
		),
		func(w *Simulation) string {
			for _, p := range w.processes {
				distributor := p.replica.core.Distributor()
				if distributor != nil && distributor.ActiveID().IsZero() && len(w.truth.changes.order) > 0 {
					return p.name + " has nothing in force"
				}
			}
			return ""
		},
	},
}
