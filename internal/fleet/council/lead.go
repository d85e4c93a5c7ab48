package council

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"swiftdeal/internal/fleet/accord"
	"swiftdeal/internal/fleet/permit"
	"swiftdeal/internal/fleet/revision"
	"swiftdeal/internal/fleet/rollout"
	"swiftdeal/internal/fleet/wire"
)

// The leader's watch: who is in service by what nodes say of themselves and by the view, and what follows from it.

// leading is what a leader knows beyond what the council keeps. Another leader learns it anew: until it has heard of a node, it
// holds it for out.
type leading struct {
	leads     bool
	term      uint64
	seen      map[string]Seen
	polls     map[string]*polled
	pending   map[uint64]pending // commands on their way, by their number
	flying    map[string]uint64  // what is not proposed twice: by what it is about
	last      map[string]ended   // by node: the last call that it was answered
	driver    *rollout.Driver
	watched   time.Duration // when the watch was last kept
	settled   string        // what requests were last held against
	gap       time.Duration // without a leader before this one
	since     time.Duration
	overdrawn time.Duration // when no budget was last overdrawn
	gapNoted  bool
	decided   time.Duration // when the latest revision of the settings was
	latest    revision.ID   // it
	spread    bool          // it is in force everywhere, and that was said
}

// polled is a node's last word.
type polled struct {
	at  time.Duration
	ask ask
}

// pending is who waits for a command.
type pending struct {
	about string
	node  string // empty: nobody
	ask   *ask
}

type ended struct {
	seq uint64
	r   Result
}

const (
	freshFor     = 4  // periods for which a node's word counts
	mostNodes    = 12 // in one command
	mostFlying   = 256
	overdrawnFor = 15 // periods for which a budget has to be overdrawn to halt a release
	lonelyHalts  = 10 // periods without a leader that halt a release
)

func (l *leading) reset() {
	seen := l.seen
	*l = leading{seen: seen, polls: map[string]*polled{}, pending: map[uint64]pending{}, flying: map[string]uint64{}, last: map[string]ended{}, driver: rollout.NewDriver(), watched: -time.Hour}
}

// asked takes a node's question.
func (k *Core) asked(from string, a *ask) {
	k.acc.Heard(a.Group)
	own, high := k.acc.Group()
	r := &answer{Seq: a.Seq, Group: own, Leader: k.acc.Leader(), Leads: k.acc.Leads(), Index: k.m.index}
	if own.Compare(high) < 0 { // there is, or was, a later group: this one's word is not heeded until it goes by a later number
		r.Group, r.Leader, r.Leads = accord.Group{}, "", false
		k.reply(from, r)
		return
	}
	if !r.Leads {
		k.fill(from, a, r)
		k.reply(from, r)
		return
	}
	k.lead.polls[from] = &polled{k.now, *a}
	k.fill(from, a, r)
	switch {
	case a.Confirm != 0:
		if a.Group != own { // it has to know the group before it heeds it
			break
		}
		c := &permit.Command{Op: permit.Confirm, Of: permit.Subject{Name: from}, No: a.Confirm, Life: a.Life, Inc: a.Inc, Seen: k.observe(from, a)}
		k.propose(fmt.Sprintf("confirm %s %d", from, a.Confirm), from, a, &command{Permit: c})
	case a.Back != 0:
		k.propose(fmt.Sprintf("back %s %d", from, a.Back), "", nil, &command{Permit: &permit.Command{Op: permit.Back, Of: permit.Subject{Name: from}, No: a.Back, Life: a.Life, Inc: a.Inc, By: from}})
	}
	if a.Call != nil {
		if e := k.lead.last[from]; e.seq == a.Seq {
			r.Result = &e.r
		} else if text := k.called(from, a); text != "" {
			r.Result = &Result{Text: text}
		}
	}
	k.reply(from, r)
}

// fill says what the council holds of the node.
func (k *Core) fill(from string, a *ask, r *answer) {
	s := k.m.permits
	if m := s.Members[from]; m != nil && m.Life == a.Life {
		r.Known = true
	}
	for _, p := range s.Permits {
		switch {
		case p.Kind == permit.Worker && p.Phase == permit.Used && len(r.Drains) < 48:
			r.Drains = append(r.Drains, drain{p.No, p.Name})
		case p.Kind == permit.Node && p.Name == from:
			r.Yours = &yours{No: p.No, Phase: p.Phase, Life: p.Life, Target: p.Target, Release: p.Release}
			if pl := k.m.release.Plan; pl != nil && p.Release == k.m.release.ID {
				r.Yours.Handover = pl.Handover
			}
			r.Barred = p.Release != "" && p.Release == s.Barred
		}
	}
}

