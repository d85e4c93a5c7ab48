package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
)

// Scenario is a hard case by name, with what has to hold beside the invariants.
type Scenario struct {
	Name string
	Plan Plan
	Then func(w *Simulation) string // empty: it holds
}

// calmPlan is a fleet on a good network: a period is a second, a datagram takes some milliseconds.
func calmPlan(n int, length float64, faults ...Fault) Plan {
	p := Plan{
		Seed: 4711, Members: n, SeedTopology: "some", Delay: 0.002, Jitter: 0.004, Forget: 600, Length: length,
		Faults: faults,
	}
	p.SettleBound = settleBound(&p)
	return p
}

func with(p Plan, change func(*Plan)) Plan {
	change(&p)
	p.SettleBound = settleBound(&p)
	return p
}

// seen counts a kind of change, by whom it happened to.
func seen(w *Simulation, name string, what membership.Event) (n int) {
	for _, c := range w.seen {
		if (name == "" || c.Name == name) && c.Event == what {
			n++
		}
	}
	return n
}

// none says that no living member may be held for dead in the case.
func none(w *Simulation) string {
	if n := seen(w, "", "died"); n > 0 {
		return fmt.Sprintf("%d times a member was held for dead", n)
	}
	return ""
}

// settles says within how many periods of the last fault all has to be well.
func settles(periods float64, more func(*Simulation) string) func(*Simulation) string {
	return func(w *Simulation) string {
		if after := w.outcome.ConvergedAfter.Seconds() / Period.Seconds(); after > periods {
			return fmt.Sprintf("settled only %.1f periods after the last fault", after)
		}
		if more != nil {
			return more(w)
		}
		return ""
	}
}

