package fleetsim

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/controlplane/rollout"
	"swiftdeal/internal/membership/codec"
)

// Councils on virtual time: the product's own cores beside those of the view, with nodes that leave service and are restarted as
// they are let, operators that ask, and the truth about who is out, held against the budgets.

// replica is a process's part in the council, and what the rest of the node would be.
type replica struct {
	core      *controlplane.Agent
	random    *rand.Rand
	version   string
	inDrain   bool
	grant     uint64 // the permit of an exit that has begun in this process
	restart   bool   // it is about to be restarted by its supervisor
	viewed    time.Duration
	counted   time.Duration
	counts    map[string]rollout.Count
	startedAt time.Duration
	drained   []string
	pick      *rand.Rand // whom to tell of revisions
	marks     marks
}

// enter makes a process's part.
func (f *groundTruth) enter(p *process, r *rand.Rand, life uint64) {
	s := &replica{
		random:    rand.New(rand.NewPCG(r.Uint64(), 7)),
		version:   cmp.Or(f.versions[p.name], oldVersion),
		counts:    map[string]rollout.Count{},
		startedAt: f.simulation.now,
		viewed:    -Period,
		counted:   f.simulation.now,
	}
	c := controlplane.Config{
		Name:            p.name,
		Site:            fmt.Sprintf("s%d", p.index%3),
		Version:         s.version,
		InstanceID:      life,
		VoterID:         s.random.Uint64() | 1,
		Replicas:        f.replicaNames(),
		Budgets:         f.budgets(),
		Period:          Period,
		SnapshotEntries: 40,
	}
	for i := f.simulation.plan.Replicas; i < min(f.simulation.plan.Members, f.simulation.plan.Replicas+2); i++ {
		c.Standbys = append(c.Standbys, name(i))
	}
	c.ReplaceAfter = periods(60)
	if f.simulation.plan.Disk {
		c.Durable, c.Persisted = true, f.disks[p.name]
	}
	if f.changes != nil {
		f.changes.enter(p, s, &c)
	}
	core, err := controlplane.New(c, s.random, f.simulation.now-p.clockStart)
	if err != nil {
		f.simulation.fail("%s: %v", p.name, err)
		return
	}
	s.core = core
	if p.duplicate {
		return // it has no part while the first one lives
	}
	p.replica = s
	if x := f.rate(s.version); x.unresponsive {
		p.replica = nil
		f.unheard(p)
	} else if x.crash > 0 {
		f.simulation.schedule(f.simulation.now+x.crash, func() { f.fail(p) })
	}
	if p.replica != nil {
		f.over(p.name)
	}
}

// reportFor is what the node says of itself.
func (f *groundTruth) reportFor(p *process) controlplane.LocalState {
	s := p.replica
	o := controlplane.LocalState{
		State:         codec.Serving,
		Incarnation:   p.core.Self().Incarnation,
		OutOfRotation: s.inDrain,
		Resumable:     !s.restart,
		RequestCounts: s.counts,
		Quiesced:      func(worker string) bool { return slices.Contains(s.drained, worker) },
	}
	if s.pick != nil {
		o.SamplePeers = func(n int) []string { return p.core.Sample(n, s.pick) }
	}
	if s.inDrain || p.left {
		o.State = codec.Draining
	}
	if s.core.MayBeReplica() {
		for i := range 6 {
			o.Workers = append(
				o.Workers,
				controlplane.WorkerStatus{ID: fmt.Sprintf("w%d", i), Site: fmt.Sprintf("s%d", i%3), Kind: "std"},
			)
		}
	}
	return o
}

// step lets a process's part do what is due.
func (f *groundTruth) step(p *process) {
	s, now := p.replica, f.simulation.now-p.clockStart
	if s.core.MayBeReplica() && f.simulation.now-s.viewed >= Period {
		s.viewed = f.simulation.now
		var list []controlplane.MemberStatus
		for _, m := range p.core.View().Members {
			list = append(
				list,
				controlplane.MemberStatus{
					Name:       m.Name,
					Site:       m.Site,
					InstanceID: m.InstanceID,
					Status:     m.Status,
					State:      m.State,
				},
			)
		}
		s.core.UpdateMembers(now, list)
	}
	if span := f.simulation.now - s.counted; span >= Period && !s.inDrain { // jobs that have come meanwhile
		s.counted = f.simulation.now
		x := f.rate(s.version)
		if p.index == 0 || f.worse[p.name] {
			x.fails = max(x.fails, 0.01)
		}
		c := s.counts["book"]
		for range 1 + s.random.IntN(4) {
			switch u := s.random.Float64(); {
			case u < x.fails:
				c.Failed++
			default:
				if c.Served++; u < x.fails+x.late {
					c.Late++
				}
			}
		}
		s.counts = maps.Clone(s.counts)
		s.counts["book"] = c
	}
	s.core.Step(now, f.reportFor(p))
	f.follow(p)
}

// follow keeps the history: from when a node asks to have its permit confirmed until it leaves, and from when it is back until it
// hears that the permit has ended.
func (f *groundTruth) follow(p *process) {
	asks, holds, yours := p.replica.core.ConfirmingGrant(), p.replica.core.ActiveGrant(), p.replica.core.AssignedGrant()
	at, on := f.opened[p.name]
	switch {
	case !on && asks != 0:
		f.opened[p.name] = len(f.history)
		f.history = append(f.history, operation{node: p.index, most: f.simulation.plan.Budget, begins: f.simulation.now})
	case on && f.history[at].most > 0 && holds == 0 && asks == 0 && yours == 0: // taken back, or another group's: it has not begun
		f.history = slices.Delete(f.history, at, at+1)
		f.forget(p.name, at)
	case on && f.history[at].most == 0 && yours == 0 && p.replica.core.Synced():
		f.history[at].ends = f.simulation.now
		delete(f.opened, p.name)
	}
}

