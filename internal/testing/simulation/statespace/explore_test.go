package statespace

import (
	"flag"
	"testing"
)

var most = flag.Int("most", 100_000, "the most states to explore of the larger models")

// In no state of small fleets are more nodes out of service by plan than a budget allows.
func TestAll(t *testing.T) {
	for _, c := range []struct {
		name  string
		m     Model
		whole bool
		want  [3]int // states, steps and exits begun, as recorded with an earlier version
	}{
		{"2 nodes, a crash, a suspension, a loss of state", Model{Nodes: 2, Sites: 1, Budget: 1, SiteBudget: 1, Crashes: 1, Sleeps: 1, Forgets: 1}, true, [3]int{100478, 688460, 9530}},
		{"3 nodes, a crash", Model{Nodes: 3, Sites: 1, Budget: 1, SiteBudget: 1, Crashes: 1, MaxStates: *most}, false, [3]int{100000, 620824, 11527}},
		{"4 nodes, 2 sites, budget 2", Model{Nodes: 4, Sites: 2, Budget: 2, SiteBudget: 1, Crashes: 1, Sleeps: 1, Forgets: 1, WriteOffs: 1, MaxStates: *most}, false, [3]int{100000, 400839, 3727}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := Explore(c.m)
			t.Logf("%d states, %d steps, %d exits begun, complete: %v", r.States, r.Steps, r.ExitsBegun, r.Complete)
			for _, s := range r.Trace {
				t.Error(s)
			}
			if r.ExitsBegun == 0 || c.whole && !r.Complete {
				t.Errorf("no node left service, or not all states were explored")
			}
			if got := [3]int{r.States, r.Steps, r.ExitsBegun}; got != c.want && *most == 100_000 {
				t.Errorf("%v states, steps and exits begun, %v were recorded", got, c.want)
			}
		})
	}
}

// Each planted fault is found.
func TestPlanted(t *testing.T) {
	for name, m := range map[string]Model{
		"nodes unknown to a group are trusted":            {Nodes: 2, Sites: 1, Budget: 1, SiteBudget: 1, Forgets: 1, Trust: true},
		"a node leaves without a confirmation":            {Nodes: 2, Sites: 1, Budget: 1, SiteBudget: 1, Sleeps: 1, WriteOffs: 0, Crashes: 1, Unconfirmed: true, Forgets: 1},
		"a grant ends when its holder is not heard from":  {Nodes: 2, Sites: 1, Budget: 1, SiteBudget: 1, Crashes: 1, ReleaseBySilence: true},
		"a confirmation counts after a return to service": {Nodes: 2, Sites: 1, Budget: 1, SiteBudget: 1, LateAnswers: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r := Explore(m); len(r.Trace) == 0 {
				t.Errorf("not found in %d states", r.States)
			} else {
				t.Logf("found after %d states: %q", r.States, r.Trace)
			}
		})
	}
}
