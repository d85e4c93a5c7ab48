package fleetsim

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
)

// changed takes a change in a view.
func (w *Simulation) changed(p *process, c membership.Change) {
	w.record("%s#%d: %s %s at %d (%s, by %s)", p.name, p.serial, c.Name, c.Event, c.Incarnation, c.Reason, c.ReportedBy)
	if c.Event == "died" && c.ReportedBy == p.name {
		for _, o := range w.processes {
			if o != nil && o.name == c.Name && o.running && !o.paused && o.readShare == 1 && len(w.cuts) == 0 &&
				len(w.liars) == 0 &&
				w.alive(o, c.Incarnation) {
				w.outcome.FalseDeaths++
			}
		}
	}
	if c.Event == "forgotten" {
		delete(p.highest, c.Name)
	}
	if w.keep {
		w.seen = append(w.seen, c)
	}
	if w.onView != nil {
		w.onView(p, c)
	}
}

// alive reports whether a process is the one of which an incarnation speaks, or a later one.
func (w *Simulation) alive(o *process, inc uint64) bool { return o.core.Self().Incarnation <= inc }

// invariants looks at what has to hold at any time.
func (w *Simulation) invariants(p *process) {
	sizes := p.core.Sizes()
	members := sizes.Members + 1
	w.outcome.MaxMembers = max(w.outcome.MaxMembers, members)
	most := w.plan.MaxMembers
	if most == 0 {
		most = 1024
	}
	if members > max(most, 1) || sizes.Broadcasts > 2*members || sizes.Probes > sizes.Members || sizes.RelayedProbes > 64 {
		w.fail("%s holds %+v", p.name, sizes)
	}
	if wake := p.core.NextStepAt() + p.clockStart; wake > w.now+periods(1.001) {
		w.fail("%s wants to be called only in %v", p.name, wake-w.now)
	}
	// Incarnations never go back. Only some members are looked at each time.
	for range 2 {
		i := w.random.IntN(w.plan.Members)
		held, ok := p.core.Lookup(name(i))
		if !ok {
			delete(p.highest, name(i))
			continue
		}
		if was, seen := p.highest[name(i)]; seen && (held.Incarnation < was[1] || held.Incarnation == was[1] && held.InstanceID < was[0]) {
			w.fail("%s holds %s at %d after %d", p.name, name(i), held.Incarnation, was[1])
		}
		p.highest[name(i)] = [2]uint64{held.InstanceID, held.Incarnation}
	}
}

// divergence tells what is not yet right in the views; empty: all are right and equal.
func (w *Simulation) divergence() string {
	var first *process
	var want, got []membership.Member // the living, by name
	for _, p := range w.processes {
		if p == nil || !p.running {
			continue
		}
		if p.paused {
			return p.name + " stands still"
		}
		view := p.core.View()
		var why string
		got, why = w.livingIn(p, view.Members, got[:0])
		if why != "" {
			return why
		}
		if view.Displaced {
			return p.name + " is displaced though no other process goes by its name"
		}
		if first != nil {
			if why := difference(first, p, want, got); why != "" {
				return why
			}
			continue
		}
		first, want = p, slices.Clone(got)
		if alive, running := aliveAmong(view.Members), w.runningCount(); alive != running {
			return fmt.Sprintf("%s sees %d of %d", p.name, alive, running)
		}
	}
	return ""
}

// livingIn appends the members of a view that run to list, or tells which of all members it holds for what it is not.
func (w *Simulation) livingIn(p *process, members []membership.Member, list []membership.Member) ([]membership.Member, string) {
	for _, m := range members {
		o := w.processes[w.index(m.Name)]
		up := o != nil && o.running
		switch {
		case up && m.Status != codec.Alive:
			return nil, fmt.Sprintf("%s holds the living %s for %v", p.name, m.Name, m.Status)
		case up && m.InstanceID != o.core.Self().InstanceID && !o.core.View().Displaced:
			return nil, fmt.Sprintf("%s holds another life of %s", p.name, m.Name)
		case !up && m.Status <= codec.Suspect:
			return nil, fmt.Sprintf("%s holds %s, which is gone, for %v", p.name, m.Name, m.Status)
		}
		if up {
			list = append(list, m)
		}
	}
	return list, ""
}

func (w *Simulation) runningCount() (n int) {
	for _, p := range w.processes {
		if p != nil && p.running {
			n++
		}
	}
	return n
}

func aliveAmong(members []membership.Member) (n int) {
	for _, m := range members {
		if m.Status == codec.Alive {
			n++
		}
	}
	return n
}

// difference tells where two processes' views of the living differ first; empty: nowhere.
func difference(first, second *process, want, got []membership.Member) string {
	differ := func(a, b string) string {
		return fmt.Sprintf("the views of %s and %s differ: %q, %q", first.name, second.name, a, b)
	}
	both := min(len(want), len(got))
	for i := range both {
		if a, b := &want[i], &got[i]; a.Identity != b.Identity || a.State != b.State || a.Addr != b.Addr {
			return differ(worded(a), worded(b))
		}
	}
	switch {
	case len(want) > both:
		return differ(worded(&want[both]), "")
	case len(got) > both:
		return differ("", worded(&got[both]))
	}
	return ""
}

// worded is what views are compared by. It is made only of what differs: there are as many entries as pairs of members.
func worded(m *membership.Member) string {
	return fmt.Sprintf("%s %x/%d %v %s", m.Name, m.InstanceID, m.Incarnation, m.State, m.Addr)
}

func (w *Simulation) index(n string) int {
	i, _ := strconv.Atoi(strings.TrimPrefix(n, "n"))
	return i
}