func (k *Core) reply(to string, r *answer) {
	if to == k.c.Name {
		k.answered(to, r)
		return
	}
	k.do(Action{Do: Send, To: to, Kind: wire.Answer, Body: wire.Word(r)})
}

// propose has a command decided on, unless one about the same is on its way.
func (k *Core) propose(about, node string, a *ask, c *command) {
	l := &k.lead
	if _, on := l.flying[about]; on || len(l.flying) >= mostFlying {
		return
	}
	at := k.now.Milliseconds()
	switch {
	case c.Permit != nil:
		c.Permit.At = at
	case c.Release != nil:
		c.Release.At = at
	}
	own, err := k.acc.Propose(wire.Word(c))
	if err != nil {
		return
	}
	k.counts.Proposed++
	l.flying[about] = own
	l.pending[own] = pending{about, node, a}
	k.after()
}

// done takes a command that has been put into effect.
func (l *leading) done(k *Core, d accord.Done) {
	p, ok := l.pending[d.Own]
	if d.Own == 0 || !ok {
		return
	}
	delete(l.pending, d.Own)
	delete(l.flying, p.about)
	res, _ := d.Result.(Result)
	if p.node == "" || p.ask == nil {
		return
	}
	own, _ := k.acc.Group()
	r := &answer{Seq: p.ask.Seq, Group: own, Leader: k.acc.Leader(), Leads: true, Index: k.m.index}
	k.fill(p.node, p.ask, r)
	switch {
	case p.ask.Call != nil:
		l.last[p.node] = ended{p.ask.Seq, res}
		r.Result = &res
	case res.OK:
		r.Confirmed = p.ask.Confirm
	}
	k.reply(p.node, r)
}

// why says why a node is not in service; empty: it is. Whoever has not been heard of is out.
func (k *Core) why(name string, m *permit.Member) string {
	own, _ := k.acc.Group()
	v, ok := k.lead.seen[name]
	p := k.lead.polls[name]
	switch {
	case name != k.c.Name && (!ok || v.Status == wire.Dead):
		return "dead"
	case name != k.c.Name && v.Status != wire.Alive:
		return map[wire.Status]string{wire.Suspect: "suspected", wire.Left: "left"}[v.Status]
	case p == nil || k.now-p.at > freshFor*k.c.Period:
		return "not heard"
	case p.ask.Life != m.Life:
		return "another process"
	case p.ask.Group != own:
		return "has not heard of the group"
	case p.ask.State != wire.Serving:
		return p.ask.State.String()
	case !k.acc.Filled(name):
		return "its seat is not filled yet"
	}
	return ""
}

