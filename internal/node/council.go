package node

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/control"
	"swiftdeal/internal/fleet/accord"
	"swiftdeal/internal/fleet/accord/disk"
	"swiftdeal/internal/fleet/council"
	"swiftdeal/internal/fleet/gossip"
	"swiftdeal/internal/fleet/member"
	"swiftdeal/internal/fleet/permit"
	"swiftdeal/internal/fleet/rollout"
	"swiftdeal/internal/fleet/wire"
	"swiftdeal/internal/upstream"
)

// drainer stands between discovery and the Balancer: workers that the council has drained are told as draining, whatever
// discovery says of them.
type drainer struct {
	upstream.Events
	busy func(peers []string, quiet func([]string))

	mu      sync.Mutex
	group   config.Group
	drained []string
	quiet   []string // of those: no try of this node is there
	asked   bool
}

// Listed implements upstream.Events.
func (d *drainer) Listed(kind balance.List, g config.Group) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind == balance.ListFull || kind == balance.ListCached || kind == balance.ListChanges {
		d.group = d.group.With(g)
		g.Peers = d.marked(g.Peers)
	}
	d.Events.Listed(kind, g)
}

func (d *drainer) marked(peers []config.Peer) []config.Peer {
	if len(d.drained) == 0 {
		return peers
	}
	peers = slices.Clone(peers)
	for i := range peers {
		if peers[i].State == balance.Ready && slices.Contains(d.drained, peers[i].ID) {
			peers[i].State = balance.Draining
		}
	}
	return peers
}

// set takes which workers are drained from now on.
func (d *drainer) set(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	was := d.drained
	d.drained, d.quiet = names, nil
	var changed []config.Peer
	for _, p := range d.group.Peers {
		if slices.Contains(was, p.ID) != slices.Contains(names, p.ID) {
			changed = append(changed, p)
		}
	}
	if len(changed) > 0 {
		d.Events.Listed(balance.ListNoted, config.Group{Version: d.group.Version, Peers: d.marked(changed)})
	}
}

// look asks which of the drained workers no try is at.
func (d *drainer) look() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.drained) == 0 || d.asked {
		return
	}
	d.asked = true
	names := d.drained
	d.busy(names, func(quiet []string) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.asked = false; slices.Equal(names, d.drained) {
			d.quiet = quiet
		}
	})
}

func (d *drainer) isQuiet(worker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.quiet, worker)
}

// workers lists what discovery says, for the leader's watch. ill and starts are the Balancer's knowledge.
func (d *drainer) workers(now, coldFor time.Duration, know map[string]balance.Known) (list []council.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.group.Peers {
		w, k := council.Worker{ID: p.ID, Site: p.Zone, Kind: p.Kind}, know[p.ID]
		started := max(p.Started, k.Started)
		switch {
		case p.State != balance.Ready:
			w.Out = "discovery ends it"
		case started > 0 && now-started < coldFor:
			w.Out = "cold"
		case k.Fails > 1 || k.ProbeFails > 1:
			w.Out = "errs, or does not answer"
		}
		list = append(list, w)
	}
	return list
}

// seat is the node's part in the council: the shell round the core. All but calls from outside run with the owner of the view.
type seat struct {
	f       *fleet
	core    *council.Core
	store   *disk.Store
	log     *slog.Logger
	period  time.Duration
	viewed  time.Duration
	owned   time.Duration
	own     council.Own
	waiting map[uint64]chan council.Result
	begun   bool // whoever runs the process has begun to restart it
}

// part makes the node's part in the council as it enters the fleet; nil where the fleet's file has no council.
func (f *fleet) part(life uint64, now time.Duration) gossip.Part {
	c := f.c.Fleet.Council
	name := f.name()
	log := f.log.With("part", "council")
	s := &seat{f: f, log: log, period: f.c.Fleet.Period, viewed: -time.Hour, owned: -time.Hour, waiting: map[uint64]chan council.Result{}}
	var saved *accord.Saved
	if c.Dir != "" && c.Has(name) {
		var err error
		if s.store, saved, err = disk.Open(c.Dir, name, f.n.limits.BindWait); err != nil {
			log.Error("takes no part in the council", "error", err)
			return nil
		}
	}
	var err error
	s.core, err = council.New(council.Config{Name: name, Site: f.c.Fleet.Site, Version: f.c.Program, Life: life, ID: f.m.Random() | 1, Seats: c.Seats, Spares: c.Spares, Absent: c.Absent,
		Budgets: c.Budgets, Period: f.c.Fleet.Period, Saved: saved, Disk: s.store != nil}, f.random(), now)
	if err != nil {
		log.Error("takes no part in the council", "error", err)
		s.Close()
		return nil
	}
	return s
}

