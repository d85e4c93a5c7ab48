package chaos

import (
	"fmt"
	"time"

	"swiftdeal/internal/membership/gossip"
)

// Wait polls until a condition holds or the bound passes, and returns the time it took. Bounds are so long that only a real
// failure reaches them.
func (f *Cluster) Wait(bound time.Duration, cond func() bool) (took time.Duration, ok bool) {
	start := time.Now()
	for {
		if cond() {
			return time.Since(start), true
		}
		if time.Since(start) > bound {
			return time.Since(start), false
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// settle waits until all views are correct and equal, and records the time it took.
func (f *Cluster) settle(result *Result, when string) {
	problem := ""
	took, ok := f.Wait(milliseconds(f.plan.SettleMs), func() bool {
		var right, total int
		problem, right, total = f.ViewsProblem()
		result.Views = append(result.Views, Sample{float64(time.Since(f.start).Milliseconds()), right, total})
		return problem == ""
	})
	f.event(Event{Kind: "settled", Text: fmt.Sprintf("%s: %v after %v", when, ok, took.Round(time.Millisecond))})
	if !ok {
		f.errorf("view", "not settled %v after %s: %s", took.Round(time.Millisecond), when, problem)
	}
	f.stats.SettledMs = append(f.stats.SettledMs, float64(took.Milliseconds()))
}

// ViewsProblem describes a fault in the views of the running processes; empty if they are correct and equal. right and of count the
// correct views and all that are judged.
func (f *Cluster) ViewsProblem() (problem string, right, of int) {
	views := map[int]*gossip.Report{}
	for _, n := range f.nodes {
		if !f.hasView(n) {
			continue
		}
		of++
		v := f.View(n.index)
		if v == nil {
			problem = f.nodeName(n.index) + " does not answer the request for its view"
			continue
		}
		views[n.index] = v
	}
	instances := f.ownInstances(views)
	for _, n := range f.nodes {
		v := views[n.index]
		if v == nil {
			continue
		}
		if wrong := f.viewProblem(n, v, instances, of); wrong != "" {
			problem = wrong
		} else {
			right++
		}
	}
	return problem, right, of
}

// hasView reports whether a node's view is judged: its process runs, and is not a build with the "mute" fault, which breaks the
// protocol.
func (f *Cluster) hasView(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.process.running() && !n.process.stopRequested && !(f.runsFaultyBuild(n) && f.plan.Release == "mute")
}

// instance returns a text with the properties of a member on which all views have to agree.
func instance(m gossip.ReportMember) string {
	return fmt.Sprint(m.InstanceID, m.Incarnation, m.State, m.Address)
}

// ownInstances returns what each process reports of itself, by member. If two nodes have one name, the later one counts.
func (f *Cluster) ownInstances(views map[int]*gossip.Report) map[string]string {
	instances := map[string]string{}
	for _, n := range f.nodes {
		v := views[n.index]
		if v == nil {
			continue
		}
		for _, m := range v.Members {
			if m.Self {
				instances[m.Name] = instance(m)
			}
		}
	}
	return instances
}

// viewProblem describes a fault in one node's view, compared with what the running members report of themselves; empty if the
// view is correct.
func (f *Cluster) viewProblem(n *node, v *gossip.Report, instances map[string]string, running int) string {
	if v.Displaced {
		return f.nodeName(n.index) + " is displaced"
	}
	wrong := ""
	alive := 0
	for _, m := range v.Members {
		if problem := f.memberProblem(n, m, instances); problem != "" {
			wrong = problem
		}
		if m.Status == "alive" {
			alive++
		}
	}
	if alive != running && wrong == "" {
		return fmt.Sprintf("%s sees %d of %d running members as alive", f.nodeName(n.index), alive, running)
	}
	return wrong
}

// memberProblem describes a fault in a member's entry in one node's view; empty if the entry is correct.
func (f *Cluster) memberProblem(n *node, m gossip.ReportMember, instances map[string]string) string {
	want, up := instances[m.Name]
	switch {
	case up && m.Status != "alive":
		return fmt.Sprintf("%s sees %s, which runs, as %s", f.nodeName(n.index), m.Name, m.Status)
	case !up && (m.Status == "alive" || m.Status == "suspect"):
		return fmt.Sprintf("%s sees %s, which does not run, as %s", f.nodeName(n.index), m.Name, m.Status)
	case up && instance(m) != want:
		return fmt.Sprintf("%s sees %s as %v, it is %v", f.nodeName(n.index), m.Name, instance(m), want)
	}
	return ""
}

// awaitAnswers waits until all clients have their answers.
func (f *Cluster) awaitAnswers(*Result) {
	waiting := 0
	if _, ok := f.Wait(failureTimeout, func() bool {
		f.host.Do(func() {
			waiting = 0
			for _, c := range f.clients {
				waiting += c.Open
			}
		})
		return waiting == 0
	}); !ok {
		f.errorf("rule 1", "%d clients have no answer", waiting)
	}
}
