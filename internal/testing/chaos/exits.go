package chaos

import (
	"fmt"
	"slices"
	"time"
)

// exitEvent is a change of a node's service as its process logged it. Times of different processes are comparable because all
// run on one machine.
type exitEvent struct {
	time        time.Time
	node        int
	startNumber int    // of the process; see process.startNumber
	kind        string // leaves, returns, serves, or off: written off by an operator
}

// recordExit records a log line that reports a change of the node's service.
func (f *Cluster) recordExit(p *process, l *logLine) {
	kind := map[string]string{"drain started": "leaves", "service resumed": "returns", "serving": "serves"}[l.Msg]
	switch {
	case kind != "":
		f.mu.Lock()
		f.exitLog = append(f.exitLog, exitEvent{l.Time, p.node, p.startNumber, kind})
		f.mu.Unlock()
		if kind != "serves" {
			f.event(Event{Kind: "exit", Actor: p.name, StartNumber: p.startNumber, Text: kind})
		}
	case l.Msg == "exit confirmed":
		f.event(
			Event{
				Kind:    "confirmed",
				Actor:   p.name,
				Subject: l.Subject,
				Text:    fmt.Sprintf("%d out of %d, permit %d, group %s", l.Out, l.Limit, l.Grant, l.Group),
			},
		)
		f.triggerTrap(p, l)
	}
}

// judgeExits checks planned exits against the disruption budgets, in the order in which the processes logged that they left
// and returned. A plan with WorseRelease is exempt: its nodes with the faulty build already count as out.
func (f *Cluster) judgeExits() {
	f.mu.Lock()
	list := slices.DeleteFunc(
		slices.Clone(f.exitLog),
		func(e exitEvent) bool { return e.time.After(f.endAt) },
	) // at endAt the run starts to stop all nodes
	f.mu.Unlock()
	slices.SortStableFunc(list, func(a, b exitEvent) int { return a.time.Compare(b.time) })
	out := map[int]exitEvent{}
	for _, e := range list {
		switch e.kind {
		case "leaves":
			out[e.node] = e
			f.stats.Exits++
			sites := map[string]int{}
			for n := range out {
				sites[f.nodes[n].site]++
			}
			f.stats.MostOut = max(f.stats.MostOut, len(out))
			if len(out) > f.plan.Budget && !f.plan.WorseRelease {
				f.errorf(
					"budget",
					"%d planned exits at once when %s left, the budget is %d",
					len(out),
					f.nodeName(e.node),
					f.plan.Budget,
				)
			}
			if s := f.nodes[e.node].site; f.plan.SiteBudget > 0 && sites[s] > f.plan.SiteBudget && !f.plan.WorseRelease {
				f.errorf(
					"budget",
					"%d planned exits at once in site %s when %s left, the budget is %d",
					sites[s],
					s,
					f.nodeName(e.node),
					f.plan.SiteBudget,
				)
			}
		case "returns", "off":
			delete(out, e.node)
		case "serves":
			if left, ok := out[e.node]; ok && e.startNumber > left.startNumber {
				delete(out, e.node)
			}
		}
	}
}
