package simulation

import (
	"embed"
	"fmt"

	"swiftdeal/internal/testing/fake"
)

// Scenario is a named hard case: a series of plans that mostly differ in the exact timing of events.
type Scenario struct {
	Name  string
	About string
	Plans func() []*Plan
	// Want, if set, checks an outcome for what must hold beyond the rules; it returns "" or a description of the violation.
	Want func(*Outcome) string
}

// basePlan returns a small plan without faults: workers with spare capacity, and a job every gap milliseconds.
func basePlan(nodes, workers, jobs int, gap float64, class string) *Plan {
	p := &Plan{
		Seed: 1, Nodes: nodes, Sockets: 1024, MemoryMB: 64, Net: Net{Near: 0.2, Far: 2, Jitter: 0.01},
		Scale: 0.2, Windows: 1,
		Hedges: true, ReportsProgress: true, DiscoveryDelay: 300,
	}
	for i := range workers {
		p.Workers = append(
			p.Workers,
			Worker{Zone: i % 2, Cell: i % 3, Cores: 4, Slots: 4, Speed: 1, Queue: 3, Refresh: 500, Returns: true},
		)
	}
	for i := range jobs {
		p.Jobs = append(
			p.Jobs,
			Job{
				At: 1000 + gap*float64(i), Class: class, Work: 100, Hint: 100, Slots: 1, Memory: 0.5,
				Retries: 2, Pause: 20,
			},
		)
	}
	return p
}

// sweep returns n plans; change modifies each one by its index.
func sweep(n int, base func() *Plan, change func(p *Plan, i int)) func() []*Plan {
	return func() (plans []*Plan) {
		for i := range n {
			p := base()
			p.Seed = uint64(i + 1)
			change(p, i)
			plans = append(plans, p)
		}
		return plans
	}
}

// allServed requires that every answer is a served one.
func allServed(o *Outcome) string {
	if o.Refused+o.Failed > 0 {
		return fmt.Sprintf("%d refused and %d failed of jobs that had room", o.Refused, o.Failed)
	}
	return ""
}

