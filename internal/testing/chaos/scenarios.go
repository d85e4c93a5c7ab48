package chaos

import (
	"fmt"
	"strings"
)

// Scenario is a named plan, with an optional check beside those of every run.
type Scenario struct {
	Name string
	Plan Plan
	Then Check
}

// modifyPlan returns a changed copy of a plan.
func modifyPlan(p Plan, change func(*Plan)) Plan {
	change(&p)
	return p
}

// addLoad adds workers and jobs to a plan.
func addLoad(p *Plan) { p.Workers, p.Rate, p.WorkMs = 6, 25, 60 }

// faultPlan returns a plan of nodes in two sites that serve jobs while the faults occur.
func faultPlan(nodes int, lengthMs float64, faults ...Fault) Plan {
	return modifyPlan(basePlan(nodes, 2), func(p *Plan) {
		addLoad(p)
		p.LengthMs, p.Faults = lengthMs, faults
	})
}

// expectEvents fails the run unless the processes have logged a membership event of a member at least so often.
func (f *Cluster) expectEvents(least int, member, what string) {
	if n := f.Count(member, what); n < least {
		f.errorf("view", "%s %s: logged %d times, want at least %d", member, what, n, least)
	}
}

// expectNoEvent fails the run if any process has logged a membership event of a member.
func (f *Cluster) expectNoEvent(member, what string) {
	if n := f.Count(member, what); n > 0 {
		f.errorf("view", "%s %s: logged %d times, want 0", member, what, n)
	}
}

// memberStatus returns a member's status, program version and incarnation in a node's view.
func (f *Cluster) memberStatus(at int, member string) (status, program string, inc uint64) {
	if v := f.View(at); v != nil {
		for _, m := range v.Members {
			if m.Name == member {
				return m.Status, m.ProgramVersion, m.Incarnation
			}
		}
	}
	return "", "", 0
}

// metric reads one of a node's metrics; -1 if the node does not answer.
func (f *Cluster) metric(at int, name string) (v float64) {
	text, _, err := f.getControl(at, "/-/metrics")
	if err != nil {
		return -1
	}
	for _, l := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(l, name+" "); ok {
			fmt.Sscan(rest, &v)
		}
	}
	return v
}