// observe is what the leader sees of nodes and workers that have no permit. The one that asks is held for what it says of
// itself.
func (k *Core) observe(asks string, a *ask) *permit.Observed {
	s, o := k.m.permits, &permit.Observed{}
	holds := map[permit.Subject]bool{}
	for _, p := range s.Permits { // one that was granted and not used may be out for another reason
		holds[p.Subject] = p.Phase != permit.Granted
	}
	add := func(list *[]permit.Out, out permit.Out) {
		if len(*list) < permit.MostOuts {
			*list = append(*list, out)
		} else {
			o.More++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		m := s.Members[name]
		why := k.why(name, m)
		if name == asks {
			if why = ""; a.State != wire.Serving {
				why = a.State.String()
			}
		} else if holds[permit.Subject{Name: name}] {
			continue
		}
		if why != "" {
			add(&o.Nodes, permit.Out{Name: name, Why: why, Site: m.Site, Group: m.Version})
		}
	}
	// Guards against exits that an earlier group has let begin: who is in the view and has not made itself known to this group may
	// still be out under that one's word.
	for _, name := range slices.Sorted(maps.Keys(k.lead.seen)) {
		if v := k.lead.seen[name]; s.Members[name] == nil && !s.Off[name] && v.Status <= wire.Dead && !holds[permit.Subject{Name: name}] {
			add(&o.Nodes, permit.Out{Name: name, Why: "not known to the council", Site: v.Site})
		}
	}
	for _, w := range k.own.Workers {
		if w.Out == "" {
			o.Up++
		}
		if w.Out != "" && !holds[permit.Subject{Kind: permit.Worker, Name: w.ID}] {
			add(&o.Workers, permit.Out{Name: w.ID, Why: w.Out, Site: w.Site, Group: w.Kind})
		}
	}
	o.Room = maps.Clone(k.own.Room) // as this node's Balancer sees all workers
	return o
}

// leads keeps the watch where this seat leads.
func (k *Core) leads() {
	l := &k.lead
	term, _ := k.acc.Term()
	if !k.acc.Leads() {
		if l.leads {
			l.reset()
		}
		return
	}
	if !l.leads || l.term != term {
		l.reset()
		l.leads, l.term, l.gap, l.since = true, term, k.acc.Leaderless(), k.now
		l.overdrawn, l.decided = k.now, k.now
	}
	if k.now-l.watched < k.c.Period/2 {
		return
	}
	l.watched = k.now
	if fmt.Sprint(k.m.permits.Budgets) != fmt.Sprint(k.c.Budgets) {
		b := k.c.Budgets
		k.propose("budgets", "", nil, &command{Permit: &permit.Command{Op: permit.Configure, Budgets: &b, By: k.c.Name}})
		return
	}
	k.enlist()
	k.silence()
	k.workersBack()
	if k.rev != nil {
		k.adopt()
		k.spread()
	}
	seen := k.observe("", nil)
	if len(k.m.permits.Queue) > 0 {
		// Only what has changed can let a request through that was refused before.
		var waiting []uint64
		for _, q := range k.m.permits.Queue {
			waiting = append(waiting, q.No)
		}
		if mark := fmt.Sprint(*seen, waiting, k.m.permits.Barred, len(k.m.permits.Bad), numbers(k.m.permits.Permits)); mark != l.settled {
			l.settled = mark
			k.propose("settle", "", nil, &command{Permit: &permit.Command{Op: permit.Settle, Seen: seen}})
		}
	}
	k.drive(seen)
}

func numbers(list []*permit.Permit) (n []uint64) {
	for _, p := range list {
		n = append(n, p.No)
	}
	return n
}

// enlist makes nodes known that have made themselves known, and those that have started anew.
func (k *Core) enlist() {
	var list []permit.Named
	for _, name := range slices.Sorted(maps.Keys(k.lead.polls)) {
		a := &k.lead.polls[name].ask
		v, seen := k.lead.seen[name]
		lives := name == k.c.Name && a.Life == k.c.Life || seen && v.Life == a.Life && v.Status <= wire.Suspect
		if m := k.m.permits.Members[name]; lives && (m == nil || m.Life != a.Life) && len(list) < mostNodes {
			list = append(list, permit.Named{Name: name, Member: permit.Member{Life: a.Life, Inc: a.Inc, Site: a.Site, Version: a.Version}})
		}
	}
	if len(list) > 0 {
		k.propose("register", "", nil, &command{Permit: &permit.Command{Op: permit.Register, Nodes: list}})
	}
}

// silence takes the words of nodes that they send nothing to drained workers. One that has left, by its own word, sends nothing
// to anybody.
func (k *Core) silence() {
	for _, p := range k.m.permits.Permits {
		if p.Kind != permit.Worker || p.Phase != permit.Used {
			continue
		}
		var list []permit.Named
		for _, n := range p.Waits {
			m := k.m.permits.Members[n]
			if m == nil || len(list) >= mostNodes {
				continue
			}
			v, seen := k.lead.seen[n]
			said := k.lead.polls[n] != nil && k.lead.polls[n].ask.Life == m.Life && slices.Contains(k.lead.polls[n].ask.Quiet, p.No)
			if said || seen && v.Status == wire.Left && v.Life == m.Life {
				list = append(list, permit.Named{Name: n, Member: permit.Member{Life: m.Life}})
			}
		}
		if len(list) > 0 {
			k.propose(fmt.Sprintf("quiet %d", p.No), "", nil, &command{Permit: &permit.Command{Op: permit.Quiet, No: p.No, Nodes: list}})
		}
	}
}

// workersBack ends the permits of workers that are seen in service again.
func (k *Core) workersBack() {
	for _, p := range k.m.permits.Permits {
		if p.Kind != permit.Worker || p.Phase != permit.Returning {
			continue
		}
		for _, w := range k.own.Workers {
			if w.ID == p.Name && w.Out == "" {
				k.propose("back "+p.Subject.String(), "", nil, &command{Permit: &permit.Command{Op: permit.Back, Of: p.Subject, No: p.No, By: k.c.Name}})
			}
		}
	}
}

// drive keeps the release going.
func (k *Core) drive(seen *permit.Observed) {
	r := k.m.release
	l := &k.lead
	if !r.Phase.Open() || k.now-l.since < freshFor*k.c.Period { // who has not been heard of yet is no failure
		return
	}
	if !l.gapNoted {
		l.gapNoted = true
		if l.gap > lonelyHalts*k.c.Period && r.Phase == rollout.Running {
			k.propose("release", "", nil, &command{Release: &rollout.Command{Op: rollout.Halt, ID: r.ID, Why: fmt.Sprintf("the council had no majority for %v", l.gap.Round(100*time.Millisecond))}})
			return
		}
	}
	watch := map[string]rollout.Watched{}
	for name := range r.Nodes {
		m, p := k.m.permits.Members[name], k.lead.polls[name]
		if m == nil || p == nil {
			continue
		}
		per := k.m.permits.Permit(permit.Subject{Name: name})
		watch[name] = rollout.Watched{Life: p.ask.Life, Version: p.ask.Version, Serving: k.why(name, m) == "", Heard: k.now-p.at <= freshFor*k.c.Period, Counts: p.ask.Counts,
			Exit: per != nil && per.Release == r.ID && per.Phase != permit.Granted}
	}
	s := *k.m.permits
	s.Seen = *seen
	over := s.Overdrawn()
	if over == "" {
		l.overdrawn = k.now
	} else if k.now-l.overdrawn < overdrawnFor*k.c.Period { // a word that comes late is no failure
		over = ""
	}
	if c := l.driver.Drive(k.now, r, watch, over); c != nil {
		k.propose("release", "", nil, &command{Release: c})
		return
	}
	if r.Phase != rollout.Halted {
		return
	}
	for _, p := range k.m.permits.Permits { // drained but whole: they come back
		if a := k.lead.polls[p.Name]; p.Release == r.ID && p.Phase == permit.Used && a != nil && a.ask.Life == p.Life && a.ask.Whole {
			k.propose("call back "+p.Name, "", nil, &command{Permit: &permit.Command{Op: permit.Resume, Of: p.Subject, By: "halt"}})
		}
	}
}

// called takes an operator's call. What it returns is why it cannot be decided on; empty: it will be answered.
func (k *Core) called(from string, a *ask) string {
	c := a.Call
	of := permit.Subject{Kind: c.Kind, Name: c.Name}
	by := cmp.Or(c.By, "operator at "+from)
	var cmd command
	switch c.Op {
	case "drain":
		w := &permit.Ask{Subject: of, Priority: c.Priority, By: by, Why: c.Why}
		if c.Kind == permit.Worker {
			i := slices.IndexFunc(k.own.Workers, func(w Worker) bool { return w.ID == c.Name })
			if i < 0 {
				return fmt.Sprintf("%v is not in the list of workers", of)
			}
			w.Site, w.Group = k.own.Workers[i].Site, k.own.Workers[i].Kind
		}
		cmd.Permit = &permit.Command{Op: permit.Wish, Ask: w, Seen: k.observe("", nil)}
	case "resume":
		cmd.Permit = &permit.Command{Op: permit.Resume, Of: of, By: by}
	case "write-off":
		cmd.Permit = &permit.Command{Op: permit.WriteOff, Of: of, By: by, Why: c.Why}
	case "replace":
		if err := k.acc.Replace(c.Name, c.Why); err != nil {
			return err.Error()
		}
		k.lead.last[from] = ended{a.Seq, Result{OK: true, Text: c.Why + " takes the place of " + c.Name}}
		return ""
	case "release-start":
		cmd.Release = &rollout.Command{Op: rollout.Start, Plan: c.Plan, By: by, Nodes: map[string][2]string{}, Last: k.c.Seats, Base: map[string]rollout.Count{}}
		for n, m := range k.m.permits.Members {
			cmd.Release.Nodes[n] = [2]string{m.Site, m.Version}
		}
		for _, p := range k.lead.polls {
			for class, n := range p.ask.Counts {
				cmd.Release.Base[class] = cmd.Release.Base[class].Add(n)
			}
		}
	case "release-pause":
		cmd.Release = &rollout.Command{Op: rollout.Pause, By: by}
	case "release-go":
		cmd.Release = &rollout.Command{Op: rollout.Go, By: by}
	case "release-halt":
		cmd.Release = &rollout.Command{Op: rollout.Halt, By: by, Why: cmp.Or(c.Why, "by "+by)}
	case "release-back":
		cmd.Release = &rollout.Command{Op: rollout.GoBack, By: by}
	case "settings-set", "settings-back":
		next, done, text := k.revise(from, c, by)
		if done != nil {
			k.lead.last[from] = ended{a.Seq, *done}
		}
		if next == nil {
			return text
		}
		cmd.Setting = next
	default:
		return fmt.Sprintf("no call %q", c.Op)
	}
	k.propose(fmt.Sprintf("call %s %d", from, a.Seq), from, a, &cmd)
	return ""
}