// forget closes an operation that was taken out of the history.
func (f *groundTruth) forget(node string, at int) {
	delete(f.opened, node)
	for n, i := range f.opened {
		if i > at {
			f.opened[n] = i - 1
		}
	}
}

// left notes that an exit has begun, and over that one is over.
func (f *groundTruth) leftAt(p *process) {
	at, on := f.opened[p.name]
	if !on || f.history[at].most == 0 { // asked for and begun within one step
		f.history = append(
			f.history,
			operation{node: p.index, most: f.simulation.plan.Budget, begins: f.simulation.now, ends: f.simulation.now},
		)
		return
	}
	f.history[at].ends = f.simulation.now
	delete(f.opened, p.name)
}

func (f *groundTruth) backAt(node string, index int) {
	if f.exits[node] {
		f.opened[node] = len(f.history)
		f.history = append(f.history, operation{node: index, begins: f.simulation.now})
	}
}

// after takes what a process's part has done, and says when it wants to be called.
func (f *groundTruth) after(p *process) time.Duration {
	s, w := p.replica, f.simulation
	if f.changes != nil {
		f.changes.inspect(p)
	}
	for _, action := range s.core.TakeActions() {
		switch a := action.(type) {
		case controlplane.SendAction:
			message := codec.SubprotocolMessage{Number: a.Kind, Body: a.Payload}
			if l := p.core.MessageTo(a.Recipient, message); l != nil {
				w.send(p, *l)
			}
		case controlplane.PersistAction:
			f.save(p.name, a.State)
		case controlplane.StartDrainAction:
			f.begin(p, a)
		case controlplane.ResumeServiceAction:
			s.inDrain, s.grant = false, 0
			f.over(p.name)
			w.record("%s comes back", p.name)
		case controlplane.DrainWorkersAction:
			s.drained = a.Workers
		case controlplane.ApplySettingsAction:
			f.changes.apply(p, a.Version)
		case controlplane.LogAction:
			w.record("%s#%d council: %s", p.name, p.serial, a.Message)
		}
	}
	for _, r := range s.core.TakeReplies() {
		f.replies = append(f.replies, fmt.Sprintf("%v %s", r.OK, r.Text))
		w.record("%s hears: %v %s", p.name, r.OK, r.Text)
		if f.changes != nil {
			f.changes.replied(p, r)
		}
	}
	for _, b := range s.core.TakeConfirmedExits() {
		w.record("%s has confirmed %v (%d out of %d, group %v)", p.name, b.Subject, b.Unavailable, b.Limit, b.Epoch)
	}
	if ps, rs := s.core.State(); s.core.MayBeReplica() && rs.Plan != nil {
		if text := rs.Phase.String(); len(f.phases) == 0 ||
			f.phases[len(f.phases)-1] != text && s.core.Consensus().IsLeader() {
			f.phases = append(f.phases, text)
			w.record("release %s: %s (%s)", rs.ID, text, rs.Reason)
			if rs.Phase == rollout.PhaseHalted || rs.Phase == rollout.PhaseRollingBack {
				f.halted, f.failing = w.now, len(rs.UpdatedNodes())
			}
		}
		_ = ps
	}
	return s.core.NextStepAt()
}

// begin is a planned exit that begins. Here the budgets are held against the truth.
func (f *groundTruth) begin(p *process, a controlplane.StartDrainAction) {
	s, w := p.replica, f.simulation
	f.begun++
	s.grant = a.GrantID
	f.leftAt(p)
	f.exits[p.name] = true
	n, site := 0, 0
	for o := range f.exits {
		if f.writtenOff[o] || f.countsAsOut(o) {
			continue
		}
		n++
		if w.index(o)%3 == p.index%3 {
			site++
		}
	}
	f.maxOut = max(f.maxOut, n)
	w.record("%s begins its exit under %d: %d planned exits", p.name, a.GrantID, n)
	if n > w.plan.Budget || w.plan.SiteBudget > 0 && site > w.plan.SiteBudget {
		w.fail(
			"%d planned exits at once (%d of the site), %d allowed: %v",
			n,
			site,
			w.plan.Budget,
			slices.Sorted(maps.Keys(f.exits)),
		)
	}
	if a.OutOfRotation {
		s.inDrain = true
	}
	if at, ok := f.asked[p.name]; ok {
		f.waits = append(f.waits, (w.now-at).Seconds()/Period.Seconds())
		delete(f.asked, p.name)
	}
	if a.TargetVersion == "" {
		return
	}
	w.schedule(w.now+periods(0.5+2*s.random.Float64()), func() { // its supervisor looks
		if !p.running || p.paused || s.core.SupervisorAction(true).Action != "restart" {
			return
		}
		s.restart = true
		w.schedule(w.now+periods(0.3), func() {
			if !p.running {
				return
			}
			f.versions[p.name] = a.TargetVersion
			w.end(p)
			w.schedule(w.now+periods(0.5), func() { f.startAgain(p.index) })
		})
	})
}

// save keeps what a seat's disk would.
func (f *groundTruth) save(node string, s *consensus.PersistentState) {
	old := f.disks[node]
	if s.Group.IsZero() || old == nil || old.Group != s.Group || old.ID != s.ID {
		old = &consensus.PersistentState{}
	}
	f.disks[node] = old.Merge(s)
}