// Scenarios are the hard cases of membership views.
var Scenarios = []Scenario{
	{
		Name: "strangers-start-at-once",
		Plan: modifyPlan(basePlan(10, 3), func(p *Plan) { p.SeedTopology, p.LengthMs = "ring", 300 }),
	},
	{
		Name: "crash",
		Plan: faultPlan(5, 4000, Fault{Kind: "kill", At: 500, Target: 3}),
		Then: func(f *Cluster) {
			if v := f.View(0); v == nil || v.Healthy {
				f.errorf("view", "a view with a crashed member is reported as healthy")
			}
			f.expectEvents(4, "n3", "died")
			f.expectNoEvent("n3", "left")
		},
	},
	{
		Name: "left",
		Plan: faultPlan(5, 4000, Fault{Kind: "term", At: 500, Target: 3}),
		Then: func(f *Cluster) {
			f.expectEvents(4, "n3", "left")
			if v := f.View(0); v == nil || !v.Healthy {
				f.errorf("view", "a view whose only missing member has left is not reported as healthy")
			}
		},
	},
	{"one-way-cut", faultPlan(6, 5000, Fault{Kind: "one-way", At: 500, Length: 4000, Target: 1, Other: 3}), nil},
	{"cut-from-half", faultPlan(6, 5000, Fault{Kind: "half", At: 500, Length: 4000, Target: 1}), nil},
	{
		Name: "split-in-two",
		Plan: faultPlan(6, 6000, Fault{Kind: "split", At: 500, Length: 5000, Amount: 2}),
		Then: func(f *Cluster) { f.expectEvents(1, "n1", "returned") },
	},
	{
		Name: "split-in-three",
		Plan: faultPlan(6, 6000, Fault{Kind: "split", At: 500, Length: 5000, Amount: 3}),
		Then: func(f *Cluster) { f.expectEvents(1, "n1", "returned") },
	},
	{
		Name: "one-against-all",
		Plan: faultPlan(6, 6000, Fault{Kind: "alone", At: 500, Length: 5000, Target: 4}),
		Then: func(f *Cluster) { f.expectEvents(1, "n4", "returned") },
	},
	{
		Name: "split-beyond-memory",
		Plan: modifyPlan(
			basePlan(6, 2),
			func(p *Plan) {
				p.ForgetS = 10
				p.LengthMs = 17000
				p.Faults = []Fault{{Kind: "split", At: 200, Length: 16500, Amount: 2}}
			},
		),
		Then: func(f *Cluster) { f.expectEvents(1, "n1", "forgotten") },
	},
	{"flapping-link", faultPlan(6, 6000, Fault{Kind: "flap", At: 500, Length: 5000, Target: 2}), nil},
	{
		Name: "loss-and-jitter",
		Plan: faultPlan(
			6, 6000,
			Fault{Kind: "loss", At: 200, Length: 5500, Amount: 0.3},
			Fault{Kind: "jitter", At: 200, Length: 5500, Amount: 50},
		),
	},
	{
		Name: "stopped-for-long",
		Plan: faultPlan(5, 8500, Fault{Kind: "stop", At: 500, Length: 7500, Target: 3}),
		Then: func(f *Cluster) {
			f.expectEvents(1, "n3", "died")
			_, _, inc := f.memberStatus(0, "n3")
			f.mu.Lock()
			refuted := f.eventCounts["n3.1 n3 refuted"]
			f.mu.Unlock()
			if inc < 2 || int(inc) != 1+refuted { // each new incarnation has to be its own refutation of its death
				f.errorf("view", "n3 is at incarnation %d after %d refutations", inc, refuted)
			}
		},
	},
	{"slow", faultPlan(5, 5000, Fault{Kind: "slow", At: 500, Length: 4000, Target: 2, Amount: 0.7}), nil},
	{
		Name: "killed-and-back-at-once",
		Plan: faultPlan(5, 4000, Fault{Kind: "kill", At: 500, Length: 50, Target: 3}),
		Then: func(f *Cluster) { f.expectNoEvent("n3", "conflict") },
	},
	{
		Name: "twin",
		Plan: modifyPlan(
			basePlan(5, 2),
			func(p *Plan) {
				p.LengthMs = 9000
				p.Faults = []Fault{{Kind: "twin", At: 300, Length: 7000, Target: 2}}
			},
		),
		Then: func(f *Cluster) {
			f.expectEvents(1, "n2", "conflict")
			f.expectEvents(1, "n2", "displaced")
		},
	},
	{
		Name: "replaced",
		Plan: faultPlan(5, 4000, Fault{Kind: "replace", At: 500, Target: 3}),
		Then: func(f *Cluster) {
			// On a busy machine the others may have declared it dead: they log its return then, not its replacement.
			if f.Count("n3", "replaced")+f.Count("n3", "returned") == 0 {
				f.errorf("view", "no node logged the second process of n3")
			}
			f.expectNoEvent("n3", "conflict")
			f.expectNoEvent("n3", "left")
		},
	},
	{"seven-in-ten-killed", faultPlan(10, 8000, Fault{Kind: "many", At: 500, Length: 4000, Amount: 0.7}), nil},
	{"rolling-restart", faultPlan(4, 14000, Fault{Kind: "rolling", At: 300, Length: 200}), nil},
	{
		Name: "earlier-life",
		Plan: faultPlan(
			5, 5000,
			Fault{Kind: "kill", At: 300, Length: 300, Target: 3},
			Fault{Kind: "term", At: 300, Target: 4},
			Fault{Kind: "again", At: 3000, Length: 1500, Target: 3},
			Fault{Kind: "again", At: 3000, Length: 1500, Target: 4},
		),
		Then: func(f *Cluster) { f.expectNoEvent("n4", "returned") },
	},
	{
		Name: "full-buffer",
		Plan: faultPlan(
			5, 5000,
			Fault{Kind: "slow", At: 500, Length: 4000, Target: 2, Amount: 0.9},
			Fault{Kind: "strangers", At: 500, Length: 4000, Target: 2},
		),
	},
	{
		Name: "strangers",
		Plan: faultPlan(3, 3000, Fault{Kind: "strangers", At: 200, Length: 2500, Target: 1}),
		Then: func(f *Cluster) {
			if n := f.metric(1, `gw_fleet_datagrams_dropped{reason="fleet"}`); n < 1 {
				f.errorf("view", "%g datagrams of another fleet were dropped, want at least 1", n)
			}
			if v := f.View(0); v == nil || len(v.Members) != 3 {
				f.errorf("view", "the view does not have exactly the fleet's 3 members")
			}
		},
	},
	{"fleet-of-one", faultPlan(1, 1500), nil},
	{
		Name: "bad-links",
		Plan: faultPlan(
			5, 5000,
			Fault{Kind: "corrupt", At: 200, Length: 4500, Amount: 0.3},
			Fault{Kind: "twice", At: 200, Length: 4500, Amount: 0.5},
			Fault{Kind: "delay", At: 200, Length: 4500, Amount: 20},
			Fault{Kind: "narrow", At: 200, Length: 4500, Target: 2, Amount: 3000},
		),
		Then: func(f *Cluster) {
			if n := f.metric(1, `gw_fleet_datagrams_dropped{reason="damaged"}`); n < 1 {
				f.errorf("view", "%g damaged datagrams were dropped, want at least 1", n)
			}
		},
	},
	{
		Name: "workers-and-discovery",
		Plan: faultPlan(
			4, 8000,
			Fault{Kind: "worker-kill", At: 500, Length: 2000, Target: 1},
			Fault{Kind: "worker-drain", At: 800, Length: 2000, Target: 2},
			Fault{Kind: "worker-ill", At: 500, Length: 3000, Target: 3, Amount: 0.8},
			Fault{Kind: "worker-cut", At: 1000, Length: 2000, Target: 1, Other: 4},
			Fault{Kind: "disco-down", At: 500, Length: 3000, Target: 2},
			Fault{Kind: "disco-cut", At: 500, Length: 4000, Target: 3},
			Fault{Kind: "worker-late", At: 500, Length: 5000, Target: 0, Other: 5, Amount: 80},
			Fault{Kind: "disco-late", At: 500, Length: 5000, Target: 1, Amount: 150},
		),
	},
	{
		Name: "bad-and-old-start",
		Plan: faultPlan(
			4, 4000,
			Fault{Kind: "bad-start", At: 300, Target: 1},
			Fault{Kind: "old-start", At: 300, Length: 200, Target: 2},
		),
	},
}