// Scenarios are the scenarios that TestScenarios runs.
var Scenarios = []Scenario{
	{
		Name:  "drain-and-death",
		About: "a peer's drain is told and it dies at the same instant, in both orders and a little apart",
		Plans: sweep(24, func() *Plan { return basePlan(2, 4, 60, 15, "book-visit") }, func(p *Plan, i int) {
			p.Faults = []Fault{
				{Kind: "drain-die", At: 1400, Length: 1500, Target: i % 4, Amount: 0.5 + float64(i/4-3)*0.0005},
				{Kind: "drain", At: 1300 + 10*float64(i), Length: 3000, Target: (i + 1) % 4}, // this one keeps answering
			}
			for k := range p.Jobs {
				p.Jobs[k].At += float64(k) * 30
			}
		}),
	},
	{
		Name:  "give-up-as-answered",
		About: "a client gives up as its answer arrives: each tenth of a millisecond round that moment",
		Plans: sweep(40, func() *Plan { return basePlan(1, 2, 6, 400, "book-visit") }, func(p *Plan, i int) {
			for k := range p.Jobs {
				// Latencies of about 0.2 ms, one each way to the node and the worker, come on top of the work.
				p.Jobs[k].Shape, p.Jobs[k].GiveUp = fake.Impatient, 99+float64(i)*0.1
			}
		}),
	},
	{
		Name:  "term-as-watch-returns",
		About: "SIGTERM while the watch on discovery breaks and is asked for anew, having missed changes",
		Plans: sweep(20, func() *Plan { return basePlan(2, 4, 200, 100, "slot-check") }, func(p *Plan, i int) {
			p.DiscoveryDelay, p.DiscoveryHistory = 50, i%3*2
			p.Faults = []Fault{
				{Kind: "list-down", At: 1500, Length: 300},
				{Kind: "unlist", At: 1510, Length: 50000, Target: 1},
				{Kind: "drain", At: 1600, Length: 50000, Target: 2},
				{Kind: "term", At: 1490 + 40*float64(i), Length: 500, Target: i % 2},
			}
		}),
	},
	{
		Name:  "restart-between-probes",
		About: "a peer is replaced by a cold process between two probes, and the list tells late",
		Plans: sweep(30, func() *Plan { return basePlan(3, 4, 120, 10, "visit-summary") }, func(p *Plan, i int) {
			p.DiscoveryDelay = 3000
			p.Faults = []Fault{{Kind: "restart", At: 1300 + 17*float64(i), Length: 1 + float64(i%5)*40, Target: i % 4}}
			if i%2 == 0 { // when the list changes early, the nodes must act on it
				p.DiscoveryDelay = 50
				for k := range p.Jobs {
					p.Jobs[k].Work, p.Jobs[k].Hint, p.Jobs[k].Slots = 500, 500, 2
				}
			}
		}),
	},
	{
		Name:  "sent-away-and-back",
		About: "clients are sent away by the drain call and taken back, with jobs longer than that, and SIGTERM in it",
		Plans: sweep(16, func() *Plan { return basePlan(2, 4, 260, 30, "book-visit") }, func(p *Plan, i int) {
			for k := range p.Jobs {
				if k%20 == 0 {
					p.Jobs[k].Work, p.Jobs[k].Hint = 2000, 2000
				}
			}
			p.Faults = []Fault{
				{Kind: "send-away", At: 1500 + 13*float64(i), Length: 4100 + 50*float64(i), Target: i % 2},
			}
			if i%4 == 3 {
				p.Faults = append(p.Faults, Fault{Kind: "term", At: 2000 + 200*float64(i), Length: 500, Target: i % 2})
			} else {
				p.Faults = append(
					p.Faults, Fault{Kind: "figures", At: 15000, Target: i % 2},
					Fault{Kind: "figures", At: 15000, Target: 1 - i%2},
				)
			}
		}),
	},
	{
		Name:  "replaced-under-load",
		About: "a second process takes a node's place, twice, while jobs of all classes wait, are written and run",
		Plans: sweep(16, func() *Plan { return basePlan(2, 4, 300, 16, "") }, func(p *Plan, i int) {
			for k := range p.Jobs {
				p.Jobs[k].Class = classPlans[k%len(classPlans)].name
				if k%15 == 4 {
					p.Jobs[k].Work, p.Jobs[k].Hint = 600, 600
				}
			}
			p.Faults = []Fault{{Kind: "replace", At: 1800 + 13*float64(i), Length: 100 * float64(i), Target: i % 2}}
			if i%2 == 0 {
				p.Faults = append(
					p.Faults, Fault{Kind: "replace", At: 3400 + 20*float64(i), Length: 300, Target: i % 2},
				)
			}
		}),
		Want: func(o *Outcome) string {
			if o.ConnsPassed == 0 || o.RequestsMigrated == 0 {
				return fmt.Sprintf("%d connections and %d tries went over", o.ConnsPassed, o.RequestsMigrated)
			}
			return allServed(o)
		},
	},
	{
		Name:  "replaced-in-turn",
		About: "the second process is replaced, and ends, while the first one still has jobs: just one takes clients",
		Plans: sweep(6, func() *Plan { return basePlan(1, 14, 300, 12, "slot-check") }, func(p *Plan, i int) {
			p.Sockets = 128
			for k := range p.Jobs {
				p.Jobs[k].Work, p.Jobs[k].Hint = 500, 500
				if k%3 == 0 {
					p.Jobs[k].Class, p.Jobs[k].Work, p.Jobs[k].Hint = "visit-summary", 2500, 2500
				}
			}
			p.Faults = []Fault{
				{Kind: "replace", At: 1200, Length: 2200},
				{Kind: "replace", At: 2000 + 40*float64(i), Length: 60},
			}
		}),
	},
	{
		Name:  "replaced-with-an-empty-list",
		About: "discovery names no peer, to whoever asks, while a process is replaced",
		Plans: sweep(4, func() *Plan { return basePlan(2, 4, 80, 50, "book-visit") }, func(p *Plan, i int) {
			p.DiscoveryDelay = 50
			p.Faults = []Fault{
				{
					Kind:   "list-empty",
					At:     1500,
					Length: 9000,
				}, {Kind: "replace", At: 1700 + 300*float64(i), Length: 500, Target: i % 2},
			}
		}),
	},
	{
		Name:  "replaced-with-many-clients",
		About: "more idle clients than half of a node's places go over, and open jobs with them",
		Plans: sweep(8, func() *Plan { return basePlan(1, 6, 70, 1, "slot-check") }, func(p *Plan, i int) {
			p.Sockets = 128
			for k := range p.Jobs { // first many connections at once, then a few long jobs
				p.Jobs[k].Work, p.Jobs[k].Hint, p.Jobs[k].Slots = 60, 60, 0.25
				if k >= 60 {
					p.Jobs[k].At, p.Jobs[k].Work, p.Jobs[k].Hint = 1300+5*float64(k-60), 400, 400
				}
			}
			p.Faults = []Fault{{Kind: "replace", At: 1380 + 20*float64(i), Length: 1000}}
		}),
		Want: func(o *Outcome) string {
			if o.ConnsPassed < 30 || o.RequestsMigrated == 0 {
				return fmt.Sprintf("%d connections and %d tries went over", o.ConnsPassed, o.RequestsMigrated)
			}
			return ""
		},
	},
	{
		Name:  "class-dropped-and-added",
		About: "SIGHUP drops a class whose jobs are open, another file is broken, and a third one has the class again",
		Plans: sweep(16, func() *Plan { return basePlan(1, 4, 180, 20, "charge-card") }, func(p *Plan, i int) {
			p.Faults = []Fault{{Kind: "retune", At: 1990 + float64(i), Length: 400, Target: 0}}
			for k := range p.Jobs {
				p.Jobs[k].Work = 60
				if at := p.Jobs[k].At; at > 1980 && at < 2450+1200 { // no job of the class is sent while it is missing
					p.Jobs[k].Class = "book-visit"
				} else if at > 1900 && at <= 1980 { // still open when the class is dropped
					p.Jobs[k].Work, p.Jobs[k].Hint = 700, 700
				}
			}
		}),
		Want: allServed,
	},
	{
		Name: "idle-close-crosses-write", About: "a peer closes an idle connection while a book-visit is written to it",
		Plans: sweep(40, func() *Plan { return basePlan(1, 1, 40, 0, "book-visit") }, func(p *Plan, i int) {
			at := 1000.0
			for k := range p.Jobs {
				// An answer's end leaves the worker 20.4 ms after its request; the close leaves 1 ms later and takes 0.2 ms.
				p.Jobs[k].At, p.Jobs[k].Work, p.Jobs[k].Hint = at, 20, 20
				p.Jobs[k].Class = []string{"book-visit", "charge-card"}[k%2]
				at += 20.9 + float64(i)*0.02
			}
			p.Faults = []Fault{{Kind: "forget", At: 900, Length: 9000, Target: 0, Amount: 1}}
		}),
	},
	{
		Name:  "window-ends-under-second-copy",
		About: "the time in which repeats are dropped runs out while a second copy is out or about to be",
		Plans: sweep(40, func() *Plan { return basePlan(2, 4, 60, 25, "book-visit") }, func(p *Plan, i int) {
			p.Windows = 0.02 + float64(i)*0.01
			for k := range p.Jobs {
				p.Jobs[k].Class = []string{"book-visit", "visit-summary", "send-reminder"}[k%3]
				p.Jobs[k].Work, p.Jobs[k].Hint = 400, 400
			}
			p.Faults = []Fault{
				{Kind: "vanish", At: 1300, Length: 3000, Target: 0},
				{Kind: "vanish", At: 1500, Length: 2500, Target: 1},
				{Kind: "reset", At: 1200, Length: 2500, Target: 2, Amount: 0.5},
			}
			p.Hedges = i%4 > 0
		}),
	},
	{
		Name: "nodes-meet-at-cold-peer", About: "several nodes find the same cold peer free while all others are full",
		Plans: sweep(24, func() *Plan { return basePlan(2, 4, 200, 8, "visit-summary") }, func(p *Plan, i int) {
			p.Nodes = 2 + i%3
			p.Faults = []Fault{
				{Kind: "restart", At: 1200, Length: 100 + 30*float64(i), Target: i % 4},
				{Kind: "drain", At: 1600, Length: 600, Target: (i + 1) % 4},
			}
			p.DiscoveryDelay = 50 + 50*float64(i%4)
			for k := range p.Jobs {
				// Without hints the nodes cannot tell that the cold worker is too slow, and only its budget protects it.
				p.Jobs[k].Work, p.Jobs[k].Hint, p.Jobs[k].Slots = 300+50*float64(i%5), 0, float64(1+i%2)
			}
		}),
	},
	{
		Name:  "id-used-again",
		About: "an id is used again while the timer of its first request would still have been running",
		Plans: sweep(12, func() *Plan { return basePlan(1, 2, 2, 0, "slot-check") }, func(p *Plan, i int) {
			for k := range p.Jobs { // the class's deadline is 1.5 s
				p.Jobs[k].ID, p.Jobs[k].Retries = "again", 0
			}
			p.Jobs[1].At = p.Jobs[0].At + 1500 - 5 - 10*float64(i)
		}),
		Want: allServed,
	},
	{
		Name:  "charges-cover-old-reports",
		About: "one node, full peers, reports renewed rarely: own charges must fill the gap",
		Plans: sweep(6, func() *Plan { return basePlan(1, 3, 300, 12, "slot-check") }, func(p *Plan, i int) {
			for k := range p.Workers {
				p.Workers[k].Queue, p.Workers[k].Refresh, p.Workers[k].Zone = 0, 900+100*float64(i), 0
			}
			for k := range p.Jobs {
				p.Jobs[k].Work, p.Jobs[k].Hint = 150, 150
			}
		}),
		Want: func(o *Outcome) string {
			if o.Rejected > 0 {
				return fmt.Sprintf("%d tries went to peers without room", o.Rejected)
			}
			if most := int(4 * 3 * o.Virtual.Seconds() / 0.9); o.Probes > most { // four for each refreshed report
				return fmt.Sprintf("%d probes, %d are enough for the reports that there are", o.Probes, most)
			}
			return ""
		},
	},
	{
		Name:  "more-requests-than-memory",
		About: "more requests at once than the node has memory for: those beyond are refused at once",
		Plans: sweep(4, func() *Plan { return basePlan(1, 4, 300, 1, "slot-check") }, func(p *Plan, i int) {
			p.MemoryMB, p.Scale = 32, 2
			for k := range p.Jobs {
				p.Jobs[k].Work, p.Jobs[k].Hint, p.Jobs[k].Body = 900, 900, 30000
				p.Jobs[k].Retries = i
			}
		}),
		Want: func(o *Outcome) string {
			if o.MostOpen > 64 || o.MostOpen < 50 { // a third of 24 MB, for bodies and results of 64 KiB each
				return fmt.Sprintf("%d requests were open at once, 64 are the limit", o.MostOpen)
			}
			return ""
		},
	},
	{
		Name: "rush-of-connections", About: "more connections than the node has places for, among them silent ones",
		Plans: sweep(8, func() *Plan { return basePlan(1, 4, 120, 4, "slot-check") }, func(p *Plan, i int) {
			p.Sockets = 128
			for k := range p.Jobs {
				p.Jobs[k].Work, p.Jobs[k].Hint = 300, 300
				if k%3 > 0 {
					p.Jobs[k].Shape = []fake.Shape{fake.Silent, fake.Pieces, fake.Endless}[(k+i)%3]
				}
			}
		}),
	},
	{
		Name:  "long-jobs-at-a-cold-peer",
		About: "jobs far longer than their class has been, and say so, find a cold peer",
		Plans: sweep(12, func() *Plan { return basePlan(2, 4, 160, 6, "visit-summary") }, func(p *Plan, i int) {
			p.Nodes, p.DiscoveryDelay, p.Scale = 2+i%2, 50, 0.5
			for k := range p.Workers {
				p.Workers[k].Cores, p.Workers[k].Slots, p.Workers[k].Zone = 16, 16, 0
			}
			for k := range p.Jobs {
				p.Jobs[k].Work, p.Jobs[k].Hint, p.Jobs[k].Retries = 20, 20, 0
				if k >= 60 {
					p.Jobs[k].At, p.Jobs[k].Work, p.Jobs[k].Hint = 2000+100*float64(i)+5*float64(k), 5000, 5000
				}
			}
			p.Faults = []Fault{{Kind: "restart", At: 1700, Length: 100, Target: i % 4}}
		}),
	},
	{
		Name:  "jobs-leave-silent-machines",
		About: "a machine falls silent under long jobs: second copies only where they may be",
		Plans: sweep(8, func() *Plan { return basePlan(1, 4, 24, 60, "") }, func(p *Plan, i int) {
			p.Scale, p.Hedges = 1, i%2 > 0
			for k := range p.Jobs {
				p.Jobs[k].Class = []string{"slot-check", "book-visit", "visit-summary", "send-reminder"}[k%4]
				p.Jobs[k].Work, p.Jobs[k].Hint = 2500, 2500
			}
			p.Faults = []Fault{{Kind: "vanish", At: 1500 + 100*float64(i), Length: 9000, Target: i % 4}}
		}),
	},
	{
		Name:  "silent-peer-unknown-cost",
		About: "a peer falls silent under jobs that may not be repeated and of which nobody knows how long they take",
		Plans: sweep(6, func() *Plan { return basePlan(1, 2, 20, 50, "charge-card") }, func(p *Plan, i int) {
			for k := range p.Jobs {
				p.Jobs[k].Hint, p.Jobs[k].Work = 0, 300
			}
			p.Faults = []Fault{{Kind: "vanish", At: 1100 + 50*float64(i), Length: 9000, Target: i % 2}}
		}),
	},
	{
		Name:  "late-requests-in-a-drain",
		About: "long jobs come on kept connections more than 0.7 s after SIGTERM; SIGKILL follows",
		Plans: sweep(6, func() *Plan { return basePlan(2, 4, 60, 0.1, "slot-check") }, func(p *Plan, i int) {
			p.Scale = 0.9
			for k := range p.Jobs {
				p.Jobs[k].Work, p.Jobs[k].Hint, p.Jobs[k].Retries = 150, 150, 0
				if k >= 30 {
					p.Jobs[k].At, p.Jobs[k].Class, p.Jobs[k].Work, p.Jobs[k].Hint = 2700+60*float64(
						i,
					)+10*float64(
						k-30,
					), "charge-card", 5000, 0
				}
			}
			p.Faults = []Fault{{Kind: "term", At: 1900, Length: 400, Target: i % 2}}
		}),
	},
	{
		Name: "term-under-load", About: "SIGTERM while long jobs run and kept connections bring more; SIGKILL follows",
		Plans: sweep(10, func() *Plan { return basePlan(2, 5, 250, 12, "visit-summary") }, func(p *Plan, i int) {
			p.Scale = 0.6
			for k := range p.Jobs {
				p.Jobs[k].Work, p.Jobs[k].Hint = 300+float64(k%5)*900, 0
			}
			p.Faults = []Fault{{Kind: "term", At: 1500 + 50*float64(i), Length: 400, Target: i % 2}}
		}),
	},
	{
		Name: "regressions", About: "plans that once broke something, shrunk and kept as files",
		Plans: func() (plans []*Plan) {
			files, err := regressionPlans.ReadDir("testdata")
			if err != nil {
				panic(err) // cannot happen: the files are embedded
			}
			for _, f := range files {
				text, err := regressionPlans.ReadFile("testdata/" + f.Name())
				if err != nil {
					panic(err)
				}
				p, err := Parse(text)
				if err != nil {
					panic(fmt.Errorf("%s: %w", f.Name(), err))
				}
				plans = append(plans, p)
			}
			return plans
		},
	},
}

// regressionPlans holds plans of past failures as files, since a seed yields another plan once Draw changes. In the one kept so
// far, cold workers get jobs far longer than their class's mean.
//
//go:embed testdata/*.json
var regressionPlans embed.FS