// Step implements gossip.Part.
func (s *seat) Step(now time.Duration, view *member.Core) []gossip.Letter {
	if s.core.HasSeat() && now-s.viewed >= s.period {
		s.viewed = now
		v := view.View()
		list := make([]council.Seen, 0, len(v.Members))
		for _, m := range v.Members {
			list = append(list, council.Seen{Name: m.Name, Site: m.Site, Life: m.Life, Status: m.Status, State: m.State})
		}
		s.core.See(now, list)
	}
	if now-s.owned >= s.period/4 {
		s.owned = now
		s.own = s.f.councilOwn(s)
	}
	s.own.Inc, s.own.State = view.Self().Inc, s.f.state()
	s.own.Away = s.f.n.standing.sentAway()
	s.core.Step(now, s.own)
	return s.flush()
}

// Take implements gossip.Part.
func (s *seat) Take(now time.Duration, from string, kind wire.Kind, body []byte) {
	s.core.Take(now, from, kind, body)
}

// Wake implements gossip.Part.
func (s *seat) Wake() time.Duration { return min(s.core.Wake(), s.owned+s.period/4) }

// Close implements gossip.Part.
func (s *seat) Close() {
	if s.store != nil {
		s.store.Close()
		s.store = nil
	}
	for t, c := range s.waiting {
		c <- council.Result{Text: "the node ends its part in the fleet"}
		delete(s.waiting, t)
	}
}

// flush lets what the core has done take effect.
func (s *seat) flush() (out []gossip.Letter) {
	for _, a := range s.core.Out() {
		switch a.Do {
		case council.Send:
			out = append(out, gossip.Letter{To: a.To, Kind: a.Kind, Body: a.Body})
		case council.Save:
			if s.store == nil {
				continue
			}
			if err := s.store.Save(a.Saved); err != nil {
				// What is not on the disk must not be promised: nothing that follows goes out, and the part ends.
				s.log.Error("cannot be saved: this seat is silent from here on", "error", err)
				s.core.Accord().Forget("its disk fails")
				return nil
			}
		case council.Begin:
			s.begun = false
			s.log.Info("leaves service", "permit", a.No, "target", a.Target, "away", a.Away)
			if a.Away {
				s.f.n.Drain()
			}
		case council.Return:
			s.log.Info("comes back into service", "permit", a.No)
			s.f.n.Resume()
		case council.Drains:
			s.log.Info("drained workers", "workers", a.Workers)
			s.f.drains_.set(a.Workers)
		case council.Say:
			s.log.Info("council", "says", a.Text)
		}
	}
	for _, b := range s.core.Begun() {
		s.log.Info("exit confirmed", "of", b.Of.String(), "permit", b.No, "out", b.Out, "most", b.Most, "group", b.Group.String())
	}
	for _, r := range s.core.Replies() {
		if c := s.waiting[r.Ticket]; c != nil {
			c <- r.Result
			delete(s.waiting, r.Ticket)
		}
	}
	s.f.told.Store(s.core.Told())
	return out
}

// councilOwn is what the node says of itself to the council.
func (f *fleet) councilOwn(s *seat) council.Own {
	n := f.n
	o := council.Own{Whole: !s.begun, Counts: map[string]rollout.Count{}, Quiet: f.drains_.isQuiet}
	for _, t := range n.book.Tallies() {
		if t.Served+t.Failed+t.Refused > 0 && len(o.Counts) < 12 {
			o.Counts[t.Class] = rollout.Count{Served: t.Served, Failed: t.Failed, Refused: t.Refused, Late: t.Late}
		}
	}
	f.drains_.look()
	if s.core.HasSeat() {
		know := map[string]balance.Known{}
		if l := f.last.Load(); l != nil {
			know = l.know
			o.Room = map[string]int{}
			n.settle.Lock()
			names := n.inForce.ClassNames()
			n.settle.Unlock()
			for i, room := range l.rooms[:min(len(l.rooms), len(names))] {
				o.Room[names[i]] = room
			}
		}
		o.Workers = f.drains_.workers(time.Duration(time.Now().UnixNano()), f.c.Settings.Balance.ColdFor, know)
	}
	return o
}