// Scenarios are the hard cases.
var Scenarios = []Scenario{
	{"strangers-start-at-once", with(calmPlan(60, 1), func(p *Plan) { p.SeedTopology = "ring" }), settles(40, none)},
	{"one-way-cut", calmPlan(12, 60, Fault{Kind: "deaf-to", At: 20, Length: 40, Target: 3}), settles(10, func(w *Simulation) string {
		if n := seen(w, "", "suspected"); n > 0 {
			return fmt.Sprintf("%d suspicions, though all are reached by helpers", n)
		}
		return none(w)
	})},
	{"cut-from-half", calmPlan(12, 60, Fault{Kind: "half", At: 20, Length: 40, Target: 3}), settles(10, nil)},
	{"split-in-two", calmPlan(16, 80, Fault{Kind: "split", At: 20, Length: 60, Amount: 2}), settles(12, nil)},
	{"split-in-three", calmPlan(15, 80, Fault{Kind: "split", At: 20, Length: 60, Amount: 3}), settles(12, nil)},
	{"one-against-all", calmPlan(12, 80, Fault{Kind: "alone", At: 20, Length: 60, Target: 5}), settles(12, nil)},
	{
		"split-beyond-memory",
		with(
			calmPlan(16, 200, Fault{Kind: "split", At: 20, Length: 180, Amount: 2}),
			func(p *Plan) { p.Forget = 50 },
		),
		settles(16, func(w *Simulation) string {
			if seen(w, "", "forgotten") == 0 {
				return "nobody was forgotten"
			}
			return ""
		}),
	},
	{"flapping-link", calmPlan(12, 100, Fault{Kind: "flap", At: 20, Length: 80, Target: 2}), settles(12, nil)},
	{"loss-and-jitter", with(calmPlan(24, 200), func(p *Plan) { p.Loss, p.Jitter = 0.3, 0.05 }), func(w *Simulation) string {
		if w.outcome.FalseDeaths > 0 {
			return fmt.Sprintf("%d false deaths", w.outcome.FalseDeaths)
		}
		return ""
	}},
	{"stopped-for-long", calmPlan(12, 60, Fault{Kind: "stop", At: 20, Length: 40, Target: 4}), settles(12, func(w *Simulation) string {
		// It learns that it was dead and comes back by one new incarnation; and it buries nobody itself.
		if inc := w.processes[4].core.Self().Incarnation; inc != 2 {
			return fmt.Sprintf("it is back at incarnation %d", inc)
		}
		for _, c := range w.seen {
			if c.Event == "died" && c.Name != "n4" {
				return c.Name + " was held for dead"
			}
			if c.Event == "suspected" && c.ReportedBy == "n4" {
				return "the sleeper suspects " + c.Name
			}
		}
		return ""
	})},
	{
		"killed-and-back-within-a-period",
		calmPlan(12, 21.6, Fault{Kind: "kill", At: 20, Length: 0.5, Target: 4}),
		settles(1, func(w *Simulation) string {
			if seen(w, "n4", "restarted") < 6 {
				return "its restart was not seen"
			}
			return none(w)
		}),
	},
	{"twin", calmPlan(12, 120, Fault{Kind: "twin", At: 20, Length: 80, Target: 4}), settles(60, func(w *Simulation) string {
		if n := seen(w, "n4", "conflict"); n < 10 {
			return fmt.Sprintf("%d saw two processes of one name", n)
		}
		if n := seen(w, "n4", "displaced"); n != 1 {
			return fmt.Sprintf("%d times one gave way", n)
		}
		if n := seen(w, "n4", "renamed"); n > 3 {
			return fmt.Sprintf("they outbid one another %d times", n)
		}
		return ""
	})},
	{"replaced", calmPlan(12, 40, Fault{Kind: "replace", At: 20, Target: 4}), settles(12, func(w *Simulation) string {
		if seen(w, "n4", "replaced") < 11 || seen(w, "n4", "conflict") > 0 {
			return "it was not seen as one member in another process"
		}
		return none(w)
	})},
	{"seven-in-ten-killed", calmPlan(40, 60, Fault{Kind: "many", At: 20, Length: 30, Amount: 0.7}), settles(20, nil)},
	{"rolling-restart", calmPlan(20, 120, Fault{Kind: "rolling", At: 20, Length: 90}), settles(12, none)},
	{
		"earlier-life",
		calmPlan(
			12, 100,
			Fault{Kind: "kill", At: 10, Length: 5, Target: 3},
			Fault{Kind: "leave", At: 30, Target: 4},
			Fault{Kind: "again", At: 40, Length: 50, Target: 3},
			Fault{Kind: "again", At: 40, Length: 50, Target: 4},
		),
		settles(10, func(w *Simulation) string {
			if n := seen(w, "n4", "returned"); n > 0 {
				return fmt.Sprintf("who had left came back %d times", n)
			}
			return ""
		}),
	},
	{
		"full-buffer",
		calmPlan(12, 60, Fault{Kind: "overflow", At: 20, Length: 40, Target: 4, Amount: 0.3}),
		settles(12, func(w *Simulation) string {
			for _, c := range w.seen {
				if c.Event == "died" && c.Name != "n4" {
					return c.Name + " was held for dead"
				}
			}
			return ""
		}),
	},
	{"fleet-of-one", calmPlan(1, 20), settles(1, none)},
	{"left-is-not-suspected", calmPlan(12, 40, Fault{Kind: "leave", At: 20, Target: 4}), settles(10, func(w *Simulation) string {
		if seen(w, "n4", "suspected") > 0 || seen(w, "n4", "left") < 11 {
			return "its leaving was not taken as that"
		}
		return none(w)
	})},
	{"crash-is-seen", calmPlan(12, 40, Fault{Kind: "kill", At: 20, Target: 4}), settles(1, func(w *Simulation) string {
		if seen(w, "n4", "died") < 11 {
			return "its end was not seen by all"
		}
		if seen(w, "n4", "joined") > 11 {
			return "it was taken for new after its end"
		}
		return ""
	})},
	{"liar", calmPlan(16, 80, Fault{Kind: "liar", At: 20, Length: 50, Target: 4}), settles(30, func(w *Simulation) string {
		for _, p := range w.processes { // a lie costs a bounded number of incarnations
			if inc := p.core.Self().Incarnation; inc > 1<<26 {
				return fmt.Sprintf("%s is at incarnation %d", p.name, inc)
			}
		}
		return ""
	})},
	{
		"too-many",
		with(calmPlan(30, 60, Fault{Kind: "rolling", At: 10, Length: 40}), func(p *Plan) { p.MaxMembers = 31 }),
		settles(20, nil),
	},
	{
		"killed-again-and-again",
		calmPlan(
			12, 33.6,
			Fault{Kind: "kill", At: 20, Length: 0.5, Target: 4},
			Fault{Kind: "kill", At: 24, Length: 0.5, Target: 4},
			Fault{Kind: "kill", At: 28, Length: 0.5, Target: 4},
			Fault{Kind: "kill", At: 32, Length: 0.5, Target: 4},
		),
		settles(1, none),
	},
	{
		"restarted-while-split",
		calmPlan(
			12, 80, Fault{Kind: "split", At: 20, Length: 50, Amount: 2},
			Fault{Kind: "kill", At: 30, Length: 5, Target: 4},
		),
		settles(16, nil),
	},
	{
		"restart-elsewhere", calmPlan(12, 60, Fault{Kind: "kill", At: 20, Length: 1, Target: 4, Amount: 1}),
		settles(20, nil),
	},
}

// Play plays a scenario and says what did not hold.
func (s *Scenario) Play(verbose bool) (string, *Outcome) {
	w := build(&s.Plan, verbose)
	w.keep = true
	w.play()
	if w.outcome.Fault != "" {
		return w.outcome.Fault, w.outcome
	}
	if s.Then != nil {
		return s.Then(w), w.outcome
	}
	return "", w.outcome
}

// drawLoad draws what a node tells of its load.
func drawLoad(r *rand.Rand) codec.Load {
	return codec.Load{
		InFlight:          r.Uint32N(500),
		ServedPerSecond:   r.Float32() * 50,
		RejectedPerSecond: r.Float32(),
		Workers:           40,
		FreeCapacity: map[string]int32{
			"slot-check":    r.Int32N(100),
			"book-visit":    r.Int32N(100),
			"visit-summary": r.Int32N(100),
			"send-reminder": r.Int32N(100),
		},
	}
}

// digests has a process tell another load about every period, as nodes do.
func (w *Simulation) digests(p *process) {
	r := source(w.plan.Seed, 5000+uint64(p.serial))
	var next func()
	next = func() { // all draws are of one source: from a new one each time every wait and every load would be the same
		w.schedule(w.now+time.Duration((0.5+r.Float64())*float64(Period)), func() {
			if !p.running {
				return
			}
			p.core.SetLocalState(w.now-p.clockStart, codec.Serving, drawLoad(r), nil)
			w.collect(p)
			next()
		})
	}
	next()
}
