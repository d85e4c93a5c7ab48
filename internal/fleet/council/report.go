package council

import (
	"maps"
	"slices"
	"time"

	"swiftdeal/internal/fleet/accord"
	"swiftdeal/internal/fleet/permit"
	"swiftdeal/internal/fleet/rollout"
)

// Report is what a node knows of the council, in the form in which it is shown.
type Report struct {
	Member   string       `json:"member"`
	Seat     bool         `json:"seat"` // it may have one, and so knows the state
	Group    accord.Group `json:"group"`
	Leader   string       `json:"leader"`
	Leads    bool         `json:"leads"`
	Term     uint64       `json:"term"`
	Index    uint64       `json:"index"`
	Voters   []string     `json:"voters"`
	Seats    []string     `json:"seats"` // whom else to ask
	Trouble  string       `json:"trouble,omitempty"`
	Holds    uint64       `json:"holds,omitempty"`
	Drains   []string     `json:"drains"`
	Known    bool         `json:"known"`
	Counts   Counts       `json:"counts"`
	OutNodes int          `json:"out_nodes"`

	Budgets permit.Budgets            `json:"budgets"`
	Members map[string]*permit.Member `json:"members,omitempty"`
	Permits []permit.Permit           `json:"permits"`
	Queue   []permit.Request          `json:"queue"`
	Out     permit.Observed           `json:"seen"`
	Bad     map[string]string         `json:"bad,omitempty"`
	History []permit.Entry            `json:"history"`
	Accord  accord.Counts             `json:"accord"`

	Release      *rollout.Plan           `json:"release,omitempty"`
	ReleaseID    string                  `json:"release_id,omitempty"`
	ReleasePhase rollout.Phase           `json:"release_phase"`
	ReleaseSays  string                  `json:"release_says"` // the phase in words
	ReleaseWhy   string                  `json:"release_why,omitempty"`
	ReleaseNeeds string                  `json:"release_needs,omitempty"`
	ReleaseNodes map[string]rollout.Node `json:"release_nodes,omitempty"`
	Batch        int                     `json:"batch"`
	Steps        []rollout.Step          `json:"steps,omitempty"`
	Figures      []rollout.Figure        `json:"figures,omitempty"` // of the leader's last look
	Waits        string                  `json:"waits,omitempty"`   // what the leader waits for

	Settings *SettingsReport `json:"settings,omitempty"` // where the council decides on them
}

// Knows reports whether this node has a seat in a group, and so holds its state.
func (k *Core) Knows() bool {
	if k.acc == nil {
		return false
	}
	g, _ := k.acc.Group()
	return !g.None()
}

// Report returns what is shown.
func (k *Core) Report(now time.Duration) *Report {
	k.now = max(k.now, now)
	r := &Report{Member: k.c.Name, Seat: k.Knows(), Group: k.group, Leader: k.to, Seats: k.c.Seats, Trouble: k.Trouble(), Holds: k.hold.no, Drains: []string{}, Known: k.known, Counts: k.counts,
		Permits: []permit.Permit{}, Queue: []permit.Request{}, Voters: []string{}, History: []permit.Entry{}}
	for _, d := range k.drains {
		r.Drains = append(r.Drains, d.Worker)
	}
	if k.rev != nil {
		r.Settings = k.settingsReport()
	}
	if !r.Seat {
		return r
	}
	r.Group, _ = k.acc.Group()
	r.Leader, r.Leads, r.Index, r.Accord = k.acc.Leader(), k.acc.Leads(), k.m.index, k.acc.Counts()
	r.Term, _ = k.acc.Term()
	for _, v := range k.acc.Voters() {
		r.Voters = append(r.Voters, v.Seat)
	}
	s, l := k.m.permits, k.m.release
	r.Budgets, r.Out, r.Bad, r.History, r.OutNodes = s.Budgets, s.Seen, maps.Clone(s.Bad), slices.Clone(s.History), s.OutNodes()
	if r.Leads { // of now, not of the last command
		r.Out = *k.observe("", nil)
		now := *s
		now.Seen = r.Out
		r.OutNodes = now.OutNodes()
	}
	r.Members = map[string]*permit.Member{}
	for n, m := range s.Members {
		c := *m
		r.Members[n] = &c
	}
	for _, p := range s.Permits {
		c := *p
		c.Waits = slices.Clone(p.Waits)
		r.Permits = append(r.Permits, c)
	}
	for _, q := range s.Queue {
		r.Queue = append(r.Queue, *q)
	}
	if r.ReleasePhase, r.ReleaseSays = l.Phase, l.Phase.String(); l.Plan != nil {
		plan := *l.Plan
		r.Release, r.ReleaseID, r.ReleaseWhy, r.ReleaseNeeds, r.Batch, r.Steps = &plan, l.ID, l.Why, l.Needs, l.Batch, slices.Clone(l.Steps)
		r.ReleaseNodes = map[string]rollout.Node{}
		for n, x := range l.Nodes {
			r.ReleaseNodes[n] = *x
		}
		if r.Leads {
			r.Figures, r.Waits = k.lead.driver.Figures()
			r.Figures = slices.Clone(r.Figures)
		}
	}
	return r
}