// held reports whether clients are to wait until the node has heard which workers are drained. That is bounded: a council that
// cannot answer keeps no node from its service.
func (f *fleet) held() bool {
	if f == nil || f.c.Fleet.Council == nil || time.Since(f.entered) > f.n.limits.CouncilWait {
		return false
	}
	return !f.told.Load()
}

// idle reports whether nothing is open in the process.
func (n *Node) idle() bool { return n.admit.Open() == 0 }

// CouncilCall implements control.Calls.
func (n *Node) CouncilCall(path string, q url.Values, body []byte) (int, any) {
	f := n.fleet
	if f == nil || f.c.Fleet.Council == nil {
		return http.StatusNotFound, "this node has no part in a council"
	}
	var status = http.StatusServiceUnavailable
	var answer any = "the node's part in the fleet has not begun, or is busy"
	with := func(do func(now time.Duration, s *seat)) {
		f.now().Do(func(now time.Duration, p gossip.Part) { do(now, p.(*seat)) })
	}
	switch path {
	case "call":
		var c council.Call
		if err := json.Unmarshal(body, &c); err != nil {
			return http.StatusBadRequest, err.Error()
		}
		reply := make(chan council.Result, 1)
		with(func(now time.Duration, s *seat) { s.waiting[s.core.Call(now, c)] = reply; answer = nil })
		if answer != nil {
			return status, answer
		}
		timer := time.NewTimer(n.limits.CouncilCall)
		defer timer.Stop()
		select {
		case r := <-reply:
			return http.StatusOK, r
		case <-timer.C:
			return http.StatusGatewayTimeout, "no answer of the council yet; the call goes on: look at its status"
		}
	case "council":
		with(func(now time.Duration, s *seat) { status, answer = http.StatusOK, s.core.Report(now) })
	case "duty":
		with(func(now time.Duration, s *seat) {
			if node := q.Get("node"); node != "" && node != f.name() {
				if !s.core.Knows() {
					status, answer = http.StatusMisdirectedRequest, "this node has no seat"
					return
				}
				status, answer = http.StatusOK, s.core.DutyOf(node)
				return
			}
			status, answer = http.StatusOK, s.core.Duty(n.idle())
		})
	case "did":
		with(func(now time.Duration, s *seat) {
			d := s.core.Duty(n.idle())
			if fmt.Sprint(d.Permit) != q.Get("permit") || d.Do != "restart" {
				status, answer = http.StatusConflict, "nothing is to be done under that permit now"
				return
			}
			s.begun, s.own.Whole = true, false
			s.log.Info("is about to be restarted", "permit", d.Permit, "version", d.Version)
			status, answer = http.StatusOK, d
		})
	}
	return status, answer
}

// councilFigures returns the council's figures; none without one.
func (f *fleet) councilFigures() (list []control.Family) {
	f.now().Do(func(now time.Duration, p gossip.Part) { list = figures(p.(*seat).core.Report(now)) })
	return list
}

func figures(r *council.Report) []control.Family {
	phases := control.Family{Name: "gw_council_permits", Help: "Permits by phase.", Gauge: true, Label: "phase"}
	by := map[permit.Phase]int64{}
	for _, p := range r.Permits {
		by[p.Phase]++
	}
	for p := permit.Granted; p <= permit.Returning; p++ {
		phases.Rows = append(phases.Rows, control.Row{Of: p.String(), Value: by[p]})
	}
	one := func(yes bool) int64 {
		if yes {
			return 1
		}
		return 0
	}
	return []control.Family{phases,
		control.One("gw_council_leads", "1 while this node leads the council.", true, one(r.Leads)),
		control.One("gw_council_trouble", "1 while the council does not answer this node.", true, one(r.Trouble != "")),
		control.One("gw_council_waiting", "Requests that wait.", true, int64(len(r.Queue))),
		control.One("gw_council_out_nodes", "Nodes out of service, whatever the reason, as the leader saw them last.", true, int64(r.OutNodes)),
		control.One("gw_council_group", "Number of the council's group.", true, int64(r.Group.Number)),
		control.One("gw_council_index", "How far this seat's state has come.", true, int64(r.Index)),
		control.One("gw_council_exits_begun", "Exits that this node has begun under permits.", false, r.Counts.Begun),
		control.One("gw_council_returns_alone", "Returns of this node without the council's word.", false, r.Counts.Alone),
		control.One("gw_council_release", "Phase of the release: 0 none, 1 running, 2 paused, 3 halted, 4 going back, 5 stuck, 6 done, 7 undone.", true, int64(r.ReleasePhase)),
	}
}
